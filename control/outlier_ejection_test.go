package control

import (
	"fmt"
	"strconv"
	"testing"
)

// TestOldLatencyLapses checks that one old slow answer does not exclude a replica for good, though a request of
// ours is still there.
func TestOldLatencyLapses(t *testing.T) {
	fleet := newSimulatedFleet(1, basicDeployment(), 4)
	fleet.sendAtInterval(1, 0.2, 4)
	r := fleet.frontEnds[0].router
	fn := r.functionsByID["f0"]
	rep := &fn.replicas[0]
	rep.inFlight, rep.recentLatency, rep.lastLatencyAt = 1, 3*fn.medianLatency, r.now
	if !r.isSlow(fn, rep) {
		t.Error("a replica at three times the median is not slow")
	}
	r.now += 1.1
	if r.isSlow(fn, rep) {
		t.Error("a replica is still slow by an old answer")
	}
}

// TestEjectedFractionIsBounded checks that no more than the stated fraction is ejected when all workers fail.
func TestEjectedFractionIsBounded(t *testing.T) {
	fleet := newSimulatedFleet(3, basicDeployment(), 10)
	fleet.sendAtInterval(20, 0.02, 3)
	for _, m := range fleet.workers {
		m.condition = failing
	}
	f := fleet.frontEnds[0]
	for i := range 100 {
		f.sendRequest(RequestID(strconv.Itoa(i)), FunctionID(fmt.Sprint("f", i%20)), fleet.deployment.RequestClasses[0], 3)
		fleet.advance(0.02)
		ejected := 0
		for _, worker := range f.router.workers {
			if worker.ejectedUntil > fleet.now {
				ejected++
			}
		}
		if ejected > 4 {
			t.Fatalf("%d of 10 workers ejected", ejected)
		}
	}
}

// TestHeavyRequestsAreNotSlowReplicas checks that a request which waited for a core and took many times the median
// does not make a replica slow, nor do a few apart; answers that all come late must.
func TestHeavyRequestsAreNotSlowReplicas(t *testing.T) {
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
				fn.medianLatency = 0.05 // most answers come from elsewhere
				r.updateLatency(fn, rep, latency)
				if rep.slowSince > 0 {
					slow++
				}
			}
			if (slow > 25) != (heavyOneIn == 1) || heavyOneIn > 1 && slow > 0 {
				t.Errorf("slow after %d of 40", slow)
			}
		})
	}
}

// TestEjectionOfSlowWorker checks the evidence for an ejection and the fraction of ejected workers that it keeps,
// at their bounds.
func TestEjectionOfSlowWorker(t *testing.T) {
	for _, c := range []struct {
		name          string
		slowFor, age  float64 // of the slow answers on each function, and since the last of them
		functions     int
		workers       int
		ejectedOthers int
		ejects        bool
	}{
		{"slow for the whole span", 1, 0.5, 2, 20, 0, true},
		{"slow for less", 0.999, 0.5, 2, 20, 0, false},
		{"answers just current", 1, 0.999, 2, 20, 0, true},
		{"answers at the bound of age", 1, 1, 2, 20, 0, false},
		{"one function", 1, 0.5, 1, 20, 0, false},
		{"a twentieth ejected", 1, 0.5, 2, 20, 1, false},
		{"just less than a twentieth ejected", 1, 0.5, 2, 21, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newSimulatedFleet(1, basicDeployment(), c.workers).frontEnds[0].router
			r.now = 128 // with the figures below exact in binary
			w := r.workers[0]
			for i := range c.functions {
				fn := r.functionOf(Request{Function: FunctionID(fmt.Sprint("f", i))})
				rep := fn.ensureReplica(w)
				rep.lastLatencyAt = r.now - c.age
				rep.slowSince = rep.lastLatencyAt - c.slowFor
			}
			for _, other := range r.workers[1 : 1+c.ejectedOthers] {
				other.ejectedUntil = r.now + 1
			}
			if got := r.ejectSlowWorker(w); got != c.ejects || (w.ejectedUntil > r.now) != c.ejects {
				t.Errorf("ejected %v, until %g", got, w.ejectedUntil)
			}
		})
	}
}

// TestSlownessLapsesAtItsBounds checks that a latency of the age of the span, and one equal to the expected latency,
// do not make a replica slow.
func TestSlownessLapsesAtItsBounds(t *testing.T) {
	r := newSimulatedFleet(1, basicDeployment(), 1).frontEnds[0].router
	r.now = 128
	fn := r.functionOf(Request{Function: "f"})
	rep := fn.ensureReplica(r.workers[0])
	for _, c := range []struct {
		age, recentLatency float64
		slow               bool
	}{{0.5, 1.5, true}, {1, 1.5, false}, {0.5, 1, false}} {
		fn.medianLatency = 0.5
		rep.inFlight, rep.lastLatencyAt, rep.recentLatency = 1, r.now-c.age, c.recentLatency
		if got := r.isSlow(fn, rep); got != c.slow {
			t.Errorf("%+v: slow %v", c, got)
		}
	}
}

// TestRestartForgetsLatencies checks that a worker's new process starts without the latencies of the old one.
func TestRestartForgetsLatencies(t *testing.T) {
	fleet := newSimulatedFleet(1, basicDeployment(), 2)
	f := fleet.frontEnds[0]
	fn := f.router.functionOf(Request{Function: "f"})
	for _, worker := range f.router.workers {
		rep := fn.ensureReplica(worker)
		rep.warm, rep.recentLatency, rep.slowSince = true, 2, 100
	}
	fleet.workers[0].restart(fleet.now)
	f.sendEndpointList(false)
	restarted, other := fn.replicaOn(f.router.workers[0]), fn.replicaOn(f.router.workers[1])
	if restarted.warm || restarted.recentLatency != 0 || restarted.slowSince != 0 {
		t.Errorf("the restarted worker keeps %+v", *restarted)
	}
	if !other.warm || other.recentLatency != 2 || other.slowSince != 100 {
		t.Errorf("the other worker has %+v", *other)
	}
}
