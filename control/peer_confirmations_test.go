package control

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"testing"

	"streamcleat/internal/units"
)

// Guards against load commands to workers that have drained for longer than the grace, which the soak test of discovery outages
// found under other load. One front end was isolated from discovery and restarted with a list from before the drain. The
// draining workers responded to queries, so that it took them for serving: it did not use what its peers knew, for which
// discovery was available or leases were confirmed. The load command was sent 3 to 50 ms after the grace of the restarted
// process, just after a query had succeeded, while both peers listed the worker as draining.
func TestOutage_PeersInformRestartedFrontEnd(t *testing.T) {
	sent, succeeded, other := simulateIsolatedRestarts(t, true)
	if sent > 0 {
		t.Errorf("%d messages to draining workers past the grace", sent)
	}
	if other > succeeded/20 {
		t.Errorf("%d requests succeeded, %d did not", succeeded, other)
	}
}

// Without peers, the restarted front end cannot learn which workers drain: responses to queries do not show it.
func TestOutage_RestartWithoutPeersUsesNoDrainingWorker(t *testing.T) {
	if sent, _, _ := simulateIsolatedRestarts(t, false); sent > 0 {
		t.Errorf("%d messages to draining workers past the grace", sent)
	}
}

// simulateIsolatedRestarts runs 40 fleets in which one front end is isolated from discovery, a worker drains, and that front
// end is restarted with the list from before the drain. It returns how many messages it sent to the worker after the grace,
// and how many requests succeeded and did not succeed.
func simulateIsolatedRestarts(t *testing.T, hasPeers bool) (sent, succeeded, other int) {
	t.Helper()
	for seed := range int64(40) {
		fleet := newSparseFleet(seed)
		fleet.deployment.GossipAllowed = hasPeers
		fleet.sendAtInterval(5, 0.05, 2)
		isolated, drained := fleet.frontEnds[0], fleet.workers[seed%int64(len(fleet.workers))]
		fleet.beginOutage(isolated)
		drained.State, drained.drainedAt, drained.sendsAfterGrace = Draining, fleet.now, map[int]int{}
		fleet.sendHeartbeats()
		fleet.advanceSteps(100)
		isolated.restart(uint64(seed))
		requests := fleet.sendWithHeartbeats(5, 80)
		sent += drained.sendsAfterGrace[0]
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

// newSparseFleet returns a fleet with discovery available and little traffic at each front end. Its draining workers accept
// queries.
func newSparseFleet(seed int64) *simulatedFleet {
	deployment := basicDeployment()
	deployment.FrontEnds, deployment.GossipAllowed = 6, true
	deployment.EndpointLeases, deployment.DrainGrace = true, units.Seconds(testDrainGrace)
	fleet := newSimulatedFleet(seed, deployment, 8)
	fleet.drainingRespondsToQueries = true
	fleet.sendHeartbeats()
	return fleet
}

// sendWithHeartbeats sends requests at an interval, while discovery is available to the front ends that are not isolated, and waits
// for the last ones.
func (s *simulatedFleet) sendWithHeartbeats(functions, count int) (requests []*clientRequest) {
	const heartbeatEvery, waiting = 10, 80
	for i := range count + waiting {
		if i%heartbeatEvery == 0 {
			s.sendHeartbeats()
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

// The age of a peer's confirmation counts back from the time of the request, whenever the response arrives. Responses to
// earlier requests are ignored.
func TestConfirmationResponse_AgeCountsFromRequest(t *testing.T) {
	lease := units.Seconds(testDrainGrace - leaseMarginSeconds)
	for name, c := range map[string]struct {
		step     uint16
		otherID  bool          // the response is to another request
		arrives  units.Seconds // after the request
		holdsFor units.Seconds // after the request; 0: never
		rejects  bool
	}{
		"fresh confirmation":       {step: 0, arrives: 0.01, holdsFor: lease},
		"late response":            {step: 0, arrives: 0.3, holdsFor: lease},
		"response after the lease": {step: 0, arrives: 0.41},
		"older confirmation":       {step: maxConfirmationAgeStep / 2, arrives: 0.01, holdsFor: lease / 2},
		"expired confirmation":     {step: maxConfirmationAgeStep, arrives: 0.01},
		"another request":          {step: 0, otherID: true, arrives: 0.01},
		"draining":                 {step: drainingAgeStep, arrives: 0.01, rejects: true},
	} {
		h := newOutageWithPeers()
		h.router.confirmationRequest.isSent = false
		h.router.requestConfirmations()
		w, requestedAt, nonce := h.router.workersByID[h.home], h.now, h.router.confirmationRequest.nonce
		if c.otherID {
			nonce++
		}
		h.now += c.arrives
		response := binary.LittleEndian.AppendUint32([]byte{confirmationResponseKind}, nonce)
		h.router.OnGossip(h.now, binary.LittleEndian.AppendUint16(response, uint16(w.digest())|c.step<<confirmationAgeShift))
		for _, after := range []units.Seconds{0.02, 0.15, 0.25, 0.35, 0.39, 0.45} {
			if now := requestedAt + after; now > h.now && h.router.MaySend(now, h.home) != (after < c.holdsFor) {
				t.Errorf("%s: may send %v s after the request: %v", name, after, !(after < c.holdsFor))
			}
		}
		if h.router.hasRejected(w) != c.rejects {
			t.Errorf("%s: counts as draining: %v", name, !c.rejects)
		}
	}
}

// A front end responds with its lease confirmations and their ages. Workers without a confirmation are omitted.
func TestConfirmationResponse_ListsOwnConfirmations(t *testing.T) {
	h := newOutageWithPeers()
	h.router.OnDiscoveryAvailable(h.now, h.now-1)
	confirmed, draining := h.router.workersByID["w0"], h.router.workersByID["w1"]
	confirmed.recordAcceptance(h.now - 0.19)
	draining.state = Draining
	request := binary.LittleEndian.AppendUint32([]byte{confirmationRequestKind}, 77)
	h.router.OnGossip(h.now, request)
	want := binary.LittleEndian.AppendUint32([]byte{confirmationResponseKind}, 77)
	response := h.broadcasts[len(h.broadcasts)-1]
	if !bytes.HasPrefix(response, want) || len(response) != confirmationRequestBytes+2*confirmationBytes {
		t.Fatalf("response %x", response)
	}
	steps := map[uint32]uint16{}
	for confirmations := response[confirmationRequestBytes:]; len(confirmations) > 0; confirmations = confirmations[confirmationBytes:] {
		confirmation := binary.LittleEndian.Uint16(confirmations)
		steps[uint32(confirmation)&workerDigestMask] = confirmation >> confirmationAgeShift
	}
	if steps[confirmed.digest()] != maxConfirmationAgeStep/2 || steps[draining.digest()] != drainingAgeStep {
		t.Errorf("ages %v", steps)
	}
}

func FuzzOnGossip(f *testing.F) {
	f.Add([]byte{confirmationRequestKind, 1, 2, 3, 4})
	f.Add([]byte{confirmationResponseKind, 1, 2, 3, 4, 5, 6})
	f.Add([]byte{warmConfirmationResponseKind, 1, 2, 3, 4, 5, 6})
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

// The age of a drain message is that of the last rejection that its sender received itself. When front ends repeated the drain
// messages of their peers, workers that had returned to service stayed unused until discovery was available.
func TestDrainMessage_AgeCountsFromRejection(t *testing.T) {
	for name, c := range map[string]struct {
		age, acceptedAgo units.Seconds
		drains           bool
	}{
		"rejection after the confirmation":  {age: 0, acceptedAgo: 0.2, drains: true},
		"rejection before the confirmation": {age: 2, acceptedAgo: 0.2},
		"no recent confirmation":            {age: 2, acceptedAgo: 60, drains: true},
	} {
		sender, receiver := newOutageWithPeers(), newOutageWithPeers()
		w := sender.router.workersByID["w1"]
		w.lease.rejectedAt, w.lease.drainSeenAt = sender.now, sender.now-c.age
		sender.broadcasts = nil
		sender.router.broadcastDrain(w)
		receivedWorker := receiver.router.workersByID["w1"]
		receivedWorker.recordAcceptance(receiver.now - c.acceptedAgo)
		receiver.router.discovery.confirmedAt = 1
		receiver.router.OnGossip(receiver.now, sender.broadcasts[0])
		if receiver.router.hasRejected(receivedWorker) != c.drains {
			t.Errorf("%s: counts as draining %v", name, !c.drains)
		}
	}
}

// Workers that reject queries while they drain are used again soon after they return to service, also during a discovery
// outage.
func TestOutage_ReturnedWorkersAreUsedAgain(t *testing.T) {
	for seed := range int64(20) {
		fleet := newSparseFleet(seed)
		fleet.drainingRespondsToQueries = false
		fleet.sendAtInterval(8, 0.02, 2)
		fleet.beginOutage(fleet.frontEnds...)
		drained := fleet.workers[:4]
		for _, w := range drained {
			w.State, w.drainedAt, w.sendsAfterGrace = Draining, fleet.now, map[int]int{}
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

// If a worker with an unconfirmed lease rejects a load command, the rejection is broadcast. Otherwise each front end would
// send the worker a message of its own. A confirmed worker that rejects a load command may only be full. If a quota prevents
// the renewal that could tell, nothing is broadcast: peers with a confirmed lease would stop using a full worker.
func TestRejectedLoad_IsBroadcast(t *testing.T) {
	for name, c := range map[string]struct{ isConfirmed, hasQuota bool }{
		"unconfirmed":                         {},
		"confirmed":                           {isConfirmed: true},
		"unconfirmed, quota on load commands": {hasQuota: true},
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

// A response states that a worker is warm only if its sender knows that of a process that was there at that time: a listed worker
// may have terminated. That the worker serves is stated in any case, in the message that all versions read.
func TestConfirmationResponse_StatesWarmWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		steps  string
		isWarm bool
	}{
		"connected through the outage":              {"outage reply", true},
		"connected during the outage":               {"disconnect list outage reply", false},
		"no response for longer":                    {"outage longer", false},
		"response to a message of long ago":         {"outage longer late-reply", false},
		"rejections only for longer":                {"outage longer rejection", false},
		"available, connected":                      {"list", true},
		"available, disconnected":                   {"disconnect list", false},
		"available, connected since the last list":  {"disconnect list reply", false},
		"available, connected and listed just then": {"disconnect reply list", false},
		"available, connected and listed since":     {"disconnect reply later list", true},
		"available, reported as started":            {"restart list", false},
		"available, reported as started, connected": {"restart reply list", false},
	} {
		h := newKeyedHost()
		h.play(c.steps)
		w := h.router.workersByID[h.home]
		w.recordAcceptance(h.now)
		h.broadcasts = nil
		h.router.OnGossip(h.now, binary.LittleEndian.AppendUint32([]byte{confirmationRequestKind}, 77))
		var kinds []byte
		for _, response := range h.broadcasts {
			for confirmations := response[confirmationRequestBytes:]; len(confirmations) > 0; confirmations = confirmations[confirmationBytes:] {
				if uint32(binary.LittleEndian.Uint16(confirmations))&workerDigestMask == w.digest() {
					kinds = append(kinds, response[0])
				}
			}
		}
		want := []byte{confirmationResponseKind}
		if c.isWarm {
			want = []byte{warmConfirmationResponseKind, confirmationResponseKind}
		}
		if !slices.Equal(kinds, want) {
			t.Errorf("%s: messages of kinds %v, want %v", name, kinds, want)
		}
	}
}

// A peer's statement that a worker is warm applies to the process that is connected at that time or so shortly after it that the
// process can't have been replaced.
func TestConfirmationResponse_WarmAppliesToConnectedProcess(t *testing.T) {
	for name, c := range map[string]struct {
		kind                          byte
		connectsAfter, disconnectsAt  units.Seconds // after the response; 0: before it, or never
		isWarmAtResponse, isWarmLater bool
	}{
		"not stated":                           {kind: confirmationResponseKind},
		"connected before":                     {kind: warmConfirmationResponseKind, isWarmAtResponse: true, isWarmLater: true},
		"connected shortly after":              {kind: warmConfirmationResponseKind, connectsAfter: 1.9, isWarmAtResponse: true, isWarmLater: true},
		"connected later":                      {kind: warmConfirmationResponseKind, connectsAfter: 2.1, isWarmAtResponse: true},
		"connected before, disconnected since": {kind: warmConfirmationResponseKind, disconnectsAt: 0.1, isWarmAtResponse: true},
	} {
		h := newUnconnectedHost()
		h.router.deployment.GossipAllowed, h.router.deployment.FrontEnds = true, 2
		h.router.OnDiscoveryUnavailable(h.now)
		h.advance(testDrainGrace)
		w := h.router.workersByID["w0"]
		if c.connectsAfter == 0 {
			h.connectAll()
		}
		h.router.confirmationRequest.isSent = false
		h.router.requestConfirmations()
		for _, kind := range []byte{c.kind, confirmationResponseKind} {
			response := binary.LittleEndian.AppendUint32([]byte{kind}, h.router.confirmationRequest.nonce)
			h.router.OnGossip(h.now, binary.LittleEndian.AppendUint16(response, uint16(w.digest())))
		}
		if isWarm := h.router.warmUpProgress(w, h.now) >= 1; isWarm != c.isWarmAtResponse || !h.router.MaySend(h.now, "w0") {
			t.Errorf("%s: warm at the response: %v", name, isWarm)
		}
		if c.connectsAfter > 0 {
			h.now += c.connectsAfter
			h.router.MayQuery(h.now, "w0", 0)
			h.connectAll()
		}
		if c.disconnectsAt > 0 {
			h.now += c.disconnectsAt
			h.disconnectAll()
			h.connectAll()
		}
		h.advance(1)
		if isWarm := h.router.warmUpProgress(w, h.now) >= 1; isWarm != c.isWarmLater {
			t.Errorf("%s: warm later: %v", name, isWarm)
		}
	}
}
