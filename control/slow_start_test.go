package control

import (
	"fmt"
	"math"
	"testing"

	"streamcleat/internal/units"
)

// TestSlowStart_AllWorkersCold checks that requests are served while all workers are warming up, for example after a fast
// rollout.
func TestSlowStart_AllWorkersCold(t *testing.T) {
	fleet := newSimulatedFleet(4, basicDeployment(), 4)
	fleet.sendAtInterval(4, 0.02, 6)
	for _, worker := range fleet.workers {
		worker.restart(fleet.now)
		worker.evictReplicas()
	}
	fleet.sendEndpointLists()
	succeeded, other := fleet.sendAtInterval(4, 0.04, 8)
	if succeeded < 100 {
		t.Errorf("%d succeeded, %d did not", succeeded, other)
	}
	fleet.checkInvariants(t)
}

// TestSlowStart_ManyFrontEndsWithinBudget checks that many front ends, each with a budget of less than one attempt, do not
// together exceed the budget of a cold worker.
func TestSlowStart_ManyFrontEndsWithinBudget(t *testing.T) {
	d := basicDeployment()
	d.FrontEnds = 150
	fleet := newSimulatedFleet(12, d, 6)
	fleet.sendAtInterval(12, 0.02, 6)
	worker := fleet.workers[0]
	worker.restart(fleet.now)
	fleet.sendEndpointLists()
	// Credits may have accumulated for 10 s before the second burst.
	for _, wait := range []float64{0, 10} {
		fleet.advanceSteps(int(wait * 100))
		started := 0
		for range 150 {
			fleet.advance(stepSeconds)
			for _, f := range fleet.frontEnds {
				cold := f.router.workers[0]
				if f.router.hasSlowStartCredit(cold) {
					cold.usedCredits = cold.grantedCredits
					started++
				}
			}
		}
		if capacity := fleet.warmUpCapacity(worker, units.Seconds(wait)); float64(started) > capacity || started == 0 {
			t.Errorf("%d attempts on a cold worker with a capacity of %.1f", started, capacity)
		}
	}
}

// TestSlowStart_SumOverFrontEndsWithinCapacity checks that front ends which start every permitted attempt do not together
// exceed the capacity of a cold worker, apart from a tolerance for random variation. This must hold for few and many front
// ends, under uneven load, and when a third of the front ends restart without state.
func TestSlowStart_SumOverFrontEndsWithinCapacity(t *testing.T) {
	for _, frontEnds := range []int{1, 3, 30, 300} {
		t.Run(fmt.Sprint(frontEnds, " front ends"), func(t *testing.T) {
			d := basicDeployment()
			d.FrontEnds = frontEnds
			fleet := newSimulatedFleet(int64(frontEnds), d, 4)
			fleet.sendUnevenLoad()
			worker := fleet.workers[0]
			worker.restart(fleet.now)
			fleet.sendEndpointLists()
			var started []units.Seconds
			for step := range 1400 {
				fleet.advance(stepSeconds)
				if step == 300 {
					fleet.restartEveryThirdFrontEnd()
				}
				started = fleet.useAllCredits(started)
				inWindow := 0.0
				for k := len(started) - 1; k >= 0 && started[k] > fleet.now-d.OverloadWindow; k-- {
					inWindow++
				}
				capacity := fleet.warmUpCapacity(worker, fleet.now-units.Seconds(worker.actualStart))
				if inWindow > capacity+2*math.Sqrt(capacity)+2 {
					t.Fatalf("%.0f attempts in the window %.2f s after the start, capacity %.1f",
						inWindow, fleet.now-units.Seconds(worker.actualStart), capacity)
				}
			}
			if len(started) < 5 {
				t.Errorf("%d attempts on a worker while warming up", len(started))
			}
		})
	}
}

// sendUnevenLoad sends half of the requests that the fleet can serve for 8 s, most of them to few front ends.
func (s *simulatedFleet) sendUnevenLoad() {
	requests := 0
	for range 800 {
		s.advance(stepSeconds)
		if s.rnd.Float64() < 0.4 {
			requests++
			u := s.rnd.Float64()
			f := s.frontEnds[int(float64(len(s.frontEnds))*u*u*u)]
			id, fn := RequestID(fmt.Sprint("e", requests)), FunctionID(fmt.Sprint("f", requests%5))
			f.sendRequest(id, fn, s.deployment.RequestClasses[0], 2)
		}
	}
}

