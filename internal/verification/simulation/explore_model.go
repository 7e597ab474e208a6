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

// Names of the request classes of the model.
const (
	modelAtMostOnce      = "once"
	modelIdempotentByKey = "keyed"
	modelIdempotent      = "again"
)

// modelCall is a call that a client sends to a front end. Calls with the same ID carry the same request.
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

// attemptOutcomes are the outcomes with which a transmitted attempt can end.
var attemptOutcomes = []control.Outcome{control.Succeeded, control.Failed, control.ConnectionLost, control.Rejected, control.ReplicaMissing}

// action is one step of the model: an event at a front end, or the passing of time.
type action struct {
	kind            actionKind
	frontEnd, index int // index is that of the call, attempt, load command or worker, depending on the kind
	outcome         control.Outcome
}

// callState is the state of a modelCall.
type callState struct {
	sent      bool
	sentAt    units.Seconds
	responses int
	cancelled bool
}

func (c *callState) isWaiting() bool { return c.sent && c.responses == 0 && !c.cancelled }

// model is the state of the front ends and calls, with the violations that were found.
type model struct {
	now        units.Seconds
	frontEnds  [2]*modelFrontEnd
	calls      [len(modelCalls)]callState
	violations []string
}

func (m *model) violation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

func newModel() *model {
	m := &model{now: modelStart}
	for i := range m.frontEnds {
		m.frontEnds[i] = newModelFrontEnd(m, i)
	}
	return m
}

// actions returns the actions that are possible in the present state. Time can always pass.
func (m *model) actions() (list []action) {
	for i := range m.calls {
		switch {
		case m.calls[i].isWaiting():
			list = append(list, action{kind: actionCancel, index: i})
		case !m.calls[i].sent && m.isNextOfEqualCalls(i):
			list = append(list, action{kind: actionSend, index: i})
		}
	}
	for _, f := range m.frontEnds {
		list = append(list, f.actions()...)
	}
	return append(list, action{kind: actionPassTime})
}

// isNextOfEqualCalls returns false if call i equals the call before it, and that one is not sent yet. Equal calls are sent in
// one order only, because the others lead to equivalent states.
func (m *model) isNextOfEqualCalls(i int) bool {
	return i == 0 || modelCalls[i] != modelCalls[i-1] || m.calls[i-1].sent
}

// execute executes an action, and appends it to the history of its front end.
func (m *model) execute(a action) {
	if a.kind == actionPassTime {
		m.passTime()
		return
	}
	f := m.frontEnds[a.frontEnd]
	if a.kind == actionSend || a.kind == actionCancel {
		f = m.frontEnds[modelCalls[a.index].frontEnd]
	}
	f.history = fmt.Appendf(f.history, "%s %d %d %.6f;", a.kind, a.index, a.outcome, m.now)
	switch a.kind {
	case actionPassTime: // handled above
	case actionSend:
		f.receive(a.index)
	case actionCancel:
		m.calls[a.index].cancelled = true
		f.dispatcher.OnCancel(m.now, dispatch.WaiterID(a.index))
	case actionTransmit:
		f.attempts[a.index].transmitted = true
	case actionEnd:
		f.endAttempt(a.index, a.outcome)
	case actionEndLoad:
		f.endLoad(a.index, a.outcome)
	case actionDrain:
		f.drain(a.index)
	}
	m.check()
}

// passTime advances the clock to the next timer, by at least minTimeStep.
func (m *model) passTime() {
	next := min(m.frontEnds[0].dispatcher.NextTimer(), m.frontEnds[1].dispatcher.NextTimer())
	m.now = max(next, m.now+minTimeStep)
	for _, f := range m.frontEnds {
		if f.dispatcher.NextTimer() <= m.now {
			f.history = fmt.Appendf(f.history, "time %.6f;", m.now)
			f.dispatcher.Tick(m.now)
		}
	}
	m.check()
}

// runToEnd lets time pass, without other actions, for two timeouts, and checks that every call that was sent and not cancelled
// has exactly one response.
func (m *model) runToEnd() {
	for end := m.now + 2*modelTimeout; m.now < end && len(m.violations) == 0; {
		m.passTime()
	}
	for i, c := range m.calls {
		if c.sent && !c.cancelled && c.responses != 1 {
			m.violation("rule 1: call %d has %d responses at the end of the run", i, c.responses)
		}
	}
}

// check checks the timeouts of the calls and the invariants of the dispatchers.
func (m *model) check() {
	for i := range m.calls {
		c := &m.calls[i]
		if timeout := modelCalls[i].timeout; c.isWaiting() && m.now > c.sentAt+timeout {
			m.violation("rule 1: call %d has no response %.3f s after its timeout", i, m.now-c.sentAt-timeout)
		}
	}
	for _, f := range m.frontEnds {
		if err := f.dispatcher.Check(true); err != nil {
			m.violation("front %d: %v", f.number, err)
		}
	}
}

// modelKey identifies a state of the model.
type modelKey [sha256.Size]byte

// key returns the hash of the time and of the input histories of the front ends.
func (m *model) key() modelKey {
	return sha256.Sum256(fmt.Appendf(nil, "%s|%s|%.6f", m.frontEnds[0].history, m.frontEnds[1].history, m.now))
}
