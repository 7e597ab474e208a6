package dispatch

import (
	"errors"
	"testing"

	"streamcleat/control"
)

// wantState fails the test unless request e is open in this state.
func (h *harness) wantState(want requestState) {
	h.t.Helper()
	req := h.dispatcher.openByIdentity[Identity{"/t", "e"}]
	if req == nil {
		h.t.Fatal("the request is not open")
	}
	if got := req.state(); got != want {
		h.t.Fatalf("the request is in state %d, not %d", got, want)
	}
}

func TestRequestStates(t *testing.T) {
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
	h.wantState(stateInFlight) // admitted anew for the repeat
	req := h.dispatcher.openByIdentity[Identity{"/t", "e"}]
	h.reply(h.attempts[1].ID, control.Succeeded)
	h.wantResponse(2, Succeeded, CauseResponded)
	if got := req.state(); got != stateClosed {
		t.Fatalf("a request that succeeded is in state %d", got)
	}
}

func TestCheckFindsInconsistentState(t *testing.T) {
	h := newHarness(t, nil)
	attempt := h.submitAndStart(classIdempotent, "e")
	if err := h.dispatcher.Check(true); err != nil {
		t.Fatal(err)
	}
	delete(h.dispatcher.inFlight, attempt.ID)
	if err := h.dispatcher.Check(true); !errors.Is(err, ErrInconsistent) {
		t.Fatalf("an attempt is lost, and Check returns %v", err)
	}
}
