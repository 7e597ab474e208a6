package control

import (
	"encoding/binary"
	"math"

	"streamcleat/internal/units"
)

// Lease confirmations of peers: during a discovery outage, a front end that lacks a lease requests the lease confirmations
// of its peers before it sends anything to the worker. Datagrams may arrive late. A request therefore carries a random
// nonce, which the responses repeat: the ages of their confirmations count back from the time of the request, whenever a
// response arrives.

const (
	// peerResponseSeconds is the time for which a query waits for the responses of peers.
	peerResponseSeconds = 0.05
	// minConfirmationRequestInterval is the minimum time between two requests of a front end, and
	// confirmationRequestsPerSecond bounds the requests of all front ends together.
	minConfirmationRequestInterval = 0.1
	confirmationRequestsPerSecond  = 60.0
	// responsesPerConfirmationRequest is the mean number of peers that respond to a request.
	responsesPerConfirmationRequest = 4.0
	// maxConfirmationsPerResponse keeps a response within a datagram of 256 bytes.
	maxConfirmationsPerResponse = 120
	// confirmationResponseTimer is the ID of the timer that ends the wait for responses. Timers of client requests have lower IDs.
	confirmationResponseTimer uint64 = math.MaxUint64
)

// Confirmation messages have odd lengths, other gossip messages have even ones. They consist of the kind, the nonce of the
// request in 32 bits and, in a response, 16 bits for each worker: its digest in 12, and the age of its confirmation in 4. The
// workers that the sender knew as warm are stated before, in a message of another kind, which older versions ignore.
const (
	confirmationRequestKind      byte = 1
	confirmationResponseKind     byte = 2
	warmConfirmationResponseKind byte = 3

	confirmationRequestBytes = 5
	confirmationBytes        = 2
	confirmationAgeShift     = 12
	maxConfirmationAgeStep   = 14 // the age of a confirmation that is about to expire
	drainingAgeStep          = 15 // in place of an age: the worker drains
)

// confirmationRequest is the last request for the lease confirmations of peers.
type confirmationRequest struct {
	nonce     uint32
	sentAt    units.Seconds
	isSent    bool // a request was sent
	responded bool // a response to any request was received
}

func (r *Router) hasPeers() bool { return r.deployment.GossipAllowed && r.deployment.FrontEnds > 1 }

// requestMissingConfirmations sends a request if the lease of any worker that may serve is not confirmed.
func (r *Router) requestMissingConfirmations() {
	if !r.hasLeases() || r.isDiscoveryAvailable() {
		return
	}
	for _, w := range r.workers {
		if w.state == Serving && !r.isConfirmed(w) && !r.hasRejected(w) {
			r.requestConfirmations()
			return
		}
	}
}

// mayRequestConfirmations reports whether there are peers and the minimum interval since the last request has passed.
func (r *Router) mayRequestConfirmations() bool {
	interval := max(minConfirmationRequestInterval, units.Seconds(float64(r.deployment.FrontEnds)/confirmationRequestsPerSecond))
	return r.hasPeers() && (!r.confirmationRequest.isSent || r.now >= r.confirmationRequest.sentAt+interval)
}

// requestConfirmations broadcasts a request for lease confirmations if mayRequestConfirmations permits it.
func (r *Router) requestConfirmations() {
	if !r.mayRequestConfirmations() {
		return
	}
	r.confirmationRequest.nonce = uint32(r.random.below(math.MaxUint32))
	r.confirmationRequest.sentAt, r.confirmationRequest.isSent = r.now, true
	r.host.Broadcast(binary.LittleEndian.AppendUint32([]byte{confirmationRequestKind}, r.confirmationRequest.nonce))
	r.host.SetTimer(peerResponseSeconds, confirmationResponseTimer)
}

// awaitsConfirmations reports whether queries wait for messages of peers: after the start until the first response, and
// after each request.
func (r *Router) awaitsConfirmations() bool {
	if !r.hasPeers() {
		return false
	}
	isStarting := !r.confirmationRequest.responded && r.now < r.startedAt+startDelaySeconds
	return isStarting || r.confirmationRequest.isSent && r.now < r.confirmationRequest.sentAt+peerResponseSeconds
}

// onConfirmationMessage handles a request for lease confirmations or a response.
func (r *Router) onConfirmationMessage(data []byte) {
	if len(data) < confirmationRequestBytes {
		return
	}
	nonce := binary.LittleEndian.Uint32(data[1:])
	switch data[0] {
	case confirmationRequestKind:
		r.respondToConfirmationRequest(nonce)
	case confirmationResponseKind, warmConfirmationResponseKind:
		r.onConfirmationResponse(data[0], nonce, data[confirmationRequestBytes:])
	default: // unknown kind, of another version
	}
}

