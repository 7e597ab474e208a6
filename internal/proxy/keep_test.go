package proxy

import (
	"fmt"
	"testing"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// hung is a disk that never ends what it began.
type hung struct{ commits int }

func (h *hung) Commit([]dispatch.Note, func(error)) { h.commits++ }

// A disk that hangs for good makes nothing grow without bound: everyone is answered, and what must not run twice
// without a note is never launched.
func TestDiskThatNeverAnswers(t *testing.T) {
	d, disk := &desk{now: 1000}, &hung{}
	f := New(Settings{Keeper: disk, KeepWithin: 0.1, Core: dispatch.Settings{Margin: 0.1, OrderLimit: 1, MostOpen: 10, Remember: 5, RememberMost: 1 << 16,
		Functions: func(string) dispatch.Function { return dispatch.Function{Lanes: 1} }, Deployment: &control.Deployment{FrontEnds: 1, MaxLaunches: 2,
			MaxPause: 0.5, KeepWarm: 8, RoundGap: 0.004, EventTypes: []control.EventType{{Name: "once", TargetTime: 0.5, MaxAge: 1, Repeat: control.AtMostOnce}}}}}, d)
	if err := f.ReadList([]byte(`[{"targets":["h:1"],"labels":{"instance":"wk"}}]`)); err != nil {
		t.Fatal(err)
	}
	asked, answers, deferred := 0, 0, 0
	for ; asked < 2000; asked++ {
		id := dispatch.Identity{Source: "/t", ID: fmt.Sprint(asked)}
		f.Take(dispatch.Ask{Identity: id, Type: "once", Function: "f"}, func(a dispatch.Answer) {
			answers++
			if a.Kind == dispatch.Deferred {
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
