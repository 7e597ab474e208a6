package control

import "streamcleat/internal/units"

// Endpoint leases: how long a worker counts as serving after the last proof of it. An endpoint list without an age would
// be believed for good while the discovery service is out of reach, and requests would go on to workers that drain.
//
// While discovery is heard, all listed workers hold leases. Otherwise a worker holds one for the drain grace after it was
// sent something that it accepted: an attempt, or a load command. Leases of workers in use are renewed before they run out
// (lease_renewal.go). Nothing but queries is sent to a worker without a lease (lease_admission.go), and one that rejected
// something after its last proof counts as draining.

const (
	// discoveryLeaseSeconds is the time for which news counts after the watch began to wait for it. The discovery service sends
	// a heartbeat each second, so that it is news until half a second after the next one is due. The platform counts a drain
	// as received 4 s after a silence began; the sooner workers are asked, the fewer attempts are rejected.
	discoveryLeaseSeconds = 2.5
	// leaseMarginSeconds is subtracted from the drain grace: the way of a message to its worker, and a scheduling delay.
	leaseMarginSeconds = 0.1
	// minLeaseSeconds is a lease where the grace is shorter than the margin: time to send once after an answer.
	minLeaseSeconds = 0.05
	// maxInputGapSeconds is the time without input after which the process was suspended, as there are four ticks a second.
	maxInputGapSeconds = 0.5
)

// discoveryLease holds how long the news of the discovery service counts.
type discoveryLease struct {
	expiresAt units.Seconds
	// confirmedAt is a time at which the endpoint list was complete.
	confirmedAt units.Seconds
	// suspendedAt is the time at which the process was last found to have been suspended. News received before may be old.
	suspendedAt units.Seconds
	// subscribed is set once a poll has succeeded: changes are pushed from then on.
	subscribed bool
}

// workerLease holds what one worker showed about whether it serves.
type workerLease struct {
	acceptedAt units.Seconds // send time of the last message that it accepted
	rejectedAt units.Seconds // time of its last rejection
	clearedAt  units.Seconds // send time of the query that it answered after it had rejected one
	usedAt     units.Seconds // time of the last attempt

	queryPending bool          // a query or a renewal awaits its result
	retryAt      units.Seconds // no query is sent before
	failures     int           // queries without a good answer, in a row
	function     *function     // the function of the last query or rejection; nil before the first
	waiters      []*request    // requests that wait for the result of the query

	rejectedQuery  bool          // the last rejection was that of a query
	drainConfirmed bool          // it rejected a renewal, which a full worker does not
	drainSeenAt    units.Seconds // last rejection that this front end saw of a worker that probably drains; 0: none
}

// OnDiscoveryConfirmed renews the leases of all listed workers: the endpoint list was complete at a time that is not before
// asOf. It is called for deployments with EndpointLeases only.
func (r *Router) OnDiscoveryConfirmed(now, asOf units.Seconds) {
	r.advance(now)
	if asOf < r.discovery.suspendedAt {
		return
	}
	r.discovery.confirmedAt = max(r.discovery.confirmedAt, asOf)
	r.discovery.expiresAt = max(r.discovery.expiresAt, asOf+discoveryLeaseSeconds)
	for _, w := range r.workers {
		w.lease.drainConfirmed, w.lease.drainSeenAt = false, 0
		if w.disconnectedAt <= asOf {
			w.disconnectedAt, w.reconnectedAt = 0, 0 // the list tells of another process, or there is none
		}
	}
	if r.isDiscoveryAvailable() {
		r.releaseAllWaiters(func(*worker) bool { return true })
	}
	r.applyRules()
}

// OnDiscoveryDisconnected shortens the leases of all listed workers to one of the grace: no news will come for now.
func (r *Router) OnDiscoveryDisconnected(now units.Seconds) {
	r.advance(now)
	r.discovery.expiresAt = min(r.discovery.expiresAt, now+r.leaseDuration())
	r.endpointRulesDue = true
	r.applyRules()
}

// advance moves the clock to the time of an input. If the process was suspended before, unread news may await it, so that
// the news that it has no longer counts.
func (r *Router) advance(now units.Seconds) {
	if now-r.now > maxInputGapSeconds {
		r.discovery.expiresAt, r.discovery.suspendedAt = 0, now
	}
	r.now = now
}

// leaseDuration returns the time for which a proof counts.
func (r *Router) leaseDuration() units.Seconds {
	return max(r.deployment.DrainGrace-leaseMarginSeconds, minLeaseSeconds)
}

