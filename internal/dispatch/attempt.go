package dispatch

import "streamcleat/control"

// activeAttempt is an attempt that is in flight.
type activeAttempt struct {
	id       uint64
	request  *openRequest
	worker   control.WorkerID
	sentAt   float64
	deadline float64
	number   int // 0 for the first attempt of the request
}

// mayHaveRun tells whether an attempt that ended so may have run; the outcomes from control.Rejected on prove that it
// did not.
func mayHaveRun(outcome control.Outcome) bool { return outcome < control.Rejected }

// startAttempt sends an open request to a worker. Where the request must not run twice, a record that it may have run
// becomes durable first.
func (d *Dispatcher) startAttempt(req *openRequest, worker control.WorkerID, timeout float64) {
	attempt := &activeAttempt{
		id: d.nextID(), request: req, worker: worker, sentAt: d.now,
		deadline: d.now + timeout, number: req.attempts,
	}
	req.attemptStarted(attempt)
	d.inFlight[attempt.id] = attempt
	d.counts.Attempts++
	d.arm(timeout, attemptDeadline, attempt.id, nil)
	awaitsRecord := req.class.Semantics != control.Idempotent
	if awaitsRecord {
		d.recordAttempt(req)
	}
	d.addStep(req, StepAttemptStarted, string(worker), d.routingSummary(req.routingFunction()))
	d.effects.SendAttempt(Attempt{
		ID:           attempt.id,
		Worker:       worker,
		Function:     req.request.Function,
		Number:       attempt.number,
		Timeout:      timeout,
		Identity:     req.request.Identity,
		Class:        req.request.Class,
		Fields:       req.request.Fields,
		Body:         req.request.Body,
		Binding:      req.binding,
		AwaitsRecord: awaitsRecord,
	})
}

// OnAttemptReply tells how an attempt ended. Replies to attempts that were abandoned are ignored.
func (d *Dispatcher) OnAttemptReply(now float64, id uint64, reply WorkerReply) {
	d.advance(now)
	if attempt := d.inFlight[id]; attempt != nil {
		d.endAttempt(attempt, reply)
	}
}

// endAttempt ends an attempt. A success completes its request; else the router, which still holds the request unless it
// is orphaned, retries it, rejects it or fails it.
func (d *Dispatcher) endAttempt(attempt *activeAttempt, reply WorkerReply) {
	req := attempt.request
	delete(d.inFlight, attempt.id)
	if reply.Outcome == control.Succeeded && req.binding.ID != "" && reply.Digest != req.binding.Digest {
		reply.Outcome = control.Failed // what ran is not the version that was bound
		req.wrongDigest = true
	}
	req.attemptEnded(attempt, reply)
	d.addStep(req, outcomeSteps[reply.Outcome], string(attempt.worker), startDetails[reply.Start])
	released := req.released
	result := control.AttemptResult{
		Request:   req.id,
		Worker:    attempt.worker,
		Attempt:   attempt.number,
		Outcome:   reply.Outcome,
		Completed: reply.Outcome == control.Succeeded && !released,
		Latency:   d.now - attempt.sentAt,
		Start:     reply.Start,
		Report:    reply.Report,
	}
	if reply.Outcome == control.Succeeded {
		response := d.newResponse(req, Succeeded, CauseResponded)
		response.Fields, response.Body = reply.Fields, reply.Body
		d.complete(req, response)
		d.router.OnAttemptResult(d.now, result)
		return
	}
	d.router.OnAttemptResult(d.now, result)
	if released {
		d.endOrphan(req)
	}
}

// endOrphan ends a request whose waiters had all left while its attempt, which did not succeed, was in flight. It is
// admitted anew for waiters that have joined since, if it may run again.
func (d *Dispatcher) endOrphan(req *openRequest) {
	safe := req.safeToRepeat()
	if len(req.waiters) > 0 && safe && !d.draining {
		d.readmit(req)
		return
	}
	response := d.newResponse(req, Rejected, d.causeOf(req))
	if !safe {
		response.Kind = Failed
	}
	d.complete(req, response)
}
