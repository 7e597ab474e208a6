package control

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
)

// Workers without a lease are sent nothing, whether or not a confirmed worker has room. If one of them drains and was not used
// recently, the first message to it would be sent after the drain grace.
func TestLease_UnconfirmedWorkersAreNotUsed(t *testing.T) {
	for name, c := range map[string]struct {
		confirmed, unconfirmed int
		busy                   bool
	}{
		"two thirds confirmed":     {confirmed: 6, unconfirmed: 3},
		"two thirds, without room": {confirmed: 6, unconfirmed: 3, busy: true},
		"four fifths, no room":     {confirmed: 8, unconfirmed: 2, busy: true},
		"one in ten, with room":    {confirmed: 1, unconfirmed: 9},
		"none":                     {confirmed: 0, unconfirmed: 9},
	} {
		h := newOutageWithoutQueryEvidence()
		h.router.deployment.FrontEnds = 1
		var endpoints []Worker
		for i := range c.confirmed + c.unconfirmed {
			endpoints = append(endpoints, Worker{ID: WorkerID(fmt.Sprint("v", i)), Weight: 1})
		}
		h.router.OnEndpointUpdate(h.now, Snapshot, endpoints)
		for i := range c.confirmed {
			w := h.router.workersByID[endpoints[i].ID]
			w.recordAcceptance(h.now)
			if c.busy {
				w.concurrencyLimit = 0
			}
		}
		for i, endpoint := range endpoints {
			w := h.router.workersByID[endpoint.ID]
			if isConfirmed := i < c.confirmed; h.router.mayUse(w) != isConfirmed || h.router.MaySend(h.now, w.id) != isConfirmed || h.router.MayLoad(h.now, w.id, "f") != isConfirmed {
				t.Errorf("%s: worker %d, confirmed %v: may be used %v", name, i, isConfirmed, !isConfirmed)
			}
		}
		if h.router.CanServe(h.now) != (c.confirmed > 0) {
			t.Errorf("%s: can serve %v", name, c.confirmed == 0)
		}
	}
}

// If no lease is confirmed, and none can be within the rule on draining workers, requests are rejected immediately. A
// successful query does not confirm a lease if draining workers may accept queries.
func TestLease_RejectsWithoutConfirmation(t *testing.T) {
	for name, change := range map[string]func(*Router){
		"unknown whether draining workers reject queries": func(*Router) {},
		"no load commands": func(r *Router) { r.deployment.LoadCommandsAllowed = false },
		"quota on load commands": func(r *Router) {
			r.deployment.LoadCommandWindow, r.deployment.LoadCommandAllowance = 2, 5
		},
	} {
		h := newOutageWithoutQueryEvidence()
		h.router.deployment.FrontEnds = 1
		change(h.router)
		h.request("a")
		if !slices.Equal(h.rejected, []RequestID{"a"}) {
			t.Errorf("%s: rejected %v", name, h.rejected)
		}
		h.expect(t, nil, nil)
		h.router.workersByID[h.home].lease.queryPending = true
		h.respondToQuery(h.home, Succeeded, 1)
		if h.router.MaySend(h.now, h.home) || h.router.MayLoad(h.now, h.home, "f") {
			t.Errorf("%s: a response to a query confirms the lease", name)
		}
		h.request("b")
		if !slices.Equal(h.rejected, []RequestID{"b"}) {
			t.Errorf("%s: rejected %v", name, h.rejected)
		}
		h.expect(t, nil, nil)
	}
}

// Requests wait once for the responses of peers, and are rejected if no peer has confirmed a lease.
func TestLease_RequestsAwaitPeers(t *testing.T) {
	for name, isConfirmed := range map[string]bool{"a peer has confirmed a lease": true, "no peer has": false} {
		h := newOutageWithoutQueryEvidence()
		h.request("a")
		if isConfirmed {
			w := h.router.workersByID[h.home]
			response := binary.LittleEndian.AppendUint32([]byte{confirmationResponseKind}, h.router.confirmationRequest.nonce)
			h.router.OnGossip(h.now, binary.LittleEndian.AppendUint16(response, uint16(w.digest())))
		}
		if sent := slices.Equal(h.attempts, h.at("a@%s")); sent != isConfirmed {
			t.Errorf("%s: attempts %v", name, h.attempts)
		}
		h.advance(peerResponseSeconds)
		if rejected := len(h.rejected) == 1; rejected == isConfirmed || len(h.queries)+len(h.loads) > 0 {
			t.Errorf("%s: rejected %v, queries %v, loads %v", name, h.rejected, h.queries, h.loads)
		}
	}
}

// Concurrent requests wait for the same query and are then sent. A later one within the lease is sent without a query.
func TestLease_WorkerIsQueriedFirst(t *testing.T) {
	h := newOutage()
	h.request("a")
	h.request("b")
	h.expect(t, nil, h.at("%s/f=0"))
	h.respondToQuery(h.home, Succeeded, 1)
	h.expect(t, append(h.at("a@%s"), h.at("b@%s")...), nil)
	h.advance(0.05)
	h.request("c")
	h.expect(t, h.at("c@%s"), nil)
}

// Once a worker that is known to drain has rejected a query, a successful query confirms a lease.
func TestLease_QueriesThatShowDrains(t *testing.T) {
	for outcome, confirms := range map[Outcome]bool{Rejected: true, Succeeded: false} {
		h := newLeaseHost()
		h.router.deployment.FrontEnds = 1 // no peer is asked
		h.request("a")
		h.router.OnDiscoveryUnavailable(h.now)
		h.advance(tickSeconds)
		h.respondToQuery(h.home, Rejected, 1) // a renewal
		h.advance(1)
		h.commanded = 0
		h.respondToQuery(h.home, outcome, 1)
		for _, w := range h.router.workers {
			if w.id == h.home {
				continue
			}
			h.router.queryWorker(w, h.router.functionsByID["f"])
			h.respondToQuery(w.id, Succeeded, 0)
			if got := h.router.MaySend(h.now, w.id); got != confirms {
				t.Errorf("outcome %d of the query: may send to %s %v", outcome, w.id, got)
			}
			break
		}
	}
}
