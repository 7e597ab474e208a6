package dispatch

import (
	"strconv"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// requestIDBase is the base of the request IDs that are passed to the router.
const requestIDBase = 36

// waiter is a client request that waits for the response to an open request.
type waiter struct {
	id       WaiterID
	deadline units.Seconds
}

// requestState is the state of an open request. It is derived from whether the router still holds the request and
// whether an attempt is in flight:
//
//	queued    -> in flight   startAttempt
//	in flight -> queued      endAttempt without success; the router then retries, rejects or fails the request
//	in flight -> orphaned    releaseIfNoWaiters, unless the attempt is canceled
//	any       -> closed      complete
//
// An orphaned request is still indexed by its identity, so that a retry by the client can join it.
type requestState uint8

const (
	stateQueued   requestState = iota // held by the router, waiting for a worker
	stateInFlight                     // held by the router, an attempt is in flight
	stateOrphaned                     // released by the router because it has no waiter left; its attempt is still in flight
	stateClosed                       // released by the router, no attempt in flight
)

// openRequest is a request without a final response.
type openRequest struct {
	id        control.RequestID
	request   Request
	binding   Binding
	profile   FunctionProfile
	class     *control.RequestClass
	waiters   []waiter
	startedAt units.Seconds
	deadline  units.Seconds
	released  bool           // no longer held by the router
	attempt   *activeAttempt // nil: none is in flight

	attempts         int             // number of attempts started
	possiblyExecuted bool            // by an attempt of this request or of an earlier one with the same identity
	firstExecutedAt  units.Seconds   // start of the first such attempt
	digestMismatch   bool            // a worker ran a version other than the bound one
	attemptRecorded  bool            // a record that the request was possibly executed was stored
	lastOutcome      control.Outcome // of the attempt that ended last
	lastStart        control.StartType
	lastWorker       control.WorkerID
	steps            []TraceStep
}

// state returns the state of the request.
func (r *openRequest) state() requestState {
	switch {
	case !r.released && r.attempt == nil:
		return stateQueued
	case !r.released:
		return stateInFlight
	case r.attempt != nil:
		return stateOrphaned
	}
	return stateClosed
}

// routingFunction returns the ID under which the router knows the request's function.
func (r *openRequest) routingFunction() string {
	if r.binding.ID != "" {
		return r.binding.ID
	}
	return r.request.Function
}

// routingRequest returns the request in the router's form. timeLeft is the number of seconds until its deadline.
func (r *openRequest) routingRequest(timeLeft units.Seconds) control.Request {
	return control.Request{
		ID:           r.id,
		Class:        r.request.Class,
		Tenant:       control.TenantID(r.request.Tenant),
		Function:     control.FunctionID(r.routingFunction()),
		TimeLeft:     timeLeft,
		Concurrency:  r.profile.Concurrency,
		Memory:       r.profile.MemoryMB,
		LoadTime:     r.profile.LoadTime,
		ExpectedWork: r.request.ExpectedWork,
		Retried:      r.request.Retried,
	}
}

// isSafeToRetry reports whether the client may retry the request without the risk of a duplicate effect.
func (r *openRequest) isSafeToRetry() bool {
	return !r.possiblyExecuted || r.class.Semantics == control.Idempotent
}

// onAttemptStarted moves the request from queued to in flight.
func (r *openRequest) onAttemptStarted(attempt *activeAttempt) {
	r.attempt = attempt
	r.attempts++
	r.lastWorker = attempt.worker
}

// onAttemptEnded moves the request from in flight to queued, or from orphaned to closed.
func (r *openRequest) onAttemptEnded(attempt *activeAttempt, reply WorkerReply) {
	r.attempt = nil
	r.lastOutcome = reply.Outcome
	r.lastStart = reply.Start
	r.lastWorker = attempt.worker
	if possiblyExecuted(reply.Outcome) && !r.possiblyExecuted {
		r.possiblyExecuted = true
		r.firstExecutedAt = attempt.sentAt
	}
}

func (r *openRequest) removeWaiter(id WaiterID) {
	for i, w := range r.waiters {
		if w.id == id {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return
		}
	}
}

// resolveFunction sets the profile of the request's function and binds the request to a version. A retry stays on the
// version of its earlier attempts as long as that version is allowed to run.
func (d *Dispatcher) resolveFunction(req *openRequest) error {
	req.profile = req.request.StatedProfile
	if req.profile.Concurrency == 0 && d.settings.Functions != nil {
		req.profile = d.settings.Functions(req.request.Function)
	}
	if d.settings.ResolveVersion == nil {
		return nil
	}
	binding, profile, err := d.settings.ResolveVersion(&req.request)
	if cached := d.cache.get(req.request.Identity); cached != nil {
		earlier := cached.response.Binding
		if earlier.ID != "" && earlier != binding && d.settings.VersionAllowed(earlier) {
			binding, err = earlier, nil
		}
	}
	if err != nil || binding.ID == "" {
		return err
	}
	req.binding, req.profile = binding, profile
	d.bindings[binding.ID] = binding
	return nil
}

// admit opens a request and passes it to the router.
func (d *Dispatcher) admit(req *openRequest) {
	req.id = control.RequestID(strconv.FormatUint(d.nextID(), requestIDBase))
	d.requests[req.id] = req
	d.openByIdentity[req.request.Identity] = req
	for _, w := range req.waiters {
		d.requestByWaiter[w.id] = req
	}
	if cached := d.cache.get(req.request.Identity); cached != nil {
		req.possiblyExecuted, req.firstExecutedAt = cached.possiblyExecuted, cached.firstExecutedAt
	}
	if req.possiblyExecuted && req.class.Semantics == control.IdempotentByKey {
		// The router does not know about the earlier execution, so the deadline keeps attempts within the window.
		req.deadline = min(req.deadline, req.firstExecutedAt+req.class.DeduplicationWindow)
	}
	d.counts.Accepted++
	d.traceStep(req, stepAdmitted, "", d.routingSummary(req.routingFunction()))
	d.router.OnRequest(d.now, req.routingRequest(max(req.deadline-d.now, 0)))
}

// join adds a waiter to an open request. The waiter needs its own timer if its deadline is earlier than that of the
// request, or if the router has released the request and no longer enforces its deadline.
func (d *Dispatcher) join(req *openRequest, w waiter) {
	d.counts.Deduplicated++
	d.traceStep(req, stepJoined, "", "")
	req.waiters = append(req.waiters, w)
	d.requestByWaiter[w.id] = req
	if w.deadline < req.deadline || req.released {
		d.armTimer(w.deadline-d.now, waiterDeadline, uint64(w.id), req)
	}
}

// onWaiterDeadline responds to a waiter whose own timer has expired. The request stays open for its other waiters.
func (d *Dispatcher) onWaiterDeadline(req *openRequest, id WaiterID) {
	if d.requestByWaiter[id] != req {
		return
	}
	response := d.newResponse(req, Rejected, CauseDeadlineExceeded)
	if (req.possiblyExecuted || req.attempt != nil) && req.class.Semantics != control.Idempotent {
		response.Kind = Failed
	} else {
		response.RetryAfter = d.settings.Deployment.MaxRetryAfter
	}
	d.removeWaiter(req, id)
	d.effects.Respond(id, response)
	d.releaseIfNoWaiters(req)
}

// OnCancel removes a waiter whose client canceled its request or disconnected. A request without waiters gets no further
// attempt. An attempt in flight continues, so that a retry finds its response, unless Settings.CancelAbandoned is set.
func (d *Dispatcher) OnCancel(now units.Seconds, id WaiterID) {
	d.advance(now)
	req := d.requestByWaiter[id]
	if req == nil {
		return
	}
	d.counts.Cancelled++
	d.removeWaiter(req, id)
	d.releaseIfNoWaiters(req)
}

// removeWaiter removes a waiter from an open request and from the index.
func (d *Dispatcher) removeWaiter(req *openRequest, id WaiterID) {
	delete(d.requestByWaiter, id)
	req.removeWaiter(id)
}

// releaseIfNoWaiters withdraws a request without waiters from the router. A queued request is completed; a request with
// an attempt in flight becomes an orphan unless the attempt can be canceled.
func (d *Dispatcher) releaseIfNoWaiters(req *openRequest) {
	if len(req.waiters) > 0 || req.released {
		return
	}
	req.released = true
	d.router.OnCancel(d.now, req.id)
	switch {
	case req.attempt == nil:
		d.completeUnsent(req)
	case d.effects.CancelUnsent(req.attempt.id): // still waiting for a connection or for its record
		d.endAttempt(req.attempt, WorkerReply{Outcome: control.NotSent})
	case d.settings.CancelAbandoned:
		d.effects.Abandon(req.attempt.id)
		d.endAttempt(req.attempt, WorkerReply{Outcome: control.Cancelled})
	}
}

// completeUnsent completes a queued request without waiters. Its response is for a retry, which may not be executed if an
// earlier attempt was possibly executed and another execution is not safe.
func (d *Dispatcher) completeUnsent(req *openRequest) {
	response := d.newResponse(req, Rejected, CauseDeadlineExceeded)
	if req.possiblyExecuted && isRepeatUnsafe(req.class, req.firstExecutedAt, d.now) {
		response.Kind = Failed
	}
	d.complete(req, response)
}

// readmit replaces an orphaned request, whose attempt did not succeed, by a new request for the waiters that joined it
// in the meantime.
func (d *Dispatcher) readmit(orphan *openRequest) {
	d.unlink(orphan)
	req := &openRequest{
		request:   orphan.request,
		binding:   orphan.binding,
		profile:   orphan.profile,
		class:     orphan.class,
		waiters:   orphan.waiters,
		startedAt: d.now,
		deadline:  orphan.waiters[0].deadline,
	}
	for _, w := range req.waiters {
		req.deadline = min(req.deadline, w.deadline)
	}
	d.admit(req)
}

// unlink removes a request from the tables of open requests.
func (d *Dispatcher) unlink(req *openRequest) {
	req.released = true
	delete(d.requests, req.id)
	if d.openByIdentity[req.request.Identity] == req {
		delete(d.openByIdentity, req.request.Identity)
	}
}
