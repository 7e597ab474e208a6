package control

import "streamcleat/internal/units"

// requestRule decides a pending request, or reports false to leave it to the next rule.
type requestRule func(r *Router, req *request) bool

// endpointRule updates a worker and reports whether that had an effect.
type endpointRule func(r *Router, w *worker) bool

// requestRules are tried in order until one decides the request. The last one always does.
var requestRules = []requestRule{
	(*Router).rejectUnservable,
	(*Router).shedLoad,
	(*Router).sendToWarmReplica,
	(*Router).waitForPendingLoad,
	(*Router).sendToLoadOnMiss,
	(*Router).retryRejectingReplica,
	(*Router).reject,
}

// endpointRules are all applied to each worker after a tick or an endpoint update.
var endpointRules = []endpointRule{
	(*Router).ejectSlowWorker,
	(*Router).abandonLostLoads,
	(*Router).renewLease,
	(*Router).queryRejectingWorker,
	(*Router).sendDelayedQuery,
}

// applyRules applies the rules until no request is pending and no endpoint rule has an effect.
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

// startAttempt sends a request to w, or has it wait until w has proved to serve, and reports whether it did either. It does
// nothing if w is nil.
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

// attemptTimeLeft returns the time until an attempt must have begun to execute: its client's deadline, or the end of the
// deduplication window if an earlier attempt may have been executed and the worker then forgets its idempotency key.
func (r *Router) attemptTimeLeft(req *request) units.Seconds {
	deadline := req.deadline
	if req.possiblyExecuted && req.class.Semantics == IdempotentByKey {
		deadline = min(deadline, req.firstExecutionAt+req.class.DeduplicationWindow)
	}
	return deadline - r.now
}
