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
		p.flushAttempts()
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
	return len(p.operations) + len(p.clientsToSend) + len(p.rejectedAttempts) + len(p.outgoingAttempts)
}

// flushAttempts sends attempts, each once all that its client sent is read: a cancel or a close that lies unread, behind
// the request itself, behind a worker's response that was read first or behind much other input, must prevent it.
func (p *Proxy) flushAttempts() {
	for len(p.outgoingAttempts) > 0 {
		first := &p.outgoingAttempts[0]
		if !first.canceled {
			p.readClientOf(first.attempt.ID)
		}
		// Reading may have added others and moved the slice, so the first is looked up anew.
		canceled, attempt := p.outgoingAttempts[0].canceled, p.outgoingAttempts[0].attempt
		p.outgoingAttempts = p.outgoingAttempts[1:]
		if !canceled {
			p.pool.SendAttempt(p.host.Now(), *attempt)
		}
	}
	p.outgoingAttempts = nil
}

// readClientOf reads what the client that an attempt is for has sent and the event loop has not come to yet.
func (p *Proxy) readClientOf(attempt uint64) {
	if request, ok := p.clientRequests[p.dispatcher.FirstWaiter(attempt)]; ok {
		p.readAhead(request.client)
	}
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
