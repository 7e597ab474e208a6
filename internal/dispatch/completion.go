package dispatch

import "streamcleat/control"

// newResponse returns a response to an open request, without fields and body.
func (d *Dispatcher) newResponse(req *openRequest, kind ResponseKind, cause Cause) Response {
	return Response{
		Kind:     kind,
		Cause:    cause,
		Worker:   string(req.lastWorker),
		Start:    req.lastStart,
		Attempts: req.attempts,
		Identity: req.request.Identity,
		Elapsed:  d.now - req.startedAt,
		Class:    req.request.Class,
		Function: req.request.Function,
		Tenant:   req.request.Tenant,
		Binding:  req.binding,
	}
}

// causeOf derives the cause of a request that ends without success from the outcome of its last attempt.
func (d *Dispatcher) causeOf(req *openRequest) Cause {
	if req.attempts == 0 {
		if d.now >= req.deadline-2*d.settings.Deployment.MinRoundInterval {
			return CauseDeadlineExceeded
		}
		return CauseNoCapacity
	}
	switch req.lastOutcome {
	case control.Failed:
		if req.digestMismatch {
			return CauseDigestMismatch
		}
		return CauseWorkerFailed
	case control.ConnectionLost, control.Cancelled:
		return CauseConnectionLost
	case control.Rejected:
		return CauseWorkerFull
	case control.Unreachable:
		return CauseWorkerUnreachable
	case control.NotSent:
		if d.now >= req.deadline-2*d.settings.Deployment.MinRoundInterval {
			return CauseDeadlineExceeded
		}
		return CauseNotStored
	case control.ReplicaMissing:
		return CauseLoadFailed
	case control.Succeeded, control.TimedOut:
	}
	return CauseDeadlineExceeded
}

// denyAdmission responds to a request that is not admitted. Rejecting it is safe: it was not executed, and the response of
// an earlier execution with the same identity would be in the cache.
func (d *Dispatcher) denyAdmission(to WaiterID, request Request, kind ResponseKind, cause Cause) {
	response := Response{
		Kind:     kind,
		Cause:    cause,
		Identity: request.Identity,
		Class:    request.Class,
		Function: request.Function,
	}
	if kind == Rejected {
		response.RetryAfter = d.settings.Deployment.MaxRetryAfter
	}
	d.countResponse(response)
	d.effects.Respond(to, response)
	d.effects.OnRequestEnd(response, &Trace{
		Identity:  request.Identity,
		Class:     request.Class,
		Function:  request.Function,
		Tenant:    request.Tenant,
		StartedAt: d.now,
		Response:  response,
	})
}

// replay responds to a waiter with a cached response.
func (d *Dispatcher) replay(to WaiterID, cached *cachedResponse, class *control.RequestClass) {
	response := cached.response
	response.Replayed = true
	response.AwaitsRecord = class.Semantics != control.Idempotent // the record may not be durable yet
	d.counts.Replayed++
	d.effects.Respond(to, response)
}

// complete closes an open request: it stores and caches the final response and delivers it to every waiter.
func (d *Dispatcher) complete(req *openRequest, response Response) {
	d.unlink(req)
	for _, w := range req.waiters {
		delete(d.requestByWaiter, w.id)
	}
	// After a restart, the records must show every attempt that was possibly executed and every response that was sent.
	// The end of an idempotent request is stored too, but its response does not wait for the record.
	if req.attemptRecorded || response.Kind == Succeeded {
		response.AwaitsRecord = req.attemptRecorded
		d.storeEndRecord(req, response)
	}
	d.cacheResponse(req, response)
	d.rememberExecution(req)
	d.countResponse(response)
	d.traceStep(req, response.Kind.String(), "", response.Cause.String())
	for i, w := range req.waiters {
		response.Replayed = i > 0
		d.effects.Respond(w.id, response)
	}
	response.Replayed = false
	trace := d.newTrace(req)
	trace.Open = false
	trace.Response = response
	trace.Response.Body, trace.Response.Fields = nil, nil
	req.waiters = nil
	if !d.settings.TracingDisabled {
		d.traces.ended.add(trace, maxEndedTraces)
	}
	d.effects.OnRequestEnd(response, trace)
}

// rememberExecution remembers a request that may have been executed, unless it may be executed again or its response is cached.
func (d *Dispatcher) rememberExecution(req *openRequest) {
	if d.settings.DeduplicationWindow > 0 || !req.possiblyExecuted || req.class.Semantics == control.Idempotent {
		return
	}
	d.executed.add(executedRequest{req.request.Identity, req.class, req.firstExecutedAt, d.now})
}

// countResponse adds a final response to the totals.
func (d *Dispatcher) countResponse(response Response) {
	switch response.Kind {
	case Succeeded:
		d.counts.Succeeded++
	case Rejected:
		d.counts.Rejected++
	case Failed:
		d.counts.Failed++
	}
}
