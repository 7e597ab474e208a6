package control

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"

	"streamcleat/internal/units"
)

// Incident: the soak of outages, run beside other load, found single load commands to workers that had drained for longer
// than the grace. One front end was cut off from discovery and restarted with a list from before the drain, and the
// draining workers answered queries, so that it took the answer for a reason to try them.
//
// How it came about: each front end proved for itself which workers serve, though its peers heard discovery, or had proofs.
// What proved it: the records show the message 3 to 50 ms past the grace of the restarted process, a query answered just
// before it, and at that time the worker listed as draining at both peers.
func TestOutage_PeersTellRestartedFrontEnd(t *testing.T) {
	sent, succeeded, other := simulateIsolatedRestarts(t, true)
	if sent > 0 {
		t.Errorf("%d messages to draining workers past the grace", sent)
	}
	if other > succeeded/20 {
		t.Errorf("%d requests succeeded, %d did not", succeeded, other)
	}
}

// Without peers nobody can tell the restarted front end which workers drain: an answer to a query does not.
func TestOutage_RestartWithoutPeersTriesNoDrainingWorker(t *testing.T) {
	if sent, _, _ := simulateIsolatedRestarts(t, false); sent > 0 {
		t.Errorf("%d messages to draining workers past the grace", sent)
	}
}

// simulateIsolatedRestarts plays 40 fleets in which one front end is cut off from discovery, a worker drains, and that front end is
// restarted with the list from before. It returns the messages that it sent to the worker past the grace, and the numbers of
// requests that succeeded and did not.
func simulateIsolatedRestarts(t *testing.T, hasPeers bool) (sent, succeeded, other int) {
	t.Helper()
	for seed := range int64(40) {
		fleet := newSparseFleet(seed)
		fleet.deployment.GossipAllowed = hasPeers
		fleet.sendAtInterval(5, 0.05, 2)
		isolated, drained := fleet.frontEnds[0], fleet.workers[seed%int64(len(fleet.workers))]
		fleet.discoveryDown = true
		isolated.router.OnDiscoveryDisconnected(fleet.now)
		drained.State, drained.drainedAt, drained.unheardSends = Draining, fleet.now, map[int]int{}
		listed := drained.listedState[0]
		fleet.sendHeartbeatsExcept(isolated)
		fleet.advanceSteps(100)
		drained.listedState[0] = listed
		isolated.restart(uint64(seed))
		requests := fleet.sendWithHeartbeats(5, 80, isolated)
		sent += drained.unheardSends[0]
		for _, req := range requests {
			if req.succeeded {
				succeeded++
			} else {
				other++
			}
		}
		fleet.checkInvariants(t)
	}
	return sent, succeeded, other
}

// newSparseFleet returns a fleet that hears discovery, with little traffic at each front end. Its draining workers answer
// queries.
func newSparseFleet(seed int64) *simulatedFleet {
	deployment := basicDeployment()
	deployment.FrontEnds, deployment.GossipAllowed = 6, true
	deployment.EndpointLeases, deployment.DrainGrace = true, units.Seconds(testDrainGrace)
	fleet := newSimulatedFleet(seed, deployment, 8)
	fleet.drainingAnswersQueries = true
	fleet.sendHeartbeats()
	return fleet
}

// sendWithHeartbeats sends requests at an interval, while all front ends but one hear discovery, and waits for the last ones.
func (s *simulatedFleet) sendWithHeartbeats(functions, count int, isolated *simulatedFrontEnd) (requests []*clientRequest) {
	const heartbeatEvery, waiting = 10, 80
	for i := range count + waiting {
		if i%heartbeatEvery == 0 {
			s.sendHeartbeatsExcept(isolated)
		}
		if s.advance(0.05); i >= count {
			continue
		}
		id, fn := RequestID(fmt.Sprint(s.now, "-", i)), FunctionID(fmt.Sprint("f", i%functions))
		f := s.frontEnds[i%len(s.frontEnds)]
		requests = append(requests, f.sendRequest(id, fn, s.deployment.RequestClasses[0], 3))
	}
	return requests
}

// sendHeartbeatsExcept sends the list and a heartbeat to all front ends but one.
func (s *simulatedFleet) sendHeartbeatsExcept(isolated *simulatedFrontEnd) {
	for _, f := range s.frontEnds {
		if f != isolated {
			f.sendEndpointList()
			f.router.OnDiscoveryConfirmed(s.now, s.now)
		}
	}
}

