package control

import "streamcleat/internal/units"

// Worker processes: a worker is identified by its address, at which another process may respond after the last connection
// has ended. Discovery reports the new process. Until it confirms the list as of a later time, the lease of the worker counts
// as unconfirmed, and the worker as cold from its first response on.

// OnDisconnected handles the end of the last established connection to a worker. Unless discovery confirms the list
// afterwards, the process may have terminated and another one, which is cold, may have taken over its address.
func (r *Router) OnDisconnected(now units.Seconds, id WorkerID) {
	r.advance(now)
	if w, known := r.workersByID[id]; known {
		r.assumeProcessReplaced(w)
	}
}

// assumeProcessReplaced makes a worker count as unconfirmed and cold, unless the endpoint list shows otherwise.
func (r *Router) assumeProcessReplaced(w *worker) {
	if !r.hasLeases() {
		return
	}
	w.disconnectedAt, w.reconnectedAt = r.now, 0
	if !r.isDiscoveryAvailable() {
		r.restartSlowStart(w)
	}
}

// onReply records the first response of a worker after a disconnection, to an attempt, load command or query. The process
// that responds may have started as late as now.
func (r *Router) onReply(w *worker, outcome Outcome) {
	isReply := outcome == Succeeded || outcome == Failed || outcome == Rejected || outcome == ReplicaMissing
	if !isReply || w.disconnectedAt == 0 || w.reconnectedAt > 0 {
		return
	}
	w.reconnectedAt = r.now
	if !r.isDiscoveryAvailable() {
		r.restartSlowStart(w)
	}
}

// restartSlowStart resets the slow start credits of w to those of a process that just started.
func (r *Router) restartSlowStart(w *worker) {
	w.usedCredits, w.grantedCredits = 0, r.random.fraction()
}

// mayBeReplacedProcess reports whether the process at the address of w may not be the one that discovery reported.
func (r *Router) mayBeReplacedProcess(w *worker) bool {
	return w.disconnectedAt > 0 && !r.isDiscoveryAvailable()
}

// coldSince returns the latest time at which the process at the address of w may have started; 0 if it is long past.
func (r *Router) coldSince(w *worker) units.Seconds {
	switch {
	case !r.mayBeReplacedProcess(w):
		return w.startedAt
	case w.reconnectedAt == 0:
		return r.now
	default:
		return w.reconnectedAt
	}
}
