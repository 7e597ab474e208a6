package control

import (
	"fmt"
	"slices"
	"testing"

	"streamcleat/internal/units"
)

// Guards against fleets that serve next to nothing in an outage although their workers are well: those that may be other processes are
// queried as the outage begins, so that their warm-up time counts from then. Others are not, until their connections are idle.
func TestContact_QueriesWorkersThatMayBeCold(t *testing.T) {
	for name, c := range map[string]struct {
		workers, frontEnds, want int
		prepare                  func(h *leaseHost)
	}{
		"few front ends":                {12, 3, 12, nil},
		"many front ends":               {120, 300, 13, nil},
		"very many workers":             {3200, 300, 16, nil},
		"workers known as warm":         {12, 3, 0, func(h *leaseHost) { h.connectAll(); h.confirmListLater() }},
		"no load commands":              {12, 3, 0, func(h *leaseHost) { h.router.deployment.LoadCommandsAllowed = false }},
		"no request so far":             {12, 3, 0, func(h *leaseHost) { h.router.latestFunction = nil }},
		"a list that is valid for good": {12, 3, 0, func(h *leaseHost) { h.router.deployment.EndpointLeases = false }},
		"a draining worker in a list":   {12, 3, 11, func(h *leaseHost) { h.listWorker(Worker{ID: "w7", State: Draining}) }},
	} {
		h := newUnconnectedHost()
		h.router.deployment.FrontEnds = c.frontEnds
		for i := range c.workers {
			h.listWorker(Worker{ID: WorkerID(fmt.Sprint("w", i))})
		}
		h.router.functionOf(Request{Function: "f"})
		if c.prepare != nil {
			c.prepare(h)
		}
		h.confirmList()
		h.clear()
		h.router.OnDiscoveryUnavailable(h.now)
		h.advance(tickSeconds)
		slices.Sort(h.queries)
		if queried := len(slices.Compact(h.queries)); queried != c.want || len(h.queries) != c.want {
			t.Errorf("%s: %d queries, want %d", name, len(h.queries), c.want)
		}
	}
}

// A worker that serves nothing is queried again before its connection is closed as idle, also if it is known as warm. One that does not
// respond is queried after a backoff.
func TestContact_IsRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		idleTimeout units.Seconds
		outcome     Outcome
		isKnown     bool
		after       units.Seconds
	}{
		"closed as idle":        {3, Succeeded, false, 1.5},
		"known, closed as idle": {3, Succeeded, true, 1.5},
		"unreachable":           {0, Unreachable, false, minQueryBackoffSeconds},
	} {
		h := newUnconnectedHost()
		h.router.deployment.IdleTimeout = c.idleTimeout
		h.router.functionOf(Request{Function: "f"})
		if c.isKnown {
			h.connectAll()
			h.confirmListLater()
		}
		h.router.OnDiscoveryUnavailable(h.now)
		h.advance(tickSeconds)
		h.respondToQuery("w0", c.outcome, 0)
		h.clear()
		h.advance(c.after * (1 - queryBackoffJitter) / 2)
		early := len(h.queries)
		h.advance(c.after)
		if early > 0 || len(h.queries) != 1 {
			t.Errorf("%s: %d queries early, %d in all", name, early, len(h.queries))
		}
	}
}

// Without a limit on idle time one query of each worker is enough.
func TestContact_IsNotRepeatedWithoutIdleTimeout(t *testing.T) {
	h := newUnconnectedHost()
	h.router.functionOf(Request{Function: "f"})
	h.router.OnDiscoveryUnavailable(h.now)
	h.advance(tickSeconds)
	h.respondToQuery("w0", Succeeded, 0)
	h.clear()
	if h.advance(20); len(h.queries) > 0 {
		t.Errorf("queries %v", h.queries)
	}
}
