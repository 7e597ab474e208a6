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

// A further attempt of a keyed request is not written to a worker that may no longer recognize its key: its entry in the endpoint
// list has changed since the decision.
func TestAuthorizeAttempt_ProcessReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		failureDomain int // of the second worker, when the attempt is written
		want          SendDenial
	}{"same failure domain": {0, sendPermitted}, "other failure domain": {2, DeniedProcessReplaced}} {
		h := newHarness(t, func(s *Settings) { s.Deployment.RequestClasses[1].DeduplicationScope = control.ScopeFailureDomain })
		first := h.submitAndStart(classKeyed, "e")
		if denial := h.dispatcher.AuthorizeAttempt(h.now, first.ID).Denial(); denial != sendPermitted {
			t.Fatal(denial)
		}
		drain := control.Worker{ID: first.Worker, State: control.Draining, Weight: 1}
		h.dispatcher.OnEndpointUpdate(h.now, control.Delta, []control.Worker{drain})
		h.reply(first.ID, control.Failed)
		h.completeLoads()
		second := h.attempts[len(h.attempts)-1]
		if second.ID == first.ID {
			t.Fatalf("%s: the request was not attempted again", name)
		}
		change := control.Worker{ID: second.Worker, FailureDomain: c.failureDomain, Weight: 1}
		h.dispatcher.OnEndpointUpdate(h.now, control.Delta, []control.Worker{change})
		if got := h.dispatcher.AuthorizeAttempt(h.now, second.ID).Denial(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
