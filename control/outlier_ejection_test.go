package control

import (
	"fmt"
	"strconv"
	"testing"

	"streamcleat/internal/units"
)

// TestIsSlow_OldLatency checks that a single old slow response does not make a replica slow, even with a request in flight.
func TestIsSlow_OldLatency(t *testing.T) {
	fleet := newSimulatedFleet(1, basicDeployment(), 4)
	fleet.sendAtInterval(1, 0.2, 4)
	r := fleet.frontEnds[0].router
	fn := r.functionsByID["f0"]
	rep := &fn.replicas[0]
	rep.inFlight, rep.recentLatency, rep.lastLatencyAt = 1, 3*fn.medianLatency, r.now
	if !r.isSlow(fn, rep) {
		t.Error("replica at three times the median is not slow")
	}
	r.now += 1.1
	if r.isSlow(fn, rep) {
		t.Error("replica is still slow after the latency expired")
	}
}

// TestEject_AllWorkersFail checks that the ejected fraction stays within its limit when all workers fail.
func TestEject_AllWorkersFail(t *testing.T) {
	fleet := newSimulatedFleet(3, basicDeployment(), 10)
	fleet.sendAtInterval(20, 0.02, 3)
	for _, worker := range fleet.workers {
		worker.condition = failing
	}
	f := fleet.frontEnds[0]
	for i := range 100 {
		f.sendRequest(RequestID(strconv.Itoa(i)), FunctionID(fmt.Sprint("f", i%20)), fleet.deployment.RequestClasses[0], 3)
		fleet.advance(0.02)
		ejected := 0
		for _, w := range f.router.workers {
			if w.ejectedUntil > fleet.now {
				ejected++
			}
		}
		if ejected > 4 {
			t.Fatalf("%d of 10 workers ejected", ejected)
		}
	}
}

// TestUpdateLatency_HeavyRequests checks that single requests which take many times the median latency, for example
// because they waited for a core, do not make a replica slow, and that a high latency of all responses does.
func TestUpdateLatency_HeavyRequests(t *testing.T) {
	for _, heavyOneIn := range []int{5, 1} {
		t.Run(fmt.Sprint("one heavy in ", heavyOneIn), func(t *testing.T) {
			r := newSimulatedFleet(1, basicDeployment(), 2).frontEnds[0].router
			fn := r.functionOf(Request{Function: "f"})
			rep := fn.ensureReplica(r.workers[0])
			for range 50 {
				r.updateLatency(fn, rep, 0.05)
			}
			slow := 0
			for i := range 40 {
				latency := 0.05
				if i%heavyOneIn == 0 {
					latency = 1
				}
				fn.medianLatency = 0.05 // as if most responses came from other workers
				r.updateLatency(fn, rep, units.Seconds(latency))
				if rep.slowSince > 0 {
					slow++
				}
			}
			if (slow > 25) != (heavyOneIn == 1) || heavyOneIn > 1 && slow > 0 {
				t.Errorf("slow after %d of 40 responses", slow)
			}
		})
	}
}

// TestEjectSlowWorker_Bounds checks the evidence required for an ejection and the limit of the ejected fraction.
func TestEjectSlowWorker_Bounds(t *testing.T) {
	for _, c := range []struct {
		name          string
		slowFor       units.Seconds // period that the slow responses of each function cover
		age           units.Seconds // time since the last slow response
		functions     int
		workers       int
		ejectedOthers int
		ejects        bool
	}{
		{"slow for the whole span", 1, 0.5, 2, 20, 0, true},
		{"slow for less than the span", 0.999, 0.5, 2, 20, 0, false},
		{"evidence just current", 1, 0.999, 2, 20, 0, true},
		{"evidence expired", 1, 1, 2, 20, 0, false},
		{"slow on one function only", 1, 0.5, 1, 20, 0, false},
		{"a twentieth ejected", 1, 0.5, 2, 20, 1, false},
		{"less than a twentieth ejected", 1, 0.5, 2, 21, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newSimulatedFleet(1, basicDeployment(), c.workers).frontEnds[0].router
			r.now = 128 // keeps the differences below exact in binary
			w := r.workers[0]
			for i := range c.functions {
				fn := r.functionOf(Request{Function: FunctionID(fmt.Sprint("f", i))})
				rep := fn.ensureReplica(w)
				rep.lastLatencyAt = r.now - c.age
				rep.slowSince = rep.lastLatencyAt - c.slowFor
				w.slowFunctions = append(w.slowFunctions, fn)
			}
			for _, other := range r.workers[1 : 1+c.ejectedOthers] {
				other.ejectedUntil = r.now + 1
			}
			if got := r.ejectSlowWorker(w); got != c.ejects || (w.ejectedUntil > r.now) != c.ejects {
				t.Errorf("ejectSlowWorker = %v, ejected until %g; want %v", got, w.ejectedUntil, c.ejects)
			}
		})
	}
}

// TestIsSlow_Bounds checks that neither a latency as old as the evidence period nor one equal to the expected latency makes
// a replica slow.
func TestIsSlow_Bounds(t *testing.T) {
	r := newSimulatedFleet(1, basicDeployment(), 1).frontEnds[0].router
	r.now = 128 // keeps the differences below exact in binary
	fn := r.functionOf(Request{Function: "f"})
	rep := fn.ensureReplica(r.workers[0])
	for _, c := range []struct {
		name               string
		age, recentLatency units.Seconds
		slow               bool
	}{
		{"above the expected latency", 0.5, 1.5, true},
		{"latency expired", 1, 1.5, false},
		{"at the expected latency", 0.5, 1, false},
	} {
		fn.medianLatency = 0.5
		rep.inFlight, rep.lastLatencyAt, rep.recentLatency = 1, r.now-c.age, c.recentLatency
		if got := r.isSlow(fn, rep); got != c.slow {
			t.Errorf("%s: isSlow = %v", c.name, got)
		}
	}
}

// TestEndpointUpdate_RestartResetsLatencies checks that a restart of a worker clears the latencies of its previous process
// but not those of other workers.
func TestEndpointUpdate_RestartResetsLatencies(t *testing.T) {
	fleet := newSimulatedFleet(1, basicDeployment(), 2)
	f := fleet.frontEnds[0]
	fn := f.router.functionOf(Request{Function: "f"})
	for _, w := range f.router.workers {
		rep := fn.ensureReplica(w)
		rep.warm, rep.recentLatency, rep.slowSince = true, 2, 100
	}
	fleet.workers[0].restart(fleet.now)
	f.sendEndpointList()
	restarted, other := fn.replicaOn(f.router.workers[0]), fn.replicaOn(f.router.workers[1])
	if restarted.warm || restarted.recentLatency != 0 || restarted.slowSince != 0 {
		t.Errorf("replica on the restarted worker still has %+v", *restarted)
	}
	if !other.warm || other.recentLatency != 2 || other.slowSince != 100 {
		t.Errorf("replica on the other worker has %+v", *other)
	}
}
