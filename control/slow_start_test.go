package control

import (
	"fmt"
	"math"
	"testing"
)

// TestRolloutDoesNotStarve checks that workers get requests when all of them are cold, as soon in a rollout.
func TestRolloutDoesNotStarve(t *testing.T) {
	w := newWorld(4, plainDeployment(), 4)
	w.sendSteadily(4, 0.02, 6)
	for _, m := range w.machines {
		m.restart(w.now)
		m.dropReplicas()
	}
	w.frontEnds[0].announce(false)
	succeeded, other := w.sendSteadily(4, 0.04, 8)
	if succeeded < 100 {
		t.Errorf("%d succeeded, %d did not", succeeded, other)
	}
	w.checkRules(t)
}

// TestManyFrontEndsKeepSlowStartBudget checks that many front ends, each with a budget under one attempt, together
// keep that of a cold worker.
func TestManyFrontEndsKeepSlowStartBudget(t *testing.T) {
	d := plainDeployment()
	d.FrontEnds = 150
	w := newWorld(12, d, 6)
	w.sendSteadily(12, 0.02, 6)
	m := w.machines[0]
	m.restart(w.now)
	for _, f := range w.frontEnds {
		f.announce(false)
	}
	// Whatever was saved up for long, an early rush and a late one stay under the budget, and get something.
	for _, wait := range []float64{0, 10} {
		w.steps(int(wait * 100))
		sent := 0
		for range 150 {
			w.step(0.01)
			for _, f := range w.frontEnds {
				cold := f.router.workers[0]
				if f.router.hasSlowStartCredit(cold) {
					cold.usedCredits = cold.grantedCredits
					sent++
				}
			}
		}
		if capacity := w.coldCapacity(m, wait); float64(sent) > capacity || sent == 0 {
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
			d := plainDeployment()
			d.FrontEnds = frontEnds
			w := newWorld(int64(frontEnds), d, 4)
			w.warmUpUnevenly()
			m := w.machines[0]
			m.restart(w.now)
			for _, f := range w.frontEnds {
				f.announce(false)
			}
			var sent []float64
			for step := range 1400 {
				w.step(0.01)
				if step == 300 {
					w.restartEveryThirdFrontEnd()
				}
				sent = w.useAllCredits(sent)
				inWindow := 0.0
				for k := len(sent) - 1; k >= 0 && sent[k] > w.now-d.OverloadWindow; k-- {
					inWindow++
				}
				capacity := w.coldCapacity(m, w.now-m.actualStart)
				if inWindow > capacity+2*math.Sqrt(capacity)+2 {
					t.Fatalf("%.0f attempts in the window %.2f s after the start, which bears %.1f",
						inWindow, w.now-m.actualStart, capacity)
				}
			}
			if len(sent) < 5 {
				t.Errorf("a cold worker got %d attempts in its warm-up", len(sent))
			}
		})
	}
}

// warmUpUnevenly plays 8 s of half of what the fleet can do, most of it at few front ends.
func (w *world) warmUpUnevenly() {
	requests := 0
	for range 800 {
		w.step(0.01)
		if w.rnd.Float64() < 0.4 {
			requests++
			u := w.rnd.Float64()
			f := w.frontEnds[int(float64(len(w.frontEnds))*u*u*u)]
			id, fn := RequestID(fmt.Sprint("e", requests)), FunctionID(fmt.Sprint("f", requests%5))
			f.send(id, fn, w.deployment.RequestClasses[0], 2)
		}
	}
}

func (w *world) restartEveryThirdFrontEnd() {
	for i, f := range w.frontEnds {
		if i%3 == 0 {
			f.router = New(w.deployment, uint64(len(w.frontEnds)+i)*0x9e3779b97f4a7c15, f, w.now)
			f.announce(true)
		}
	}
}

// useAllCredits starts all attempts that the front ends may start on the first worker, and adds their times.
func (w *world) useAllCredits(sent []float64) []float64 {
	class := w.deployment.RequestClasses[0]
	deadline := w.now + 1
	for _, i := range w.rnd.Perm(len(w.frontEnds)) {
		f := w.frontEnds[i]
		for f.router.hasSlowStartCredit(f.router.workers[0]) {
			id := RequestID(fmt.Sprint("c", len(sent)))
			f.requests[id] = &clientRequest{class: class, deadline: deadline}
			req := &request{Request: Request{ID: id}, function: &function{concurrency: 1}, class: &class, deadline: deadline}
			f.router.startAttempt(req, f.router.workers[0])
			sent = append(sent, w.now)
		}
	}
	return sent
}
