package control

import (
	"testing"
)

// TestAbandonLostLoads_UnresponsiveWorkerOnly checks that a replica stays warm after a lost connection, and that a load is
// abandoned only if its worker does not respond to other requests either.
func TestAbandonLostLoads_UnresponsiveWorkerOnly(t *testing.T) {
	fleet := newSimulatedFleet(9, basicDeployment(), 3)
	fleet.sendAtInterval(1, 0.2, 3)
	f := fleet.frontEnds[0]
	r, fn := f.router, f.router.functionsByID["f0"]
	req := f.sendRequest("x", "f0", fleet.deployment.RequestClasses[0], 3)
	f.endAttempt(req, req.attempts[0], 0, ConnectionLost)
	if !r.isWarm(&fn.replicas[0]) {
		t.Error("replica is not warm after a lost connection")
	}
	loading := r.workers[1]
	r.setPendingLoad(fn, loading)
	fn.loadCommandedAt, loading.lastResponseAt = r.now-60, r.now
	r.abandonLostLoads(loading)
	if fn.pendingLoadOn != loading {
		t.Error("load on a responsive worker was abandoned")
	}
	loading.lastResponseAt = r.now - 60
	r.abandonLostLoads(loading)
	if fn.pendingLoadOn == loading || loading.ejectedUntil <= r.now {
		t.Error("load on an unresponsive worker was not abandoned")
	}
}

// TestReplicaMissRate_EvictedReplicas checks that attempts whose replica has been evicted raise the miss rate, which
// lengthens the load cooldown.
func TestReplicaMissRate_EvictedReplicas(t *testing.T) {
	fleet := newSimulatedFleet(10, basicDeployment(), 4)
	fleet.sendAtInterval(2, 0.1, 4)
	for _, worker := range fleet.workers {
		worker.evictReplicas()
	}
	before := fleet.frontEnds[0].router.replicaMissRate
	fleet.sendAtInterval(2, 0.1, 1)
	if fleet.frontEnds[0].router.replicaMissRate <= before {
		t.Errorf("replica miss rate is still %g", before)
	}
}

// TestPreload_OneLoadWithinQuota checks that a preloaded function is warm when it is requested, that no load command is
// sent if there is a replica, a load is pending or the quota is exhausted, and that a preload starts no attempt.
func TestPreload_OneLoadWithinQuota(t *testing.T) {
	d := basicDeployment()
	d.LoadCommandWindow, d.LoadCommandAllowance = 5, 2
	fleet := newSimulatedFleet(4, d, 3)
	f := fleet.frontEnds[0]
	fleet.advance(0.1)
	preload := func(fn FunctionID) bool {
		return f.router.Preload(fleet.now, Request{Class: "idempotent", Function: fn, Concurrency: 1, LoadTime: 0.5})
	}
	if !preload("f0") || preload("f0") {
		t.Fatal("want exactly one load command")
	}
	fleet.advanceSteps(200)
	if preload("f0") || fleet.countReplicas() != 1 {
		t.Fatal("load command despite a warm replica")
	}
	req := f.sendRequest("e", "f0", d.RequestClasses[0], 3)
	if len(req.attempts) != 1 {
		t.Fatal("request for a preloaded function was not sent immediately")
	}
	preload("f1")
	if preload("f2") {
		t.Fatal("load command exceeds the quota")
	}
	fleet.checkInvariants(t)
}

// TestLoadCooldown_ReplicaWithoutCapacity checks that the cooldown is skipped if the only replica has no capacity while
// another worker is idle, unless loads are slow: another load would slow down the artifact store further.
func TestLoadCooldown_ReplicaWithoutCapacity(t *testing.T) {
	for _, c := range []struct {
		name         string
		loadSlowdown float64
		loads        bool
	}{{"normal loads", 1, true}, {"slow loads", 2, false}} {
		t.Run(c.name, func(t *testing.T) {
			fleet := newSimulatedFleet(1, basicDeployment(), 2)
			f := fleet.frontEnds[0]
			fleet.sendAtInterval(1, 0.1, 2)
			fn := f.router.functionsByID["f0"]
			fn.loadCooldownUntil, fn.lastRequestAt = f.router.now+9, f.router.now
			for _, w := range f.router.workers {
				if rep := fn.replicaOn(w); rep != nil && rep.warm {
					w.concurrencyLimit = 0
				}
			}
			f.router.loadSlowdown = c.loadSlowdown
			f.sendRequest("x", "f0", fleet.deployment.RequestClasses[0], 3)
			if loads := fn.pendingLoadOn != nil; loads != c.loads {
				t.Errorf("load command sent: %v, want %v", loads, c.loads)
			}
		})
	}
}

// TestWaitForPendingLoad_LoadEndsAfterDeadline checks that a request does not wait for a load that is expected to end
// after its deadline, so that its client can retry.
func TestWaitForPendingLoad_LoadEndsAfterDeadline(t *testing.T) {
	for _, c := range []struct {
		name         string
		loadSlowdown float64
		waits        bool
	}{{"before the deadline", 1, true}, {"after the deadline", 20, false}} {
		t.Run(c.name, func(t *testing.T) {
			fleet := newSimulatedFleet(1, basicDeployment(), 2)
			f := fleet.frontEnds[0]
			f.router.loadSlowdown = c.loadSlowdown
			f.requests["e"] = &clientRequest{}
			f.router.OnRequest(fleet.now, Request{ID: "e", Class: "idempotent", Function: "f", TimeLeft: 3, LoadTime: 0.5})
			waits, loads := f.router.requests["e"] != nil, f.router.functionsByID["f"].pendingLoadOn != nil
			if waits != c.waits || !loads {
				t.Errorf("request waits: %v, load pending: %v", waits, loads)
			}
		})
	}
}

// TestLoadBackoff_WorkerNotLoading checks that a worker that is first in rendezvous order but cannot load replicas, for
// example one that is still listed after a crash, does not receive every load command for a function.
func TestLoadBackoff_WorkerNotLoading(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
	}{{"unreachable", Unreachable}, {"connection lost", ConnectionLost}, {"rejected", Rejected}} {
		t.Run(c.name, func(t *testing.T) {
			fleet := newSimulatedFleet(1, basicDeployment(), 3)
			f := fleet.frontEnds[0]
			f.requests["e"] = &clientRequest{}
			f.router.OnRequest(fleet.now, Request{ID: "e", Class: "idempotent", Function: "f", TimeLeft: 3})
			fn := f.router.functionsByID["f"]
			first := fn.pendingLoadOn
			f.router.OnLoadResult(fleet.now+0.001, LoadResult{Worker: first.id, Function: "f", Outcome: c.outcome, Duration: 0.001})
			if fn.pendingLoadOn == nil || fn.pendingLoadOn == first {
				t.Errorf("after a failed load on %v, the load is pending on %v", first, fn.pendingLoadOn)
			}
		})
	}
}
