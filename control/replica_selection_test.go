package control

import (
	"fmt"
	"testing"
)

// TestRendezvousOrder_FrontEndsAgree checks that front ends without gossip load a function on the same worker.
func TestRendezvousOrder_FrontEndsAgree(t *testing.T) {
	d := basicDeployment()
	d.FrontEnds = 3
	fleet := newSimulatedFleet(5, d, 8)
	fleet.sendAtInterval(4, 0.1, 4)
	if replicas := fleet.countReplicas(); replicas > 6 {
		t.Errorf("4 functions have %d replicas", replicas)
	}
	fleet.checkInvariants(t)
}

// TestTargetReplicas_HotFunctionOfManyFrontEnds checks that many front ends, none of which fills a replica by itself,
// spread a hot function over several replicas, and that malformed gossip messages change nothing.
func TestTargetReplicas_HotFunctionOfManyFrontEnds(t *testing.T) {
	for _, gossip := range []bool{false, true} {
		t.Run(fmt.Sprint("gossip ", gossip), func(t *testing.T) {
			d := basicDeployment()
			d.FrontEnds, d.GossipAllowed = 60, gossip
			fleet := newSimulatedFleet(13, d, 12)
			fleet.sendAtInterval(1, 0.01, 8)
			if replicas := fleet.countReplicas(); replicas < 4 {
				t.Errorf("a function with 100 requests per second has %d replicas", replicas)
			}
			fleet.checkInvariants(t)
			r := fleet.frontEnds[0].router
			before := describeGossipState(r)
			for _, message := range [][]byte{nil, {1}, {1, 2, 3, 4, 5}, {1, 2, 3, 4}} {
				r.OnGossip(fleet.now, message)
			}
			if after := describeGossipState(r); after != before {
				t.Errorf("malformed messages changed %s to %s", before, after)
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

// TestTargetReplicas_FewFrontEnds checks that the response rate determines the target replicas, and that a quick load
// ends the cooldown, only with many front ends. With few, each receives enough of a function's requests to estimate them.
func TestTargetReplicas_FewFrontEnds(t *testing.T) {
	for _, frontEnds := range []int{2, 60} {
		t.Run(fmt.Sprint(frontEnds, " front ends"), func(t *testing.T) {
			d := basicDeployment()
			d.FrontEnds, d.GossipAllowed = frontEnds, true
			r := newSimulatedFleet(15, d, 3).frontEnds[0].router
			fn := &function{id: "f", concurrency: 1, targetReplicas: 1, loadCooldownUntil: r.now + 9}
			r.functionsByID["f"], r.latencyP20 = fn, 0.5
			r.recordResponses(fn, 100)
			r.OnLoadResult(r.now, LoadResult{Worker: r.workers[0].id, Function: "f", Outcome: Succeeded, Replicas: 1, Duration: 0.01})
			isMany := frontEnds > 2
			if (fn.targetReplicas > 1) != isMany || (fn.loadCooldownUntil <= r.now) != isMany {
				t.Errorf("target replicas %g, cooldown until %g at %g", fn.targetReplicas, fn.loadCooldownUntil, r.now)
			}
		})
	}
}

// fleetWithReplica is a fleet with one front end, which knows of one replica of a function.
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

// replicaWorker returns the simulated worker that holds the replica.
func (s *fleetWithReplica) replicaWorker() *simulatedWorker { return s.workers[s.replica.worker.index] }

func TestIsWarm_IdleReplica(t *testing.T) {
	fleet := newFleetWithReplica()
	fleet.replica.lastSeenAt = fleet.router.now - 7.9
	if !fleet.router.isWarm(fleet.replica) {
		t.Error("replica is not warm before the end of its idle lifetime")
	}
	fleet.replica.lastSeenAt = fleet.router.now - 8.1
	if fleet.router.isWarm(fleet.replica) {
		t.Error("replica is warm after its idle lifetime")
	}
}

func TestPickReplica_OverloadedAtTwiceItsConcurrency(t *testing.T) {
	fleet := newFleetWithReplica()
	pick := func(filter overloadFilter) *worker {
		req := &request{function: fleet.function, class: &fleet.deployment.RequestClasses[0]}
		picked, _ := fleet.router.pickReplica(req, filter)
		return picked
	}
	fleet.replica.inFlight = 3
	if pick(excludeOverloaded) != fleet.replica.worker {
		t.Error("replica below twice its concurrency is excluded")
	}
	fleet.replica.inFlight = 4
	if pick(excludeOverloaded) != nil || pick(includeOverloaded) != fleet.replica.worker {
		t.Error("replica at twice its concurrency is not excluded, or is not picked with includeOverloaded")
	}
}

func TestIsWarm_WorkerRestarted(t *testing.T) {
	fleet := newFleetWithReplica()
	fleet.replicaWorker().restart(fleet.now)
	fleet.frontEnd.sendEndpointList()
	if fleet.replica.warm {
		t.Error("replica is warm after its worker restarted")
	}
}

// TestReplicaMissing_OneLoad checks that a replica miss marks the replica as not warm, and that a function has only one
// pending load at a time.
func TestReplicaMissing_OneLoad(t *testing.T) {
	fleet := newFleetWithReplica()
	fleet.replicaWorker().evictReplicas()
	loads := len(fleet.frontEnd.loadTimes)
	class := fleet.deployment.RequestClasses[0]
	fleet.frontEnd.sendRequest("m", "f0", class, 3)
	fleet.advance(0.02)
	if fleet.replica.warm || len(fleet.frontEnd.loadTimes) != loads+1 {
		t.Errorf("after a miss: replica warm: %v, %d load commands", fleet.replica.warm, len(fleet.frontEnd.loadTimes)-loads)
	}
	for i := range 5 {
		fleet.frontEnd.sendRequest(RequestID(fmt.Sprint("n", i)), "f0", class, 3)
	}
	if len(fleet.frontEnd.loadTimes) != loads+1 {
		t.Errorf("%d concurrent loads of one function", len(fleet.frontEnd.loadTimes)-loads)
	}
}

// TestUnreachableWorker_FunctionLoadedElsewhere checks that a function whose only replica is on an unreachable worker that
// is still listed is loaded elsewhere immediately, before the attempts of its requests are exhausted.
func TestUnreachableWorker_FunctionLoadedElsewhere(t *testing.T) {
	fleet := newSimulatedFleet(3, basicDeployment(), 3)
	fleet.sendAtInterval(1, 0.05, 2)
	for _, worker := range fleet.workers {
		if worker.replicas["f0"] {
			worker.condition = partitioned
		}
	}
	req := fleet.frontEnds[0].sendRequest("x", "f0", fleet.deployment.RequestClasses[0], 3)
	fleet.advanceSteps(200)
	if !req.succeeded || len(req.attempts) > 2 {
		t.Errorf("succeeded: %v after %d attempts", req.succeeded, len(req.attempts))
	}
	fleet.checkInvariants(t)
}
