package control

import (
	"fmt"
	"math"
	"testing"
)

// TestRolloutDoesNotStarve checks that workers get requests when all of them are cold, as soon in a rollout.
func TestRolloutDoesNotStarve(t *testing.T) {
	fleet := newSimulatedFleet(4, basicDeployment(), 4)
	fleet.sendAtInterval(4, 0.02, 6)
	for _, m := range fleet.workers {
		m.restart(fleet.now)
		m.evictReplicas()
	}
	fleet.frontEnds[0].sendEndpointList(false)
	succeeded, other := fleet.sendAtInterval(4, 0.04, 8)
	if succeeded < 100 {
		t.Errorf("%d succeeded, %d did not", succeeded, other)
	}
	fleet.checkInvariants(t)
}

// TestManyFrontEndsKeepSlowStartBudget checks that many front ends, each with a budget under one attempt, together
// keep that of a cold worker.
func TestManyFrontEndsKeepSlowStartBudget(t *testing.T) {
	d := basicDeployment()
	d.FrontEnds = 150
	fleet := newSimulatedFleet(12, d, 6)
	fleet.sendAtInterval(12, 0.02, 6)
	m := fleet.workers[0]
	m.restart(fleet.now)
	for _, f := range fleet.frontEnds {
		f.sendEndpointList(false)
	}
	// Whatever was saved up for long, an early rush and a late one stay under the budget, and get something.
	for _, wait := range []float64{0, 10} {
		fleet.advanceSteps(int(wait * 100))
		sent := 0
		for range 150 {
			fleet.advance(0.01)
			for _, f := range fleet.frontEnds {
				cold := f.router.workers[0]
				if f.router.hasSlowStartCredit(cold) {
					cold.usedCredits = cold.grantedCredits
					sent++
				}
			}
		}
		if capacity := fleet.warmUpCapacity(m, wait); float64(sent) > capacity || sent == 0 {
			t.Errorf("%d attempts on a cold worker that bears %.1f", sent, capacity)
		}
	}
}

// TestColdWorkersBearTheSum checks that, however many front ends there are, however unevenly requests come to them,
// and though a third of them restarts on the way and knows nothing, their sum keeps what a cold worker bears, with
// the slack that the rule has for chance. Every front end sends all that it may.
func TestColdWorkersBearTheSum(t *testing.T) {
	for _, frontEnds := range []int{1, 3, 30, 300} {
		t.Run(fmt.Sprint(frontEnds, " front ends"), func(t *testing.T) {
			d := basicDeployment()
			d.FrontEnds = frontEnds
			fleet := newSimulatedFleet(int64(frontEnds), d, 4)
			fleet.sendUnevenLoad()
			m := fleet.workers[0]
			m.restart(fleet.now)
			for _, f := range fleet.frontEnds {
				f.sendEndpointList(false)
			}
			var sent []float64
			for step := range 1400 {
				fleet.advance(0.01)
				if step == 300 {
					fleet.restartEveryThirdFrontEnd()
				}
				sent = fleet.useAllCredits(sent)
				inWindow := 0.0
				for k := len(sent) - 1; k >= 0 && sent[k] > fleet.now-d.OverloadWindow; k-- {
					inWindow++
				}
				capacity := fleet.warmUpCapacity(m, fleet.now-m.actualStart)
				if inWindow > capacity+2*math.Sqrt(capacity)+2 {
					t.Fatalf("%.0f attempts in the window %.2f s after the start, which bears %.1f",
						inWindow, fleet.now-m.actualStart, capacity)
				}
			}
			if len(sent) < 5 {
				t.Errorf("a cold worker got %d attempts in its warm-up", len(sent))
			}
		})
	}
}

// sendUnevenLoad plays 8 s of half of what the fleet can do, most of it at few front ends.
func (s *simulatedFleet) sendUnevenLoad() {
	requests := 0
	for range 800 {
		s.advance(0.01)
		if s.rnd.Float64() < 0.4 {
			requests++
			u := s.rnd.Float64()
			f := s.frontEnds[int(float64(len(s.frontEnds))*u*u*u)]
			id, fn := RequestID(fmt.Sprint("e", requests)), FunctionID(fmt.Sprint("f", requests%5))
			f.sendRequest(id, fn, s.deployment.RequestClasses[0], 2)
		}
	}
}

func (s *simulatedFleet) restartEveryThirdFrontEnd() {
	for i, f := range s.frontEnds {
		if i%3 == 0 {
			f.router = New(s.deployment, uint64(len(s.frontEnds)+i)*0x9e3779b97f4a7c15, f, s.now)
			f.sendEndpointList(true)
		}
	}
}

// useAllCredits starts all attempts that the front ends may start on the first worker, and adds their times.
func (s *simulatedFleet) useAllCredits(sent []float64) []float64 {
	class := s.deployment.RequestClasses[0]
	deadline := s.now + 1
	for _, i := range s.rnd.Perm(len(s.frontEnds)) {
		f := s.frontEnds[i]
		for f.router.hasSlowStartCredit(f.router.workers[0]) {
			id := RequestID(fmt.Sprint("c", len(sent)))
			f.requests[id] = &clientRequest{class: class, deadline: deadline}
			req := &request{Request: Request{ID: id}, function: &function{concurrency: 1}, class: &class, deadline: deadline}
			f.router.startAttempt(req, f.router.workers[0])
			sent = append(sent, s.now)
		}
	}
	return sent
}
