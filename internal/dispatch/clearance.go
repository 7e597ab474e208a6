package dispatch

// Clearance permits one attempt or load command to be written now. Pools encode what they send from a Clearance alone,
// so that nothing that was decided earlier leaves without being checked again at the moment at which it leaves.
// [Dispatcher.Clear] is the program's only source of clearances that were granted.
type Clearance struct {
	refusal  SendRefusal
	timeLeft float64
}

// Grant makes a granted clearance with the seconds that are left to the client. It is for the dispatcher, and for fakes
// of it in tests.
func Grant(timeLeft float64) Clearance { return Clearance{timeLeft: timeLeft} }

// Refuse makes a clearance that was not granted. It is for the dispatcher, and for fakes of it in tests.
func Refuse(refusal SendRefusal) Clearance { return Clearance{refusal: refusal} }

// Granted tells whether the request may be written.
func (c Clearance) Granted() bool { return c.refusal == sendGranted }

// TimeLeft is how many seconds, from the moment of the clearance, the client waits.
func (c Clearance) TimeLeft() float64 { return c.timeLeft }

// Refusal tells why the request must not be written.
func (c Clearance) Refusal() SendRefusal { return c.refusal }

// SendRefusal is why an attempt or a load command must not be written any more.
type SendRefusal uint8

// The refusals.
const (
	sendGranted    SendRefusal = iota
	SendSuperseded             // it has ended, or was abandoned, since it was handed to the pool
	SendNoWaiter               // every client that waited for it has left
	SendExpired                // the time of its clients is up
	sendRefusals               // count of the values
)

// String is the refusal as logs and metrics spell it.
func (r SendRefusal) String() string {
	return [sendRefusals]string{"granted", "superseded", "client-left", "time-up"}[r]
}

// Clear decides whether an attempt or a load command may be written now. It is the one place that does; the pool asks
// it for each request directly before its bytes leave.
func (d *Dispatcher) Clear(now float64, id uint64, isLoad bool) Clearance {
	d.advance(now)
	clearance := d.decideSend(id, isLoad)
	if !clearance.Granted() {
		d.counts.SendsRefused[clearance.refusal]++
	}
	return clearance
}

func (d *Dispatcher) decideSend(id uint64, isLoad bool) Clearance {
	if isLoad { // loads and unloads are wanted by no client in particular
		return Grant(d.settings.LoadTimeout)
	}
	attempt := d.inFlight[id]
	if attempt == nil {
		return Refuse(SendSuperseded)
	}
	if len(attempt.request.waiters) == 0 {
		return Refuse(SendNoWaiter)
	}
	timeLeft := attempt.deadline - d.now
	if timeLeft <= 0 {
		return Refuse(SendExpired)
	}
	return Grant(timeLeft)
}

// FirstWaiter is the first waiter of the request that an attempt in flight belongs to; 0: there is none.
func (d *Dispatcher) FirstWaiter(attempt uint64) WaiterID {
	if active := d.inFlight[attempt]; active != nil && len(active.request.waiters) > 0 {
		return active.request.waiters[0].id
	}
	return 0
}
