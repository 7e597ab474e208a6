package proxy

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

const (
	// recordsPerRequest is how many records an open request may have: one of its attempt, one of its end.
	recordsPerRequest = 2
	// recordTimeoutReached is the part of RecordTimeout after which it counts as over: a timer may fire a little early.
	recordTimeoutReached = 0.99
)

// durabilityBarrier holds effects back until the records that they depend on are on disk. Records gather while a commit
// is under way, so that one sync serves all that came meanwhile.
type durabilityBarrier struct {
	pendingRecords  []dispatch.Record // for the next commit
	awaitingNext    []pendingEffect   // behind the next commit
	awaitingCurrent []pendingEffect   // behind the commit that is under way
	committing      bool
	timeoutSet      bool // sendOverdueResponses is scheduled
	fullLogged      bool // it was logged that no more records are taken
}

// pendingEffect is an attempt or a response that waits: until its record is on disk, or an attempt until what its
// client sent is read.
type pendingEffect struct {
	attempt  *dispatch.Attempt // nil: it is a response
	response dispatch.Response
	waiter   dispatch.WaiterID // of the response
	canceled bool
	since    float64 // when it began to wait
}

// isCanceled tells that an effect is no longer to be carried out.
func isCanceled(effect pendingEffect) bool { return effect.canceled }

// recordsFull tells that so many records wait that no more are taken. What must not run twice is not sent then, and
// responses wait for nothing, as where the disk fails.
func (p *Proxy) recordsFull() bool {
	return len(p.durability.pendingRecords) >= recordsPerRequest*p.settings.Dispatch.MaxOpen
}

// RecordsStored tells that every record is on disk and that all effects that waited for it were carried out.
func (p *Proxy) RecordsStored() bool {
	return !p.durability.committing && len(p.durability.pendingRecords) == 0 && len(p.durability.awaitingNext) == 0
}

// storeRecord has the next commit store a record.
func (p *Proxy) storeRecord(record dispatch.Record) {
	barrier := &p.durability
	switch {
	case p.settings.RecordStore == nil:
	case !p.recordsFull():
		barrier.pendingRecords = append(barrier.pendingRecords, record)
	case !barrier.fullLogged:
		barrier.fullLogged = true
		p.log.Error("record store does not keep up: requests that must not run twice are rejected",
			"waiting", len(barrier.pendingRecords))
	}
}

// sendOnceStored sends an attempt once its record is on disk.
func (p *Proxy) sendOnceStored(attempt *dispatch.Attempt) {
	if p.recordsFull() {
		p.rejectedAttempts = append(p.rejectedAttempts, attempt.ID)
		return
	}
	p.durability.awaitingNext = append(p.durability.awaitingNext, pendingEffect{attempt: attempt})
}

// respondOnceStored hands out a response, after its record is on disk where it awaits one. The record is in the next
// commit, in the one that is under way, or already on disk.
func (p *Proxy) respondOnceStored(to dispatch.WaiterID, response dispatch.Response) {
	barrier := &p.durability
	switch {
	case !response.AwaitsRecord || p.settings.RecordStore == nil || p.recordsFull():
		p.respond(to, response)
	case len(barrier.pendingRecords) > 0:
		p.deferResponse(&barrier.awaitingNext, to, response)
	case barrier.committing:
		p.deferResponse(&barrier.awaitingCurrent, to, response)
	default:
		p.respond(to, response)
	}
}

// deferResponse makes a response wait for its record, for RecordTimeout at most.
func (p *Proxy) deferResponse(list *[]pendingEffect, to dispatch.WaiterID, response dispatch.Response) {
	*list = append(*list, pendingEffect{response: response, waiter: to, since: p.host.Now()})
	if p.settings.RecordTimeout > 0 && !p.durability.timeoutSet {
		p.durability.timeoutSet = true
		p.host.After(p.settings.RecordTimeout, p.sendOverdueResponses)
	}
}

// cancelPending cancels an attempt that waits and tells whether one did.
func (p *Proxy) cancelPending(attempt uint64) (canceled bool) {
	for _, list := range [...][]pendingEffect{p.durability.awaitingNext, p.durability.awaitingCurrent, p.outgoingAttempts} {
		for i := range list {
			effect := &list[i]
			if effect.attempt != nil && effect.attempt.ID == attempt {
				canceled = canceled || !effect.canceled
				effect.canceled = true
			}
		}
	}
	return canceled
}

// commitRecords hands the pending records to the store, unless it is still busy with the last ones.
func (p *Proxy) commitRecords() {
	barrier := &p.durability
	if barrier.committing || len(barrier.pendingRecords) == 0 {
		return
	}
	records := barrier.pendingRecords
	barrier.awaitingCurrent = barrier.awaitingNext
	barrier.pendingRecords, barrier.awaitingNext = nil, nil
	barrier.committing = true
	p.settings.RecordStore.Commit(records, func(err error) {
		p.host.Post(func() { p.onCommitted(err) })
	})
}

// onCommitted carries out what waited for a commit. An attempt whose record was not stored is not sent; responses go
// out all the same: the attempt was recorded before, so that after a restart a repeat fails and nothing runs twice.
func (p *Proxy) onCommitted(err error) {
	barrier := &p.durability
	effects := barrier.awaitingCurrent
	barrier.awaitingCurrent, barrier.committing, barrier.fullLogged = nil, false, false
	if err != nil {
		p.log.Error("records were not stored: requests that must not run twice are rejected", "error", err)
	}
	for _, effect := range effects {
		switch {
		case effect.canceled:
		case effect.attempt == nil:
			p.respond(effect.waiter, effect.response)
		case err != nil:
			p.dispatcher.OnAttemptReply(p.host.Now(), effect.attempt.ID, dispatch.WorkerReply{Outcome: control.NotSent})
		default:
			p.outgoingAttempts = append(p.outgoingAttempts, effect)
		}
	}
	p.Flush()
}

// sendOverdueResponses sends responses whose record takes too long: a slow disk must not use up a client's time.
func (p *Proxy) sendOverdueResponses() {
	barrier := &p.durability
	now, oldest := p.host.Now(), 0.0
	barrier.timeoutSet = false
	for _, list := range [][]pendingEffect{barrier.awaitingCurrent, barrier.awaitingNext} {
		for i := range list {
			switch effect := &list[i]; {
			case effect.attempt != nil || effect.canceled:
			case now-effect.since >= p.settings.RecordTimeout*recordTimeoutReached:
				effect.canceled = true
				p.respond(effect.waiter, effect.response)
			case oldest == 0 || effect.since < oldest:
				oldest = effect.since
			}
		}
	}
	barrier.awaitingCurrent = slices.DeleteFunc(barrier.awaitingCurrent, isCanceled)
	barrier.awaitingNext = slices.DeleteFunc(barrier.awaitingNext, isCanceled)
	if oldest > 0 {
		barrier.timeoutSet = true
		p.host.After(oldest+p.settings.RecordTimeout-now, p.sendOverdueResponses)
	}
	p.Flush()
}
