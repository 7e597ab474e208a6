package dispatch

import (
	"streamcleat/control"
	"streamcleat/internal/units"
)

// activeAttempt is an attempt in flight.
type activeAttempt struct {
	id       uint64
	request  *openRequest
	worker   control.WorkerID
	sentAt   units.Seconds
	deadline units.Seconds
	number   int // 0 for the first attempt of the request
}

// possiblyExecuted reports whether an attempt with this outcome may have been executed. control.Rejected and the
// outcomes after it rule that out.
func possiblyExecuted(outcome control.Outcome) bool { return outcome < control.Rejected }

// startAttempt sends an open request to a worker. Unless the request is idempotent, a record that it was possibly
// executed is stored first, and the attempt waits until that record is durable.
func (d *Dispatcher) startAttempt(req *openRequest, worker control.WorkerID, timeout units.Seconds) {
	attempt := &activeAttempt{
		id: d.nextID(), request: req, worker: worker, sentAt: d.now,
		deadline: d.now + timeout, number: req.attempts,
	}
	req.onAttemptStarted(attempt)
	d.inFlight[attempt.id] = attempt
	d.counts.Attempts++
	d.armTimer(timeout, attemptDeadline, attempt.id, nil)
	awaitsRecord := req.class.Semantics != control.Idempotent
	if awaitsRecord {
		d.storeAttemptRecord(req)
	}
	d.traceStep(req, StepAttemptStarted, string(worker), d.routingSummary(req.routingFunction()))
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

// OnAttemptReply processes the end of an attempt. Replies to abandoned attempts are ignored.
func (d *Dispatcher) OnAttemptReply(now units.Seconds, id uint64, reply WorkerReply) {
	d.advance(now)
	if attempt := d.inFlight[id]; attempt != nil {
		d.endAttempt(attempt, reply)
	}
}

// endAttempt ends an attempt. A success completes its request. Otherwise the router, which holds the request unless it is
// an orphan, retries, rejects or fails it.
func (d *Dispatcher) endAttempt(attempt *activeAttempt, reply WorkerReply) {
	req := attempt.request
	delete(d.inFlight, attempt.id)
	if reply.Outcome == control.Succeeded && req.binding.ID != "" && reply.Digest != req.binding.Digest {
		reply.Outcome = control.Failed // the worker ran a version other than the bound one
		req.digestMismatch = true
	}
	req.onAttemptEnded(attempt, reply)
	d.traceStep(req, outcomeSteps[reply.Outcome], string(attempt.worker), startDetails[reply.Start])
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

// endOrphan ends an orphaned request whose attempt did not succeed. The request is admitted again for waiters that have
// joined since, provided that it is safe to retry.
func (d *Dispatcher) endOrphan(req *openRequest) {
	safeToRetry := req.isSafeToRetry()
	if len(req.waiters) > 0 && safeToRetry && !d.draining {
		d.readmit(req)
		return
	}
	response := d.newResponse(req, Rejected, d.causeOf(req))
	if !safeToRetry {
		response.Kind = Failed
	}
	d.complete(req, response)
}
