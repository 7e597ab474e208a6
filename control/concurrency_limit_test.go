package control

import (
	"fmt"
	"slices"
	"testing"
)

// TestLateAnswerOfIdleWorker checks that late answers to single requests do not close a worker.
func TestLateAnswerOfIdleWorker(t *testing.T) {
	r := newSimulatedFleet(6, basicDeployment(), 1).frontEnds[0].router
	w := r.workers[0]
	for i := range 50 {
		r.now += 0.1
		r.updateConcurrencyLimit(&request{worker: w, attemptStartedAt: r.now + float64(i)}, lateResponse)
	}
	if w.concurrencyLimit < 2 {
		t.Errorf("concurrency limit %g", w.concurrencyLimit)
	}
}

// TestWaitsForLoadsUseNoCapacity holds against an old fault: ten of them closed a worker to its warm replicas.
func TestWaitsForLoadsUseNoCapacity(t *testing.T) {
	r := newSimulatedFleet(8, basicDeployment(), 1).frontEnds[0].router
	w := r.workers[0]
	waiting := &request{function: &function{pendingLoadOn: w}, awaitsLoad: true}
	w.inFlight = slices.Repeat([]*request{waiting}, 20)
	if !r.hasCapacity(w) {
		t.Error("a worker where requests wait for a load has no capacity")
	}
	w.inFlight = slices.Repeat([]*request{{}}, 20)
	if r.hasCapacity(w) {
		t.Error("a worker far past its limit has capacity")
	}
}

// TestStalledRequestsUseNoCapacity checks that a worker with a slow store which still answers what it holds is
// not closed by requests that wait there for a replica. One that answers nothing, or is overloaded without a slow
// store, stays closed.
func TestStalledRequestsUseNoCapacity(t *testing.T) {
	for _, c := range []struct {
		loadSlowdown, sinceAnswer float64
		hasCapacity               bool
	}{{3, 0.1, true}, {3, 1, false}, {1, 0.1, false}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			r := newSimulatedFleet(1, basicDeployment(), 2).frontEnds[0].router
			fn, w := r.functionOf(Request{Function: "f"}), r.workers[0]
			fn.medianLatency, r.loadSlowdown = 0.1, c.loadSlowdown
			w.lastResponseAt, w.concurrencyLimit = r.now-c.sinceAnswer, 2
			for range 3 {
				w.inFlight = append(w.inFlight, &request{function: fn, worker: w, inFlight: true, attemptStartedAt: r.now - 0.7})
			}
			if r.hasCapacity(w) != c.hasCapacity {
				t.Errorf("capacity %v", !c.hasCapacity)
			}
		})
	}
}
