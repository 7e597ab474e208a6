package control

import "math"

// Early contact: during a discovery outage, a worker that may be another process counts as cold for its warm-up time, from its
// connection on. Front ends therefore query some workers before they need them, and again before the connections are closed as
// idle. If these workers are well, they have most of their capacity when requests come for them, and those that are known as warm
// stay so.

const (
	// contactIdleFraction is the fraction of the time after which idle connections are closed, in which a worker is queried again if
	// it serves nothing else.
	contactIdleFraction = 0.5
	// contactsPerWorker bounds the number of front ends that query a worker early, each with a connection of its own.
	contactsPerWorker = 32.0
	// maxContacts bounds the number of workers that a front end queries early.
	maxContacts = 16.0
)

// contactWorker queries w if it is among the workers to be queried early and has served nothing lately.
func (r *Router) contactWorker(w *worker) bool {
	isAllowed := r.deployment.EndpointLeases && r.deployment.LoadCommandsAllowed && !r.areStartsReported()
	isDue := w.process.repliedAt == 0 || r.isIdle(w.process)
	if !isAllowed || !isDue || r.now < w.lease.retryAt || w.state != Serving || !r.isContact(w) || r.hasRejected(w) {
		return false
	}
	return r.latestFunction != nil && r.sendQuery(w, r.latestFunction, 0)
}

// isIdle reports whether the connections to p are about to be closed as idle.
func (r *Router) isIdle(p *process) bool {
	timeout := r.deployment.IdleTimeout
	return timeout > 0 && r.now >= p.servedAt+contactIdleFraction*timeout
}

// isContact reports whether w is among the workers that this front end queries early: those from a random slot on.
func (r *Router) isContact(w *worker) bool {
	workers := float64(len(r.workers))
	contacts := min(math.Ceil(contactsPerWorker*workers/float64(r.deployment.FrontEnds)), maxContacts)
	slotsAfterFirst := (w.index - r.firstContact%len(r.workers) + len(r.workers)) % len(r.workers)
	return float64(slotsAfterFirst) < contacts
}
