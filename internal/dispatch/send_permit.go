package dispatch

// SendPermit permits one attempt or load command to be written now. Pools encode what they send from a SendPermit alone,
// so that nothing that was decided earlier leaves without being checked again at the moment at which it leaves.
// Only the [Dispatcher] issues permits.
type SendPermit struct {
	denial   SendDenial
	timeLeft float64
}

// PermitSend returns a permit to send, with the seconds that the client has left. It is for the dispatcher and for test
// fakes of it.
func PermitSend(timeLeft float64) SendPermit { return SendPermit{timeLeft: timeLeft} }

// DenySend returns a denial. It is for the dispatcher and for test fakes of it.
func DenySend(denial SendDenial) SendPermit { return SendPermit{denial: denial} }

// Permitted reports whether the request may be written.
func (p SendPermit) Permitted() bool { return p.denial == sendPermitted }

// TimeLeft returns the seconds that the client has left at the time of the permit.
func (p SendPermit) TimeLeft() float64 { return p.timeLeft }

// Denial returns why the request must not be written.
func (p SendPermit) Denial() SendDenial { return p.denial }

// SendDenial is the reason why an attempt must not be written any more.
type SendDenial uint8

// The send denials.
const (
	sendPermitted          SendDenial = iota
	DeniedSuperseded                  // it has ended, or was abandoned, since it was handed to the pool
	DeniedNoWaiter                    // every client that waited for it has left
	DeniedDeadlineExceeded            // the time of its clients is up
	sendDenialCount                   // count of the values
)

// String returns the denial as logs spell it.
func (d SendDenial) String() string {
	return [sendDenialCount]string{"permitted", "superseded", "no-waiter", "deadline-exceeded"}[d]
}

// AuthorizeAttempt decides whether an attempt may be written now. Pools call it directly before the bytes leave; no other
// code decides this.
func (d *Dispatcher) AuthorizeAttempt(now float64, id uint64) SendPermit {
	d.advance(now)
	permit := d.decideSend(id)
	if !permit.Permitted() {
		d.counts.SendsDenied[permit.denial]++
	}
	return permit
}

// AuthorizeLoad permits a load command, which no client in particular waits for.
func (d *Dispatcher) AuthorizeLoad(now float64) SendPermit {
	d.advance(now)
	return PermitSend(d.settings.LoadTimeout)
}

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
	return PermitSend(timeLeft)
}

// FirstWaiter is the first waiter of the request that an attempt in flight belongs to; 0: there is none.
func (d *Dispatcher) FirstWaiter(attempt uint64) WaiterID {
	if active := d.inFlight[attempt]; active != nil && len(active.request.waiters) > 0 {
		return active.request.waiters[0].id
	}
	return 0
}
