package control

import (
	"fmt"
	"strings"
	"testing"
)

// A worker whose connections ended during a discovery outage may be another, cold process. Until discovery is available, its
// lease must be confirmed again, it is warmed up, and it is not a member of its deduplication scope.
func TestLease_DisconnectedWorkerMayBeAnotherProcess(t *testing.T) {
	for name, c := range map[string]struct {
		host      *leaseHost
		available bool
	}{"available": {newLeaseHost(), true}, "unavailable": {newOutage(), false}} {
		h := c.host
		w := h.router.workersByID[h.home]
		w.recordAcceptance(h.now)
		executedBy := w.process
		h.router.OnDisconnected(h.now, h.home)
		keyed := &request{
			class:            &RequestClass{Semantics: IdempotentByKey, DeduplicationScope: ScopeZone, DeduplicationWindow: 9},
			possiblyExecuted: true, firstExecutionBy: executedBy, firstExecutionAt: h.now,
		}
		w.grantedCredits = 1
		isCold := h.router.warmUpProgress(w, h.now) < 1
		if h.router.MaySend(h.now, h.home) != c.available || isCold == c.available || h.router.isEligible(keyed, w) != c.available {
			t.Errorf("%s: may send %v, cold %v, eligible for a keyed retry %v", name, h.router.MaySend(h.now, h.home), isCold, h.router.isEligible(keyed, w))
		}
		h.router.OnDiscoveryAvailable(h.now, h.now)
		if h.router.warmUpProgress(w, h.now) < 1 {
			t.Errorf("%s: cold although discovery lists it as warm", name)
		}
	}
}

// Without a response before discovery last confirmed the list, a worker may have been replaced at its address before or during
// the outage: it may have terminated before, be listed still, and return right after. The process may have started as late as
// its first response.
func TestLease_WorkerWithoutConnectionMayBeAnotherProcess(t *testing.T) {
	for name, c := range map[string]struct {
		steps  string
		isCold bool
	}{
		"connected":                  {"", false},
		"disconnected":               {"disconnect", true},
		"disconnected, later update": {"disconnect list", true},
		"disconnected, later update and response":     {"disconnect list reply", true},
		"the same, response after a lease":            {"disconnect list wait reply", true},
		"disconnected, later response and update":     {"disconnect reply list", true},
		"the same, update after the listing delay":    {"disconnect reply later list", false},
		"removed and listed again":                    {"remove return list", true},
		"removed, listed again, response and update":  {"remove return reply list", true},
		"the same, that update later":                 {"remove return reply later list", false},
		"another connection, not yet verified":        {"uncertain", true},
		"another connection, response and update":     {"uncertain reply list", true},
		"another connection, verified":                {"uncertain confirmed", false},
		"disconnected, another one, not yet verified": {"disconnect list wait reply uncertain", true},
		"disconnected, another one, verified":         {"disconnect list wait reply uncertain confirmed", true},
	} {
		h := newKeyedHost()
		h.play(c.steps)
		w := h.router.workersByID[h.home]
		if h.router.warmUpProgress(w, h.now) < 1 {
			t.Errorf("%s: cold while discovery is available", name)
		}
		h.play("outage")
		h.advance(2)
		if isCold := h.router.warmUpProgress(w, h.now) < 1; isCold != c.isCold {
			t.Errorf("%s: cold %v", name, isCold)
		}
		if !c.isCold {
			continue
		}
		h.play("disconnect reply")
		if progress := h.router.warmUpProgress(w, h.now-0.01); progress != h.router.deployment.InitialCapacityFraction {
			t.Errorf("%s: has %v of its capacity at its first response", name, progress)
		}
		h.advance(h.router.deployment.WarmUpTime)
		if h.router.warmUpProgress(w, h.now) < 1 {
			t.Errorf("%s: still cold after the warm-up time", name)
		}
	}
}

