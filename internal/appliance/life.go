// Package appliance is the life of the process on one box: it opens the state, recovers, serves, drains and stops in
// order, runs work in the background, and answers the console. life.go and chores.go decide without I/O.
package appliance

import (
	"fmt"
	"slices"
)

// State is where the process is in its life.
type State uint8

const (
	Starting   State = iota // the state folder is being opened
	Recovering              // what an earlier process left is being taken up
	Serving
	Draining    // no new connections and events; what is open may end
	Terminating // the time to drain is over: what is left is answered at once
	Persisting  // every client has its answer; the state is being closed
	Stopped
)

var states = [...]string{"starting", "recovering", "serving", "draining", "finishing", "writing", "stopped"}

func (s State) String() string { return states[s] }

// LifecycleEvent is what moves the life on.
type LifecycleEvent uint8

const (
	StoreOpened            LifecycleEvent = iota // the state folder is open
	StateRecovered                               // the box's own events are taken up and the listeners are open
	StopRequested                                // a signal, or a console's stop
	ImmediateStopRequested                       // a second signal, or a console's stop --now
	RequestsDrained                              // no event is open
	DrainTimeout                                 // the drain has lasted as long as it may
	RequestsTerminated                           // every event has its answer, and every note is on disk
	StoreClosed                                  // the state is closed
	Failed                                       // something failed that serving needs
)

var happenings = [...]string{"opened", "recovered", "stop", "stop now", "quiet", "time up", "answered", "written", "broke"}

func (h LifecycleEvent) String() string { return happenings[h] }

// Action is what is to be done now, in the order given.
type Action uint8

const (
	Recover           Action = iota // take up what an earlier process left, then open the listeners
	StartSchedules                  // let timers fire
	SuspendSchedules                // let no timer fire any more
	StopListening                   // accept no connections and take no events
	StartDrainTimer                 // TimeUp is due after the drain time
	TerminateRequests               // answer at once whatever is open; Answered follows
	CloseStore                      // close the state; Written follows
	CloseSocket                     // close the console's socket
	Exit
)

// Lifecycle is the state of the process. It is moved on by On alone.
type Lifecycle struct {
	State  State
	Reason string // why it stops
	hurry  bool   // a stop was asked for before the process served
}

// transition is one line of the life's table.
type transition struct {
	in   State
	on   LifecycleEvent
	to   State
	acts []Action
}

// Nothing skips the answers: from every state in which events may be open the way to Stopped leads through
// Finishing. A stop that is asked for during recovery waits for it, since only then is it known what is open.
var table = []transition{
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

// Handle moves the life on and tells what to do. What means nothing in the present state changes nothing: a second stop
// during a drain, a timer that runs out after the end.
func (l *Lifecycle) Handle(h LifecycleEvent, reason string) []Action {
	switch h {
	case StopRequested, ImmediateStopRequested, Failed:
		if l.Reason == "" {
			l.Reason = reason
		}
	}
	if l.State == Recovering && (h == StopRequested || h == ImmediateStopRequested) {
		l.hurry = true
		return nil
	}
	for _, t := range table {
		if t.in == l.State && t.on == h {
			l.State = t.to
			acts := slices.Clone(t.acts)
			if l.State == Serving && l.hurry {
				return append(acts, l.Handle(StopRequested, "")...)
			}
			return acts
		}
	}
	return nil
}

// Allows tells whether a console's order may be carried out now, and why not.
func (l *Lifecycle) Allows(order string) error {
	ok := false
	switch order {
	case "stop":
		ok = l.State < Terminating
	case "fire", "hold", "drain", "return", "unload":
		ok = l.State == Serving
	default:
		return fmt.Errorf("%q is not an order", order)
	}
	if !ok {
		return fmt.Errorf("%s is not possible while the box is %s", order, l.State)
	}
	return nil
}
