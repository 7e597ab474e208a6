package control

import (
	"fmt"
	"testing"
)

// TestLostConnectionsAndSlowStores checks that a lost connection says nothing of the replicas there, nor a slow store
// of its worker, and that a load on a silent worker is abandoned.
func TestLostConnectionsAndSlowStores(t *testing.T) {
	fleet := newSimulatedFleet(9, basicDeployment(), 3)
	fleet.sendAtInterval(1, 0.2, 3)
	f := fleet.frontEnds[0]
	r, fn := f.router, f.router.functionsByID["f0"]
	req := f.sendRequest("x", "f0", fleet.deployment.RequestClasses[0], 3)
	f.endAttempt(req, req.attempts[0], 0, ConnectionLost)
	if !r.isWarm(&fn.replicas[0]) {
		t.Error("a replica is forgotten for a lost connection")
	}
	loading := r.workers[1]
	fn.pendingLoadOn, fn.loadCommandedAt, loading.lastResponseAt = loading, r.now-60, r.now
	r.abandonLostLoads(loading)
	if fn.pendingLoadOn != loading {
		t.Error("a load on a live worker is abandoned")
	}
	loading.lastResponseAt = r.now - 60
	r.abandonLostLoads(loading)
	if fn.pendingLoadOn == loading || loading.ejectedUntil <= r.now {
		t.Error("a load on a silent worker is waited for")
	}
}

// TestLostReplicasSlowLoads checks that replicas which were believed warm and are gone raise the loss rate, by which
// loads beside others wait longer.
func TestLostReplicasSlowLoads(t *testing.T) {
	fleet := newSimulatedFleet(10, basicDeployment(), 4)
	fleet.sendAtInterval(2, 0.1, 4)
	for _, m := range fleet.workers {
		m.evictReplicas()
	}
	before := fleet.frontEnds[0].router.replicaMissRate
	fleet.sendAtInterval(2, 0.1, 1)
	if fleet.frontEnds[0].router.replicaMissRate <= before {
		t.Errorf("the replica loss rate stays at %g", before)
	}
}

// TestPreload checks that a preloaded function is there when it is requested, that a replica, a pending load and a
// used ration get no load command, and that no attempt is started.
func TestPreload(t *testing.T) {
	d := basicDeployment()
	d.LoadCommandWindow, d.LoadCommandAllowance = 5, 2
	fleet := newSimulatedFleet(4, d, 3)
	f := fleet.frontEnds[0]
	fleet.advance(0.1)
	preload := func(fn FunctionID) bool {
		return f.router.Preload(fleet.now, Request{Class: "free", Function: fn, Concurrency: 1, LoadTime: 0.5})
	}
	if !preload("f0") || preload("f0") {
		t.Fatal("one load command is wanted, not none or two")
	}
	fleet.advanceSteps(200)
	if preload("f0") || fleet.countReplicas() != 1 {
		t.Fatal("a load command though there is a replica")
	}
	req := f.sendRequest("e", "f0", d.RequestClasses[0], 3)
	if len(req.attempts) != 1 {
		t.Fatal("the request had to wait")
	}
	preload("f1")
	if preload("f2") {
		t.Fatal("a load command past the ration")
	}
	fleet.checkInvariants(t)
}

// TestFullReplicaDoesNotKeepThePause checks that a replica whose worker has no capacity is no reason to reject
// requests beside an idle worker, unless loads take longer than is usual: then one more would slow the store.
func TestFullReplicaDoesNotKeepThePause(t *testing.T) {
	for _, storeIsSlow := range []bool{false, true} {
		t.Run(fmt.Sprint("slow store ", storeIsSlow), func(t *testing.T) {
			fleet := newSimulatedFleet(1, basicDeployment(), 2)
			f := fleet.frontEnds[0]
			fleet.sendAtInterval(1, 0.1, 2)
			fn := f.router.functionsByID["f0"]
			fn.loadCooldownUntil, fn.lastRequestAt = f.router.now+9, f.router.now
			for _, worker := range f.router.workers {
				if rep := fn.replicaOn(worker); rep != nil && rep.warm {
					worker.concurrencyLimit = 0
				}
			}
			f.router.loadSlowdown = 1
			if storeIsSlow {
				f.router.loadSlowdown = 2
			}
			f.sendRequest("late", "f0", fleet.deployment.RequestClasses[0], 3)
			if loads := fn.pendingLoadOn != nil; loads == storeIsSlow {
				t.Errorf("loads another replica: %v", loads)
			}
		})
	}
}

// TestNoWaitBehindASlowStore checks that a request does not wait for a load that cannot end before its deadline, so
// that its client can come back.
func TestNoWaitBehindASlowStore(t *testing.T) {
	for _, loadSlowdown := range []float64{1, 20} {
		t.Run(fmt.Sprint("load slowdown ", loadSlowdown), func(t *testing.T) {
			fleet := newSimulatedFleet(1, basicDeployment(), 2)
			f := fleet.frontEnds[0]
			f.router.loadSlowdown = loadSlowdown
			f.requests["e"] = &clientRequest{}
			f.router.OnRequest(fleet.now, Request{ID: "e", Class: "free", Function: "f", TimeLeft: 3, LoadTime: 0.5})
			waits, loads := f.router.requests["e"] != nil, f.router.functionsByID["f"].pendingLoadOn != nil
			if waits != (loadSlowdown == 1) || !loads {
				t.Errorf("waits %v, loads %v", waits, loads)
			}
		})
	}
}

// TestLoadsLeaveADeadWorker checks that a dead worker which is still listed, first in rendezvous order, does not get
// load after load until its requests have none left to wait for.
func TestLoadsLeaveADeadWorker(t *testing.T) {
	for _, outcome := range []Outcome{Unreachable, ConnectionLost, Rejected} {
		t.Run(fmt.Sprint("outcome ", outcome), func(t *testing.T) {
			fleet := newSimulatedFleet(1, basicDeployment(), 3)
			f := fleet.frontEnds[0]
			f.requests["e"] = &clientRequest{}
			f.router.OnRequest(fleet.now, Request{ID: "e", Class: "free", Function: "f", TimeLeft: 3})
			fn := f.router.functionsByID["f"]
			dead := fn.pendingLoadOn
			f.router.OnLoadResult(fleet.now+0.001, LoadResult{Worker: dead.id, Function: "f", Outcome: outcome, Duration: 0.001})
			if fn.pendingLoadOn == nil || fn.pendingLoadOn == dead {
				t.Errorf("the load goes from %v to %v", dead, fn.pendingLoadOn)
			}
		})
	}
}