// A proof of a peer counts back from the question, whenever the answer arrives, and only the last question's answers count.
func TestAnswer_ProofIsDatedByQuestion(t *testing.T) {
	lease := units.Seconds(testDrainGrace - leaseMarginSeconds)
	for name, c := range map[string]struct {
		step     uint16
		otherID  bool          // the answer is to another question
		arrives  units.Seconds // after the question
		holdsFor units.Seconds // after the question; 0: never
		rejects  bool
	}{
		"fresh proof":            {step: 0, arrives: 0.01, holdsFor: lease},
		"late answer":            {step: 0, arrives: 0.3, holdsFor: lease},
		"answer after the lease": {step: 0, arrives: 0.41},
		"older proof":            {step: maxConfirmationAgeStep / 2, arrives: 0.01, holdsFor: lease / 2},
		"expired proof":          {step: maxConfirmationAgeStep, arrives: 0.01},
		"another question":       {step: 0, otherID: true, arrives: 0.01},
		"draining":               {step: drainingAgeStep, arrives: 0.01, rejects: true},
	} {
		h := newOutageWithPeers()
		h.router.confirmationRequest.isSent = false
		h.router.requestConfirmations()
		w, askedAt, nonce := h.router.workersByID[h.home], h.now, h.router.confirmationRequest.nonce
		if c.otherID {
			nonce++
		}
		h.now += c.arrives
		answer := binary.LittleEndian.AppendUint32([]byte{confirmationResponseKind}, nonce)
		h.router.OnGossip(h.now, binary.LittleEndian.AppendUint16(answer, uint16(w.digest())|c.step<<confirmationAgeShift))
		for _, after := range []units.Seconds{0.02, 0.15, 0.25, 0.35, 0.39, 0.45} {
			if now := askedAt + after; now > h.now && h.router.MaySend(now, h.home) != (after < c.holdsFor) {
				t.Errorf("%s: may send %v s after the question: %v", name, after, !(after < c.holdsFor))
			}
		}
		if h.router.hasRejected(w) != c.rejects {
			t.Errorf("%s: counts as draining: %v", name, !c.rejects)
		}
	}
}

// A front end answers with its proofs and their ages. Workers without a proof are left out.
func TestAnswer_TellsOwnProofs(t *testing.T) {
	h := newOutageWithPeers()
	h.router.OnDiscoveryConfirmed(h.now, h.now-1)
	proven, draining := h.router.workersByID["w0"], h.router.workersByID["w1"]
	proven.recordAcceptance(h.now - 0.19)
	draining.state = Draining
	question := binary.LittleEndian.AppendUint32([]byte{confirmationRequestKind}, 77)
	h.router.OnGossip(h.now, question)
	want := binary.LittleEndian.AppendUint32([]byte{confirmationResponseKind}, 77)
	answer := h.broadcasts[len(h.broadcasts)-1]
	if !bytes.HasPrefix(answer, want) || len(answer) != confirmationRequestBytes+2*confirmationBytes {
		t.Fatalf("answer %x", answer)
	}
	steps := map[uint32]uint16{}
	for confirmations := answer[confirmationRequestBytes:]; len(confirmations) > 0; confirmations = confirmations[confirmationBytes:] {
		confirmation := binary.LittleEndian.Uint16(confirmations)
		steps[uint32(confirmation)&workerDigestMask] = confirmation >> confirmationAgeShift
	}
	if steps[proven.digest()] != maxConfirmationAgeStep/2 || steps[draining.digest()] != drainingAgeStep {
		t.Errorf("ages %v", steps)
	}
}

func FuzzOnGossip(f *testing.F) {
	f.Add([]byte{confirmationRequestKind, 1, 2, 3, 4})
	f.Add([]byte{confirmationResponseKind, 1, 2, 3, 4, 5, 6})
	f.Add([]byte{1, 2, 3, 4})
	f.Fuzz(func(t *testing.T, message []byte) {
		h := newOutageWithPeers()
		h.router.requestConfirmations()
		h.router.OnGossip(h.now, message)
		if len(message) >= confirmationRequestBytes {
			binary.LittleEndian.PutUint32(message[1:], h.router.confirmationRequest.nonce)
			h.router.OnGossip(h.now, message)
		}
		for _, sent := range h.broadcasts {
			if len(sent) > 248 {
				t.Errorf("message of %d bytes", len(sent))
			}
		}
	})
}

