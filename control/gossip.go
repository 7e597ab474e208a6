package control

import "encoding/binary"

// Gossip: front ends tell each other a sample of the answers, each as function, worker and latency.

const (
	gossipMessageBytes       = 4
	maxGossipBytesPerAnswer  = 150.0 // received by all front ends together; the bound of the sample
	gossipLatencyStepSeconds = 0.15  // unit of the latency in a message
	maxGossipLatencySteps    = 15    // highest latency in a message, which has four bits for it
	maxSavedMessages         = 2.0   // messages for which answers are saved up
	reportedLoadSeconds      = 2.0   // span over which the load told of a worker is averaged
)

// A message has 16 bits of digest of the function, 12 of the worker, and 4 of latency.
const (
	workerDigestShift  = 16
	gossipLatencyShift = 28
)

// answersPerMessage is how many answers each message stands for.
func (r *Router) answersPerMessage() float64 {
	bytesPerAnswer := float64(gossipMessageBytes * (r.deployment.FrontEnds - 1))
	return max(bytesPerAnswer/maxGossipBytesPerAnswer, 1)
}

// broadcastAnswer tells the other front ends of an answer, if it is in the sample.
func (r *Router) broadcastAnswer(fn *function, w *worker, latency float64) {
	needed := r.answersPerMessage()
	r.gossipCredits = min(r.gossipCredits+1, maxSavedMessages*needed)
	if !r.deployment.GossipAllowed || r.gossipCredits < needed || r.deployment.FrontEnds < 2 {
		return
	}
	r.gossipCredits -= needed
	message := uint32(fn.digest())
	message |= w.digest() << workerDigestShift
	message |= uint32(min(latency/gossipLatencyStepSeconds, maxGossipLatencySteps)) << gossipLatencyShift
	r.host.Broadcast(binary.LittleEndian.AppendUint32(nil, message))
}

// OnGossip takes a message of another front end. A wrong one costs an attempt that finds no replica.
func (r *Router) OnGossip(now float64, data []byte) {
	r.now = now
	if len(data) != gossipMessageBytes {
		return
	}
	message := binary.LittleEndian.Uint32(data)
	w, known := r.workersByDigest[message>>workerDigestShift&workerDigestMask]
	if !known || w.state != Serving {
		return
	}
	steps := float64(message>>gossipLatencyShift) + 0.5
	load := r.answersPerMessage() * steps * gossipLatencyStepSeconds / reportedLoadSeconds
	w.reportedLoad = max(w.reportedLoad, 0) + load
	if fn := r.functionsByDigest[uint16(message)]; fn != nil {
		fn.ensureReplica(w).markWarm(now)
		r.countAnswers(fn, r.answersPerMessage())
	}
}

// decayReportedLoads lets what front ends told fade. Without gossip a worker's report holds until its next.
func (r *Router) decayReportedLoads(span float64) {
	if !r.deployment.GossipAllowed {
		return
	}
	for _, w := range r.workers {
		w.reportedLoad = max(w.reportedLoad, 0) * (1 - min(span/reportedLoadSeconds, 1))
	}
}
