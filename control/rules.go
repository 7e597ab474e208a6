package control

import "streamcleat/internal/units"

// requestRule handles a pending request, or returns false to pass it on to the next rule.
type requestRule func(r *Router, req *request) bool

// endpointRule updates a worker and reports whether it changed anything.
type endpointRule func(r *Router, w *worker) bool

// requestRules are tried in order until one handles the request. The last one handles every request.
var requestRules = []requestRule{
	(*Router).rejectUnservable,
	(*Router).shedLoad,
	(*Router).sendToWarmReplica,
	(*Router).waitForPendingLoad,
	(*Router).sendToLoadOnMiss,
	(*Router).retryRejectingReplica,
	(*Router).reject,
}

// endpointRules are all applied to every worker after a tick or an endpoint update.
var endpointRules = []endpointRule{
	(*Router).ejectSlowWorker,
	(*Router).abandonLostLoads,
	(*Router).renewLease,
	(*Router).queryRejectingWorker,
	(*Router).contactWorker,
	(*Router).sendDelayedQuery,
}

// applyRules applies the rules until no request is pending and no endpoint rule changes anything.
func (r *Router) applyRules() {
	r.updateMeanLoads()
	for changed := true; changed; {
		changed = r.endpointRulesDue && r.applyEndpointRules()
		r.endpointRulesDue = changed
		if len(r.pending) > 0 {
			req := r.pending[0]
			r.pending = r.pending[1:]
			r.applyRequestRules(req)
			changed = true
		}
	}
}

func (r *Router) applyEndpointRules() bool {
	applied := false
	for _, w := range r.workers {
		for _, rule := range endpointRules {
			if rule(r, w) {
				applied = true
			}
		}
	}
	return applied
}

func (r *Router) applyRequestRules(req *request) {
	for _, rule := range requestRules {
		if req.finished || rule(r, req) {
			return
		}
	}
}

// startAttempt sends a request to w, or makes it wait until the lease of w is confirmed, and reports whether it did either.
// It does nothing if w is nil.
func (r *Router) startAttempt(req *request, w *worker) bool {
	if w == nil {
		return false
	}
	if !r.holdsLease(w) {
		return r.awaitLease(req, w)
	}
	req.awaitsLoad = !r.isWarm(req.function.replicaOn(w))
	r.recordAttemptStart(req, w)
	r.useSlowStartCredit(w)
	r.host.StartAttempt(req.ID, w.id, r.attemptTimeLeft(req))
	return true
}

// attemptTimeLeft returns the time within which an attempt must begin to execute. It ends at the client's deadline, or with
// the deduplication window if an earlier attempt may have been executed: the worker then discards the idempotency key.
func (r *Router) attemptTimeLeft(req *request) units.Seconds {
	deadline := req.deadline
	if req.possiblyExecuted && req.class.Semantics == IdempotentByKey {
		deadline = min(deadline, req.firstExecutionAt+req.class.DeduplicationWindow)
	}
	return deadline - r.now
}
