package control

import (
	"encoding/binary"
	"math"

	"streamcleat/internal/units"
)

// Proofs of peers: while discovery is not heard, a front end that lacks a lease asks its peers which workers proved to
// serve, before it tries one. Datagrams may arrive late. A request for proofs therefore carries a random number, and a
// response repeats it: the ages of its proofs count back from the time of the request, whenever the response arrives.

const (
	// peerResponseSeconds is the time for which a query waits for the responses of peers.
	peerResponseSeconds = 0.05
	// minProofRequestInterval is the least time between two requests of a front end, and proofRequestsPerSecond bounds those of all
	// front ends together.
	minProofRequestInterval = 0.1
	proofRequestsPerSecond  = 60.0
	// responsesPerProofRequest is the mean number of peers that respond to a request.
	responsesPerProofRequest = 4.0
	// maxProofsPerResponse keeps a response within a datagram of 256 bytes.
	maxProofsPerResponse = 120
	// proofResponseTimer is the ID of the timer that ends the wait for responses. Clients' requests have lower ones.
	proofResponseTimer uint64 = math.MaxUint64
)

// Messages of this kind have odd lengths, other gossip has even ones. They consist of the kind, the number of the request
// in 32 bits and, in a response, 16 bits for each worker: the digest in 12, and the age of its proof in 4.
const (
	proofRequestKind  byte = 1
	proofResponseKind byte = 2

	proofRequestBytes = 5
	proofBytes        = 2
	proofAgeShift     = 12
	maxProofAgeStep   = 14 // the age of a proof that is about to expire
	drainingAgeStep   = 15 // in place of an age: the worker drains
)

// proofRequest is the last request for proofs to the peers.
type proofRequest struct {
	number    uint32
	sentAt    units.Seconds
	isSent    bool // there was one
	responded bool // any request got a response
}

func (r *Router) hasPeers() bool { return r.deployment.GossipAllowed && r.deployment.FrontEnds > 1 }

// requestProofsIfUnproven asks the peers if some worker that may serve is not proven.
func (r *Router) requestProofsIfUnproven() {
	if !r.hasLeases() || r.isDiscoveryAvailable() {
		return
	}
	for _, w := range r.workers {
		if w.state == Serving && !r.isProven(w) && !r.hasRejected(w) {
			r.requestProofs()
			return
		}
	}
}

// mayRequestProofs reports whether there are peers and no request was sent to them lately.
func (r *Router) mayRequestProofs() bool {
	interval := max(minProofRequestInterval, units.Seconds(float64(r.deployment.FrontEnds)/proofRequestsPerSecond))
	return r.hasPeers() && (!r.proofRequest.isSent || r.now >= r.proofRequest.sentAt+interval)
}

// requestProofs broadcasts a request for proofs, unless there was one lately.
func (r *Router) requestProofs() {
	if !r.mayRequestProofs() {
		return
	}
	r.proofRequest.number = uint32(r.random.below(math.MaxUint32))
	r.proofRequest.sentAt, r.proofRequest.isSent = r.now, true
	r.host.Broadcast(binary.LittleEndian.AppendUint32([]byte{proofRequestKind}, r.proofRequest.number))
	r.host.SetTimer(peerResponseSeconds, proofResponseTimer)
}

// awaitsProofs reports whether queries wait for messages of peers: after the start until the first response, and after each
// request.
func (r *Router) awaitsProofs() bool {
	if !r.hasPeers() {
		return false
	}
	startsUp := !r.proofRequest.responded && r.now < r.startedAt+startDelaySeconds
	return startsUp || r.proofRequest.isSent && r.now < r.proofRequest.sentAt+peerResponseSeconds
}

// onProofMessage handles a request for proofs or a response.
func (r *Router) onProofMessage(data []byte) {
	if len(data) < proofRequestBytes {
		return
	}
	number := binary.LittleEndian.Uint32(data[1:])
	switch data[0] {
	case proofRequestKind:
		r.respondToProofRequest(number)
	case proofResponseKind:
		r.onProofResponse(number, data[proofRequestBytes:])
	default: // of another version
	}
}

// respondToProofRequest tells which workers proved to serve and which drain. A few peers respond to each request.
func (r *Router) respondToProofRequest(number uint32) {
	if !r.hasPeers() || len(r.workers) == 0 || r.random.fraction()*float64(r.deployment.FrontEnds-1) >= responsesPerProofRequest {
		return
	}
	response := binary.LittleEndian.AppendUint32([]byte{proofResponseKind}, number)
	first := r.random.below(len(r.workers)) // another one each time, if there is not room for all
	for i := range r.workers {
		w := r.workers[(first+i)%len(r.workers)]
		if step, known := r.proofAgeStep(w); known && len(response) < proofRequestBytes+maxProofsPerResponse*proofBytes {
			response = binary.LittleEndian.AppendUint16(response, uint16(w.digest())|step<<proofAgeShift)
		}
	}
	if len(response) > proofRequestBytes {
		r.host.Broadcast(response)
	}
}

// proofAgeStep returns what a response states about w, or false if it states nothing.
func (r *Router) proofAgeStep(w *worker) (step uint16, known bool) {
	switch {
	case w.state == Draining && r.isDiscoveryAvailable(): // others repeat what they saw in drain messages
		return drainingAgeStep, true
	case w.state != Serving || r.hasRejected(w):
		return 0, false
	}
	provenAt := w.lease.provenAt
	if r.isDiscoveryAvailable() {
		provenAt = max(provenAt, r.discovery.confirmedAt)
	}
	age := math.Ceil(float64((r.now - provenAt) / r.proofAgeUnit()))
	return uint16(min(age, drainingAgeStep)), age <= maxProofAgeStep
}

// proofAgeUnit returns the unit of the ages in responses. All front ends of a deployment have the same.
func (r *Router) proofAgeUnit() units.Seconds { return r.leaseDuration() / maxProofAgeStep }

// onProofResponse handles a response of a peer to the last request. Requests that wait for leases are decided anew.
func (r *Router) onProofResponse(number uint32, proofs []byte) {
	if !r.proofRequest.isSent || number != r.proofRequest.number || r.isDiscoveryAvailable() {
		return
	}
	r.proofRequest.responded = true
	for ; len(proofs) >= proofBytes; proofs = proofs[proofBytes:] {
		r.applyPeerProof(binary.LittleEndian.Uint16(proofs))
	}
	r.releaseAllWaiters(func(w *worker) bool { return !w.lease.queryPending })
	r.endpointRulesDue = true
	r.applyRules()
}

// applyPeerProof applies what a peer tells of one worker.
func (r *Router) applyPeerProof(proof uint16) {
	w, known := r.workersByDigest[uint32(proof)&workerDigestMask]
	if !known || w.state != Serving {
		return
	}
	step := proof >> proofAgeShift
	if step == drainingAgeStep {
		r.recordPeerDrain(w, r.proofRequest.sentAt)
		return
	}
	provenAt := r.proofRequest.sentAt - units.Seconds(step)*r.proofAgeUnit()
	if provenAt > w.disconnectedAt {
		w.recordProof(provenAt)
	}
}
