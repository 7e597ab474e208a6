package control

import "streamcleat/internal/units"

// Worker processes: a worker is an entry of the endpoint list, at whose address another process may respond after the last
// connection has ended. Discovery reports the new process. Until it confirms the list as of a later time, the lease of the
// worker counts as unconfirmed, and the worker as cold from its first response on.

// process is what is known of the process that messages to a worker reach, from one break of its connections or change of its
// entry in the endpoint list to the next.
type process struct {
	group     deduplicationGroup // as listed when the process was first assumed
	repliedAt units.Seconds      // time of its first response; 0: none
	// identified is set once it is known to be the process that the endpoint list describes, so that group is its own.
	identified bool
	// confirmedAs is the same process as it was known before it became uncertain; nil if it was not, or is still so.
	confirmedAs *process
}

// confirmed returns the process that p was confirmed to be, which is p itself unless it was uncertain.
func (p *process) confirmed() *process {
	if p.confirmedAs != nil {
		return p.confirmedAs
	}
	return p
}

// newListedProcess returns the process that an entry of the endpoint list describes. Where the host reports confirmations of
// the list, the process is identified only once the list was confirmed after the process had responded. Before that, messages
// may reach another process at its address.
func (r *Router) newListedProcess(endpoint Worker) *process {
	group := deduplicationGroup{zone: endpoint.Zone, failureDomain: endpoint.FailureDomain}
	return &process{group: group, identified: !r.deployment.EndpointLeases}
}

// identifyProcess records that the endpoint list, with w on it, was complete at asOf or later. A process that had responded
// by then is the listed one: a successor takes an address only after discovery has reported the end of its predecessor.
func (w *worker) identifyProcess(asOf units.Seconds) {
	if w.state == Removed {
		return
	}
	w.process.identify(asOf)
	if w.certainProcess != nil {
		w.certainProcess.identify(asOf)
	}
}

func (p *process) identify(asOf units.Seconds) {
	if p.repliedAt > 0 && p.repliedAt <= asOf {
		p.identified = true
	}
}

// isProcessIdentified reports whether a message to w reaches the process that the endpoint list describes.
func (r *Router) isProcessIdentified(w *worker) bool {
	return r.isDiscoveryAvailable() || w.process.identified
}

// partitionByIdentity splits workers into those whose process is identified and the others, in the order given.
func (r *Router) partitionByIdentity(workers []*worker) (identified, others []*worker) {
	for _, w := range workers {
		if r.isProcessIdentified(w) {
			identified = append(identified, w)
		} else {
			others = append(others, w)
		}
	}
	return identified, others
}

// OnDisconnected handles the end of the last established connection to a worker. Unless discovery confirms the list
// afterwards, the process may have terminated and another one, which is cold, may have taken over its address.
func (r *Router) OnDisconnected(now units.Seconds, id WorkerID) {
	r.advance(now)
	if w, known := r.workersByID[id]; known {
		r.assumeProcessReplaced(w)
	}
}

// OnProcessUncertain handles a connection to a worker that was established beside others. Until they are known to reach the
// same process, messages to the worker may reach either.
func (r *Router) OnProcessUncertain(now units.Seconds, id WorkerID) {
	r.advance(now)
	w, known := r.workersByID[id]
	if !known || w.certainProcess != nil || !r.hasLeases() {
		return
	}
	w.process, w.certainProcess = &process{group: w.process.group}, w.process
}

// OnProcessConfirmed handles the confirmation that all connections to a worker reach the same process.
func (r *Router) OnProcessConfirmed(now units.Seconds, id WorkerID) {
	r.advance(now)
	w, known := r.workersByID[id]
	if !known || w.certainProcess == nil {
		return
	}
	if w.certainProcess.repliedAt == 0 {
		w.certainProcess.repliedAt = w.process.repliedAt
	}
	w.process.confirmedAs = w.certainProcess
	w.process, w.certainProcess = w.certainProcess, nil
}

// assumeProcessReplaced makes a worker count as unconfirmed and cold, unless the endpoint list shows otherwise.
func (r *Router) assumeProcessReplaced(w *worker) {
	if !r.hasLeases() {
		return
	}
	w.process, w.certainProcess = &process{group: w.process.group}, nil
	w.disconnectedAt, w.reconnectedAt = r.now, 0
	if !r.isDiscoveryAvailable() {
		r.restartSlowStart(w)
	}
}

// onReply records the first response of a worker's process, to an attempt, load command or query that was sent to a process
// of it, which may be an earlier one. After a disconnection, the process that responds may have started as late as now.
func (r *Router) onReply(w *worker, sentTo *process, outcome Outcome) {
	isReply := outcome == Succeeded || outcome == Failed || outcome == Rejected || outcome == ReplicaMissing
	if !isReply {
		return
	}
	if sentTo == w.process && sentTo.repliedAt == 0 {
		sentTo.repliedAt = r.now
	}
	if w.disconnectedAt == 0 || w.reconnectedAt > 0 {
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
