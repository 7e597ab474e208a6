package control

import (
	"math"

	"streamcleat/internal/units"
)

// Early contact: during a discovery outage, a worker that may be another process counts as cold for its warm-up time, from its
// first response on. Front ends therefore query some such workers before they need them. The connections stay open, so that
// these processes, if they are well, have most of their capacity when requests come for them.

const (
	// contactIntervalSeconds is the time between two queries of a worker that serves nothing else. It is shorter
	// than the time after which idle connections close.
	contactIntervalSeconds = 4.0
	// contactsPerWorker bounds the number of front ends that query a worker early, each with a connection of its own.
	contactsPerWorker = 32.0
	// maxContacts bounds the number of workers that a front end queries early.
	maxContacts = 16.0
)

// contactWorker queries w if it may be another process than the listed one and is among the workers to be queried early.
func (r *Router) contactWorker(w *worker) bool {
	isDue := w.process.servedAt < r.now-contactIntervalSeconds && r.now >= w.lease.retryAt
	mayBeCold := w.state == Serving && r.warmUpProgress(w, r.now) < 1 && !r.isStartKnown(w)
	isAllowed := r.deployment.EndpointLeases && r.deployment.LoadCommandsAllowed
	if !isDue || !mayBeCold || !isAllowed || !r.isContact(w) || r.hasRejected(w) {
		return false
	}
	fn := r.latestFunction()
	return fn != nil && r.sendQuery(w, fn, 0)
}

// isContact reports whether w is among the workers that this front end queries early: those from a random slot on.
func (r *Router) isContact(w *worker) bool {
	workers := float64(len(r.workers))
	contacts := min(math.Ceil(contactsPerWorker*workers/float64(r.deployment.FrontEnds)), maxContacts)
	slotsAfterFirst := (w.index - r.firstContact%len(r.workers) + len(r.workers)) % len(r.workers)
	return float64(slotsAfterFirst) < contacts
}

// latestFunction returns the function that was requested last, nil if there is none.
func (r *Router) latestFunction() *function {
	var latest *function
	requestedAt := units.Seconds(math.Inf(-1))
	for _, fn := range r.functions {
		if fn.lastRequestAt > requestedAt {
			latest, requestedAt = fn, fn.lastRequestAt
		}
	}
	return latest
}