// A drain message of a peer is as old as the rejection that it saw itself. Front ends that repeated to each other what
// they had heard kept workers that had returned out of use until discovery was heard.
func TestDrainMessage_IsDatedByRejection(t *testing.T) {
	for name, c := range map[string]struct {
		age, acceptedAgo units.Seconds
		drains           bool
	}{
		"rejection after the proof":  {age: 0, acceptedAgo: 0.2, drains: true},
		"rejection before the proof": {age: 2, acceptedAgo: 0.2},
		"no proof lately":            {age: 2, acceptedAgo: 60, drains: true},
	} {
		sender, receiver := newOutageWithPeers(), newOutageWithPeers()
		w := sender.router.workersByID["w1"]
		w.lease.rejectedAt, w.lease.drainSeenAt = sender.now, sender.now-c.age
		sender.broadcasts = nil
		sender.router.broadcastDrain(w)
		heard := receiver.router.workersByID["w1"]
		heard.recordAcceptance(receiver.now - c.acceptedAgo)
		receiver.router.discovery.confirmedAt = 1
		receiver.router.OnGossip(receiver.now, sender.broadcasts[0])
		if receiver.router.hasRejected(heard) != c.drains {
			t.Errorf("%s: counts as draining %v", name, !c.drains)
		}
	}
}

// Workers that reject queries while they drain are used again soon after their return, though no discovery is heard.
func TestOutage_ReturnedWorkersAreUsedAgain(t *testing.T) {
	for seed := range int64(20) {
		fleet := newSparseFleet(seed)
		fleet.drainingAnswersQueries = false
		fleet.sendAtInterval(8, 0.02, 2)
		fleet.sendHeartbeats()
		fleet.discoveryDown = true
		for _, f := range fleet.frontEnds {
			f.router.OnDiscoveryDisconnected(fleet.now)
		}
		drained := fleet.workers[:4]
		for _, w := range drained {
			w.State, w.drainedAt, w.unheardSends = Draining, fleet.now, map[int]int{}
		}
		fleet.sendAtInterval(8, 0.02, 4)
		for _, w := range drained {
			w.State = Serving
		}
		fleet.sendAtInterval(8, 0.02, 2*maxQueryBackoffSeconds)
		for _, f := range fleet.frontEnds {
			if left := f.router.DrainingByRejection(); len(left) > 0 {
				t.Errorf("seed %d, front end %d: %v count as draining after their return", seed, f.index, left)
			}
		}
		fleet.checkInvariants(t)
	}
}

// A load command that a worker without a proof rejects is all that anybody learns of it: it is broadcast, or each would
// find out by a message of its own. One that a proven worker rejects may only mean that it is full. Where no renewal can
// tell the two apart, peers with a proof of their own would lose a full worker by the message: nothing is broadcast.
func TestRejectedLoad_IsBroadcast(t *testing.T) {
	for name, c := range map[string]struct{ isConfirmed, hasQuota bool }{
		"proof ran out":                         {},
		"proven":                                {isConfirmed: true},
		"proof ran out, quota on load commands": {hasQuota: true},
	} {
		h := newOutageWithPeers()
		if c.hasQuota {
			h.router.deployment.LoadCommandWindow, h.router.deployment.LoadCommandAllowance = 2, 5
		}
		silent := c.isConfirmed || c.hasQuota
		w, fn := h.router.workersByID["w1"], h.router.functionsByID["f"]
		if c.isConfirmed {
			w.recordAcceptance(h.now)
		}
		h.now += 0.01
		h.router.OnLoadResult(h.now, LoadResult{Worker: w.id, Function: fn.id, Outcome: Rejected, Duration: 0.001})
		if broadcast := h.drains > 0; broadcast == silent {
			t.Errorf("%s: broadcast %v", name, broadcast)
		}
		h.drains = 0
		h.advance(1)
		if repeated := h.drains > 0; repeated == silent {
			t.Errorf("%s: repeated %v", name, repeated)
		}
	}
}
