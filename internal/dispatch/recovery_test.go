package dispatch

import (
	"testing"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// A request whose attempt has no recorded end was possibly executed before the restart. The response to a retry
// depends on the delivery semantics and on whether the time since the first execution is known.
func TestRecover_AttemptWithoutEnd(t *testing.T) {
	for _, test := range []struct {
		name              string
		class             string
		reliable          bool
		firstExecutionAge units.Seconds
		age               units.Seconds
		failed            bool
		attempts          int // for a retry
	}{
		{"idempotent", classIdempotent, true, 1, 1, false, 1},
		{"keyed within deduplication window", classKeyed, true, 1, 1, false, 1},
		{"keyed past deduplication window", classKeyed, true, 7, 7, true, 0},
		{"keyed with unreliable age", classKeyed, false, 1, 1, true, 0},
		{"at most once", classAtMostOnce, true, 1, 1, true, 0},
		{"record expired", classAtMostOnce, true, 61, 61, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, nil)
			failed := h.dispatcher.Recover(h.now, []RecoveredRecord{{
				Record: Record{
					Kind:              RecordAttemptStarted,
					Response:          Response{Identity: Identity{"/t", "e"}, Class: test.class, Function: "f"},
					PossiblyExecuted:  true,
					FirstExecutionAge: test.firstExecutionAge,
				},
				Age:      test.age,
				Reliable: test.reliable,
			}})
			if got := len(failed) == 1; got != test.failed {
				t.Fatalf("failed responses: %+v", failed)
			}
			h.submit(1, test.class, "e", 0)
			h.advanceTo(h.now + 0.2)
			h.completeLoads()
			if len(h.attempts) != test.attempts {
				t.Fatalf("%d attempts, want %d", len(h.attempts), test.attempts)
			}
			if test.failed {
				h.wantResponse(1, Failed, CauseRestarted)
			}
		})
	}
}

func TestRecover_EndIsReplayed(t *testing.T) {
	h := newHarness(t, nil)
	end := Response{Kind: Succeeded, Identity: Identity{"/t", "e"}, Class: classAtMostOnce, Function: "f", Body: []byte("done")}
	failed := h.dispatcher.Recover(h.now, []RecoveredRecord{{
		Record: Record{Kind: RecordRequestEnded, Response: end, PossiblyExecuted: true, FirstExecutionAge: 1}, Age: 1, Reliable: true,
	}})
	if len(failed) != 0 {
		t.Fatalf("failed responses: %+v", failed)
	}
	h.submit(1, classAtMostOnce, "e", 0)
	h.wantResponse(1, Succeeded, CauseResponded)
	if got := h.response(1); !got.Replayed || string(got.Body) != "done" {
		t.Fatalf("%+v", got)
	}
}

func TestRestoreReplica_FromSnapshot(t *testing.T) {
	h := newHarness(t, nil)
	h.reply(h.submitAndStart(classIdempotent, "e").ID, control.Succeeded)
	snapshots := h.dispatcher.ReplicaSnapshots(func(control.WorkerID) units.Seconds { return 7 })
	if len(snapshots) != 1 || snapshots[0].Function != "f" || snapshots[0].WorkerStartedAt != 7 || snapshots[0].Concurrency != 2 {
		t.Fatalf("%+v", snapshots)
	}
	next := newHarness(t, nil)
	next.dispatcher.RestoreReplica(next.now, snapshots[0])
	next.submit(1, classIdempotent, "e", 0)
	if len(next.attempts) != 1 || string(next.attempts[0].Worker) != snapshots[0].Worker {
		t.Fatalf("attempts %+v, want one on %s", next.attempts, snapshots[0].Worker)
	}
}
