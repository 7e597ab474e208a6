package proxy

import (
	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// Flush executes the work that the pool and the dispatcher have queued, until none is left. The work may queue more; a
// nested call returns immediately. Writes to workers come first, because their permits were already issued and are outdated
// after maxWriteDelay.
func (p *Proxy) Flush() {
	if p.flushing {
		return
	}
	p.flushing = true
	p.readAheadPeriod++
	for p.pendingWork() > 0 || p.pool.Pending() {
		p.flushUpstream()
		p.pool.Flush()
		p.flushAttempts()
		p.flushRejectedAttempts()
		p.commitRecords()
		p.flushUpstream()
		p.flushClients()
	}
	p.commitRecords()
	p.flushing = false
	p.resetTimer()
}

// pendingWork returns the number of work items that wait for Flush, excluding those of the pool.
func (p *Proxy) pendingWork() int {
	return len(p.upstreamOperations) + len(p.clientsToSend) + len(p.rejectedAttempts) + len(p.outgoingAttempts)
}

// flushAttempts sends attempts. It first reads the pending input of each attempt's client, because a cancellation or close
// that was received but not yet read must prevent the attempt. If input is left, the attempt waits.
func (p *Proxy) flushAttempts() {
	for len(p.outgoingAttempts) > 0 {
		first := &p.outgoingAttempts[0]
		p.inputReadAt = p.host.Now()
		complete := first.canceled || p.readClientOf(first.attempt.ID)
		// Reading may have reallocated the slice or canceled the attempt.
		effect := p.outgoingAttempts[0]
		p.outgoingAttempts = p.outgoingAttempts[1:]
		switch {
		case effect.canceled:
		case !complete:
			p.countDeferral(effect.attempt.ID)
			p.deferAttempt(effect)
		default:
			p.pool.SendAttempt(p.host.Now(), *effect.attempt)
			p.flushUpstream() // before reading the next client's input: the attempt is already authorized
		}
	}
	p.inputReadAt = 0
	p.outgoingAttempts = nil
}

// countDeferral counts a deferred attempt for its client.
func (p *Proxy) countDeferral(attempt uint64) {
	if request, ok := p.clientRequests[p.dispatcher.FirstWaiter(attempt)]; ok {
		request.client.load.deferred++
	}
}

// deferAttempt makes an attempt whose client has more input wait until other connections have had their turn.
func (p *Proxy) deferAttempt(effect pendingEffect) {
	p.deferredAttempts = append(p.deferredAttempts, effect)
	if len(p.deferredAttempts) == 1 {
		p.host.Post(p.retryDeferredAttempts)
	}
}

// retryDeferredAttempts sends the deferred attempts whose clients have no more input.
func (p *Proxy) retryDeferredAttempts() {
	p.outgoingAttempts = append(p.outgoingAttempts, p.deferredAttempts...)
	p.deferredAttempts = nil
	p.Flush()
}

// readClientOf reads the pending input of an attempt's client ahead of the event loop, and reports whether none is left.
func (p *Proxy) readClientOf(attempt uint64) (complete bool) {
	request, ok := p.clientRequests[p.dispatcher.FirstWaiter(attempt)]
	if !ok {
		return true
	}
	return p.readAhead(request.client)
}

// flushRejectedAttempts reports to the dispatcher the attempts that were not sent because their records can't be stored.
func (p *Proxy) flushRejectedAttempts() {
	rejected := p.rejectedAttempts
	p.rejectedAttempts = nil
	for _, attempt := range rejected {
		p.dispatcher.OnAttemptReply(p.host.Now(), attempt, dispatch.WorkerReply{Outcome: control.NotSent})
	}
}

// flushUpstream executes the pool's operations on connections to workers.
func (p *Proxy) flushUpstream() {
	operations := p.upstreamOperations
	p.upstreamOperations = nil
	for _, operation := range operations {
		p.applyUpstreamOperation(operation)
	}
}

// flushClients writes the output of sessions to their clients.
func (p *Proxy) flushClients() {
	clients := p.clientsToSend
	p.clientsToSend = nil
	for _, client := range clients {
		client.sendScheduled = false
		p.applyTimeout(client)
		client.session.Advance(p.host.Now())
		p.send(client)
	}
}
