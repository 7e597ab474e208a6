package control

import (
	"fmt"
	"testing"
)

// TestFrontEndsAgreeOnWorkers checks that front ends that share nothing load a function on the same worker.
func TestFrontEndsAgreeOnWorkers(t *testing.T) {
	d := basicDeployment()
	d.FrontEnds = 3
	fleet := newSimulatedFleet(5, d, 8)
	fleet.sendAtInterval(4, 0.1, 4)
	if replicas := fleet.countReplicas(); replicas > 6 {
		t.Errorf("4 functions have %d replicas", replicas)
	}
	fleet.checkInvariants(t)
}

// TestHotFunctionSpreadsOverManyFrontEnds checks that many front ends, none of which fills a replica alone, spread a
// hot function, and that unknown messages change nothing.
func TestHotFunctionSpreadsOverManyFrontEnds(t *testing.T) {
	for _, gossip := range []bool{false, true} {
		t.Run(fmt.Sprint("gossip ", gossip), func(t *testing.T) {
			d := basicDeployment()
			d.FrontEnds, d.GossipAllowed = 60, gossip
			fleet := newSimulatedFleet(13, d, 12)
			fleet.sendAtInterval(1, 0.01, 8)
			if replicas := fleet.countReplicas(); replicas < 4 {
				t.Errorf("100 requests per second have %d replicas", replicas)
			}
			fleet.checkInvariants(t)
			r := fleet.frontEnds[0].router
			before := describeGossipState(r)
			for _, message := range [][]byte{nil, {1}, {1, 2, 3, 4, 5}, {1, 2, 3, 4}} {
				r.OnGossip(fleet.now, message)
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
			d := basicDeployment()
			d.FrontEnds, d.GossipAllowed = frontEnds, true
			r := newSimulatedFleet(15, d, 3).frontEnds[0].router
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

// fleetWithReplica is a world whose only front end has one replica of a function.
type fleetWithReplica struct {
	*simulatedFleet
	frontEnd *simulatedFrontEnd
	router   *Router
	function *function
	replica  *replica
}

func newFleetWithReplica() *fleetWithReplica {
	fleet := newSimulatedFleet(11, basicDeployment(), 3)
	fleet.sendAtInterval(1, 0.2, 2)
	f := fleet.frontEnds[0]
	fn := f.router.functionsByID["f0"]
	fn.replicas = fn.replicas[:1]
	fn.replicas[0].markWarm(f.router.now)
	return &fleetWithReplica{simulatedFleet: fleet, frontEnd: f, router: f.router, function: fn, replica: &fn.replicas[0]}
}

// replicaWorker is the machine of the replica.
func (fleet *fleetWithReplica) replicaWorker() *simulatedWorker {
	return fleet.workers[fleet.replica.worker.index]
}

func TestReplicaLapsesWhenIdle(t *testing.T) {
	fleet := newFleetWithReplica()
	fleet.replica.lastSeenAt = fleet.router.now - 7.9
	if !fleet.router.isWarm(fleet.replica) {
		t.Error("a replica lapsed before its idle lifetime")
	}
	fleet.replica.lastSeenAt = fleet.router.now - 8.1
	if fleet.router.isWarm(fleet.replica) {
		t.Error("a replica outlives its idle lifetime")
	}
}

func TestReplicaIsOverloadedAtTwiceItsConcurrency(t *testing.T) {
	fleet := newFleetWithReplica()
	pick := func(filter overloadFilter) *worker {
		picked, _ := fleet.router.pickReplica(&request{function: fleet.function, class: &fleet.deployment.RequestClasses[0]}, filter)
		return picked
	}
	fleet.replica.inFlight = 3
	if pick(excludeOverloaded) != fleet.replica.worker {
		t.Error("a replica under twice its concurrency is passed over")
	}
	fleet.replica.inFlight = 4
	if pick(excludeOverloaded) != nil || pick(includeOverloaded) != fleet.replica.worker {
		t.Error("a replica at twice its concurrency passes, or is not the last resort")
	}
}

func TestReplicaEndsWithItsProcess(t *testing.T) {
	fleet := newFleetWithReplica()
	fleet.replicaWorker().restart(fleet.now)
	fleet.frontEnd.sendEndpointList(false)
	if fleet.replica.warm {
		t.Error("a replica outlives its process")
	}
}

// TestMissingReplicaIsLoadedOnce checks that after a miss the replica counts as gone, and that one load at a time
// begins for a function.
func TestMissingReplicaIsLoadedOnce(t *testing.T) {
	fleet := newFleetWithReplica()
	fleet.replicaWorker().evictReplicas()
	loads := len(fleet.frontEnd.loadTimes)
	class := fleet.deployment.RequestClasses[0]
	fleet.frontEnd.sendRequest("m", "f0", class, 3)
	fleet.advance(0.02)
	if fleet.replica.warm || len(fleet.frontEnd.loadTimes) != loads+1 {
		t.Errorf("after a miss the replica is warm (%v) or %d loads began", fleet.replica.warm, len(fleet.frontEnd.loadTimes)-loads)
	}
	for i := range 5 {
		fleet.frontEnd.sendRequest(RequestID(fmt.Sprint("n", i)), "f0", class, 3)
	}
	if len(fleet.frontEnd.loadTimes) != loads+1 {
		t.Errorf("%d loads of one function at once", len(fleet.frontEnd.loadTimes)-loads)
	}
}

// TestUnreachableWorkerHoldsNothing checks that a function whose only replica is on a listed worker without a process
// is loaded elsewhere at once, and not asked for at the dead address until the attempts are used up.
func TestUnreachableWorkerHoldsNothing(t *testing.T) {
	fleet := newSimulatedFleet(3, basicDeployment(), 3)
	fleet.sendAtInterval(1, 0.05, 2)
	for _, m := range fleet.workers {
		if m.replicas["f0"] {
			m.condition = partitioned
		}
	}
	req := fleet.frontEnds[0].sendRequest("late", "f0", fleet.deployment.RequestClasses[0], 3)
	fleet.advanceSteps(200)
	if !req.succeeded || len(req.attempts) > 2 {
		t.Errorf("succeeded %v after %d attempts", req.succeeded, len(req.attempts))
	}
	fleet.checkInvariants(t)
}
