package control

import "streamcleat/internal/units"

// Endpoint leases: how long a worker counts as serving after this was last confirmed. Without leases, the endpoint list
// would stay valid indefinitely during a discovery outage, and requests would still be sent to draining workers.
//
// While discovery is available, all listed workers hold leases. Otherwise an accepted attempt or load command confirms the
// lease of a worker for the drain grace, counted from the time at which the message was sent. Leases of workers in use are
// renewed before they expire (lease_renewal.go). Only queries are sent to a worker without a lease (lease_admission.go). A
// worker that rejected a message after its last confirmation counts as draining.

const (
	// discoveryLeaseSeconds is the time for which an update is valid after the watch began to wait for it. The discovery
	// service sends a heartbeat each second, so that an update is valid until half a second after the next heartbeat is due.
	// The platform counts a drain as received 4 s after updates stopped. The sooner workers are queried, the fewer attempts
	// are rejected.
	discoveryLeaseSeconds = 2.5
	// leaseMarginSeconds is subtracted from the drain grace. It covers the latency of a message to its worker and a scheduling
	// delay.
	leaseMarginSeconds = 0.1
	// minLeaseSeconds is the lease duration if the grace is shorter than the margin: long enough to send one message after a
	// response.
	minLeaseSeconds = 0.05
	// maxInputGapSeconds is the time without input that shows that the process was suspended. There are four ticks a second.
	maxInputGapSeconds = 0.5
)

// discoveryLease holds how long the endpoint list of the discovery service is valid.
type discoveryLease struct {
	expiresAt units.Seconds
	// confirmedAt is the latest time at which the endpoint list is known to have been complete.
	confirmedAt units.Seconds
	// suspendedAt is the time at which the process was last found to have been suspended. Updates received before it may be stale.
	suspendedAt units.Seconds
	// uninterruptedSince is the time since which the list has been valid without an interruption of the watch.
	uninterruptedSince units.Seconds
	interrupted        bool // the watch was interrupted, or the process suspended, since the last confirmation
	reportedStarts     bool // starts were reported at the last input
	// subscribed is set once a poll has succeeded: changes are pushed from then on.
	subscribed bool
}

// workerLease holds the evidence of whether one worker serves or drains.
type workerLease struct {
	acceptedAt units.Seconds // send time of the last message that it accepted
	rejectedAt units.Seconds // time of its last rejection
	clearedAt  units.Seconds // send time of the query that it accepted after it had rejected one
	usedAt     units.Seconds // time of the last attempt

	queryPending   bool          // a query or a renewal awaits its result
	queriedProcess *process      // process that the last query or renewal was sent to
	retryAt        units.Seconds // no query is sent before
	failures       int           // consecutive queries that did not succeed
	function       *function     // the function of the last query or rejection; nil before the first
	waiters        []*request    // requests that wait for the result of the query

	rejectedQuery  bool          // the last rejection was that of a query
	drainConfirmed bool          // it rejected a renewal, which a full worker accepts
	drainSeenAt    units.Seconds // last rejection that this front end received from it while it probably drained; 0: none
}

// OnDiscoveryAvailable renews the leases of all listed workers: the endpoint list was complete at asOf or later. It is called
// for deployments with EndpointLeases only.
func (r *Router) OnDiscoveryAvailable(now, asOf units.Seconds) {
	r.advance(now)
	if asOf < r.discovery.suspendedAt {
		return
	}
	if r.discovery.interrupted || !r.isDiscoveryAvailable() {
		r.discovery.uninterruptedSince, r.discovery.interrupted = now, false
	}
	r.discovery.confirmedAt = max(r.discovery.confirmedAt, asOf)
	r.discovery.expiresAt = max(r.discovery.expiresAt, asOf+discoveryLeaseSeconds)
	for _, w := range r.workers {
		w.lease.drainConfirmed, w.lease.drainSeenAt = false, 0
		w.identifyProcess(asOf)
	}
	r.discovery.reportedStarts = r.areStartsReported()
	if r.isDiscoveryAvailable() {
		r.releaseAllWaiters(func(*worker) bool { return true })
	}
	r.applyRules()
}

// OnDiscoveryUnavailable handles the end of the watch, after which no updates arrive until it is open again. It shortens the
// leases of all listed workers to the lease duration.
func (r *Router) OnDiscoveryUnavailable(now units.Seconds) {
	r.advance(now)
	r.discovery.expiresAt = min(r.discovery.expiresAt, now+r.leaseDuration())
	r.discovery.interrupted = true
	r.checkStartsReported()
	r.endpointRulesDue = true
	r.applyRules()
}

