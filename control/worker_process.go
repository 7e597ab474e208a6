package control

import "streamcleat/internal/units"

// Worker processes: a worker is an entry of the endpoint list, at whose address another process may respond while there is no
// connection. Discovery reports the new process. During a discovery outage only responses show which process is there: one that
// had responded when discovery last confirmed the list, on a connection that has not ended since, is the listed process. The
// list alone shows no process, because a worker that has terminated may still be listed. Any other worker, connected or not,
// counts as cold until a peer that has such a connection reports it as warm, or its warm-up time has passed since its first
// response.

// newListedProcess returns the process that an entry of the endpoint list describes. Where the list may expire, the process is
// identified only once the list was confirmed after the process had responded. Before that, messages may reach another process at
// its address.
func (r *Router) newListedProcess(endpoint Worker) *process {
	return &process{group: groupOf(endpoint), identified: !r.hasLeases()}
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
// same process, messages to the worker may reach either. It reports whether that is to be found out at once, because the worker
// counts as possibly cold until then.
func (r *Router) OnProcessUncertain(now units.Seconds, id WorkerID) (verify bool) {
	r.advance(now)
	w, known := r.workersByID[id]
	if !known || w.certainProcess != nil || !r.hasLeases() {
		return false
	}
	another := &process{group: w.process.group, assumedAt: w.process.assumedAt, hasPredecessor: true}
	w.process, w.certainProcess = another, w.process
	if r.isStartKnown(w) {
		return false
	}
	r.restartSlowStart(w)
	return true
}

// OnProcessConfirmed handles the confirmation that all connections to a worker reach the same process.
func (r *Router) OnProcessConfirmed(now units.Seconds, id WorkerID) {
	r.advance(now)
	w, known := r.workersByID[id]
	if !known || w.certainProcess == nil {
		return
	}
	w.certainProcess.merge(w.process)
	w.process.confirmedAs = w.certainProcess
	w.process, w.certainProcess = w.certainProcess, nil
}

// assumeProcessReplaced makes a worker count as unconfirmed and cold, unless the endpoint list shows otherwise.
func (r *Router) assumeProcessReplaced(w *worker) {
	if !r.hasLeases() {
		return
	}
	w.process, w.certainProcess = &process{group: w.process.group, assumedAt: r.now, hasPredecessor: true}, nil
	if !r.areStartsReported() {
		r.restartSlowStart(w)
	}
}

// onReply records the first response of a worker's process, to an attempt, load command or query that was sent to a process
// of it, which may be an earlier one. After a disconnection, the process that responds may have started as late as now.
func (r *Router) onReply(w *worker, sentTo *process, sentAt units.Seconds, outcome Outcome) {
	isReply := outcome == Succeeded || outcome == Failed || outcome == Rejected || outcome == ReplicaMissing
	if !isReply || sentTo == nil {
		return
	}
	if outcome != Rejected {
		sentTo.servedAt = max(sentTo.servedAt, sentAt)
	}
	if sentTo != w.process || sentTo.repliedAt > 0 {
		return
	}
	sentTo.repliedAt = r.now
	if sentTo.connectedAt == 0 {
		sentTo.connectedAt = r.now
	}
	if !r.isStartKnown(w) {
		r.restartSlowStart(w)
	}
}

// checkStartsReported begins the slow start of the workers that may have been replaced since discovery last confirmed the list,
// once it would no longer report that.
func (r *Router) checkStartsReported() {
	wereReported, areReported := r.discovery.reportedStarts, r.areStartsReported()
	r.discovery.reportedStarts = areReported
	if !wereReported || areReported {
		return
	}
	for _, w := range r.workers {
		if !r.isStartKnown(w) {
			r.restartSlowStart(w)
			w.process.recordSustainedRate(r.now)
		}
	}
}

// restartSlowStart resets the slow start credits of w to those of a process that just started.
func (r *Router) restartSlowStart(w *worker) {
	w.usedCredits, w.grantedCredits = 0, r.random.fraction()
}

// isStartKnown reports whether the process at the address of w is known to have started when the endpoint list says.
func (r *Router) isStartKnown(w *worker) bool {
	return r.areStartsReported() || r.isStartShown(w.process)
}

// isStartShown is isStartKnown by what this front end and its peers received from p itself. If p has a predecessor, or is connected
// for the first time long after the start of this front end, it may have started just before.
func (r *Router) isStartShown(p *process) bool {
	delay := units.Seconds(0)
	if p.hasPredecessor || p.connectedAt >= r.startedAt+firstContactsSeconds {
		delay = listingDelaySeconds
	}
	return p.isListed(delay) || r.isWarmAtPeer(p)
}

// isWarmAtPeer reports whether a peer knew p as warm while p was connected, or the process at the address so shortly before that it
// has not been replaced.
func (r *Router) isWarmAtPeer(p *process) bool {
	connectedAt := p.connectedAt
	if connectedAt == 0 {
		connectedAt = r.now
	}
	return p.peerWarmAt > 0 && connectedAt < p.peerWarmAt+minReplacementSeconds
}

// reachProcess returns the process that a message which is written to w now reaches.
func (r *Router) reachProcess(w *worker) *process {
	if w.process.connectedAt == 0 {
		w.process.connectedAt = r.now
	}
	return w.process
}

// recordPeerWarm records that the process at the address of w served a peer at a time that knew it as warm.
func (w *worker) recordPeerWarm(at units.Seconds) {
	if at < w.process.assumedAt {
		return // it was that of a predecessor
	}
	w.process.peerWarmAt = max(w.process.peerWarmAt, at)
	if w.certainProcess != nil {
		w.certainProcess.peerWarmAt = max(w.certainProcess.peerWarmAt, at)
	}
}

// lastWarmAt returns the latest time at which the process at the address of w is known to have been there and warm; 0 if there is
// none. That a worker is listed does not show it.
func (r *Router) lastWarmAt(w *worker) units.Seconds {
	p := w.process
	hasServedLong := p.repliedAt > 0 && r.hasWarmedUp(p.connectedAt)
	isShown := hasServedLong || p.isListed(listingDelaySeconds) || r.isWarmAtPeer(p)
	switch {
	case !isShown || !r.hasWarmedUp(r.shownColdSince(w)):
		return 0
	case p.identified && r.isDiscoveryAvailable():
		return max(p.servedAt, r.discovery.confirmedAt)
	default:
		return p.servedAt
	}
}

// mayBeKnownWarm reports whether a peer may soon report w, to which nothing is sent before that, as warm.
func (r *Router) mayBeKnownWarm(w *worker) bool {
	return !r.isStartKnown(w) && !r.holdsLease(w) && (r.awaitsConfirmations() || r.mayRequestConfirmations())
}

// coldSince returns the latest time at which the process at the address of w may have started; 0 if it is long past.
func (r *Router) coldSince(w *worker) units.Seconds {
	if r.areStartsReported() {
		return w.startedAt
	}
	return r.shownColdSince(w)
}

// shownColdSince is coldSince by what this front end and its peers received from the process itself.
func (r *Router) shownColdSince(w *worker) units.Seconds {
	switch {
	case r.isStartShown(w.process):
		return w.startedAt
	case w.process.repliedAt == 0:
		return r.now
	default:
		return w.process.connectedAt
	}
}
