package simulation

import (
	"crypto/sha256"
	"fmt"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// Times of the small world, in seconds.
const (
	smallTimeout             = 2.0
	smallDeduplicationWindow = 3.0
	smallStart               = 1000
	minTimeStep              = 0.001
)

// Request classes of the small world.
const (
	smallOnce       = "once"
	smallKeyed      = "keyed"
	smallIdempotent = "again"
)

// smallCall is one call of the small world: of which request, at which front end.
type smallCall struct {
	frontEnd  int
	id, class string
	timeout   float64
}

var smallCalls = [...]smallCall{
	{0, "a", smallOnce, smallTimeout},
	{0, "a", smallOnce, smallTimeout},
	{0, "b", smallKeyed, smallTimeout},
	{1, "b", smallKeyed, 1},
	{1, "c", smallIdempotent, smallTimeout},
}

var smallWorkers = [...]control.Worker{{ID: "wk-0", Weight: 1}, {ID: "wk-1", Weight: 1}}

// attemptOutcomes are the outcomes of an attempt that left its front end.
var attemptOutcomes = []control.Outcome{control.Succeeded, control.Failed, control.ConnectionLost, control.Rejected, control.ReplicaMissing}

// action is one thing that may happen.
type action struct {
	kind            actionKind
	frontEnd, index int // which call, attempt, load command or worker
	outcome         control.Outcome
}

// callState is what happened to a call of the small world.
type callState struct {
	sent      bool
	sentAt    float64
	responses int
	cancelled bool
}

func (c *callState) isWaiting() bool { return c.sent && c.responses == 0 && !c.cancelled }

// smallWorld is one state of the small world.
type smallWorld struct {
	now        float64
	frontEnds  [2]*smallFrontEnd
	calls      [len(smallCalls)]callState
	violations []string
}

func (w *smallWorld) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func newSmallWorld() *smallWorld {
	w := &smallWorld{now: smallStart}
	for i := range w.frontEnds {
		w.frontEnds[i] = newSmallFrontEnd(w, i)
	}
	return w
}

// actions returns all that may happen now.
func (w *smallWorld) actions() (list []action) {
	for i := range w.calls {
		switch {
		case w.calls[i].isWaiting():
			list = append(list, action{kind: actionCancel, index: i})
		case !w.calls[i].sent && w.isNextOfItsKind(i):
			list = append(list, action{kind: actionSend, index: i})
		}
	}
	for _, f := range w.frontEnds {
		list = append(list, f.actions()...)
	}
	return append(list, action{kind: actionPassTime})
}

// isNextOfItsKind returns whether the call before one that is like it was sent: such calls come in one order.
func (w *smallWorld) isNextOfItsKind(i int) bool {
	return i == 0 || smallCalls[i] != smallCalls[i-1] || w.calls[i-1].sent
}

// perform does an action, and adds it to the history of the front end that it reaches.
func (w *smallWorld) perform(a action) {
	if a.kind == actionPassTime {
		w.passTime()
		return
	}
	f := w.frontEnds[a.frontEnd]
	if a.kind == actionSend || a.kind == actionCancel {
		f = w.frontEnds[smallCalls[a.index].frontEnd]
	}
	f.history = fmt.Appendf(f.history, "%s %d %d %.6f;", a.kind, a.index, a.outcome, w.now)
	switch a.kind {
	case actionSend:
		f.receive(a.index)
	case actionCancel:
		w.calls[a.index].cancelled = true
		f.dispatcher.OnCancel(w.now, dispatch.WaiterID(a.index))
	case actionTransmit:
		f.attempts[a.index].transmitted = true
	case actionEnd:
		f.endAttempt(a.index, a.outcome)
	case actionEndLoad:
		f.endLoad(a.index, a.outcome)
	case actionDrain:
		f.drain(a.index)
	}
	w.check()
}

// passTime lets time go on to the next timer.
func (w *smallWorld) passTime() {
	next := min(w.frontEnds[0].dispatcher.NextTimer(), w.frontEnds[1].dispatcher.NextTimer())
	w.now = max(next, w.now+minTimeStep)
	for _, f := range w.frontEnds {
		if f.dispatcher.NextTimer() <= w.now {
			f.history = fmt.Appendf(f.history, "time %.6f;", w.now)
			f.dispatcher.Tick(w.now)
		}
	}
	w.check()
}

// runToEnd lets time pass with nothing more coming from outside, and checks that every call has its response.
func (w *smallWorld) runToEnd() {
	for end := w.now + 2*smallTimeout; w.now < end && len(w.violations) == 0; {
		w.passTime()
	}
	for i, c := range w.calls {
		if c.sent && !c.cancelled && c.responses != 1 {
			w.violation("rule 1: ask %d has %d answers in the end", i, c.responses)
		}
	}
}

func (w *smallWorld) check() {
	for i := range w.calls {
		c := &w.calls[i]
		if timeout := smallCalls[i].timeout; c.isWaiting() && w.now > c.sentAt+timeout {
			w.violation("rule 1: ask %d has no answer %.3f s after its time", i, w.now-c.sentAt-timeout)
		}
	}
	for _, f := range w.frontEnds {
		if err := f.dispatcher.Check(true); err != nil {
			w.violation("front %d: %v", f.number, err)
		}
	}
}

// worldKey names a world.
type worldKey [sha256.Size]byte

// key names the world by the inputs of each front end and their times.
func (w *smallWorld) key() worldKey {
	return sha256.Sum256(fmt.Appendf(nil, "%s|%s|%.6f", w.frontEnds[0].history, w.frontEnds[1].history, w.now))
}