// Guards against a cold worker that was pushed over in a discovery outage: it had died and returned at its address, and a front
// end without a connection to it took it for the warm process that was listed. The front end queried it, ordered a replica and
// sent it every request. The first attempts must be within the budget of a process that starts with the outage.
func TestSlowStart_UnconnectedWorkerInOutage(t *testing.T) {
	for name, connect := range map[string]func(h *leaseHost){
		"warm, used before the last list":     func(h *leaseHost) { h.connectAll(); h.confirmListLater() },
		"warm, first used just before it":     func(h *leaseHost) { h.connectAll(); h.confirmList() },
		"first used then, long after a start": func(h *leaseHost) { h.confirmListLater(); h.confirmListLater(); h.connectAll(); h.confirmList() },
		"used anew just before the last list": func(h *leaseHost) { h.connectAll(); h.disconnectAll(); h.connectAll(); h.confirmList() },
		"never used":                          func(*leaseHost) {},
		"used and idle before the outage":     func(h *leaseHost) { h.connectAll(); h.disconnectAll(); h.confirmListLater() },
		"disconnected after the last list":    func(h *leaseHost) { h.connectAll(); h.confirmListLater(); h.disconnectAll() },
		"other address, not used since":       func(h *leaseHost) { h.connectAll(); h.list(Worker{Address: "b"}); h.confirmListLater() },
		"returned to service, not used since": func(h *leaseHost) {
			h.connectAll()
			h.list(Worker{State: Draining})
			h.list(Worker{})
			h.confirmListLater()
		},
		"warm, listed with another weight":  func(h *leaseHost) { h.connectAll(); h.confirmListLater(); h.list(Worker{Weight: 2}) },
		"used just after the last list":     func(h *leaseHost) { h.confirmList(); h.connectAll() },
		"first used a lease after it":       func(h *leaseHost) { h.confirmList(); h.now += testDrainGrace; h.connectAll() },
		"suspended since before the outage": func(h *leaseHost) { h.now += 60 },
	} {
		h := newUnconnectedHost()
		connect(h)
		h.router.OnDiscoveryUnavailable(h.now)
		h.advance(testDrainGrace)
		h.clear()
		const requests = 40
		for i := range requests {
			h.request(RequestID(fmt.Sprint(name, i)))
			h.respondToAll()
			h.advance(0.02)
		}
		h.advance(tickSeconds)
		// The rate that the front end has seen on warm workers is 0, so that it has one credit in a window at most.
		isWithinBudget := len(h.attempts) <= 2
		if isWarm := strings.HasPrefix(name, "warm"); isWithinBudget == isWarm {
			t.Errorf("%s: %d attempts of %d requests", name, len(h.attempts), requests)
		}
	}
}

// Guards against a cold worker that is pushed over by front ends whose watch was interrupted: the list is valid for a lease longer, as
// a drain has a grace, but the start of a process counts from its event on.
func TestSlowStart_InterruptedWatch(t *testing.T) {
	for name, c := range map[string]struct {
		play      func(h *leaseHost)
		isLimited bool
	}{
		"interrupted":               {func(h *leaseHost) { h.router.OnDiscoveryUnavailable(h.now) }, true},
		"suspended":                 {func(h *leaseHost) { h.now += 2 * maxInputGapSeconds }, true},
		"interrupted and heard":     {func(h *leaseHost) { h.router.OnDiscoveryUnavailable(h.now); h.confirmList() }, false},
		"interrupted, known before": {func(h *leaseHost) { h.connectAll(); h.confirmListLater(); h.router.OnDiscoveryUnavailable(h.now) }, false},
	} {
		h := newUnconnectedHost()
		c.play(h)
		for i := range 40 {
			h.request(RequestID(fmt.Sprint(name, i)))
			h.respondToAll()
		}
		if isLimited := len(h.attempts) <= 1; isLimited != c.isLimited {
			t.Errorf("%s: %d attempts", name, len(h.attempts))
		}
	}
}

