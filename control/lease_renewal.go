package control

import (
	"math"
	"slices"

	"streamcleat/internal/units"
)

// Lease renewal: what is sent to workers to learn whether they serve, while discovery is not heard.
//
// A renewal is a load command for one replica that is loaded already. A draining worker rejects it and a full one does not.
// The rule on draining workers covers it, so that it is sent only while the last proof of the worker counts. A query is a
// load command for no replicas, which may be sent to any worker. Some workers answer queries while they drain, so that an
// answer is a proof only once a worker that drains for certain was seen to reject one. Until then it proves nothing.

const (
	// renewalLeadSeconds is the time before the end of a lease at which it is renewed: a tick, and the way to the worker and
	// back.
	renewalLeadSeconds = tickSeconds + 0.05
	// renewalIdleSeconds is the time since the last attempt after which the lease of a worker is no longer renewed.
	renewalIdleSeconds = 5.0
	// startDelaySeconds is the time after the start during which requests and queries wait for messages of peers, unless one
	// answers before.
	startDelaySeconds = 0.3
	// minQueryBackoffSeconds and maxQueryBackoffSeconds bound the time until a worker that did not answer is queried again.
	minQueryBackoffSeconds = 0.5
	maxQueryBackoffSeconds = 4.0
	// queryBackoffJitter is the random fraction of that time, so that front ends do not query a worker together.
	queryBackoffJitter = 0.5
)

// awaitLease has a request wait until w is proven, or no proof is to be had. It always reports true.
func (r *Router) awaitLease(req *request, w *worker) bool {
	req.awaitedLease = true
	w.lease.waiters = append(w.lease.waiters, req)
	r.queryWorker(w, req.function)
	return true
}

// queryWorker queries w unless it is being asked already, and reports whether it did. The peers are asked first: the query is
// only noted while their messages may still arrive. It is sent then if its answer proves something.
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

// sendDelayedQuery sends a query that waited for messages of peers, if requests or loads still wait for it and its answer
// proves something. Otherwise they go on without a proof of w.
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
	return slices.ContainsFunc(r.functions, func(fn *function) bool { return fn.pendingLoadOn == w && fn.loadAwaitsLease })
}

// sendQuery sends a query, or a renewal for a number of replicas, unless w is being asked already, and reports whether it
// did. The rules are applied again after an effect, so that only a real one may be reported.
func (r *Router) sendQuery(w *worker, fn *function, replicas int) bool {
	if w.lease.queryPending {
		return false
	}
	w.lease.queryPending, w.lease.function = true, fn
	r.host.QueryReplicas(w.id, fn.id, replicas, r.leaseDuration())
	return true
}

// renewLease renews the lease of a worker in use before it runs out, and tells whether a worker that rejected something is
// full or drains. Renewals without a rejection are limited to one for each request, so that many front ends with little
// traffic each do not occupy the workers with them.
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

// renewalsAllowed reports whether load commands may be used as renewals: they count towards a quota.
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
	for _, fn := range r.functions {
		if rep := fn.replicaOn(w); r.isWarm(rep) && rep.lastSeenAt >= seenAt {
			newest, seenAt = fn, rep.lastSeenAt
		}
	}
	return newest
}

// queryRejectingWorker queries a worker that rejected something, and again after a backoff: one that rejects the query is
// used again once it answers one.
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
	r.onReply(w, result.Outcome)
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

// releaseWaiters lets the requests and load commands that wait for the lease of w go on.
func (r *Router) releaseWaiters(w *worker) {
	r.resumeLoads(w)
	r.pending = append(r.pending, w.lease.waiters...)
	w.lease.waiters = nil
}

// releaseAllWaiters is releaseWaiters for all workers that a condition holds for. It looks at each worker and function once.
func (r *Router) releaseAllWaiters(condition func(*worker) bool) {
	for _, fn := range r.functions {
		if w := fn.pendingLoadOn; w != nil && fn.loadAwaitsLease && condition(w) {
			r.resumeLoad(fn, w)
		}
	}
	for _, w := range r.workers {
		if len(w.lease.waiters) > 0 && condition(w) {
			r.pending = append(r.pending, w.lease.waiters...)
			w.lease.waiters = nil
		}
	}
}

// recordQueryResponse records a good answer to a query or renewal.
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
		r.backOffQueries(w) // the answer is no proof
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

// recordRejectedQuery records that w rejected a query, or a renewal of a replica that is loaded, which proves a drain.
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

// recordFailedQuery records that w gave no answer. Without a connection its process is gone.
func (r *Router) recordFailedQuery(w *worker, outcome Outcome) {
	r.backOffQueries(w)
	if outcome == Unreachable || outcome == ConnectionLost {
		r.assumeProcessReplaced(w)
	}
}

// backOffQueries delays the next query of w. Until then it is not used without a proof.
func (r *Router) backOffQueries(w *worker) {
	backoff := min(minQueryBackoffSeconds*math.Pow(2, float64(w.lease.failures)), maxQueryBackoffSeconds)
	w.lease.failures++
	w.lease.retryAt = r.now + units.Seconds(backoff*(1-queryBackoffJitter*r.random.fraction()))
	r.endpointRulesDue = true
}

// awaitsBackoff reports whether w did not answer a query lately and must not be queried yet.
func (r *Router) awaitsBackoff(w *worker) bool { return !r.holdsLease(w) && r.now < w.lease.retryAt }

// resumeLoads sends the load commands that waited for the lease of w, or ends them if it has none.
func (r *Router) resumeLoads(w *worker) {
	for _, fn := range r.functions {
		if fn.pendingLoadOn == w && fn.loadAwaitsLease {
			r.resumeLoad(fn, w)
		}
	}
}

// resumeLoad sends the load command for one function that waited for the lease of w, or ends it.
func (r *Router) resumeLoad(fn *function, w *worker) {
	fn.loadAwaitsLease = false
	if r.holdsLease(w) && !r.isWarm(fn.replicaOn(w)) && r.mayCommandLoad() {
		r.sendLoadCommand(fn, w)
	} else {
		r.clearPendingLoad(fn)
	}
}
