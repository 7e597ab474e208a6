package appliance

import (
	"fmt"
	"net/http"
	"time"

	"streamcleat/control"
	"streamcleat/internal/eventloop"
)

// Names of the console's commands in the admin API.
const (
	commandStop   = "stop"
	commandDrain  = "drain"
	commandReturn = "return"
	commandUnload = "unload"
	commandFire   = "fire"
	commandHold   = "hold"
)

// consoleTimeout is the time for which a console excludes all others from giving commands, counted from its last command.
const consoleTimeout = 15 * time.Second

// unnamedConsole is the name used for a console that sends none.
const unnamedConsole = "unnamed"

// Command is a command that a console sends to the appliance.
type Command struct {
	Name      string `json:"order"` // drain, return, hold, fire, unload, stop
	Target    string `json:"target,omitempty"`
	Immediate bool   `json:"now,omitempty"`     // stop: do not wait for open requests
	Resume    bool   `json:"release,omitempty"` // hold: resume the entry instead of suspending it
	Console   string `json:"console"`           // name of the console
}

// consoleSession identifies the console that may give commands. Other consoles are told its name.
type consoleSession struct {
	name        string
	lastCommand time.Time
}

// executeCommand executes a command and returns a description of the result for the console. It returns an error if
// another console is active.
func (a *Appliance) executeCommand(command Command) (string, error) {
	if command.Console == "" {
		command.Console = unnamedConsole
	}
	if err := a.admitCommand(command); err != nil {
		return "", err
	}
	a.log.Info("command", "command", command.Name, "target", command.Target, "console", command.Console, "now", command.Immediate)
	switch command.Name {
	case commandStop:
		return a.requestStop(command), nil
	case commandDrain:
		return a.drainWorker(command.Target)
	case commandReturn:
		return a.returnWorker(command.Target)
	case commandUnload:
		return a.unloadReplicas(command.Target)
	case commandHold:
		if command.Resume {
			return a.resumeEntry(command.Target)
		}
		return a.suspendEntry(command.Target)
	}
	return a.fireEntry(command.Target)
}

// admitCommand makes the sender of a command the active console. It returns an error if another console is active or
// if the lifecycle state does not allow the command.
func (a *Appliance) admitCommand(command Command) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	active := &a.activeConsole
	if active.name != "" && active.name != command.Console && now.Sub(active.lastCommand) < consoleTimeout {
		return fmt.Errorf("console %s gives orders now; another console may do so %v after its last order", active.name, consoleTimeout)
	}
	if err := a.lifecycle.CheckCommand(command.Name); err != nil {
		return err
	}
	*active = consoleSession{name: command.Console, lastCommand: now}
	return nil
}

// requestStop starts a graceful shutdown, or one that does not wait for open requests.
func (a *Appliance) requestStop(command Command) string {
	if command.Immediate {
		a.post(ImmediateStopRequested, "console "+command.Console)
		return "the box answers what is open and stops"
	}
	a.post(StopRequested, "console "+command.Console)
	return fmt.Sprintf("the box drains for up to %v s and stops", a.config.DrainTime)
}

// drainWorker drains a worker on every server: it gets no further attempts.
func (a *Appliance) drainWorker(worker string) (string, error) {
	if err := a.onEveryServer(worker, (*eventloop.Server).DrainWorker); err != nil {
		return "", err
	}
	for _, w := range a.workerStatuses() {
		if w.State != workerDraining {
			return fmt.Sprintf("worker %s: drains", worker), nil
		}
	}
	return fmt.Sprintf("worker %s drains; it was the last one, and every event is deferred now", worker), nil
}

// returnWorker undoes drainWorker. The worker has the state from the endpoint list again.
func (a *Appliance) returnWorker(worker string) (string, error) {
	if err := a.onEveryServer(worker, (*eventloop.Server).UndrainWorker); err != nil {
		return "", err
	}
	return fmt.Sprintf("worker %s: is as the list says", worker), nil
}

// onEveryServer calls change for a worker on every server. It returns an error if no server knows the worker.
func (a *Appliance) onEveryServer(worker string, change func(*eventloop.Server, control.WorkerID) (known bool, err error)) error {
	known := false
	for _, server := range a.runningServers() {
		knownToServer, err := change(server, control.WorkerID(worker))
		if err != nil {
			return err
		}
		known = known || knownToServer
	}
	if !known {
		return statusError{http.StatusNotFound, fmt.Sprintf("worker %q is not in the endpoint list", worker)}
	}
	return nil
}

// unloadReplicas asks the workers that have a function loaded to unload its idle replicas.
func (a *Appliance) unloadReplicas(function string) (string, error) {
	requested := 0
	for _, server := range a.runningServers() {
		n, err := server.UnloadReplicas(function)
		if err != nil {
			return "", err
		}
		requested += n
	}
	if requested == 0 {
		return "", statusError{http.StatusNotFound, fmt.Sprintf("no replica of %q is known", function)}
	}
	return fmt.Sprintf("%d workers were asked to let idle copies of %s go", requested, function), nil
}