// Guards against a cold worker that is pushed over behind a second connection: a machine that vanishes leaves the first one open and
// silent, and the second one reaches the process that has taken the address. Until the first one is known to be alive, attempts
// are within the budget of a process that has just started.
func TestSlowStart_LaterConnectionInOutage(t *testing.T) {
	for name, c := range map[string]struct{ isAvailable, isConfirmed bool }{
		"outage, not verified": {}, "outage, verified": {isConfirmed: true}, "discovery is available": {isAvailable: true},
	} {
		h := newUnconnectedHost()
		h.connectAll()
		h.confirmListLater()
		if !c.isAvailable {
			h.router.OnDiscoveryUnavailable(h.now)
			h.advance(testDrainGrace)
		}
		if verify := h.router.OnProcessUncertain(h.now, "w0"); verify == c.isAvailable {
			t.Errorf("%s: to be verified: %v", name, verify)
		}
		if c.isConfirmed {
			h.router.OnProcessConfirmed(h.now, "w0")
		}
		h.clear()
		for i := range 40 {
			h.request(RequestID(fmt.Sprint(name, i)))
			h.respondToAll()
			h.now += 0.02
		}
		if isLimited := len(h.attempts) <= 2; isLimited == (c.isConfirmed || c.isAvailable) {
			t.Errorf("%s: %d attempts", name, len(h.attempts))
		}
	}
}

// newUnconnectedHost returns the host of a router without peers that has not used its workers. It knows that draining workers
// reject queries.
func newUnconnectedHost() *leaseHost {
	h := &leaseHost{now: 100}
	deployment := basicDeployment()
	deployment.EndpointLeases, deployment.DrainGrace = true, testDrainGrace
	h.router = New(deployment, 1, h, h.now)
	h.router.Start()
	h.list(Worker{})
	h.confirmList()
	h.router.queriesShowDrains = true
	return h
}

// list sends the router a list of one worker.
func (h *leaseHost) list(worker Worker) {
	worker.ID, worker.Weight = "w0", max(worker.Weight, 1)
	h.router.OnEndpointUpdate(h.now, Snapshot, []Worker{worker})
}

// listWorker sends the router the entry of one worker.
func (h *leaseHost) listWorker(worker Worker) {
	h.router.OnEndpointUpdate(h.now, Delta, []Worker{worker})
}

// confirmList confirms the list a little later.
func (h *leaseHost) confirmList() {
	h.now += 0.01
	h.router.OnDiscoveryAvailable(h.now, h.now)
}

// confirmListLater confirms the list when discovery must have listed all processes that have responded.
func (h *leaseHost) confirmListLater() {
	h.advance(listingDelaySeconds)
	h.confirmList()
}

// connectAll reports a response of each worker a little later.
func (h *leaseHost) connectAll() {
	h.now += 0.01
	h.router.advance(h.now)
	for _, w := range h.router.workers {
		h.router.onReply(w, w.process, h.now, Succeeded)
	}
}

// disconnectAll reports the end of all connections a little later.
func (h *leaseHost) disconnectAll() {
	h.now += 0.01
	for _, w := range h.router.workers {
		h.router.OnDisconnected(h.now, w.id)
	}
}

// respondToAll reports that the pending queries and load commands have succeeded.
func (h *leaseHost) respondToAll() {
	for _, w := range h.router.workers {
		if w.lease.queryPending {
			h.respondToQuery(w.id, Succeeded, 0)
		}
	}
	if len(h.loads) > 0 {
		h.loads = nil
		h.loaded("w0")
	}
}

// A polled list that has expired shows no more than a discovery service that is out of reach: a worker that was not used lately may
// have been replaced since, at its address.
func TestSlowStart_ExpiredPolledList(t *testing.T) {
	for name, c := range map[string]struct{ isSubscribed, isUsed, isCold bool }{
		"not used": {isCold: true}, "used for longer than the warm-up time": {isUsed: true}, "subscribed": {isSubscribed: true},
	} {
		h := &leaseHost{now: 100}
		deployment := basicDeployment()
		deployment.PollEndpoints, deployment.PollLease, deployment.DrainGrace = true, 40, testDrainGrace
		h.router = New(deployment, 1, h, h.now)
		h.router.Start()
		h.list(Worker{})
		h.router.OnEndpointPollFailed(h.now)
		if c.isSubscribed {
			h.router.OnEndpointPollSucceeded(h.now)
		}
		if c.isUsed {
			h.connectAll()
		}
		w := h.router.workersByID["w0"]
		if h.advance(39); h.router.warmUpProgress(w, h.now) < 1 {
			t.Errorf("%s: cold while the list is valid", name)
		}
		h.advance(2)
		if isCold := h.router.warmUpProgress(w, h.now) < 1; isCold != c.isCold {
			t.Errorf("%s: cold %v", name, isCold)
		}
	}
}
