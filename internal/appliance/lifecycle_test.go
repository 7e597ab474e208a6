package appliance

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestLifecycle_GracefulShutdown(t *testing.T) {
	var l Lifecycle
	var actions []Action
	for _, event := range []LifecycleEvent{StoreOpened, StateRecovered, StopRequested, StopRequested, RequestsDrained, DrainTimeout, RequestsTerminated, StoreClosed, ImmediateStopRequested} {
		actions = append(actions, l.Handle(event, "because")...)
	}
	want := []Action{Recover, StartSchedules, SuspendSchedules, StopListening, StartDrainTimer, TerminateRequests, CloseStore, CloseSocket, Exit}
	if !slices.Equal(actions, want) || l.State != Stopped || l.Reason != "because" {
		t.Errorf("%v in %s", actions, l.State)
	}
}

func TestLifecycle_StopDuringRecoveryIsDeferred(t *testing.T) {
	var l Lifecycle
	l.Handle(StoreOpened, "")
	if actions := l.Handle(StopRequested, "early"); len(actions) != 0 || l.State != Recovering {
		t.Fatal(actions, l.State)
	}
	if actions := l.Handle(StateRecovered, ""); !slices.Equal(actions, []Action{StartSchedules, SuspendSchedules, StopListening, StartDrainTimer}) || l.State != Draining {
		t.Error(actions, l.State)
	}
}

// lifecycleRun applies events and checks that the process does not exit before every request has a response.
type lifecycleRun struct {
	seed      uint64
	lifecycle Lifecycle
	executed  map[Action]int
}

// handle applies an event, unless it reports the end of an action that has not been executed.
func (r *lifecycleRun) handle(t *testing.T, event LifecycleEvent) {
	t.Helper()
	if event == RequestsTerminated && r.executed[TerminateRequests] == 0 || event == StoreClosed && r.executed[CloseStore] == 0 {
		return
	}
	before := r.lifecycle.State
	for _, action := range r.lifecycle.Handle(event, "r") {
		r.executed[action]++
		responded, closed := r.executed[TerminateRequests] > 0, r.executed[CloseStore] > 0
		if action == Exit && r.executed[Recover] > 0 && (!responded || !closed) {
			t.Fatalf("seed %d: exited before the responses were sent", r.seed)
		}
		if action == CloseStore && !responded {
			t.Fatalf("seed %d: the store was closed before the responses were sent", r.seed)
		}
	}
	if r.lifecycle.State < before {
		t.Fatalf("seed %d: transition back from %s to %s", r.seed, before, r.lifecycle.State)
	}
}

// For random events in random order, no response is skipped, no action is executed twice and no transition goes back.
func TestLifecycle_RandomEventsSkipNoResponse(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		r := lifecycleRun{seed: seed, executed: map[Action]int{}}
		for range 60 {
			r.handle(t, LifecycleEvent(rng.IntN(int(Failed)+1)))
		}
		for action, n := range r.executed {
			if n > 1 {
				t.Fatalf("seed %d: action %d was executed %d times", seed, action, n)
			}
		}
	}
}

func TestLifecycle_CheckCommand(t *testing.T) {
	l := Lifecycle{State: Draining}
	if err := l.CheckCommand("stop"); err != nil {
		t.Error(err)
	}
	var notAllowed *CommandNotAllowedError
	if err := l.CheckCommand("fire"); !errors.As(err, &notAllowed) || notAllowed.State != Draining {
		t.Error(err)
	}
	var unknown *UnknownCommandError
	if err := l.CheckCommand("dance"); !errors.As(err, &unknown) || unknown.Command != "dance" {
		t.Error(err)
	}
}