// isDiscoveryAvailable reports whether the endpoint list can be relied on.
func (r *Router) isDiscoveryAvailable() bool {
	switch {
	case r.deployment.EndpointLeases:
		return r.now < r.discovery.expiresAt
	case r.deployment.PollLease > 0:
		return r.discovery.subscribed || r.now < r.startedAt+r.deployment.PollLease
	default:
		return true
	}
}

// hasLeases reports whether the endpoint list may cease to count.
func (r *Router) hasLeases() bool { return r.deployment.EndpointLeases || r.deployment.PollLease > 0 }

// OnEndpointPollSucceeded records that a poll of the endpoint list has succeeded, which subscribes to its changes.
func (r *Router) OnEndpointPollSucceeded(now units.Seconds) {
	r.advance(now)
	r.discovery.subscribed = true
}

// hasRejected reports whether w counts as draining because it rejected something after the last proof, while discovery is
// not heard.
func (r *Router) hasRejected(w *worker) bool {
	lastConfirmedAt := max(w.lease.acceptedAt, w.lease.clearedAt, r.discovery.confirmedAt)
	return !r.isDiscoveryAvailable() && w.lease.rejectedAt > lastConfirmedAt
}

// isConfirmed reports whether the last proof of w still counts: if it began to drain since, the grace is not over.
func (r *Router) isConfirmed(w *worker) bool {
	return r.isDiscoveryAvailable() || w.lease.acceptedAt > w.disconnectedAt && r.now < w.lease.acceptedAt+r.leaseDuration()
}

// MaySend reports whether an attempt may still be sent to a worker. The host asks it for each attempt as its bytes leave,
// which may be long after the decision.
func (r *Router) MaySend(now units.Seconds, id WorkerID) bool {
	r.advance(now)
	w, known := r.workersByID[id]
	return known && r.holdsLease(w)
}

// MayLoad is MaySend for a load command, which must also be within the quota as it leaves.
func (r *Router) MayLoad(now units.Seconds, id WorkerID, function FunctionID) bool {
	r.advance(now)
	w, known := r.workersByID[id]
	return known && r.holdsLease(w) && r.recountLoad(id, function)
}

// MayQuery is MaySend for a query or renewal. A renewal may go to a worker that has rejected something, if it may still be
// only full.
func (r *Router) MayQuery(now units.Seconds, id WorkerID, replicas int) bool {
	r.advance(now)
	w, known := r.workersByID[id]
	return known && (replicas == 0 || r.isConfirmed(w))
}

// recordAcceptance records that w accepted a message sent at a time.
func (w *worker) recordAcceptance(sentAt units.Seconds) {
	w.lease.acceptedAt = max(w.lease.acceptedAt, sentAt)
	if w.lease.acceptedAt > w.lease.rejectedAt {
		w.lease.drainConfirmed, w.lease.drainSeenAt = false, 0
	}
}

// recordRejection records that w rejected an attempt or load command for a function.
func (r *Router) recordRejection(w *worker, fn *function) {
	cannotRenew := r.renewalsAllowed() && !r.isConfirmed(w)
	w.lease.rejectedAt, w.lease.rejectedQuery, w.lease.function = r.now, false, fn
	if !r.isDiscoveryAvailable() {
		w.lease.retryAt, w.lease.failures = r.now, 0
		r.endpointRulesDue = true
	}
	if cannotRenew { // of a proven worker a renewal tells whether it drains or is full, also at peers
		w.lease.drainSeenAt = r.now
		r.broadcastDrain(w)
	}
}

// updateLeaseFromLoad updates the lease of w from the result of a load command.
func (r *Router) updateLeaseFromLoad(w *worker, fn *function, result LoadResult) {
	switch result.Outcome {
	case Succeeded:
		w.recordAcceptance(r.now - result.Duration)
	case Rejected:
		r.recordRejection(w, fn)
	case Failed, TimedOut, ConnectionLost, Cancelled, Unreachable, NotSent, ReplicaMissing:
		// No proof that the worker serves, nor that it drains.
	}
}

// reset clears what a worker showed before its process restarted. A query in progress stays.
func (l *workerLease) reset() {
	l.acceptedAt, l.rejectedAt, l.clearedAt, l.usedAt, l.retryAt = 0, 0, 0, 0, 0
	l.failures, l.rejectedQuery, l.drainConfirmed, l.drainSeenAt = 0, false, false, 0
}

// isReferenced reports whether a query or a request refers to the worker.
func (l *workerLease) isReferenced() bool { return l.queryPending || len(l.waiters) > 0 }
