package appliance

import (
	"fmt"
	"net/http"
	"time"

	"streamcleat/control"
)

// Commands of the console, by their names in the API.
const (
	commandStop   = "stop"
	commandDrain  = "drain"
	commandReturn = "return"
	commandUnload = "unload"
	commandFire   = "fire"
	commandHold   = "hold"
)

// consoleTimeout is how long after its last command a console keeps others from giving commands.
const consoleTimeout = 15 * time.Second

// unnamedConsole is the name of a console that gives none.
const unnamedConsole = "unnamed"

// Command is what a console asks the appliance to do.
type Command struct {
	Name      string `json:"order"` // drain, return, hold, fire, unload, stop
	Target    string `json:"target,omitempty"`
	Immediate bool   `json:"now,omitempty"`     // stop: do not wait for open requests
	Resume    bool   `json:"release,omitempty"` // hold: let the entry fire again
	Console   string `json:"console"`           // name of the console
}

// consoleSession is the console that may give commands; the others are told its name.
type consoleSession struct {
	name        string
	lastCommand time.Time
}

// postCommand executes a command.
func (a *Appliance) postCommand(w http.ResponseWriter, r *http.Request) {
	var command Command
	if err := decodeBody(r, maxCommandBytes, "order", &command); err != nil {
		writeReply(w, nil, err)
		return
	}
	result, err := a.executeCommand(command)
	writeResult(w, result, err)
}

// executeCommand executes a command of the only console that may give them now, and returns what was done.
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
		return a.suspendEntry(command.Target, command.Resume)
	}
	return a.fireEntry(command.Target)
}

// admitCommand returns an error when another console gives commands now, or when the state does not allow the command.
// Otherwise the console becomes the active one.
func (a *Appliance) admitCommand(command Command) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	active := &a.activeConsole
	if active.name != "" && active.name != command.Console && now.Sub(active.lastCommand) < consoleTimeout {
		return fmt.Errorf("console %s gives orders now; it gives way %v after its last", active.name, consoleTimeout)
	}
	if err := a.lifecycle.Allows(command.Name); err != nil {
		return err
	}
	*active = consoleSession{name: command.Console, lastCommand: now}
	return nil
}

func (a *Appliance) requestStop(command Command) string {
	if command.Immediate {
		a.post(ImmediateStopRequested, "console "+command.Console)
		return "the box answers what is open and stops"
	}
	a.post(StopRequested, "console "+command.Console)
	return fmt.Sprintf("the box drains for up to %v s and stops", a.config.DrainTime)
}

// drainWorker makes every server send nothing new to a worker.
func (a *Appliance) drainWorker(worker string) (string, error) {
	if err := a.setDrained(worker, true); err != nil {
		return "", err
	}
	for _, w := range a.workerStatuses() {
		if w.State != workerDraining {
			return fmt.Sprintf("worker %s: drains", worker), nil
		}
	}
	return fmt.Sprintf("worker %s drains; it was the last one, and every event is deferred now", worker), nil
}

// returnWorker undoes drainWorker.
func (a *Appliance) returnWorker(worker string) (string, error) {
	if err := a.setDrained(worker, false); err != nil {
		return "", err
	}
	return fmt.Sprintf("worker %s: is as the list says", worker), nil
}

func (a *Appliance) setDrained(worker string, drained bool) error {
	known := false
	for _, server := range a.runningServers() {
		knownToServer, err := server.DrainWorker(control.WorkerID(worker), drained)
		if err != nil {
			return err
		}
		known = known || knownToServer
	}
	if !known {
		return statusError{http.StatusNotFound, fmt.Sprintf("worker %q is not in the list", worker)}
	}
	return nil
}

// unloadReplicas asks the workers that have a function loaded to unload idle replicas.
func (a *Appliance) unloadReplicas(function string) (string, error) {
	asked := 0
	for _, server := range a.runningServers() {
		n, err := server.UnloadReplicas(function)
		if err != nil {
			return "", err
		}
		asked += n
	}
	if asked == 0 {
		return "", statusError{http.StatusNotFound, fmt.Sprintf("no copy of %q is known of", function)}
	}
	return fmt.Sprintf("%d workers were asked to let idle copies of %s go", asked, function), nil
}
