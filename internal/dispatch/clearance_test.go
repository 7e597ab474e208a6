package dispatch

import (
	"testing"

	"streamcleat/control"
)

// The deadline that an attempt may state counts from its clearance, and there is none once the attempt must not leave.
func TestClearance(t *testing.T) {
	for name, c := range map[string]struct {
		before func(h *harness, attempt Attempt)
		want   SendRefusal
	}{
		"in time":         {func(h *harness, _ Attempt) { h.now += 1 }, sendGranted},
		"time is up":      {func(h *harness, _ Attempt) { h.now += 4 }, SendExpired},
		"client has left": {func(h *harness, _ Attempt) { h.dispatcher.OnCancel(h.now, 1) }, SendNoWaiter},
		"attempt ended":   {func(h *harness, attempt Attempt) { h.reply(attempt.ID, control.Succeeded) }, SendSuperseded},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			attempt := h.submitAndStart(classIdempotent, "e")
			startedAt := h.now
			c.before(h, attempt)
			got := h.dispatcher.Clear(h.now, attempt.ID, false)
			if got.Refusal() != c.want || got.Granted() != (c.want == sendGranted) {
				t.Error(got.Refusal())
			}
			if left := attempt.Timeout - (h.now - startedAt); got.Granted() && got.TimeLeft() != left {
				t.Errorf("%v s are left, not %v", left, got.TimeLeft())
			}
			if n := h.dispatcher.Counts().SendsRefused[c.want]; !got.Granted() && n != 1 {
				t.Errorf("%d refusals are counted", n)
			}
		})
	}
}
