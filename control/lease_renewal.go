package control

import (
	"math"
	"slices"

	"streamcleat/internal/units"
)

// Lease renewal: messages that show whether workers serve during a discovery outage.
//
// A renewal is a load command for one replica that is already loaded. A draining worker rejects it, a full one accepts it.
// The rule on draining workers applies to it, so it is sent only while the worker's lease is confirmed. A query is a load
// command for no replicas, which may be sent to any worker. Some workers accept queries while they drain. Therefore a
// successful query confirms a lease only once a worker that is known to drain has rejected a query.

const (
	// renewalLeadSeconds is the time before the expiry of a lease at which it is renewed: one tick plus the round trip to the
	// worker.
	renewalLeadSeconds = tickSeconds + 0.05
	// renewalIdleSeconds is the time since the last attempt after which the lease of a worker is no longer renewed.
	renewalIdleSeconds = 5.0
	// startDelaySeconds is the time after the start during which requests and queries wait for messages of peers, unless one
	// responds earlier.
	startDelaySeconds = 0.3
	// minQueryBackoffSeconds and maxQueryBackoffSeconds bound the time until a worker whose query did not succeed is queried again.
	minQueryBackoffSeconds = 0.5
	maxQueryBackoffSeconds = 4.0
	// queryBackoffJitter is the random fraction of that time, so that front ends do not query a worker at the same time.
	queryBackoffJitter = 0.5
)

// awaitLease makes a request wait until the lease of w is confirmed or cannot be confirmed. It always returns true.
func (r *Router) awaitLease(req *request, w *worker) bool {
	req.awaitedLease = true
	w.lease.waiters = appendWaiter(w.lease.waiters, req)
	r.queryWorker(w, req.function)
	return true
}

// queryWorker queries w unless a query is pending, and reports whether it did. Peers are asked first: the query is delayed
// while their messages may still arrive, and sent afterwards if its result can confirm the lease.
func (r *Router) queryWorker(w *worker, fn *function) bool {
	if !r.hasRejected(w) {
		r.requestConfirmations()
	}
	if r.awaitsConfirmations() {
		w.lease.function = fn
		return false
	}
	return r.sendQuery(w, fn, 0)
}

// sendDelayedQuery sends a query that waited for messages of peers, if requests or loads still wait for it and its
// result can confirm the lease. Otherwise these resume without a confirmation of w.
func (r *Router) sendDelayedQuery(w *worker) bool {
	if w.lease.queryPending || w.lease.function == nil || r.awaitsConfirmations() {
		return false
	}
	isAwaited := len(w.lease.waiters) > 0 || r.awaitsLeaseForLoad(w)
	if !isAwaited || r.now < w.lease.retryAt {
		return false
	}
	if r.holdsLease(w) || !r.mayUse(w) || !r.queriesConfirm() {
		r.releaseWaiters(w)
		return true
	}
	return r.sendQuery(w, w.lease.function, 0)
}

// awaitsLeaseForLoad reports whether a load command waits for the lease of w.
func (r *Router) awaitsLeaseForLoad(w *worker) bool {
	return slices.ContainsFunc(w.pendingLoads, func(fn *function) bool { return fn.loadAwaitsLease })
}

// sendQuery sends a query, or a renewal for a number of replicas, unless one is pending, and reports whether it did. The
// rules are applied again after each effect, so that true must be returned only if something was sent.
func (r *Router) sendQuery(w *worker, fn *function, replicas int) bool {
	if w.lease.queryPending {
		return false
	}
	w.lease.queryPending, w.lease.function, w.lease.queriedProcess = true, fn, w.process
	r.host.QueryReplicas(w.id, fn.id, replicas, r.leaseDuration())
	return true
}

