package control

// Admission control: load shedding, and rejection of requests that no further attempt can serve.

const (
	admissionDecreaseFactor = 0.92 // factor after a rejection or a response that exceeds the latency objective
	admissionIncrease       = 0.04 // increment after any other success; the probability falls only while over a third are late
	maxAdmissionProbability = 1.4  // above 1, so that single late responses shed no load
	retryAfterFraction      = 0.5  // fraction of MaxRetryAfter that a rejection states as Retry-After
)

// rejectUnservable rejects a request whose deadline has passed, whose attempts are exhausted, or which may have been
// executed and must not be executed again.
func (r *Router) rejectUnservable(req *request) bool {
	expired := r.now >= req.deadline-r.deployment.MinRoundInterval
	exhausted := expired || req.attempts >= r.deployment.MaxAttempts
	mustNotRetry := req.possiblyExecuted && req.class.Semantics == AtMostOnce
	return (exhausted || mustNotRetry) && r.reject(req)
}

// shedLoad rejects a fraction of the new requests while responses are late. It applies only with many front ends: there
// the concurrency limits have no effect, and an overloaded fleet would spend its time on requests that their clients have
// abandoned. Retries are admitted with lower probability, because clients may retry without backoff.
func (r *Router) shedLoad(req *request) bool {
	if req.attempts > 0 || req.loadWaits > 0 || req.awaitedLease || !r.hasManyFrontEnds() {
		return false
	}
	probability := r.admissionProbability
	if req.Retried {
		probability *= probability * probability
	}
	return r.random.fraction() > probability && r.reject(req)
}

// hasManyFrontEnds reports whether this front end's share of a worker's initial limit is less than one request.
func (r *Router) hasManyFrontEnds() bool { return r.initialLimitPerFrontEnd() < 1 }

// updateAdmissionProbability updates the admission probability from a result. Attempts without a response leave it
// unchanged, because they do not indicate overload.
func (r *Router) updateAdmissionProbability(class *RequestClass, result AttemptResult) {
	succeeded := result.Outcome == Succeeded
	if result.Outcome == Rejected || succeeded && result.Latency > class.LatencyObjective {
		r.admissionProbability *= admissionDecreaseFactor
	} else if succeeded {
		r.admissionProbability = min(r.admissionProbability+admissionIncrease, maxAdmissionProbability)
	}
}

// reject closes a request without a further attempt: with a Retry-After if the client may safely retry, otherwise with a
// final error. It is also the last request rule, for requests that no worker has capacity for: queueing them in the front
// end would only make all responses late. It always returns true.
func (r *Router) reject(req *request) bool {
	if r.isRetrySafe(req) {
		r.host.Reject(req.ID, retryAfterFraction*r.deployment.MaxRetryAfter)
	} else {
		r.host.Fail(req.ID)
	}
	r.finish(req)
	return true
}