// advance moves the clock to the time of an input. If the process was suspended before, updates may be waiting unread, so
// that the endpoint list is no longer valid.
func (r *Router) advance(now units.Seconds) {
	if now-r.now > maxInputGapSeconds {
		r.discovery.expiresAt, r.discovery.suspendedAt, r.discovery.interrupted = 0, now, true
	}
	r.now = now
	r.checkStartsReported()
}

// leaseDuration returns the time for which an accepted message confirms a lease.
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

// areStartsReported reports whether discovery would have reported the start of a worker. Unlike a drain, which has a grace, a start
// counts from its event on, so that the list shows none once the watch is known to be interrupted.
func (r *Router) areStartsReported() bool {
	isInterrupted := r.deployment.EndpointLeases && r.discovery.interrupted
	return r.isDiscoveryAvailable() && !isInterrupted
}

// hasLeases reports whether the endpoint list may expire.
func (r *Router) hasLeases() bool { return r.deployment.EndpointLeases || r.deployment.PollLease > 0 }

// OnEndpointPollSucceeded records that a poll of the endpoint list has succeeded, which subscribes to its changes.
func (r *Router) OnEndpointPollSucceeded(now units.Seconds) {
	r.advance(now)
	r.discovery.subscribed = true
}

// hasRejected reports whether w counts as draining because it rejected a message after its last confirmation, while
// discovery is unavailable.
func (r *Router) hasRejected(w *worker) bool {
	lastConfirmedAt := max(w.lease.acceptedAt, w.lease.clearedAt, r.discovery.confirmedAt)
	return !r.isDiscoveryAvailable() && w.lease.rejectedAt > lastConfirmedAt
}

// isConfirmed reports whether the last confirmation of w is still valid. If w began to drain after it, the drain grace has not
// expired.
func (r *Router) isConfirmed(w *worker) bool {
	return r.isDiscoveryAvailable() || w.lease.acceptedAt > w.process.assumedAt && r.now < w.lease.acceptedAt+r.leaseDuration()
}

// MaySend reports whether an attempt may still be sent to a worker. The host calls it for each attempt when it
// sends the bytes, which may be long after the decision.
func (r *Router) MaySend(now units.Seconds, id WorkerID) bool {
	r.advance(now)
	w, known := r.workersByID[id]
	return known && r.holdsLease(w)
}

// MayLoad is MaySend for a load command, which must also be within the quota when it is sent. It records the process that
// the command reaches.
func (r *Router) MayLoad(now units.Seconds, id WorkerID, function FunctionID) bool {
	r.advance(now)
	w, known := r.workersByID[id]
	if !known || !r.holdsLease(w) || !r.recountLoadCommand(id, function) {
		return false
	}
	if fn := r.functionsByID[function]; fn != nil && fn.pendingLoadOn == w {
		fn.loadCommandedTo = r.reachProcess(w)
	}
	return true
}

// MayQuery is MaySend for a query or renewal. A renewal may be sent to a worker that has rejected a message, since
// the worker may only be full. It records the process that the query reaches.
func (r *Router) MayQuery(now units.Seconds, id WorkerID, replicas int) bool {
	r.advance(now)
	w, known := r.workersByID[id]
	if !known || replicas > 0 && !r.isConfirmed(w) {
		return false
	}
	w.lease.queriedProcess = r.reachProcess(w)
	return true
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
	countsAsDrain := r.renewalsAllowed() && !r.isConfirmed(w)
	w.lease.rejectedAt, w.lease.rejectedQuery, w.lease.function = r.now, false, fn
	if !r.isDiscoveryAvailable() {
		w.lease.retryAt, w.lease.failures = r.now, 0
		r.endpointRulesDue = true
	}
	if countsAsDrain { // for a confirmed worker, a renewal shows whether it drains or is full, also to peers
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
		// No evidence that the worker serves, nor that it drains.
	}
}

// reset clears the evidence from before the worker's process restarted. A query in flight remains.
func (l *workerLease) reset() {
	l.acceptedAt, l.rejectedAt, l.clearedAt, l.usedAt, l.retryAt = 0, 0, 0, 0, 0
	l.failures, l.rejectedQuery, l.drainConfirmed, l.drainSeenAt = 0, false, false, 0
}

// isReferenced reports whether a query or a request refers to the worker.
func (l *workerLease) isReferenced() bool { return l.queryPending || len(l.waiters) > 0 }
