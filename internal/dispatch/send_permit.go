package dispatch

import "streamcleat/internal/units"

// SendPermit is the decision whether an attempt or load command may be written now. Connection pools need a SendPermit to
// encode a message, so that an earlier decision is always checked again immediately before the message is written. Only
// the [Dispatcher] issues permits.
type SendPermit struct {
	denial   SendDenial
	timeLeft units.Seconds
}

// PermitSend returns a SendPermit that allows sending. timeLeft is the number of seconds until the client's deadline. It is
// for the Dispatcher and its test fakes.
func PermitSend(timeLeft units.Seconds) SendPermit { return SendPermit{timeLeft: timeLeft} }

// DenySend returns a SendPermit that denies sending. It is for the Dispatcher and its test fakes.
func DenySend(denial SendDenial) SendPermit { return SendPermit{denial: denial} }

// Permitted reports whether the message may be written.
func (p SendPermit) Permitted() bool { return p.denial == sendPermitted }

// TimeLeft returns the number of seconds until the client's deadline, as of the permit's issue.
func (p SendPermit) TimeLeft() units.Seconds { return p.timeLeft }

// Denial returns the reason why the message must not be written.
func (p SendPermit) Denial() SendDenial { return p.denial }

// SendDenial is the reason why an attempt or load command must not be written.
type SendDenial uint8

// The send denials.
const (
	sendPermitted          SendDenial = iota
	DeniedSuperseded                  // the attempt has ended or was abandoned in the meantime
	DeniedNoWaiter                    // the request has no waiter left
	DeniedDeadlineExceeded            // the attempt's deadline has passed
	DeniedLeaseExpired                // its worker may have begun to drain since the decision
	DeniedProcessReplaced             // its worker may not recognize the idempotency key, as its process may have been replaced
	sendDenialCount                   // number of values
)

// String returns the denial's name in logs.
func (d SendDenial) String() string {
	return [sendDenialCount]string{"permitted", "superseded", "no-waiter", "deadline-exceeded", "lease-expired", "process-replaced"}[d]
}

// AuthorizeAttempt decides whether an attempt may be written now. Connection pools call it immediately before they write
// the attempt.
func (d *Dispatcher) AuthorizeAttempt(now units.Seconds, id uint64) SendPermit {
	d.advance(now)
	return d.countDenial(d.decideSend(id))
}

// countDenial counts the permit if it denies sending, and returns it.
func (d *Dispatcher) countDenial(permit SendPermit) SendPermit {
	if !permit.Permitted() {
		d.counts.SendsDenied[permit.denial]++
	}
	return permit
}

// AuthorizeLoad decides whether a load command or query may be written now. Connection pools call it immediately before
// they write it: like an attempt, it may have waited for a dial while its worker began to drain.
func (d *Dispatcher) AuthorizeLoad(now units.Seconds, id uint64) SendPermit {
	d.advance(now)
	load := d.pendingLoads[id]
	switch {
	case load == nil:
		return d.countDenial(DenySend(DeniedSuperseded))
	case load.isQuery && !d.router.MayQuery(d.now, load.worker, load.replicas):
		return d.countDenial(DenySend(DeniedLeaseExpired))
	case load.isQuery:
		load.sentAt, load.isWritten = d.now, true
	case !d.router.MayLoad(d.now, load.worker, load.function):
		return d.countDenial(DenySend(DeniedLeaseExpired))
	}
	return PermitSend(d.settings.LoadTimeout)
}

// decideSend returns the decision of AuthorizeAttempt.
func (d *Dispatcher) decideSend(id uint64) SendPermit {
	attempt := d.inFlight[id]
	if attempt == nil {
		return DenySend(DeniedSuperseded)
	}
	if len(attempt.request.waiters) == 0 {
		return DenySend(DeniedNoWaiter)
	}
	timeLeft := attempt.deadline - d.now
	if timeLeft <= 0 {
		return DenySend(DeniedDeadlineExceeded)
	}
	if !d.router.MaySend(d.now, attempt.worker) {
		return DenySend(DeniedLeaseExpired)
	}
	if !d.router.MayExecute(d.now, attempt.request.id) {
		return DenySend(DeniedProcessReplaced)
	}
	return PermitSend(timeLeft)
}

// FirstWaiter returns the first waiter for the request of an attempt in flight, 0 if there is none.
func (d *Dispatcher) FirstWaiter(attempt uint64) WaiterID {
	if active := d.inFlight[attempt]; active != nil && len(active.request.waiters) > 0 {
		return active.request.waiters[0].id
	}
	return 0
}
