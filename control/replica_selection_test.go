package control

import (
	"fmt"
	"testing"
)

// TestFrontEndsAgreeOnWorkers checks that front ends that share nothing load a function on the same worker.
func TestFrontEndsAgreeOnWorkers(t *testing.T) {
	d := plainDeployment()
	d.FrontEnds = 3
	w := newWorld(5, d, 8)
	w.sendSteadily(4, 0.1, 4)
	if replicas := w.countReplicas(); replicas > 6 {
		t.Errorf("4 functions have %d replicas", replicas)
	}
	w.checkRules(t)
}

// TestHotFunctionSpreadsOverManyFrontEnds checks that many front ends, none of which fills a replica alone, spread a
// hot function, and that unknown messages change nothing.
func TestHotFunctionSpreadsOverManyFrontEnds(t *testing.T) {
	for _, gossip := range []bool{false, true} {
		t.Run(fmt.Sprint("gossip ", gossip), func(t *testing.T) {
			d := plainDeployment()
			d.FrontEnds, d.GossipAllowed = 60, gossip
			w := newWorld(13, d, 12)
			w.sendSteadily(1, 0.01, 8)
			if replicas := w.countReplicas(); replicas < 4 {
				t.Errorf("100 requests per second have %d replicas", replicas)
			}
			w.checkRules(t)
			r := w.frontEnds[0].router
			before := describeGossipState(r)
			for _, message := range [][]byte{nil, {1}, {1, 2, 3, 4, 5}, {1, 2, 3, 4}} {
				r.OnGossip(w.now, message)
			}
			if after := describeGossipState(r); after != before {
				t.Errorf("a message of unknown form changed %s to %s", before, after)
			}
		})
	}
}

func describeGossipState(r *Router) string {
	var loads []float64
	for _, w := range r.workers {
		loads = append(loads, w.reportedLoad)
	}
	return fmt.Sprint(loads, r.functionsByID["f0"].targetReplicas)
}

// TestFewFrontEndsCountOwnRequests checks that few front ends, which see a function's requests themselves, keep the
// target replicas, and that a quick load keeps the pause.
func TestFewFrontEndsCountOwnRequests(t *testing.T) {
	for _, frontEnds := range []int{2, 60} {
		t.Run(fmt.Sprint(frontEnds, " front ends"), func(t *testing.T) {
			d := plainDeployment()
			d.FrontEnds, d.GossipAllowed = frontEnds, true
			r := newWorld(15, d, 3).frontEnds[0].router
			fn := &function{id: "f", concurrency: 1, targetReplicas: 1, loadCooldownUntil: r.now + 9}
			r.functionsByID["f"], r.latencyP20 = fn, 0.5
			r.recordResponses(fn, 100)
			r.OnLoadResult(r.now, LoadResult{Worker: r.workers[0].id, Function: "f", Outcome: Succeeded, Replicas: 1, Duration: 0.01})
			isLarge := frontEnds > 2
			if (fn.targetReplicas > 1) != isLarge || (fn.loadCooldownUntil <= r.now) != isLarge {
				t.Errorf("target replicas %g, pause until %g at %g", fn.targetReplicas, fn.loadCooldownUntil, r.now)
			}
		})
	}
}

// warmFunction is a world whose only front end has one replica of a function.
type warmFunction struct {
	*world
	frontEnd *frontEnd
	router   *Router
	function *function
	replica  *replica
}

func newWarmFunction() *warmFunction {
	w := newWorld(11, plainDeployment(), 3)
	w.sendSteadily(1, 0.2, 2)
	f := w.frontEnds[0]
	fn := f.router.functionsByID["f0"]
	fn.replicas = fn.replicas[:1]
	fn.replicas[0].markWarm(f.router.now)
	return &warmFunction{world: w, frontEnd: f, router: f.router, function: fn, replica: &fn.replicas[0]}
}

// machineOf is the machine of the replica.
func (w *warmFunction) machineOf() *machine { return w.machines[w.replica.worker.index] }

func TestReplicaLapsesWhenIdle(t *testing.T) {
	w := newWarmFunction()
	w.replica.lastSeenAt = w.router.now - 7.9
	if !w.router.isWarm(w.replica) {
		t.Error("a replica lapsed before its idle lifetime")
	}
	w.replica.lastSeenAt = w.router.now - 8.1
	if w.router.isWarm(w.replica) {
		t.Error("a replica outlives its idle lifetime")
	}
}

func TestReplicaIsOverloadedAtTwiceItsConcurrency(t *testing.T) {
	w := newWarmFunction()
	pick := func(filter overloadFilter) *worker {
		picked, _ := w.router.pickReplica(&request{function: w.function, class: &w.deployment.RequestClasses[0]}, filter)
		return picked
	}
	w.replica.inFlight = 3
	if pick(excludeOverloaded) != w.replica.worker {
		t.Error("a replica under twice its concurrency is passed over")
	}
	w.replica.inFlight = 4
	if pick(excludeOverloaded) != nil || pick(includeOverloaded) != w.replica.worker {
		t.Error("a replica at twice its concurrency passes, or is not the last resort")
	}
}

func TestReplicaEndsWithItsProcess(t *testing.T) {
	w := newWarmFunction()
	w.machineOf().restart(w.now)
	w.frontEnd.announce(false)
	if w.replica.warm {
		t.Error("a replica outlives its process")
	}
}

// TestMissingReplicaIsLoadedOnce checks that after a miss the replica counts as gone, and that one load at a time
// begins for a function.
func TestMissingReplicaIsLoadedOnce(t *testing.T) {
	w := newWarmFunction()
	w.machineOf().dropReplicas()
	loads := len(w.frontEnd.loadTimes)
	class := w.deployment.RequestClasses[0]
	w.frontEnd.send("m", "f0", class, 3)
	w.step(0.02)
	if w.replica.warm || len(w.frontEnd.loadTimes) != loads+1 {
		t.Errorf("after a miss the replica is warm (%v) or %d loads began", w.replica.warm, len(w.frontEnd.loadTimes)-loads)
	}
	for i := range 5 {
		w.frontEnd.send(RequestID(fmt.Sprint("n", i)), "f0", class, 3)
	}
	if len(w.frontEnd.loadTimes) != loads+1 {
		t.Errorf("%d loads of one function at once", len(w.frontEnd.loadTimes)-loads)
	}
}

// TestUnreachableWorkerHoldsNothing checks that a function whose only replica is on a listed worker without a process
// is loaded elsewhere at once, and not asked for at the dead address until the attempts are used up.
func TestUnreachableWorkerHoldsNothing(t *testing.T) {
	w := newWorld(3, plainDeployment(), 3)
	w.sendSteadily(1, 0.05, 2)
	for _, m := range w.machines {
		if m.replicas["f0"] {
			m.condition = cutOff
		}
	}
	req := w.frontEnds[0].send("late", "f0", w.deployment.RequestClasses[0], 3)
	w.steps(200)
	if !req.succeeded || len(req.attempts) > 2 {
		t.Errorf("succeeded %v after %d attempts", req.succeeded, len(req.attempts))
	}
	w.checkRules(t)
}
