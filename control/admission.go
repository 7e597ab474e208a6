package control

// Admission: which requests are rejected, by load shedding or because no attempt can help them.

const (
	admissionDecreaseFactor = 0.92 // after an answer past the latency objective or a rejection
	admissionIncrease       = 0.04 // after another; half as much, to fall only while over a third are late
	maxAdmissionProbability = 1.4  // a reserve above 1, so that single late answers reject nobody
	retryAfterFraction      = 0.5  // of the longest time that a rejected client waits
)

// rejectUnservable is the rule for a request that no attempt can help: its time or attempts are used up, or
// it may have run and must not run again.
func (r *Router) rejectUnservable(req *request) bool {
	expired := r.now >= req.deadline-r.deployment.MinRoundInterval
	exhausted := expired || req.attempts >= r.deployment.MaxAttempts
	mustNotRepeat := req.mayHaveRun && req.class.Semantics == AtMostOnce
	return (exhausted || mustNotRepeat) && r.reject(req)
}

// shedLoad is the rule of load shedding. Among many front ends no concurrency limit binds, and an overloaded
// fleet would work for clients that have left: while answers are late, a part of the new requests is rejected
// at once. Retries are admitted last, as clients may retry without pause or end.
func (r *Router) shedLoad(req *request) bool {
	if req.attempts > 0 || req.loadWaits > 0 || !r.isLargeFleet() {
		return false
	}
	probability := r.admissionProbability
	if req.Retried {
		probability *= probability * probability
	}
	return r.random.fraction() > probability && r.reject(req)
}

// isLargeFleet tells whether each front end's share of a worker's initial limit is under one request.
func (r *Router) isLargeFleet() bool { return r.initialLimit() < 1 }

// updateAdmissionProbability follows the answers. Attempts without an answer are no sign of overload.
func (r *Router) updateAdmissionProbability(class *RequestClass, result AttemptResult) {
	succeeded := result.Outcome == Succeeded
	if result.Outcome == Rejected || succeeded && result.Latency > class.LatencyObjective {
		r.admissionProbability *= admissionDecreaseFactor
	} else if succeeded {
		r.admissionProbability = min(r.admissionProbability+admissionIncrease, maxAdmissionProbability)
	}
}

// reject is the last rule: no worker has capacity, and a queue here would only make all answers late. Where a
// retry by the client is proven harmless the request is rejected with a retry time, otherwise it fails.
func (r *Router) reject(req *request) bool {
	if r.isRetryHarmless(req) {
		r.host.Reject(req.ID, retryAfterFraction*r.deployment.MaxRetryAfter)
	} else {
		r.host.Fail(req.ID)
	}
	r.finish(req)
	return true
}

func (r *Router) isRetryHarmless(req *request) bool {
	if !req.mayHaveRun || req.class.Semantics == Idempotent {
		return true
	}
	return req.class.DeduplicationScope == ScopeFleet && r.isDeduplicated(req)
}

// isDeduplicated tells whether the workers in the scope of the class would still drop a repeat.
func (r *Router) isDeduplicated(req *request) bool {
	inWindow := r.now < req.firstRunAt+req.class.DeduplicationWindow
	return req.class.Semantics == IdempotentByKey && inWindow
}