// respondToConfirmationRequest broadcasts which workers have confirmed leases and which drain. Only a few peers respond to
// each request.
func (r *Router) respondToConfirmationRequest(nonce uint32) {
	if !r.hasPeers() || len(r.workers) == 0 ||
		r.random.fraction()*float64(r.deployment.FrontEnds-1) >= responsesPerConfirmationRequest {
		return
	}
	warmResponse := newConfirmationResponse(warmConfirmationResponseKind, nonce)
	response := newConfirmationResponse(confirmationResponseKind, nonce)
	first := r.random.below(len(r.workers)) // random, as a response may not have room for all workers
	for i := range r.workers {
		w := r.workers[(first+i)%len(r.workers)]
		if step, known := r.warmConfirmationAgeStep(w); known {
			warmResponse.add(w, step)
		}
		if step, known := r.confirmationAgeStep(w); known {
			response.add(w, step)
		}
	}
	r.broadcastConfirmations(warmResponse)
	r.broadcastConfirmations(response)
}

// confirmationResponse is the encoding of a response.
type confirmationResponse []byte

func newConfirmationResponse(kind byte, nonce uint32) confirmationResponse {
	return binary.LittleEndian.AppendUint32([]byte{kind}, nonce)
}

// add adds a worker if there is room for it.
func (c *confirmationResponse) add(w *worker, step uint16) {
	if len(*c) < confirmationRequestBytes+maxConfirmationsPerResponse*confirmationBytes {
		*c = binary.LittleEndian.AppendUint16(*c, uint16(w.digest())|step<<confirmationAgeShift)
	}
}

// broadcastConfirmations broadcasts a response unless it is empty.
func (r *Router) broadcastConfirmations(response confirmationResponse) {
	if len(response) > confirmationRequestBytes {
		r.host.Broadcast(response)
	}
}

// confirmationAgeStep returns what a response states about w, or false if it states nothing.
func (r *Router) confirmationAgeStep(w *worker) (step uint16, known bool) {
	switch {
	case w.state == Draining && r.isDiscoveryAvailable(): // otherwise drain messages report it
		return drainingAgeStep, true
	case w.state != Serving || r.hasRejected(w):
		return 0, false
	}
	return r.ageStep(r.lastConfirmedAt(w), confirmationResponseKind)
}

// warmConfirmationAgeStep is confirmationAgeStep for a response that states that w is warm.
func (r *Router) warmConfirmationAgeStep(w *worker) (step uint16, known bool) {
	if w.state != Serving || r.hasRejected(w) {
		return 0, false
	}
	return r.ageStep(r.lastWarmAt(w), warmConfirmationResponseKind)
}

// lastConfirmedAt returns the time as of which the lease of w was last confirmed.
func (r *Router) lastConfirmedAt(w *worker) units.Seconds {
	if r.isDiscoveryAvailable() {
		return max(w.lease.acceptedAt, r.discovery.confirmedAt)
	}
	return w.lease.acceptedAt
}

// ageStep encodes the age of a confirmation, or returns false if it has expired.
func (r *Router) ageStep(confirmedAt units.Seconds, kind byte) (step uint16, valid bool) {
	age := math.Ceil(float64((r.now - confirmedAt) / r.confirmationAgeUnit(kind)))
	return uint16(min(age, drainingAgeStep)), age <= maxConfirmationAgeStep
}

// confirmationAgeUnit returns the unit of the ages in responses of a kind. It is the same on all front ends of a deployment.
func (r *Router) confirmationAgeUnit(kind byte) units.Seconds {
	if kind == warmConfirmationResponseKind {
		return minReplacementSeconds / maxConfirmationAgeStep
	}
	return r.leaseDuration() / maxConfirmationAgeStep
}

// onConfirmationResponse handles a response of a peer to the last request. Requests that wait for leases are resumed.
func (r *Router) onConfirmationResponse(kind byte, nonce uint32, confirmations []byte) {
	if !r.confirmationRequest.isSent || nonce != r.confirmationRequest.nonce || r.isDiscoveryAvailable() {
		return
	}
	r.confirmationRequest.responded = true
	for ; len(confirmations) >= confirmationBytes; confirmations = confirmations[confirmationBytes:] {
		r.applyPeerConfirmation(kind, binary.LittleEndian.Uint16(confirmations))
	}
	r.releaseAllWaiters(func(w *worker) bool { return !w.lease.queryPending })
	r.endpointRulesDue = true
	r.applyRules()
}

// applyPeerConfirmation applies the confirmation or drain of one worker that a peer reports.
func (r *Router) applyPeerConfirmation(kind byte, confirmation uint16) {
	w, known := r.workersByDigest[uint32(confirmation)&workerDigestMask]
	if !known || w.state != Serving {
		return
	}
	step := confirmation >> confirmationAgeShift
	if step == drainingAgeStep {
		r.recordPeerDrain(w, r.confirmationRequest.sentAt)
		return
	}
	confirmedAt := r.confirmationRequest.sentAt - units.Seconds(step)*r.confirmationAgeUnit(kind)
	switch {
	case kind == warmConfirmationResponseKind:
		w.recordPeerWarm(confirmedAt)
	case confirmedAt > w.process.assumedAt:
		w.recordAcceptance(confirmedAt)
	}
}