// renewLease renews the lease of a worker in use before it expires, and checks whether a worker that rejected a message is
// full or drains. Renewals without a rejection are limited to one for each request, so that many front ends with little
// traffic each do not load the workers with renewals.
func (r *Router) renewLease(w *worker) bool {
	if !r.hasLeases() || w.state != Serving || w.lease.queryPending || !r.mayRenew(w) {
		return false
	}
	fn := r.newestReplicaOn(w)
	if fn == nil {
		return false
	}
	if !r.hasRejected(w) {
		r.renewalCredits--
	}
	return r.sendQuery(w, fn, 1)
}

// mayRenew reports whether the lease of w is to be renewed now.
func (r *Router) mayRenew(w *worker) bool {
	leaseExpiresAt := max(r.discovery.expiresAt, w.lease.acceptedAt+r.leaseDuration())
	isInUse := r.now < w.lease.usedAt+renewalIdleSeconds
	isDue := r.now > leaseExpiresAt-renewalLeadSeconds && isInUse && r.renewalCredits >= 1
	if r.hasRejected(w) {
		isDue = !w.lease.drainConfirmed
	}
	return isDue && r.renewalsAllowed() && r.isConfirmed(w) && r.now >= w.lease.retryAt
}

// renewalsAllowed reports whether load commands may be used as renewals. They may not if there is a quota, towards which they
// would count.
func (r *Router) renewalsAllowed() bool {
	return r.deployment.LoadCommandsAllowed && r.deployment.LoadCommandWindow <= 0
}

// grantRenewalCredit grants the credit of one renewal for a request.
func (r *Router) grantRenewalCredit() {
	r.renewalCredits = min(r.renewalCredits+1, float64(len(r.workers)))
}

// newestReplicaOn returns the function whose warm replica on w was seen last, or nil.
func (r *Router) newestReplicaOn(w *worker) *function {
	var newest *function
	seenAt := units.Seconds(0)
	for _, fn := range w.functions {
		rep := fn.replicaOn(w)
		isNewer := rep.lastSeenAt > seenAt || rep.lastSeenAt == seenAt && (newest == nil || fn.sequence > newest.sequence)
		if isNewer && r.isWarm(rep) {
			newest, seenAt = fn, rep.lastSeenAt
		}
	}
	return newest
}

// queryRejectingWorker queries a worker that rejected a message, and again after a backoff: a worker that rejects the query
// is used again once it accepts one.
func (r *Router) queryRejectingWorker(w *worker) bool {
	isDue := r.hasRejected(w) && w.state == Serving && !w.lease.queryPending && r.now >= w.lease.retryAt
	if !isDue || w.lease.function == nil || !r.deployment.LoadCommandsAllowed {
		return false
	}
	return r.queryWorker(w, w.lease.function)
}

// OnQueryResult handles the result of a query or renewal.
func (r *Router) OnQueryResult(now units.Seconds, result QueryResult) {
	r.advance(now)
	w, known := r.workersByID[result.Worker]
	if !known || !w.lease.queryPending {
		return
	}
	w.lease.queryPending = false
	r.onReply(w, w.lease.queriedProcess, now-result.Latency, result.Outcome)
	switch result.Outcome {
	case Succeeded:
		r.recordQueryResponse(w, result)
	case Rejected:
		r.recordRejectedQuery(w, result)
	case Failed, TimedOut, ConnectionLost, Cancelled, Unreachable, NotSent, ReplicaMissing:
		r.recordFailedQuery(w, result.Outcome)
	}
	r.releaseWaiters(w)
	r.applyRules()
}

// releaseWaiters resumes the requests and load commands that wait for the lease of w.
func (r *Router) releaseWaiters(w *worker) {
	r.resumeLoads(w)
	r.pending = append(r.pending, w.lease.waiters...)
	w.lease.waiters = nil
}

