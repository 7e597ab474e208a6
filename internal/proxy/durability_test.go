package proxy

import (
	"strconv"
	"testing"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// hangingStore is a RecordStore whose commits never complete.
type hangingStore struct{ commits int }

func (s *hangingStore) Commit([]dispatch.Record, func(error)) { s.commits++ }

// atMostOnceSettings returns settings of a front end with at-most-once requests.
func atMostOnceSettings(store RecordStore) Settings {
	return Settings{
		RecordStore:   store,
		RecordTimeout: 0.1,
		Dispatch: dispatch.Settings{
			ResponseMargin:      0.1,
			LoadTimeout:         1,
			MaxOpen:             10,
			DeduplicationWindow: 5,
			MaxCachedBytes:      1 << 16,
			Functions:           func(string) dispatch.FunctionProfile { return dispatch.FunctionProfile{Concurrency: 1} },
			Deployment: &control.Deployment{
				FrontEnds:           1,
				MaxAttempts:         2,
				MaxRetryAfter:       0.5,
				IdleReplicaLifetime: 8,
				MinRoundInterval:    0.004,
				RequestClasses: []control.RequestClass{
					{Name: "once", LatencyObjective: 0.5, Timeout: 1, Semantics: control.AtMostOnce},
				},
			},
		},
	}
}

// If commits never complete, every request gets a response, no at-most-once attempt is sent without its record, and the
// queues of records and effects stay bounded.
func TestRecordStore_CommitNeverCompletes(t *testing.T) {
	host, store := &fakeHost{now: 1000}, &hangingStore{}
	p := New(atMostOnceSettings(store), host)
	if err := p.ReadEndpointList([]byte(`[{"targets":["h:1"],"labels":{"instance":"wk"}}]`)); err != nil {
		t.Fatal(err)
	}
	submitted, responses, rejected := 0, 0, 0
	for ; submitted < 2000; submitted++ {
		id := dispatch.Identity{Source: "/t", ID: strconv.Itoa(submitted)}
		p.Submit(dispatch.Request{Identity: id, Class: "once", Function: "f"}, func(response dispatch.Response) {
			responses++
			if response.Kind == dispatch.Rejected {
				rejected++
			}
		})
		host.run(p, 0.2)
		barrier := &p.durability
		if n := len(barrier.pendingRecords); n > 20 || len(barrier.awaitingCurrentCommit)+len(barrier.awaitingNextCommit) > 40 {
			t.Fatalf("after %d requests: %d pending records, %d and %d pending effects", submitted, n,
				len(barrier.awaitingCurrentCommit), len(barrier.awaitingNextCommit))
		}
		if err := p.Check(true); err != nil {
			t.Fatal(err)
		}
	}
	host.run(p, 3)
	if responses != submitted || rejected == 0 || host.dials > 0 || store.commits != 1 {
		t.Errorf("%d of %d requests got responses, %d of them rejected; %d dials, %d commits", responses, submitted, rejected, host.dials, store.commits)
	}
}
