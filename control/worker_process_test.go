package control

import (
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

// A worker may be replaced at its address after the last update and before the discovery outage is detected. The
// disconnection takes effect once discovery is unavailable, unless discovery confirmed the list after it. The process may have
// started as late as its first response.
func TestLease_DisconnectionBeforeOutageIsDetected(t *testing.T) {
	for name, confirmedAfter := range map[string]bool{"later update": true, "no later update": false} {
		h := newLeaseHost()
		w := h.router.workersByID[h.home]
		h.now += 0.1
		h.router.OnDisconnected(h.now, h.home)
		if h.router.warmUpProgress(w, h.now) < 1 {
			t.Errorf("%s: cold while discovery is available", name)
		}
		if confirmedAfter {
			h.router.OnDiscoveryAvailable(h.now+0.1, h.now+0.1)
		}
		h.router.OnDiscoveryUnavailable(h.now + 0.1)
		h.advance(2)
		if isCold := h.router.warmUpProgress(w, h.now) < 1; isCold == confirmedAfter {
			t.Errorf("%s: cold %v", name, isCold)
		}
		h.router.onReply(w, w.process, Succeeded)
		wantsInitial := !confirmedAfter
		isInitial := h.router.warmUpProgress(w, h.now) == h.router.deployment.InitialCapacityFraction
		if isInitial != wantsInitial {
			t.Errorf("%s: has the capacity of a process that just started: %v", name, isInitial)
		}
		h.advance(h.router.deployment.WarmUpTime)
		if h.router.warmUpProgress(w, h.now) < 1 {
			t.Errorf("%s: still cold after the warm-up time", name)
		}
	}
}
