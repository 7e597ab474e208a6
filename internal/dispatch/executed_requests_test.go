package dispatch

import (
	"strconv"
	"testing"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// Guards against an effect that happens twice because an ID comes again after its client has left or was answered.
func TestSubmit_IDOfExecutedRequest(t *testing.T) {
	leave := func(h *harness, _ Attempt) { h.dispatcher.OnCancel(h.now, 1) }
	for name, c := range map[string]struct {
		class, repeatClass string
		end                func(h *harness, attempt Attempt)
		delay              units.Seconds
		executed           bool // the repetition
	}{
		"client left":                    {classAtMostOnce, classAtMostOnce, leave, 0, false},
		"client left before it was sent": {classAtMostOnce, classAtMostOnce, func(h *harness, a Attempt) { h.unsent = true; leave(h, a) }, 0, true},
		"succeeded":                      {classAtMostOnce, classAtMostOnce, func(h *harness, a Attempt) { h.reply(a.ID, control.Succeeded) }, 0, false},
		"failed":                         {classAtMostOnce, classAtMostOnce, func(h *harness, a Attempt) { h.reply(a.ID, control.Failed) }, 0, false},
		"repeated as another class":      {classAtMostOnce, classIdempotent, leave, 0, false},
		"idempotent":                     {classIdempotent, classIdempotent, leave, 0, true},
		"keyed, workers know its key":    {classKeyed, classKeyed, leave, 0, true},
		"much later":                     {classAtMostOnce, classAtMostOnce, leave, executionRetention, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(s *Settings) { s.DeduplicationWindow, s.CancelAbandoned = 0, true })
			c.end(h, h.submitAndStart(c.class, "e"))
			attempts := len(h.attempts)
			h.advanceTo(h.now + c.delay)
			h.submit(2, c.repeatClass, "e", 1)
			h.completeLoads()
			if executed := len(h.attempts) > attempts; executed != c.executed {
				t.Errorf("attempted again: %v", executed)
			}
			if got := h.responses[2]; !c.executed && (len(got) != 1 || got[0].Kind != Failed || got[0].Cause != CauseDuplicate) {
				t.Errorf("responses to the repetition: %+v", got)
			}
		})
	}
}

func TestExecutedRequests_AreBounded(t *testing.T) {
	var e executedRequests
	for i := range 2 * maxExecutedRequests {
		e.add(executedRequest{identity: Identity{ID: strconv.Itoa(i)}, endedAt: 1})
	}
	if len(e.byIdentity) != maxExecutedRequests || len(e.byAge) != maxExecutedRequests {
		t.Errorf("%d and %d requests are remembered", len(e.byIdentity), len(e.byAge))
	}
	e.add(executedRequest{identity: Identity{ID: "last"}, endedAt: 1 + executionRetention})
	if len(e.byIdentity) != 1 {
		t.Errorf("%d requests are remembered after the retention", len(e.byIdentity))
	}
}
