package control

import (
	"testing"
)

// A worker that ended its connections while discovery is not heard may be another, cold process: it needs a new proof, is
// warmed up, and is no member of its deduplication scope, until discovery is heard.
func TestLease_DisconnectedWorkerMayBeAnotherProcess(t *testing.T) {
	for name, c := range map[string]struct {
		host  *leaseHost
		heard bool
	}{"heard": {newLeaseHost(), true}, "not heard": {newOutage(), false}} {
		h := c.host
		w := h.router.workersByID[h.home]
		w.recordAcceptance(h.now)
		h.router.OnDisconnected(h.now, h.home)
		keyed := &request{
			class:            &RequestClass{Semantics: IdempotentByKey, DeduplicationScope: ScopeZone, DeduplicationWindow: 9},
			possiblyExecuted: true, firstExecutionOn: w, firstExecutionAt: h.now,
		}
		w.grantedCredits = 1
		isCold := h.router.warmUpProgress(w, h.now) < 1
		if h.router.MaySend(h.now, h.home) != c.heard || isCold == c.heard || h.router.isEligible(keyed, w) != c.heard {
			t.Errorf("%s: may send %v, cold %v, eligible for a keyed retry %v", name, h.router.MaySend(h.now, h.home), isCold, h.router.isEligible(keyed, w))
		}
		h.router.OnDiscoveryConfirmed(h.now, h.now)
		if h.router.warmUpProgress(w, h.now) < 1 {
			t.Errorf("%s: cold although discovery lists it as warm", name)
		}
	}
}

// A worker may be replaced at its address after the last news and before the loss is noticed: the disconnection counts once
// discovery is no longer heard, unless later news came. The process may have started as late as its first reply.
func TestLease_DisconnectionBeforeLossIsNoticed(t *testing.T) {
	for name, heardAfter := range map[string]bool{"later news": true, "no later news": false} {
		h := newLeaseHost()
		w := h.router.workersByID[h.home]
		h.now += 0.1
		h.router.OnDisconnected(h.now, h.home)
		if h.router.warmUpProgress(w, h.now) < 1 {
			t.Errorf("%s: cold while discovery is heard", name)
		}
		if heardAfter {
			h.router.OnDiscoveryConfirmed(h.now+0.1, h.now+0.1)
		}
		h.router.OnDiscoveryDisconnected(h.now + 0.1)
		h.advance(2)
		if isCold := h.router.warmUpProgress(w, h.now) < 1; isCold == heardAfter {
			t.Errorf("%s: cold %v", name, isCold)
		}
		h.router.onReply(w, Succeeded)
		wantsInitial := !heardAfter
		isInitial := h.router.warmUpProgress(w, h.now) == h.router.deployment.InitialCapacityFraction
		if isInitial != wantsInitial {
			t.Errorf("%s: at the capacity of a process that just started: %v", name, isInitial)
		}
		h.advance(h.router.deployment.WarmUpTime)
		if h.router.warmUpProgress(w, h.now) < 1 {
			t.Errorf("%s: still cold after the time to warm up", name)
		}
	}
}
