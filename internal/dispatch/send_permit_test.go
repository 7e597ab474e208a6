package dispatch

import (
	"testing"

	"streamcleat/control"
)

// A permit states the time left as of its issue; an attempt that must not be sent is denied.
func TestAuthorizeAttempt_PermitsAndDenies(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(h *harness, attempt Attempt)
		want    SendDenial
	}{
		"in time":         {func(h *harness, _ Attempt) { h.now += 1 }, sendPermitted},
		"deadline passed": {func(h *harness, _ Attempt) { h.now += 4 }, DeniedDeadlineExceeded},
		"client canceled": {func(h *harness, _ Attempt) { h.dispatcher.OnCancel(h.now, 1) }, DeniedNoWaiter},
		"attempt ended":   {func(h *harness, attempt Attempt) { h.reply(attempt.ID, control.Succeeded) }, DeniedSuperseded},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			attempt := h.submitAndStart(classIdempotent, "e")
			startedAt := h.now
			test.prepare(h, attempt)
			got := h.dispatcher.AuthorizeAttempt(h.now, attempt.ID)
			if got.Denial() != test.want || got.Permitted() != (test.want == sendPermitted) {
				t.Error(got.Denial())
			}
			if left := attempt.Timeout - (h.now - startedAt); got.Permitted() && got.TimeLeft() != left {
				t.Errorf("time left %v s, want %v", got.TimeLeft(), left)
			}
			if n := h.dispatcher.Counts().SendsDenied[test.want]; !got.Permitted() && n != 1 {
				t.Errorf("%d denials counted, want 1", n)
			}
		})
	}
}
