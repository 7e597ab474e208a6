package simulation

import (
	"crypto/sha256"
	"fmt"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// Times of the model, in seconds.
const (
	modelTimeout             = 2.0
	modelDeduplicationWindow = 3.0
	modelStart               = 1000
	minTimeStep              = 0.001
)

// Request classes of the model.
const (
	modelAtMostOnce      = "once"
	modelIdempotentByKey = "keyed"
	modelIdempotent      = "again"
)

// modelCall is one call of a request at a front end.
type modelCall struct {
	frontEnd  int
	id, class string
	timeout   units.Seconds
}

var modelCalls = [...]modelCall{
	{0, "a", modelAtMostOnce, modelTimeout},
	{0, "a", modelAtMostOnce, modelTimeout},
	{0, "b", modelIdempotentByKey, modelTimeout},
	{1, "b", modelIdempotentByKey, 1},
	{1, "c", modelIdempotent, modelTimeout},
}

var modelWorkers = [...]control.Worker{{ID: "wk-0", Weight: 1}, {ID: "wk-1", Weight: 1}}

// attemptOutcomes are the possible outcomes of a transmitted attempt.
var attemptOutcomes = []control.Outcome{control.Succeeded, control.Failed, control.ConnectionLost, control.Rejected, control.ReplicaMissing}

// action is one action.
type action struct {
	kind            actionKind
	frontEnd, index int // index of the call, attempt, load command or worker
	outcome         control.Outcome
}

// callState is the state of a call.
type callState struct {
	sent      bool
	sentAt    units.Seconds
	responses int
	cancelled bool
}

func (c *callState) isWaiting() bool { return c.sent && c.responses == 0 && !c.cancelled }

// model is the state of the model.
type model struct {
	now        units.Seconds
	frontEnds  [2]*modelFrontEnd
	calls      [len(modelCalls)]callState
	violations []string
}

func (w *model) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func newModel() *model {
	w := &model{now: modelStart}
	for i := range w.frontEnds {
		w.frontEnds[i] = newModelFrontEnd(w, i)
	}
	return w
}

// actions returns the actions that are possible now.
func (w *model) actions() (list []action) {
	for i := range w.calls {
		switch {
		case w.calls[i].isWaiting():
			list = append(list, action{kind: actionCancel, index: i})
		case !w.calls[i].sent && w.isNextOfEqualCalls(i):
			list = append(list, action{kind: actionSend, index: i})
		}
	}
	for _, f := range w.frontEnds {
		list = append(list, f.actions()...)
	}
	return append(list, action{kind: actionPassTime})
}

// isNextOfEqualCalls reports whether the previous call was sent, if it is equal to call i. Equal calls are sent in one order
// only.
func (w *model) isNextOfEqualCalls(i int) bool {
	return i == 0 || modelCalls[i] != modelCalls[i-1] || w.calls[i-1].sent
}

// execute executes an action, and adds it to the history of its front end.
func (w *model) execute(a action) {
	if a.kind == actionPassTime {
		w.passTime()
		return
	}
	f := w.frontEnds[a.frontEnd]
	if a.kind == actionSend || a.kind == actionCancel {
		f = w.frontEnds[modelCalls[a.index].frontEnd]
	}
	f.history = fmt.Appendf(f.history, "%s %d %d %.6f;", a.kind, a.index, a.outcome, w.now)
	switch a.kind {
	case actionPassTime: // handled above
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

// passTime advances the clock to the next timer.
func (w *model) passTime() {
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

// runToEnd advances the clock without further actions, and checks that every call gets its response.
func (w *model) runToEnd() {
	for end := w.now + 2*modelTimeout; w.now < end && len(w.violations) == 0; {
		w.passTime()
	}
	for i, c := range w.calls {
		if c.sent && !c.cancelled && c.responses != 1 {
			w.violation("rule 1: call %d has %d responses at the end", i, c.responses)
		}
	}
}

func (w *model) check() {
	for i := range w.calls {
		c := &w.calls[i]
		if timeout := modelCalls[i].timeout; c.isWaiting() && w.now > c.sentAt+timeout {
			w.violation("rule 1: call %d has no response %.3f s after its timeout", i, w.now-c.sentAt-timeout)
		}
	}
	for _, f := range w.frontEnds {
		if err := f.dispatcher.Check(true); err != nil {
			w.violation("front %d: %v", f.number, err)
		}
	}
}

// modelKey identifies a state.
type modelKey [sha256.Size]byte

// key returns the hash of the inputs of each front end and their times.
func (w *model) key() modelKey {
	return sha256.Sum256(fmt.Appendf(nil, "%s|%s|%.6f", w.frontEnds[0].history, w.frontEnds[1].history, w.now))
}