// releaseAllWaiters is releaseWaiters for all workers that satisfy a condition.
func (r *Router) releaseAllWaiters(condition func(*worker) bool) {
	var waiting []*function
	for _, w := range r.workers {
		if len(w.pendingLoads) > 0 && condition(w) {
			waiting = append(waiting, w.pendingLoads...)
		}
	}
	slices.SortFunc(waiting, bySequence)
	for _, fn := range waiting {
		if fn.loadAwaitsLease {
			r.resumeLoad(fn, fn.pendingLoadOn)
		}
	}
	for _, w := range r.workers {
		if len(w.lease.waiters) > 0 && condition(w) {
			r.pending = append(r.pending, w.lease.waiters...)
			w.lease.waiters = nil
		}
	}
}

// recordQueryResponse records a successful query or renewal.
func (r *Router) recordQueryResponse(w *worker, result QueryResult) {
	w.lastResponseAt = r.now
	sentAt := r.now - result.Latency
	if result.Commanded == 0 && w.lease.drainConfirmed && !w.lease.rejectedQuery {
		r.queriesShowDrains = false
	}
	if w.lease.rejectedQuery {
		w.lease.clearedAt, w.lease.rejectedQuery = sentAt, false
	}
	if result.Commanded > 0 || r.queriesShowDrains {
		w.recordAcceptance(sentAt)
	}
	if r.hasRejected(w) {
		r.backOffQueries(w) // the response does not confirm the lease
	} else {
		w.lease.failures, w.lease.retryAt = 0, 0
	}
	if fn := r.functionsByID[result.Function]; fn != nil {
		rep := fn.ensureReplica(w)
		if rep.warm = result.Replicas > 0; rep.warm {
			rep.markWarm(r.now)
		}
	}
}

// recordRejectedQuery records that w rejected a query, or a renewal of a loaded replica, which shows that it drains.
func (r *Router) recordRejectedQuery(w *worker, result QueryResult) {
	w.lease.rejectedAt, w.lease.rejectedQuery = r.now, result.Commanded == 0
	r.backOffQueries(w)
	if result.Commanded == 0 {
		if w.lease.drainConfirmed {
			r.queriesShowDrains, w.lease.drainSeenAt = true, r.now
		}
		return
	}
	w.lease.drainConfirmed, w.lease.drainSeenAt = true, r.now
	if !r.isDiscoveryAvailable() {
		r.broadcastDrain(w)
	}
}

// recordFailedQuery records that a query of w did not succeed. If the connection failed, the process may have been replaced.
func (r *Router) recordFailedQuery(w *worker, outcome Outcome) {
	r.backOffQueries(w)
	if outcome == Unreachable || outcome == ConnectionLost {
		r.assumeProcessReplaced(w)
	}
}

// backOffQueries delays the next query of w. Until then w is not used unless its lease is confirmed.
func (r *Router) backOffQueries(w *worker) {
	backoff := min(minQueryBackoffSeconds*math.Pow(2, float64(w.lease.failures)), maxQueryBackoffSeconds)
	w.lease.failures++
	w.lease.retryAt = r.now + units.Seconds(backoff*(1-queryBackoffJitter*r.random.fraction()))
	r.endpointRulesDue = true
}

// awaitsBackoff reports whether w holds no lease and must not be queried yet, because a recent query did not succeed.
func (r *Router) awaitsBackoff(w *worker) bool { return !r.holdsLease(w) && r.now < w.lease.retryAt }

// resumeLoads sends the load commands that waited for the lease of w, or drops them if it holds none.
func (r *Router) resumeLoads(w *worker) {
	for _, fn := range slices.Clone(w.pendingLoads) {
		if fn.loadAwaitsLease {
			r.resumeLoad(fn, w)
		}
	}
}

// resumeLoad sends the load command for one function that waited for the lease of w, or drops it. It is dropped too if w is
// known to serve, but may be cold and have no capacity for the requests that wait for the load.
func (r *Router) resumeLoad(fn *function, w *worker) {
	fn.loadAwaitsLease = false
	isUsable := r.holdsLease(w) && r.hasSlowStartCredit(w)
	if isUsable && !r.isWarm(fn.replicaOn(w)) && r.mayCommandLoad() {
		r.sendLoadCommand(fn, w)
	} else {
		r.clearPendingLoad(fn)
	}
}
