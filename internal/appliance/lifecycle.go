package appliance

import (
	"fmt"
	"slices"
)

// State is the state of the process.
type State uint8

// States in the order in which a process goes through them.
const (
	Starting    State = iota // the state folder is being opened
	Recovering               // what an earlier process left is being recovered
	Serving                  // requests are accepted
	Draining                 // no new connections and requests; open requests may end
	Terminating              // the drain time is over: what is open is answered at once
	Persisting               // every client has its response; the store is being closed
	Stopped
)

var stateNames = [...]string{"starting", "recovering", "serving", "draining", "finishing", "writing", "stopped"}

// String returns the name of the state as the console shows it.
func (s State) String() string { return stateNames[s] }

// LifecycleEvent is something that may change the state.
type LifecycleEvent uint8

// Events of the lifecycle.
const (
	StoreOpened            LifecycleEvent = iota // the state folder is open
	StateRecovered                               // scheduled requests are submitted again and the servers listen
	StopRequested                                // a signal, or the console's stop command
	ImmediateStopRequested                       // a second signal, or the console's stop command with "now"
	RequestsDrained                              // no request is open
	DrainTimeout                                 // the drain has lasted as long as it may
	RequestsTerminated                           // every request has its response, and every record is on disk
	StoreClosed                                  // the store is closed
	Failed                                       // something failed that serving needs
)

var lifecycleEventNames = [...]string{"opened", "recovered", "stop", "stop now", "quiet", "time up", "answered", "written", "broke"}

// String returns the name of the event as the log has it.
func (e LifecycleEvent) String() string { return lifecycleEventNames[e] }

// Action is something that a change of state asks for.
type Action uint8

// Actions of the lifecycle.
const (
	Recover           Action = iota // recover the state, then listen; StateRecovered follows
	StartSchedules                  // let schedules fire
	SuspendSchedules                // let no schedule fire any more
	StopListening                   // accept no connections and no requests
	StartDrainTimer                 // DrainTimeout follows after the drain time, RequestsDrained when no request is open
	TerminateRequests               // answer what is open at once; RequestsTerminated follows
	CloseStore                      // close the store; StoreClosed follows
	CloseSocket                     // close the console's socket
	Exit                            // end the process
)

// Lifecycle is the state machine of the process. Only Handle changes it. Its zero value is a process that starts.
type Lifecycle struct {
	State       State
	Reason      string // why the process stops
	stopPending bool   // a stop was requested during recovery
}

// transition is one line of the table of transitions.
type transition struct {
	from    State
	event   LifecycleEvent
	to      State
	actions []Action
}

// transitions leave no request without a response: from every state in which requests may be open, the way to Stopped
// leads through Terminating.
var transitions = []transition{
	{Starting, StoreOpened, Recovering, []Action{Recover}},
	{Starting, StopRequested, Stopped, []Action{CloseSocket, Exit}},
	{Starting, ImmediateStopRequested, Stopped, []Action{CloseSocket, Exit}},
	{Starting, Failed, Stopped, []Action{CloseSocket, Exit}},
	{Recovering, StateRecovered, Serving, []Action{StartSchedules}},
	{Recovering, Failed, Terminating, []Action{SuspendSchedules, StopListening, TerminateRequests}},
	{Serving, StopRequested, Draining, []Action{SuspendSchedules, StopListening, StartDrainTimer}},
	{Serving, ImmediateStopRequested, Terminating, []Action{SuspendSchedules, StopListening, TerminateRequests}},
	{Serving, Failed, Terminating, []Action{SuspendSchedules, StopListening, TerminateRequests}},
	{Draining, RequestsDrained, Terminating, []Action{TerminateRequests}},
	{Draining, DrainTimeout, Terminating, []Action{TerminateRequests}},
	{Draining, ImmediateStopRequested, Terminating, []Action{TerminateRequests}},
	{Draining, Failed, Terminating, []Action{TerminateRequests}},
	{Terminating, RequestsTerminated, Persisting, []Action{CloseStore}},
	{Persisting, StoreClosed, Stopped, []Action{CloseSocket, Exit}},
}

// Handle applies an event and returns the actions to carry out, in order. An event that has no transition in the
// present state changes nothing: a second stop during a drain, a drain timeout after the end.
func (l *Lifecycle) Handle(event LifecycleEvent, reason string) []Action {
	stopRequested := event == StopRequested || event == ImmediateStopRequested
	if l.Reason == "" && (stopRequested || event == Failed) {
		l.Reason = reason
	}
	// A stop during recovery waits for its end: only then it is known which requests are open.
	if l.State == Recovering && stopRequested {
		l.stopPending = true
		return nil
	}
	for _, t := range transitions {
		if t.from != l.State || t.event != event {
			continue
		}
		l.State = t.to
		actions := slices.Clone(t.actions)
		if l.State == Serving && l.stopPending {
			actions = append(actions, l.Handle(StopRequested, "")...)
		}
		return actions
	}
	return nil
}

// UnknownCommandError is returned for a console command that does not exist.
type UnknownCommandError struct{ Command string }

// Error implements error.
func (e *UnknownCommandError) Error() string { return fmt.Sprintf("%q is not an order", e.Command) }

// CommandNotAllowedError is returned for a console command that the present state does not allow.
type CommandNotAllowedError struct {
	Command string
	State   State
}

// Error implements error.
func (e *CommandNotAllowedError) Error() string {
	return fmt.Sprintf("%s is not possible while the box is %s", e.Command, e.State)
}

// Allows returns an error when a console command may not be executed in the present state.
func (l *Lifecycle) Allows(command string) error {
	var allowed bool
	switch command {
	case commandStop:
		allowed = l.State < Terminating
	case commandFire, commandHold, commandDrain, commandReturn, commandUnload:
		allowed = l.State == Serving
	default:
		return &UnknownCommandError{command}
	}
	if !allowed {
		return &CommandNotAllowedError{command, l.State}
	}
	return nil
}
