package control

import (
	"slices"
	"testing"

	"streamcleat/internal/units"
)

// TestConcurrencyLimit_LateResponsesOfSingleRequests checks that a late response to the only request in flight on a worker
// does not reduce its limit.
func TestConcurrencyLimit_LateResponsesOfSingleRequests(t *testing.T) {
	r := newSimulatedFleet(6, basicDeployment(), 1).frontEnds[0].router
	w := r.workers[0]
	for i := range 50 {
		r.now += 0.1
		r.updateConcurrencyLimit(&request{worker: w, attemptStartedAt: r.now + units.Seconds(i)}, lateResponse)
	}
	if w.concurrencyLimit < 2 {
		t.Errorf("concurrency limit was reduced to %g", w.concurrencyLimit)
	}
}

// TestHasCapacity_RequestsWaitingForLoad guards against a regression: ten requests waiting for a load exhausted the limit
// of a worker, so that its warm replicas received no requests.
func TestHasCapacity_RequestsWaitingForLoad(t *testing.T) {
	r := newSimulatedFleet(8, basicDeployment(), 1).frontEnds[0].router
	w := r.workers[0]
	waiting := &request{function: &function{pendingLoadOn: w}, awaitsLoad: true}
	w.inFlight = slices.Repeat([]*request{waiting}, 20)
	if !r.hasCapacity(w) {
		t.Error("no capacity on a worker where requests wait for a load")
	}
	w.inFlight = slices.Repeat([]*request{{}}, 20)
	if r.hasCapacity(w) {
		t.Error("capacity on a worker above its limit")
	}
}

// TestHasCapacity_StalledRequests checks that requests which wait for a load do not exhaust the limit of a worker if the
// artifact store is slow and the worker still responds to other requests.
func TestHasCapacity_StalledRequests(t *testing.T) {
	for _, c := range []struct {
		name                        string
		loadSlowdown, sinceResponse float64
		hasCapacity                 bool
	}{
		{"slow store, worker responds", 3, 0.1, true},
		{"slow store, worker unresponsive", 3, 1, false},
		{"normal store, worker overloaded", 1, 0.1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newSimulatedFleet(1, basicDeployment(), 2).frontEnds[0].router
			fn, w := r.functionOf(Request{Function: "f"}), r.workers[0]
			fn.medianLatency, r.loadSlowdown = 0.1, c.loadSlowdown
			w.lastResponseAt, w.concurrencyLimit = r.now-units.Seconds(c.sinceResponse), 2
			for range 3 {
				w.inFlight = append(w.inFlight, &request{function: fn, worker: w, inFlight: true, attemptStartedAt: r.now - 0.7})
			}
			if got := r.hasCapacity(w); got != c.hasCapacity {
				t.Errorf("hasCapacity = %v, want %v", got, c.hasCapacity)
			}
		})
	}
}
