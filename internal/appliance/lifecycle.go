package appliance

import (
	"fmt"
	"log/slog"
	"slices"
)

// State is the lifecycle state of the process.
type State uint8

// States, in the order in which a process passes through them.
const (
	Starting    State = iota // the state folder is being opened
	Recovering               // the state of the previous process is being recovered
	Serving                  // requests are accepted
	Draining                 // no new connections and requests; open requests may complete
	Terminating              // open requests get their final response at once
	Persisting               // every request has its response; the store is being closed
	Stopped
)

// apiStateNames are the names of the states in the admin API, the console and coverage reports. Terminating and
// Persisting are called "finishing" and "writing" there, because scripts depend on these names.
var apiStateNames = [...]string{"starting", "recovering", "serving", "draining", "finishing", "writing", "stopped"}

// String returns the name of the state in the admin API.
func (s State) String() string { return apiStateNames[s] }

// LogValue implements slog.LogValuer. Logs contain the names of the constants, not those of the admin API.
func (s State) LogValue() slog.Value {
	switch s {
	case Terminating:
		return slog.StringValue("terminating")
	case Persisting:
		return slog.StringValue("persisting")
	default:
		return slog.StringValue(s.String())
	}
}

// LifecycleEvent is an event that may change the state.
type LifecycleEvent uint8

// Events of the lifecycle.
const (
	StoreOpened            LifecycleEvent = iota // the state folder is open
	StateRecovered                               // the servers listen, and open scheduled requests are submitted again
	StopRequested                                // a signal, or the console's stop command
	ImmediateStopRequested                       // a second signal, or the console's stop command with "now"
	RequestsDrained                              // no request is open
	DrainTimeout                                 // the drain time has passed
	RequestsTerminated                           // every request has its response, and every record is on disk
	StoreClosed                                  // the store is closed
	Failed                                       // a component needed for serving failed
)

var lifecycleEventNames = [...]string{
	"store-opened", "state-recovered", "stop-requested", "immediate-stop-requested", "requests-drained", "drain-timeout",
	"requests-terminated", "store-closed", "failed",
}

// String returns the name of the event in the log.
func (e LifecycleEvent) String() string { return lifecycleEventNames[e] }

// Action is an action required by a state transition.
type Action uint8

// Actions of the lifecycle.
const (
	Recover           Action = iota // recover the state and listen, then post StateRecovered
	StartSchedules                  // start to fire schedules
	SuspendSchedules                // stop firing schedules
	StopListening                   // accept no connections and no requests
	StartDrainTimer                 // post DrainTimeout after the drain time, and RequestsDrained once no request is open
	TerminateRequests               // respond to open requests at once, then post RequestsTerminated
	CloseStore                      // close the store, then post StoreClosed
	CloseSocket                     // close the console's socket
	Exit                            // return from Run
)

// Lifecycle is the state machine of the process. Only Handle changes it. The zero value is in state Starting.
type Lifecycle struct {
	State       State
	Reason      string // reason for the shutdown
	stopPending bool   // a stop was requested during recovery
}

// transition is a row of the transition table.
type transition struct {
	from    State
	event   LifecycleEvent
	to      State
	actions []Action
}

// transitions is the transition table. No request is left without a response: every path to Stopped from a state with
// open requests passes through Terminating.
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

// Handle applies an event and returns the actions to execute, in order. An event without a transition from the current
// state is ignored, for example a second stop during the drain or a drain timeout after it.
func (l *Lifecycle) Handle(event LifecycleEvent, reason string) []Action {
	stopRequested := event == StopRequested || event == ImmediateStopRequested
	if l.Reason == "" && (stopRequested || event == Failed) {
		l.Reason = reason
	}
	// A stop during recovery is deferred, because the open requests are not known before recovery has ended.
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

// UnknownCommandError is returned for an unknown console command.
type UnknownCommandError struct{ Command string }

// Error implements the error interface.
func (e *UnknownCommandError) Error() string { return fmt.Sprintf("unknown command %q", e.Command) }

// CommandNotAllowedError is returned for a console command that is not allowed in the current state.
type CommandNotAllowedError struct {
	Command string
	State   State
}

// Error implements the error interface.
func (e *CommandNotAllowedError) Error() string {
	return fmt.Sprintf("command %s is not allowed while the appliance is %s", e.Command, e.State)
}

// CheckCommand returns an error if a console command is unknown or not allowed in the current state.
func (l *Lifecycle) CheckCommand(command string) error {
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
