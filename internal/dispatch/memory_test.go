package dispatch

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"streamcleat/control"
	"streamcleat/internal/units"
)

func BenchmarkRequest(b *testing.B) {
	d, effects := newDiscarding(testSettings())
	now := startTime
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 0.0005
		d.Tick(units.Seconds(now))
		d.Submit(units.Seconds(now), WaiterID(i+1), Request{Identity: Identity{"/b", strconv.Itoa(i)}, Class: classIdempotent, Function: "f"})
		if effects.load != 0 {
			d.OnLoadReply(units.Seconds(now), effects.load, control.Succeeded, 1)
			effects.load = 0
		}
		d.OnAttemptReply(units.Seconds(now+0.0001), effects.attempt, WorkerReply{Outcome: control.Succeeded, Start: control.WarmStart})
	}
}

// A million requests in two hours of the Dispatcher's clock must retain no memory except for the cache.
func TestDispatcher_HeapBounded(t *testing.T) {
	const requests, firstMeasured = 1_000_000, 200_000
	settings := testSettings()
	settings.DeduplicationWindow = 10
	d, effects := newDiscarding(settings)
	classes := []string{classIdempotent, classKeyed, classAtMostOnce}
	now := startTime
	var before, after uint64
	for i := range requests {
		now += 0.007
		d.Tick(units.Seconds(now))
		d.Submit(units.Seconds(now), WaiterID(i+1), Request{
			Identity: Identity{"/b", strconv.Itoa(i)},
			Class:    classes[i%3],
			Function: fmt.Sprint("f", i/1000),
			Body:     []byte("some body"),
		})
		if effects.load != 0 {
			d.OnLoadReply(units.Seconds(now), effects.load, control.Succeeded, 1)
			effects.load = 0
		}
		if effects.attempt != 0 && i%7 > 0 { // one in seven attempts gets no reply
			d.OnAttemptReply(units.Seconds(now+0.0001), effects.attempt, WorkerReply{Outcome: control.Succeeded, Body: []byte("some answer")})
		}
		effects.attempt = 0
		switch i {
		case firstMeasured:
			before = heapBytes()
		case requests - 1:
			after = heapBytes()
		}
	}
	t.Logf("heap %d KB after 200,000 requests, %d KB after a million", before>>10, after>>10)
	if after > before+before/4+1<<20 {
		t.Errorf("heap grew from %d to %d bytes", before, after)
	}
	if counts := d.Counts(); counts.Open > 1000 || counts.Cached > 3000 || counts.Timers > 3000 {
		t.Errorf("%+v", counts)
	}
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against memory that grows with the requests that clients cancelled, until their timeouts.
func TestDispatcher_CancelledRequestsLeaveNoTimers(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.DeduplicationWindow, s.CancelAbandoned = 0, true })
	h.unsent = true
	h.submit(1, classIdempotent, "open", 3)
	for i := range 20_000 {
		waiter := WaiterID(i + 2)
		h.submit(waiter, classIdempotent, strconv.Itoa(i), 3)
		h.dispatcher.OnCancel(h.now, waiter)
	}
	if n := h.dispatcher.Counts().Timers; n > 2*maxObsoleteTimers {
		t.Errorf("%d timers after 20000 cancelled requests", n)
	}
	h.unsent = false
	h.completeLoads()
	h.advanceTo(h.now + 4)
	if got := h.responses[1]; len(got) != 1 {
		t.Errorf("the open request got %d responses", len(got))
	}
}
