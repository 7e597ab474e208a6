package dispatch

import (
	"strconv"

	"streamcleat/control"
)

// requestIDBase is the base in which request IDs are written for the router.
const requestIDBase = 36

// waiter is one client that waits for the response of an open request.
type waiter struct {
	id       WaiterID
	deadline float64
}

// requestState is where an open request stands. It follows from whether the router still holds the request and whether
// an attempt is in flight:
//
//	queued    -> in flight   startAttempt
//	in flight -> queued      endAttempt, without success: the router retries it or gives it up
//	in flight -> orphaned    releaseIfNoWaiters, unless the attempt is cancelled
//	any       -> closed      complete
//
// An orphaned request is still found by its identity, so that a repeat can join it.
type requestState uint8

const (
	stateQueued   requestState = iota // held by the router, waits for a worker
	stateInFlight                     // held by the router, an attempt is in flight
	stateOrphaned                     // released by the router because every waiter left; its attempt is still in flight
	stateClosed                       // released by the router, no attempt in flight
)

// openRequest is a request that has no final response yet.
type openRequest struct {
	id        control.RequestID
	request   Request
	binding   Binding
	profile   FunctionProfile
	class     *control.RequestClass
	waiters   []waiter
	startedAt float64
	deadline  float64
	released  bool           // the router no longer holds it
	attempt   *activeAttempt // in flight; nil: none

	attempts    int             // attempts started
	mayHaveRun  bool            // some attempt may have run, in this request or an earlier one of the same identity
	firstRunAt  float64         // when the first of these started
	wrongDigest bool            // a worker replied with another version than the bound one
	recorded    bool            // a durable record says that it may have run
	lastOutcome control.Outcome // of the newest attempt that ended
	lastStart   control.StartType
	lastWorker  control.WorkerID
	steps       []TraceStep
}

// state is where the request stands.
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

// routingFunction is the request's function as the router knows it.
func (r *openRequest) routingFunction() string {
	if r.binding.ID != "" {
		return r.binding.ID
	}
	return r.request.Function
}

// routingRequest is the request as the router takes it, with the seconds that are left to answer it.
func (r *openRequest) routingRequest(timeLeft float64) control.Request {
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

// safeToRepeat tells whether the client may send the request again without running it twice.
func (r *openRequest) safeToRepeat() bool {
	return !r.mayHaveRun || r.class.Semantics == control.Idempotent
}

// attemptStarted is the transition from queued to in flight.
func (r *openRequest) attemptStarted(attempt *activeAttempt) {
	r.attempt = attempt
	r.attempts++
	r.lastWorker = attempt.worker
}

// attemptEnded is the transition from in flight to queued, or from orphaned to closed.
func (r *openRequest) attemptEnded(attempt *activeAttempt, reply WorkerReply) {
	r.attempt = nil
	r.lastOutcome = reply.Outcome
	r.lastStart = reply.Start
	r.lastWorker = attempt.worker
	if mayHaveRun(reply.Outcome) && !r.mayHaveRun {
		r.mayHaveRun = true
		r.firstRunAt = attempt.sentAt
	}
}

// removeWaiter removes a waiter from the request.
func (r *openRequest) removeWaiter(id WaiterID) {
	for i, w := range r.waiters {
		if w.id == id {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return
		}
	}
}

// resolveFunction settles the profile of the request's function and the version that it runs on. A repeat keeps the
// version of its earlier attempts unless that may no longer run.
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

// admit opens a request and hands it to the router.
func (d *Dispatcher) admit(req *openRequest) {
	req.id = control.RequestID(strconv.FormatUint(d.nextID(), requestIDBase))
	d.requests[req.id] = req
	d.openByIdentity[req.request.Identity] = req
	for _, w := range req.waiters {
		d.requestByWaiter[w.id] = req
	}
	if cached := d.cache.get(req.request.Identity); cached != nil {
		req.mayHaveRun, req.firstRunAt = cached.mayHaveRun, cached.firstRunAt
		if req.mayHaveRun && req.class.Semantics == control.IdempotentByKey { // the router knows of this request only
			req.deadline = min(req.deadline, req.firstRunAt+req.class.DeduplicationWindow)
		}
	}
	d.counts.Accepted++
	d.addStep(req, stepAdmitted, "", d.routingSummary(req.routingFunction()))
	d.router.OnRequest(d.now, req.routingRequest(max(req.deadline-d.now, 0)))
}

// join adds a waiter to a request that is open. The waiter needs a timer of its own where its deadline comes first, or
// where the router no longer watches that of the request.
func (d *Dispatcher) join(req *openRequest, w waiter) {
	d.counts.Deduplicated++
	d.addStep(req, stepJoined, "", "")
	req.waiters = append(req.waiters, w)
	d.requestByWaiter[w.id] = req
	if w.deadline < req.deadline || req.released {
		d.arm(w.deadline-d.now, waiterDeadline, uint64(w.id), req)
	}
}

// onWaiterDeadline responds to a waiter whose deadline comes before that of its request.
func (d *Dispatcher) onWaiterDeadline(req *openRequest, id WaiterID) {
	if d.requestByWaiter[id] != req {
		return
	}
	response := d.newResponse(req, Rejected, CauseDeadlineExceeded)
	if (req.mayHaveRun || req.attempt != nil) && req.class.Semantics != control.Idempotent {
		response.Kind = Failed
	} else {
		response.RetryAfter = d.settings.Deployment.MaxRetryAfter
	}
	d.dropWaiter(req, id)
	d.effects.Respond(id, response)
	d.releaseIfNoWaiters(req)
}

// OnCancel tells that a waiter left. No further attempt is started for a request without waiters; an attempt in flight
// runs on, so that a repeat finds its response, unless the settings say otherwise.
func (d *Dispatcher) OnCancel(now float64, id WaiterID) {
	d.advance(now)
	req := d.requestByWaiter[id]
	if req == nil {
		return
	}
	d.counts.Cancelled++
	d.dropWaiter(req, id)
	d.releaseIfNoWaiters(req)
}

// dropWaiter forgets a waiter of an open request.
func (d *Dispatcher) dropWaiter(req *openRequest, id WaiterID) {
	delete(d.requestByWaiter, id)
	req.removeWaiter(id)
}

// releaseIfNoWaiters takes a request back from the router once nobody waits for it: a queued one is completed, one with
// an attempt in flight is orphaned unless the attempt can be cancelled.
func (d *Dispatcher) releaseIfNoWaiters(req *openRequest) {
	if len(req.waiters) > 0 || req.released {
		return
	}
	req.released = true
	d.router.OnCancel(d.now, req.id)
	switch {
	case req.attempt == nil:
		d.complete(req, d.newResponse(req, Rejected, CauseDeadlineExceeded))
	case d.effects.CancelUnsent(req.attempt.id): // it waited for a connection or for its record
		d.endAttempt(req.attempt, WorkerReply{Outcome: control.NotSent})
	case d.settings.CancelAbandoned:
		d.effects.Abandon(req.attempt.id)
		d.endAttempt(req.attempt, WorkerReply{Outcome: control.Cancelled})
	}
}

// readmit replaces an orphaned request, whose attempt ended without success, by a new one for the waiters that joined
// it meanwhile.
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

// unlink removes a request from what is open.
func (d *Dispatcher) unlink(req *openRequest) {
	req.released = true
	delete(d.requests, req.id)
	if d.openByIdentity[req.request.Identity] == req {
		delete(d.openByIdentity, req.request.Identity)
	}
}
