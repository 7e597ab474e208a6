package control

import (
	"slices"

	"streamcleat/internal/units"
)

// Admission during a discovery outage: which workers may be sent a message, or be chosen for one that waits until their
// lease is confirmed.
//
// A worker whose lease is not confirmed may be draining, and a message sent to find out would violate the rule on draining
// workers. It is chosen only if its lease can be confirmed without such a message: by a peer, or by its response to a query
// in a deployment whose draining workers reject queries. Otherwise nothing is sent to it, and requests that no confirmed
// worker can take are rejected with a Retry-After.

// holdsLease reports whether attempts and load commands may be sent to w now.
func (r *Router) holdsLease(w *worker) bool { return r.isConfirmed(w) && !r.hasRejected(w) }

// leaseHolders returns those of the candidates that hold leases, or all if there are none.
func (r *Router) leaseHolders(candidates []*worker) []*worker {
	if r.isDiscoveryAvailable() {
		return candidates
	}
	var holders []*worker
	for _, w := range candidates {
		if r.holdsLease(w) {
			holders = append(holders, w)
		}
	}
	if len(holders) == 0 {
		return candidates
	}
	return holders
}

// mayUse reports whether w may be chosen for a message now, possibly one that waits until the lease of w is confirmed.
func (r *Router) mayUse(w *worker) bool {
	switch {
	case r.isDiscoveryAvailable():
		return true
	case r.hasRejected(w) || r.awaitsBackoff(w):
		return false
	default:
		return r.isConfirmed(w) || r.mayBeConfirmed()
	}
}

// mayBeConfirmed reports whether the lease of a worker may be confirmed soon, by its response to a query or by a peer.
func (r *Router) mayBeConfirmed() bool {
	return r.queriesConfirm() || r.awaitsConfirmations() || r.mayRequestConfirmations()
}

// queriesConfirm reports whether a successful query confirms the lease of a worker.
func (r *Router) queriesConfirm() bool {
	return r.queriesShowDrains && r.deployment.LoadCommandsAllowed
}

// CanServe reports whether any worker may be sent requests now.
func (r *Router) CanServe(now units.Seconds) bool {
	r.advance(now)
	return slices.ContainsFunc(r.workers, func(w *worker) bool { return w.state == Serving && r.holdsLease(w) })
}
