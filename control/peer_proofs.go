package control

import (
	"encoding/binary"
	"math"

	"streamcleat/internal/units"
)

// Proofs of peers: while discovery is not heard, a front end that lacks a lease asks its peers which workers proved to
// serve, before it tries one. Datagrams may arrive late. A question therefore carries a random number, and an answer
// repeats it: the ages of the proofs in an answer count back from the time of the question, whenever the answer arrives.

const (
	// peerAnswerSeconds is the time for which a query waits for the answers of peers.
	peerAnswerSeconds = 0.05
	// minQuestionInterval is the least time between two questions of a front end, and questionsPerSecond bounds those of all
	// front ends together.
	minQuestionInterval = 0.1
	questionsPerSecond  = 60.0
	// answersPerQuestion is the mean number of peers that answer a question.
	answersPerQuestion = 4.0
	// maxProofsPerAnswer keeps an answer within a datagram of 256 bytes.
	maxProofsPerAnswer = 120
	// peerAnswerTimer is the ID of the timer that ends the wait for answers. Requests have lower ones.
	peerAnswerTimer uint64 = math.MaxUint64
)

// Messages of this kind have odd lengths, other gossip has even ones. They consist of the kind, the number of the question
// in 32 bits and, in an answer, 16 bits for each worker: the digest in 12, and the age of its proof in 4.
const (
	questionKind byte = 1
	answerKind   byte = 2

	questionBytes   = 5
	proofBytes      = 2
	proofAgeShift   = 12
	maxProofAgeStep = 14 // the age of a proof that is about to expire
	drainingAgeStep = 15 // in place of an age: the worker drains
)

// peerQuestion is the last question to the peers.
type peerQuestion struct {
	number   uint32
	sentAt   units.Seconds
	isSent   bool // there was one
	answered bool // any question was
}

func (r *Router) hasPeers() bool { return r.deployment.GossipAllowed && r.deployment.FrontEnds > 1 }

// askPeersIfUnproven asks the peers if some worker that may serve is not proven.
func (r *Router) askPeersIfUnproven() {
	if !r.hasLeases() || r.isDiscoveryHeard() {
		return
	}
	for _, w := range r.workers {
		if w.state == Serving && !r.isProven(w) && !r.hasRejected(w) {
			r.askPeers()
			return
		}
	}
}

// mayAskPeers reports whether there are peers and they were not asked lately.
func (r *Router) mayAskPeers() bool {
	interval := max(minQuestionInterval, units.Seconds(float64(r.deployment.FrontEnds)/questionsPerSecond))
	return r.hasPeers() && (!r.question.isSent || r.now >= r.question.sentAt+interval)
}

// askPeers broadcasts a question, unless there was one lately.
func (r *Router) askPeers() {
	if !r.mayAskPeers() {
		return
	}
	r.question.number = uint32(r.random.below(math.MaxUint32))
	r.question.sentAt, r.question.isSent = r.now, true
	r.host.Broadcast(binary.LittleEndian.AppendUint32([]byte{questionKind}, r.question.number))
	r.host.SetTimer(peerAnswerSeconds, peerAnswerTimer)
}

// awaitsPeers reports whether queries wait for messages of peers: after the start until the first answer, and after each
// question.
func (r *Router) awaitsPeers() bool {
	if !r.hasPeers() {
		return false
	}
	startsUp := !r.question.answered && r.now < r.startedAt+startDelaySeconds
	return startsUp || r.question.isSent && r.now < r.question.sentAt+peerAnswerSeconds
}

// onProofMessage handles a question or an answer.
func (r *Router) onProofMessage(data []byte) {
	if len(data) < questionBytes {
		return
	}
	number := binary.LittleEndian.Uint32(data[1:])
	switch data[0] {
	case questionKind:
		r.answerQuestion(number)
	case answerKind:
		r.onAnswer(number, data[questionBytes:])
	default: // of another version
	}
}

// answerQuestion tells which workers proved to serve and which drain. A few peers answer each question.
func (r *Router) answerQuestion(number uint32) {
	if !r.hasPeers() || len(r.workers) == 0 || r.random.fraction()*float64(r.deployment.FrontEnds-1) >= answersPerQuestion {
		return
	}
	answer := binary.LittleEndian.AppendUint32([]byte{answerKind}, number)
	first := r.random.below(len(r.workers)) // another one each time, if there is not room for all
	for i := range r.workers {
		w := r.workers[(first+i)%len(r.workers)]
		if step, known := r.proofAgeStep(w); known && len(answer) < questionBytes+maxProofsPerAnswer*proofBytes {
			answer = binary.LittleEndian.AppendUint16(answer, uint16(w.digest())|step<<proofAgeShift)
		}
	}
	if len(answer) > questionBytes {
		r.host.Broadcast(answer)
	}
}

// proofAgeStep returns what an answer tells of w, or false if it tells nothing.
func (r *Router) proofAgeStep(w *worker) (step uint16, known bool) {
	switch {
	case w.state == Draining && r.isDiscoveryHeard(): // others repeat what they saw in drain messages
		return drainingAgeStep, true
	case w.state != Serving || r.hasRejected(w):
		return 0, false
	}
	provenAt := w.lease.provenAt
	if r.isDiscoveryHeard() {
		provenAt = max(provenAt, r.discovery.confirmedAt)
	}
	age := math.Ceil(float64((r.now - provenAt) / r.proofAgeUnit()))
	return uint16(min(age, drainingAgeStep)), age <= maxProofAgeStep
}

// proofAgeUnit returns the unit of the ages in answers. All front ends of a deployment have the same.
func (r *Router) proofAgeUnit() units.Seconds { return r.leaseDuration() / maxProofAgeStep }

// onAnswer handles an answer of a peer to the last question. Requests that wait for leases are decided anew.
func (r *Router) onAnswer(number uint32, proofs []byte) {
	if !r.question.isSent || number != r.question.number || r.isDiscoveryHeard() {
		return
	}
	r.question.answered = true
	for ; len(proofs) >= proofBytes; proofs = proofs[proofBytes:] {
		r.applyPeerProof(binary.LittleEndian.Uint16(proofs))
	}
	r.releaseAllWaiters(func(w *worker) bool { return !w.lease.isAsked })
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
		r.recordPeerDrain(w, r.question.sentAt)
		return
	}
	provenAt := r.question.sentAt - units.Seconds(step)*r.proofAgeUnit()
	if provenAt > w.disconnectedAt {
		w.recordProof(provenAt)
	}
}
