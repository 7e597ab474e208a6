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
	Draining  // no new connections and events; what is open may end
	Finishing // the time to drain is over: what is left is answered at once
	Writing   // every client has its answer; the state is being closed
	Stopped
)

var states = [...]string{"starting", "recovering", "serving", "draining", "finishing", "writing", "stopped"}

func (s State) String() string { return states[s] }

// Happening is what moves the life on.
type Happening uint8

const (
	Opened    Happening = iota // the state folder is open
	Recovered                  // the box's own events are taken up and the listeners are open
	AskStop                    // a signal, or a console's stop
	AskNow                     // a second signal, or a console's stop --now
	Quiet                      // no event is open
	TimeUp                     // the drain has lasted as long as it may
	Answered                   // every event has its answer, and every note is on disk
	Written                    // the state is closed
	Broke                      // something failed that serving needs
)

var happenings = [...]string{"opened", "recovered", "stop", "stop now", "quiet", "time up", "answered", "written", "broke"}

func (h Happening) String() string { return happenings[h] }

// Act is what is to be done now, in the order given.
type Act uint8

const (
	Recover     Act = iota // take up what an earlier process left, then open the listeners
	FireTimers             // let timers fire
	HoldTimers             // let no timer fire any more
	CloseDoors             // accept no connections and take no events
	StartClock             // TimeUp is due after the drain time
	AnswerAll              // answer at once whatever is open; Answered follows
	WriteState             // close the state; Written follows
	CloseSocket            // close the console's socket
	Exit
)

// Life is the state of the process. It is moved on by On alone.
type Life struct {
	State  State
	Reason string // why it stops
	hurry  bool   // a stop was asked for before the process served
}

// transition is one line of the life's table.
type transition struct {
	in   State
	on   Happening
	to   State
	acts []Act
}

// Nothing skips the answers: from every state in which events may be open the way to Stopped leads through
// Finishing. A stop that is asked for during recovery waits for it, since only then is it known what is open.
var table = []transition{
	{Starting, Opened, Recovering, []Act{Recover}},
	{Starting, AskStop, Stopped, []Act{CloseSocket, Exit}},
	{Starting, AskNow, Stopped, []Act{CloseSocket, Exit}},
	{Starting, Broke, Stopped, []Act{CloseSocket, Exit}},
	{Recovering, Recovered, Serving, []Act{FireTimers}},
	{Recovering, Broke, Finishing, []Act{HoldTimers, CloseDoors, AnswerAll}},
	{Serving, AskStop, Draining, []Act{HoldTimers, CloseDoors, StartClock}},
	{Serving, AskNow, Finishing, []Act{HoldTimers, CloseDoors, AnswerAll}},
	{Serving, Broke, Finishing, []Act{HoldTimers, CloseDoors, AnswerAll}},
	{Draining, Quiet, Finishing, []Act{AnswerAll}},
	{Draining, TimeUp, Finishing, []Act{AnswerAll}},
	{Draining, AskNow, Finishing, []Act{AnswerAll}},
	{Draining, Broke, Finishing, []Act{AnswerAll}},
	{Finishing, Answered, Writing, []Act{WriteState}},
	{Writing, Written, Stopped, []Act{CloseSocket, Exit}},
}

// On moves the life on and tells what to do. What means nothing in the present state changes nothing: a second stop
// during a drain, a timer that runs out after the end.
func (l *Life) On(h Happening, reason string) []Act {
	switch h {
	case AskStop, AskNow, Broke:
		if l.Reason == "" {
			l.Reason = reason
		}
	}
	if l.State == Recovering && (h == AskStop || h == AskNow) {
		l.hurry = true
		return nil
	}
	for _, t := range table {
		if t.in == l.State && t.on == h {
			l.State = t.to
			acts := slices.Clone(t.acts)
			if l.State == Serving && l.hurry {
				return append(acts, l.On(AskStop, "")...)
			}
			return acts
		}
	}
	return nil
}

// Allows tells whether a console's order may be carried out now, and why not.
func (l *Life) Allows(order string) error {
	ok := false
	switch order {
	case "stop":
		ok = l.State < Finishing
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
