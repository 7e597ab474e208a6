package control

import (
	"encoding/binary"

	"streamcleat/internal/units"
)

// Gossip: front ends broadcast a sample of the responses that they receive, each as function, worker and latency.

const (
	gossipMessageBytes        = 4
	drainMessageBytes         = 2     // reports a draining worker during a discovery outage
	drainGossipInterval       = 0.05  // s between the drain messages of all front ends together, for each worker
	maxGossipBytesPerResponse = 150.0 // received by all front ends together; bounds the sampling rate
	gossipLatencyStepSeconds  = 0.15  // unit of the latency in a message
	maxGossipLatencySteps     = 15    // maximum latency in a message, which has four bits for it
	maxSavedGossipMessages    = 2.0   // messages for which credits accumulate
	reportedLoadSeconds       = 2.0   // time constant of the load reported by gossip
)

// A drain message consists of the digest of the worker in 12 bits and, in 4, the age of the last rejection that the sender
// received itself. If front ends repeated rejections reported by peers, they would keep each other from using a worker that
// has returned to service.
const (
	drainAgeShift       = 12
	drainAgeUnitSeconds = 1.0
	maxDrainAge         = 15
)

// A response message consists of the digest of the function in 16 bits, the digest of the worker in 12, and the latency in 4.
const (
	workerDigestShift  = 16
	gossipLatencyShift = 28
)

// responsesPerMessage returns the number of responses that each message represents.
func (r *Router) responsesPerMessage() float64 {
	bytesPerResponse := float64(gossipMessageBytes * (r.deployment.FrontEnds - 1))
	return max(bytesPerResponse/maxGossipBytesPerResponse, 1)
}

// broadcastResponse broadcasts a response to the other front ends if it is part of the sample.
func (r *Router) broadcastResponse(fn *function, w *worker, latency units.Seconds) {
	needed := r.responsesPerMessage()
	r.gossipCredits = min(r.gossipCredits+1, maxSavedGossipMessages*needed)
	if !r.deployment.GossipAllowed || r.gossipCredits < needed || r.deployment.FrontEnds < 2 {
		return
	}
	r.gossipCredits -= needed
	message := uint32(fn.digest())
	message |= w.digest() << workerDigestShift
	message |= uint32(min(float64(latency/gossipLatencyStepSeconds), maxGossipLatencySteps)) << gossipLatencyShift
	r.host.Broadcast(binary.LittleEndian.AppendUint32(nil, message))
}

// broadcastDrain informs the other front ends that a worker rejected a message that only a draining worker rejects. Some of
// them may not have sent anything to it recently, so that their lease of it is not confirmed.
func (r *Router) broadcastDrain(w *worker) {
	if r.hasPeers() {
		age := uint16(min(float64((r.now-w.lease.drainSeenAt)/drainAgeUnitSeconds), maxDrainAge))
		r.host.Broadcast(binary.LittleEndian.AppendUint16(nil, uint16(w.digest())|age<<drainAgeShift))
	}
}

// rebroadcastDrains repeats the drain messages at random intervals, for front ends that start during an outage or missed a
// message.
func (r *Router) rebroadcastDrains(elapsed units.Seconds) {
	probability := float64(elapsed) / (drainGossipInterval * float64(r.deployment.FrontEnds))
	for _, w := range r.workers {
		if w.lease.drainSeenAt > 0 && r.hasRejected(w) && r.random.fraction() < probability {
			r.broadcastDrain(w)
		}
	}
}

// onDrainMessage handles a drain message of another front end.
func (r *Router) onDrainMessage(data []byte) {
	message := binary.LittleEndian.Uint16(data)
	w, known := r.workersByDigest[uint32(message)&workerDigestMask]
	if known && !r.isDiscoveryAvailable() {
		r.recordPeerDrain(w, r.now-units.Seconds(message>>drainAgeShift)*drainAgeUnitSeconds)
	}
}

// recordPeerDrain records that a worker drained at a time according to a peer. It counts as a rejection. If the lease is
// confirmed at this front end, a renewal decides whether the worker drains.
func (r *Router) recordPeerDrain(w *worker, at units.Seconds) {
	if at <= w.lease.rejectedAt {
		return
	}
	w.lease.rejectedQuery = w.lease.rejectedQuery && r.hasRejected(w)
	w.lease.rejectedAt = at
	r.endpointRulesDue = true
}

// OnGossip handles a message of another front end. Malformed messages are ignored. An incorrect one causes at most
// an attempt that finds no replica.
func (r *Router) OnGossip(now units.Seconds, data []byte) {
	r.advance(now)
	switch {
	case len(data) == gossipMessageBytes:
		r.onResponseMessage(now, data)
	case len(data) == drainMessageBytes:
		r.onDrainMessage(data)
	case len(data)%2 == 1:
		r.onConfirmationMessage(data)
	default: // malformed
	}
}

// onResponseMessage handles a response that another front end received.
func (r *Router) onResponseMessage(now units.Seconds, data []byte) {
	message := binary.LittleEndian.Uint32(data)
	w, known := r.workersByDigest[message>>workerDigestShift&workerDigestMask]
	if !known || w.state != Serving {
		return
	}
	steps := float64(message>>gossipLatencyShift) + 0.5
	load := r.responsesPerMessage() * steps * gossipLatencyStepSeconds / reportedLoadSeconds
	w.reportedLoad = max(w.reportedLoad, 0) + load
	if fn := r.functionsByDigest[uint16(message)]; fn != nil {
		fn.ensureReplica(w).markWarm(now)
		r.recordResponses(fn, r.responsesPerMessage())
	}
}

// decayReportedLoads decays the loads reported by gossip. Without gossip, a worker's own report remains valid until
// the next.
func (r *Router) decayReportedLoads(elapsed units.Seconds) {
	if !r.deployment.GossipAllowed {
		return
	}
	for _, w := range r.workers {
		w.reportedLoad = max(w.reportedLoad, 0) * (1 - min(float64(elapsed/reportedLoadSeconds), 1))
	}
}
