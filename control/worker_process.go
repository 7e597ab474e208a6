package control

import "streamcleat/internal/units"

// Worker processes: a worker is known by its address, at which another process may answer after the last connection to it has
// ended. Discovery tells of that. Unless it is heard of a later time, the worker counts as one that has proved nothing and is
// cold, from its first reply on.

// OnDisconnected handles the end of the last established connection to a worker. Unless discovery is heard afterwards, the
// process may have died and another one, which is cold, may have taken its address.
func (r *Router) OnDisconnected(now units.Seconds, id WorkerID) {
	r.advance(now)
	if w, known := r.workersByID[id]; known {
		r.assumeProcessReplaced(w)
	}
}

// assumeProcessReplaced has a worker count as one that has proved nothing and is cold, unless the list proves otherwise.
func (r *Router) assumeProcessReplaced(w *worker) {
	if !r.hasLeases() {
		return
	}
	w.disconnectedAt, w.reconnectedAt = r.now, 0
	if !r.isDiscoveryAvailable() {
		r.restartSlowStart(w)
	}
}

// onReply records that a worker ended an attempt, load command or query. After a disconnection it is the first sign of a
// process that may have started as late as now.
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

// restartSlowStart grants w the slow start credits of a process that just started.
func (r *Router) restartSlowStart(w *worker) {
	w.usedCredits, w.grantedCredits = 0, r.random.fraction()
}

// mayBeReplacedProcess reports whether the process that answers for w may not be the one that discovery reported.
func (r *Router) mayBeReplacedProcess(w *worker) bool {
	return w.disconnectedAt > 0 && !r.isDiscoveryAvailable()
}

// coldSince returns the time from which the process that answers for w may have been starting; 0 if it is long past.
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
