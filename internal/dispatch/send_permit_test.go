package dispatch

import (
	"testing"

	"streamcleat/control"
)

// The deadline that an attempt may state counts from its permit, and there is none once the attempt must not leave.
func TestSendPermit(t *testing.T) {
	for name, c := range map[string]struct {
		before func(h *harness, attempt Attempt)
		want   SendDenial
	}{
		"in time":         {func(h *harness, _ Attempt) { h.now += 1 }, sendPermitted},
		"time is up":      {func(h *harness, _ Attempt) { h.now += 4 }, DeniedDeadlineExceeded},
		"client has left": {func(h *harness, _ Attempt) { h.dispatcher.OnCancel(h.now, 1) }, DeniedNoWaiter},
		"attempt ended":   {func(h *harness, attempt Attempt) { h.reply(attempt.ID, control.Succeeded) }, DeniedSuperseded},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			attempt := h.submitAndStart(classIdempotent, "e")
			startedAt := h.now
			c.before(h, attempt)
			got := h.dispatcher.AuthorizeAttempt(h.now, attempt.ID)
			if got.Denial() != c.want || got.Permitted() != (c.want == sendPermitted) {
				t.Error(got.Denial())
			}
			if left := attempt.Timeout - (h.now - startedAt); got.Permitted() && got.TimeLeft() != left {
				t.Errorf("%v s are left, not %v", left, got.TimeLeft())
			}
			if n := h.dispatcher.Counts().SendsDenied[c.want]; !got.Permitted() && n != 1 {
				t.Errorf("%d refusals are counted", n)
			}
		})
	}
}