// restartEveryThirdFrontEnd replaces the router of every third front end by a new one without state.
func (s *simulatedFleet) restartEveryThirdFrontEnd() {
	for i, f := range s.frontEnds {
		if i%3 == 0 {
			f.router = New(s.deployment, uint64(len(s.frontEnds)+i)*0x9e3779b97f4a7c15, f, s.now)
			f.router.Start()
			f.sendEndpointList()
		}
	}
}

// useAllCredits starts all attempts that the front ends may start on the first worker, and appends their times to
// started.
func (s *simulatedFleet) useAllCredits(started []units.Seconds) []units.Seconds {
	class := s.deployment.RequestClasses[0]
	deadline := s.now + 1
	for _, i := range s.rnd.Perm(len(s.frontEnds)) {
		f := s.frontEnds[i]
		for f.router.hasSlowStartCredit(f.router.workers[0]) {
			id := RequestID(fmt.Sprint("c", len(started)))
			f.requests[id] = &clientRequest{class: class, deadline: deadline}
			req := &request{Request: Request{ID: id}, function: &function{concurrency: 1}, class: &class, deadline: deadline}
			f.router.startAttempt(req, f.router.workers[0])
			started = append(started, s.now)
		}
	}
	return started
}

// Guards against budgets that add up to more than a cold worker tolerates: in a discovery outage each front end counted only the
// few workers that it was connected to as warm, so that its rate was that of its busiest worker, and not of the mean one.
func TestSlowStart_RateOfTheMeanWorkerInOutage(t *testing.T) {
	for name, isAvailable := range map[string]bool{"available": true, "outage": false} {
		h := newLeaseHost()
		for _, id := range []WorkerID{"w0", "w1", "w2"} {
			if id != h.home {
				h.router.OnDisconnected(h.now, id)
			}
		}
		if !isAvailable {
			h.router.OnDiscoveryUnavailable(h.now)
			h.advance(testDrainGrace)
		}
		machine := h.router.machines[0]
		machine.rate, machine.successes = 0, 30
		h.router.updateMachineRates(rateAveragingSeconds)
		if want := 30 / rateAveragingSeconds / testWorkers; machine.rate != want {
			t.Errorf("%s: %v successes per second on a worker, want %v", name, machine.rate, want)
		}
	}
}

// Guards against fleets that serve little in an outage shortly after a start: a process that may be cold is sent what it has taken
// before, and more as its capacity grows. Another process at its address is not.
func TestSlowStart_SustainedRate(t *testing.T) {
	const rate = 20.0
	for name, c := range map[string]struct {
		prepare        func(h *leaseHost)
		minRate, limit float64 // attempts per second
	}{
		"same process": {func(*leaseHost) {}, rate / 2, rate},
		"interrupted again": {func(h *leaseHost) {
			h.advance(2 * tickSeconds)
			h.confirmList()
			h.router.OnDiscoveryUnavailable(h.now)
		}, rate / 2, rate},
		"same process, later":  {func(h *leaseHost) { h.advance(5) }, rate, 3 * rate},
		"other process":        {(*leaseHost).disconnectAll, 0, 1},
		"later connection":     {func(h *leaseHost) { h.router.OnProcessUncertain(h.now, "w0") }, 0, 1},
		"the same, verified":   {func(h *leaseHost) { h.router.OnProcessUncertain(h.now, "w0"); h.router.OnProcessConfirmed(h.now, "w0") }, rate / 2, rate},
		"started since":        {func(h *leaseHost) { h.listWorker(Worker{ID: "w0", StartedAt: h.now}) }, 0, 1},
		"listed with a weight": {func(h *leaseHost) { h.listWorker(Worker{ID: "w0", Weight: 3}) }, rate / 2, rate},
	} {
		h := newUnconnectedHost()
		h.disconnectAll()
		h.connectAll()
		w := h.router.workersByID["w0"]
		for range 5 {
			for range int(rate * tickSeconds) {
				h.router.useSlowStartCredit(w)
			}
			h.advance(tickSeconds)
			h.router.OnDiscoveryAvailable(h.now, h.now)
		}
		h.router.OnDiscoveryUnavailable(h.now)
		c.prepare(h)
		if got := h.router.slowStartBudget(w) / float64(h.router.deployment.OverloadWindow); got < c.minRate || got > c.limit {
			t.Errorf("%s: %.1f attempts per second", name, got)
		}
	}
}
