package proxy

import (
	"fmt"
	"testing"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// hung is a disk that never ends what it began.
type hung struct{ commits int }

func (h *hung) Commit([]dispatch.Record, func(error)) { h.commits++ }

// A disk that hangs for good makes nothing grow without bound: everyone is answered, and what must not run twice
// without a note is never launched.
func TestDiskThatNeverAnswers(t *testing.T) {
	d, disk := &desk{now: 1000}, &hung{}
	f := New(Settings{RecordStore: disk, RecordTimeout: 0.1, Dispatch: dispatch.Settings{ResponseMargin: 0.1, LoadTimeout: 1, MaxOpen: 10, DeduplicationWindow: 5, MaxCachedBytes: 1 << 16,
		Functions: func(string) dispatch.FunctionProfile { return dispatch.FunctionProfile{Concurrency: 1} }, Deployment: &control.Deployment{FrontEnds: 1, MaxAttempts: 2,
			MaxRetryAfter: 0.5, IdleReplicaLifetime: 8, MinRoundInterval: 0.004, RequestClasses: []control.RequestClass{{Name: "once", LatencyObjective: 0.5, Timeout: 1, Semantics: control.AtMostOnce}}}}}, d)
	if err := f.ReadEndpointList([]byte(`[{"targets":["h:1"],"labels":{"instance":"wk"}}]`)); err != nil {
		t.Fatal(err)
	}
	asked, answers, deferred := 0, 0, 0
	for ; asked < 2000; asked++ {
		id := dispatch.Identity{Source: "/t", ID: fmt.Sprint(asked)}
		f.Submit(dispatch.Request{Identity: id, Class: "once", Function: "f"}, func(a dispatch.Response) {
			answers++
			if a.Kind == dispatch.Rejected {
				deferred++
			}
		})
		for end := d.now + 0.2; d.now < end; d.now += 0.05 {
			d.fire()
			f.Tick()
		}
		if n := len(f.keep.notes); n > 20 || len(f.keep.out)+len(f.keep.held) > 40 {
			t.Fatalf("after %d events %d notes wait, %d and %d things for them", asked, n, len(f.keep.out), len(f.keep.held))
		}
		if err := f.Check(true); err != nil {
			t.Fatal(err)
		}
	}
	for end := d.now + 3; d.now < end; d.now += 0.05 {
		d.fire()
		f.Tick()
	}
	if answers != asked || deferred == 0 || d.dialed > 0 || disk.commits != 1 {
		t.Errorf("%d of %d answered, %d of them deferred, %d dials, %d commits", answers, asked, deferred, d.dialed, disk.commits)
	}
}
