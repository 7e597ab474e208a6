package proxy

import (
	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// Flush carries out what the pool and the dispatcher asked for since the last call, until nothing is left. Whatever
// happens on a connection meanwhile may ask for more; a nested call returns at once.
func (p *Proxy) Flush() {
	if p.flushing {
		return
	}
	p.flushing = true
	for p.queued() > 0 || p.pool.Pending() {
		p.pool.Flush()
		p.flushDelayedAttempts()
		p.flushRejectedAttempts()
		p.commitRecords()
		p.flushOperations()
		p.flushClients()
	}
	p.commitRecords()
	p.flushing = false
	p.resetTimer()
}

// queued counts the work that waits for Flush, without the pool's own.
func (p *Proxy) queued() int {
	return len(p.operations) + len(p.clientsToSend) + len(p.rejectedAttempts) + len(p.delayedAttempts)
}

// flushDelayedAttempts sends the attempts of delayed requests, each once all that its client sent is read: a cancel or
// a close that lies unread, behind a worker's response that was read first or behind much other input, must prevent a
// further attempt.
func (p *Proxy) flushDelayedAttempts() {
	for len(p.delayedAttempts) > 0 {
		first := &p.delayedAttempts[0]
		if request, ok := p.clientRequests[first.attempt.Waiter]; ok && !first.canceled {
			p.readAhead(request.client)
		}
		// Reading may have added others and moved the slice, so the first is looked up anew.
		canceled, attempt := p.delayedAttempts[0].canceled, p.delayedAttempts[0].attempt
		p.delayedAttempts = p.delayedAttempts[1:]
		if !canceled {
			p.pool.SendAttempt(p.host.Now(), *attempt)
		}
	}
	p.delayedAttempts = nil
}

// flushRejectedAttempts tells the dispatcher of attempts that were never sent because their records can't be taken.
func (p *Proxy) flushRejectedAttempts() {
	rejected := p.rejectedAttempts
	p.rejectedAttempts = nil
	for _, attempt := range rejected {
		p.dispatcher.OnAttemptReply(p.host.Now(), attempt, dispatch.WorkerReply{Outcome: control.NotSent})
	}
}

// flushOperations applies what the pool asked for on connections to workers.
func (p *Proxy) flushOperations() {
	operations := p.operations
	p.operations = nil
	for _, o := range operations {
		p.applyOperation(o)
	}
}

// flushClients writes to every client whose session may have output.
func (p *Proxy) flushClients() {
	clients := p.clientsToSend
	p.clientsToSend = nil
	for _, client := range clients {
		client.markedForSend = false
		client.session.Advance(p.host.Now())
		p.send(client)
	}
}
