package control

import (
	"strconv"
	"testing"

	"streamcleat/internal/units"
)

// The lease of a worker in use is renewed by a load command for a replica that it has loaded. If it rejects that, it
// drains.
func TestLease_RenewedWhileInUse(t *testing.T) {
	for outcome, serves := range map[Outcome]bool{Succeeded: true, Rejected: false, TimedOut: false} {
		h := newLeaseHost()
		h.request("a")
		h.clear()
		h.router.OnDiscoveryUnavailable(h.now)
		h.advance(tickSeconds)
		h.expect(t, nil, h.at("%s/f=1"))
		h.respondToQuery(h.home, outcome, 1)
		h.advance(tickSeconds)
		if got := h.router.MaySend(h.now, h.home); got != serves {
			t.Errorf("outcome %d: may send %v", outcome, got)
		}
		if confirmed := h.drains > 0; confirmed != (outcome == Rejected) {
			t.Errorf("outcome %d: %d drain messages", outcome, h.drains)
		}
	}
}

// Renewals cover workers in use only, and are limited to one for each request.
func TestLease_RenewalsAreLimited(t *testing.T) {
	h := newLeaseHost()
	h.request("a")
	h.clear()
	h.router.OnDiscoveryUnavailable(h.now)
	for range 40 {
		h.advance(tickSeconds)
		if len(h.queries) > 0 && h.queries[len(h.queries)-1] == h.at("%s/f=1")[0] {
			h.respondToQuery(h.home, Succeeded, 1)
		}
	}
	if len(h.queries) != 2 {
		t.Errorf("%d renewals after two requests: %v", len(h.queries), h.queries)
	}
}

// A worker that rejects an attempt within its lease is sent a renewal immediately, which shows whether it drains.
func TestLease_RejectionWithinLeaseIsConfirmed(t *testing.T) {
	for outcome, serves := range map[Outcome]bool{Succeeded: true, Rejected: false} {
		h := newOutage()
		h.admit("a")
		h.advance(0.1)
		h.endAttempt("a", h.home, Succeeded, 0.1)
		h.respondToQuery(h.home, Succeeded, 1) // the renewal of the tick
		h.request("b")
		h.clear()
		h.advance(0.05)
		h.endAttempt("b", h.home, Rejected, 0.05)
		if len(h.queries) == 0 || h.queries[0] != h.at("%s/f=1")[0] {
			t.Fatal("no renewal:", h.queries)
		}
		h.commanded = 1
		h.now += 0.01
		h.respondToQuery(h.home, outcome, 1)
		if got := h.router.MaySend(h.now, h.home); got != serves {
			t.Errorf("outcome %d: may send %v", outcome, got)
		}
	}
}

// The intervals between the queries of a worker that does not respond grow up to a maximum.
func TestLease_QueriesBackOff(t *testing.T) {
	h := newOutageWithPeers()
	var queriedAt []units.Seconds
	for i := range 400 {
		h.request(RequestID(strconv.Itoa(i)))
		for _, query := range h.queries {
			if query == h.at("%s/f=0")[0] {
				queriedAt = append(queriedAt, h.now)
			}
			h.respondToQuery(WorkerID(query[:2]), TimedOut, 0)
		}
		h.clear()
		h.advance(tickSeconds)
	}
	intervals := float64(len(queriedAt) - 1)
	if intervals < 100/(maxQueryBackoffSeconds+2*tickSeconds) || intervals > 100/(maxQueryBackoffSeconds/2) {
		t.Errorf("%d queries within 100 s: %v", len(queriedAt), queriedAt)
	}
}
