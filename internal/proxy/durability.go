package proxy

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

const (
	// recordsPerRequest is the maximum number of pending records per open request: one for its attempt, one for its end.
	recordsPerRequest = 2
	// recordTimeoutFraction is the fraction of RecordTimeout after which a response is overdue. It is below 1 because
	// timers may fire slightly early.
	recordTimeoutFraction = 0.99
)

// durabilityBarrier delays effects until the records that they depend on are durable. Records that arrive during a commit
// are batched into the next one.
type durabilityBarrier struct {
	pendingRecords        []dispatch.Record // to be stored by the next commit
	awaitingNextCommit    []pendingEffect   // to be released by the next commit
	awaitingCurrentCommit []pendingEffect   // to be released by the commit under way
	committing            bool              // a commit is under way
	timeoutScheduled      bool              // sendOverdueResponses is scheduled
	overloadLogged        bool              // the overload of the record store was logged since the last commit ended
}

// pendingEffect is an attempt or a response that waits for its record, or an attempt that waits for its client's input to be
// read.
type pendingEffect struct {
	attempt      *dispatch.Attempt // nil: the effect is a response
	response     dispatch.Response
	waiter       dispatch.WaiterID // of the response
	canceled     bool
	waitingSince units.Seconds // when a response began to wait; 0 for attempts
}

func isCanceled(effect pendingEffect) bool { return effect.canceled }

// recordsFull reports whether the limit of pending records is reached. If so, as after a disk failure, attempts that need a
// record are rejected and responses are sent without waiting for theirs.
func (p *Proxy) recordsFull() bool {
	return len(p.durability.pendingRecords) >= recordsPerRequest*p.settings.Dispatch.MaxOpen
}

// RecordsStored reports whether every record is durable and no effect is waiting for one.
func (p *Proxy) RecordsStored() bool {
	return !p.durability.committing && len(p.durability.pendingRecords) == 0 && len(p.durability.awaitingNextCommit) == 0
}

// storeRecord adds a record to the next commit. It drops the record if there is no record store or the limit of pending
// records is reached.
func (p *Proxy) storeRecord(record dispatch.Record) {
	barrier := &p.durability
	switch {
	case p.settings.RecordStore == nil:
	case !p.recordsFull():
		barrier.pendingRecords = append(barrier.pendingRecords, record)
	case !barrier.overloadLogged:
		barrier.overloadLogged = true
		p.log.Error("record store overloaded, rejecting non-idempotent requests",
			"waiting", len(barrier.pendingRecords))
	}
}

// sendOnceStored sends an attempt once its record is durable.
func (p *Proxy) sendOnceStored(attempt *dispatch.Attempt) {
	if p.recordsFull() {
		p.rejectedAttempts = append(p.rejectedAttempts, attempt.ID)
		return
	}
	p.durability.awaitingNextCommit = append(p.durability.awaitingNextCommit, pendingEffect{attempt: attempt})
}

// respondOnceStored delivers a response. If the response awaits a record, that record is in the next commit, in the commit
// under way, or already durable.
func (p *Proxy) respondOnceStored(to dispatch.WaiterID, response dispatch.Response) {
	barrier := &p.durability
	switch {
	case !response.AwaitsRecord || p.settings.RecordStore == nil || p.recordsFull():
		p.deliverResponse(to, response)
	case len(barrier.pendingRecords) > 0:
		p.deferResponse(&barrier.awaitingNextCommit, to, response)
	case barrier.committing:
		p.deferResponse(&barrier.awaitingCurrentCommit, to, response)
	default:
		p.deliverResponse(to, response)
	}
}

// deferResponse makes a response wait for its record, for at most RecordTimeout.
func (p *Proxy) deferResponse(list *[]pendingEffect, to dispatch.WaiterID, response dispatch.Response) {
	*list = append(*list, pendingEffect{response: response, waiter: to, waitingSince: p.host.Now()})
	if p.settings.RecordTimeout > 0 && !p.durability.timeoutScheduled {
		p.durability.timeoutScheduled = true
		p.host.After(p.settings.RecordTimeout, p.sendOverdueResponses)
	}
}

// cancelPending cancels an attempt that is still pending and reports whether there was one.
func (p *Proxy) cancelPending(attempt uint64) bool {
	canceled := false
	for _, list := range [...][]pendingEffect{p.durability.awaitingNextCommit, p.durability.awaitingCurrentCommit, p.outgoingAttempts, p.deferredAttempts} {
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

// commitRecords starts a commit of the pending records, unless one is under way.
func (p *Proxy) commitRecords() {
	barrier := &p.durability
	if barrier.committing || len(barrier.pendingRecords) == 0 {
		return
	}
	records := barrier.pendingRecords
	barrier.awaitingCurrentCommit = barrier.awaitingNextCommit
	barrier.pendingRecords, barrier.awaitingNextCommit = nil, nil
	barrier.committing = true
	p.settings.RecordStore.Commit(records, func(err error) {
		p.host.Post(func() { p.onCommitted(err) })
	})
}

// onCommitted releases the effects that waited for a commit. If the commit failed, attempts are rejected, but responses
// are sent: the records of their attempts are durable, so that after a restart a retry fails instead of being executed
// again.
func (p *Proxy) onCommitted(err error) {
	barrier := &p.durability
	effects := barrier.awaitingCurrentCommit
	barrier.awaitingCurrentCommit, barrier.committing, barrier.overloadLogged = nil, false, false
	if err != nil {
		p.log.Error("failed to store records, rejecting non-idempotent requests", "error", err)
	}
	for _, effect := range effects {
		switch {
		case effect.canceled:
		case effect.attempt == nil:
			p.deliverResponse(effect.waiter, effect.response)
		case err != nil:
			p.dispatcher.OnAttemptReply(p.host.Now(), effect.attempt.ID, dispatch.WorkerReply{Outcome: control.NotSent})
		default:
			p.outgoingAttempts = append(p.outgoingAttempts, effect)
		}
	}
	p.Flush()
}

// sendOverdueResponses sends responses that have waited for RecordTimeout, so that a slow disk does not make clients miss
// their deadlines.
func (p *Proxy) sendOverdueResponses() {
	barrier := &p.durability
	now := p.host.Now()
	var oldest units.Seconds
	barrier.timeoutScheduled = false
	for _, list := range [][]pendingEffect{barrier.awaitingCurrentCommit, barrier.awaitingNextCommit} {
		for i := range list {
			switch effect := &list[i]; {
			case effect.attempt != nil || effect.canceled:
			case now-effect.waitingSince >= p.settings.RecordTimeout*recordTimeoutFraction:
				effect.canceled = true
				p.deliverResponse(effect.waiter, effect.response)
			case oldest == 0 || effect.waitingSince < oldest:
				oldest = effect.waitingSince
			}
		}
	}
	barrier.awaitingCurrentCommit = slices.DeleteFunc(barrier.awaitingCurrentCommit, isCanceled)
	barrier.awaitingNextCommit = slices.DeleteFunc(barrier.awaitingNextCommit, isCanceled)
	if oldest > 0 {
		barrier.timeoutScheduled = true
		p.host.After(oldest+p.settings.RecordTimeout-now, p.sendOverdueResponses)
	}
	p.Flush()
}
