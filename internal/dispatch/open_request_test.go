package dispatch

import (
	"errors"
	"testing"

	"streamcleat/control"
)

// wantState fails the test unless request e is open and in this state.
func (h *harness) wantState(want requestState) {
	h.t.Helper()
	req := h.dispatcher.openByIdentity[Identity{"/t", "e"}]
	if req == nil {
		h.t.Fatal("request not open")
	}
	if got := req.state(); got != want {
		h.t.Fatalf("request in state %d, want %d", got, want)
	}
}

func TestOpenRequest_StateTransitions(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(1, classIdempotent, "e", 0)
	h.wantState(stateQueued)
	h.advanceTo(h.now + 0.2)
	h.completeLoads()
	h.wantState(stateInFlight)
	h.dispatcher.OnCancel(h.now, 1)
	h.wantState(stateOrphaned)
	h.submit(2, classIdempotent, "e", 0)
	h.wantState(stateOrphaned)
	h.reply(h.attempts[0].ID, control.ConnectionLost)
	h.advanceTo(h.now + 0.2)
	h.completeLoads()
	h.wantState(stateInFlight) // admitted again for the waiter that joined
	req := h.dispatcher.openByIdentity[Identity{"/t", "e"}]
	h.reply(h.attempts[1].ID, control.Succeeded)
	h.wantResponse(2, Succeeded, CauseResponded)
	if got := req.state(); got != stateClosed {
		t.Fatalf("completed request in state %d", got)
	}
}

func TestCheck_FindsLostAttempt(t *testing.T) {
	h := newHarness(t, nil)
	attempt := h.submitAndStart(classIdempotent, "e")
	if err := h.dispatcher.Check(true); err != nil {
		t.Fatal(err)
	}
	delete(h.dispatcher.inFlight, attempt.ID)
	if err := h.dispatcher.Check(true); !errors.Is(err, ErrInconsistent) {
		t.Fatalf("Check with a lost attempt returned %v", err)
	}
}
