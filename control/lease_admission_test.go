package control

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
)

// Workers that hold no lease are left alone, whether or not a proven one has room: one that drains, and that nobody used
// lately, would be found out by a message past the grace.
func TestLease_UnprovenWorkersAreNotUsed(t *testing.T) {
	for name, c := range map[string]struct {
		proven, unproven int
		busy             bool
	}{
		"two thirds proven":        {proven: 6, unproven: 3},
		"two thirds, without room": {proven: 6, unproven: 3, busy: true},
		"four fifths, no room":     {proven: 8, unproven: 2, busy: true},
		"one in ten, with room":    {proven: 1, unproven: 9},
		"none":                     {proven: 0, unproven: 9},
	} {
		h := newOutageWithoutQueryEvidence()
		h.router.deployment.FrontEnds = 1
		var endpoints []Worker
		for i := range c.proven + c.unproven {
			endpoints = append(endpoints, Worker{ID: WorkerID(fmt.Sprint("v", i)), Weight: 1})
		}
		h.router.OnEndpointUpdate(h.now, Snapshot, endpoints)
		for i := range c.proven {
			w := h.router.workersByID[endpoints[i].ID]
			w.recordAcceptance(h.now)
			if c.busy {
				w.concurrencyLimit = 0
			}
		}
		for i, endpoint := range endpoints {
			w := h.router.workersByID[endpoint.ID]
			if isConfirmed := i < c.proven; h.router.mayUse(w) != isConfirmed || h.router.MaySend(h.now, w.id) != isConfirmed || h.router.MayLoad(h.now, w.id, "f") != isConfirmed {
				t.Errorf("%s: worker %d, proven %v: may be used %v", name, i, isConfirmed, !isConfirmed)
			}
		}
		if h.router.CanServe(h.now) != (c.proven > 0) {
			t.Errorf("%s: can serve %v", name, c.proven == 0)
		}
	}
}

// Without a proof, and without a way to one that the rule on draining workers allows, requests are rejected at once. An
// answer to a query is no such way where draining workers may answer them.
func TestLease_RejectsWithoutProof(t *testing.T) {
	for name, change := range map[string]func(*Router){
		"unknown what draining workers do": func(*Router) {},
		"no load commands":                 func(r *Router) { r.deployment.LoadCommandsAllowed = false },
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
			t.Errorf("%s: an answer to a query is taken for a proof", name)
		}
		h.request("b")
		if !slices.Equal(h.rejected, []RequestID{"b"}) {
			t.Errorf("%s: rejected %v", name, h.rejected)
		}
		h.expect(t, nil, nil)
	}
}

// Requests wait for the answers of peers, once, and are rejected if none has a proof.
func TestLease_RequestsAwaitPeers(t *testing.T) {
	for name, isConfirmed := range map[string]bool{"a peer has a proof": true, "no peer has": false} {
		h := newOutageWithoutQueryEvidence()
		h.request("a")
		if isConfirmed {
			w := h.router.workersByID[h.home]
			answer := binary.LittleEndian.AppendUint32([]byte{confirmationResponseKind}, h.router.confirmationRequest.nonce)
			h.router.OnGossip(h.now, binary.LittleEndian.AppendUint16(answer, uint16(w.digest())))
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

// A request waits for one query, which others share; then it is sent, and a later one within the lease needs none.
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

// Once a worker that drains for certain was seen to reject a query, an answer to one is a proof.
func TestLease_QueriesThatShowDrains(t *testing.T) {
	for outcome, proves := range map[Outcome]bool{Rejected: true, Succeeded: false} {
		h := newLeaseHost()
		h.router.deployment.FrontEnds = 1 // no peer is asked
		h.request("a")
		h.router.OnDiscoveryDisconnected(h.now)
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
			if got := h.router.MaySend(h.now, w.id); got != proves {
				t.Errorf("outcome %d of the query: may send to %s %v", outcome, w.id, got)
			}
			break
		}
	}
}
