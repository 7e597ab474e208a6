package control

import (
	"slices"

	"streamcleat/internal/units"
)

// Admission without discovery: which workers may be sent something, or be chosen for it once they are proven.
//
// Only a proof counts. A worker without one may drain, and the first message to it would tell by breaking the rule on
// draining workers. It is chosen only where it can be proven without such a message: by a peer, or by its answer to a
// query in a deployment whose draining workers reject queries. Otherwise it gets nothing, and requests that no proven
// worker can take are rejected with a retry time.

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

// mayUse reports whether w may be chosen for a message now, possibly one that waits for a proof.
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

// mayBeConfirmed reports whether a worker without a proof may get one soon, by its answer to a query or from a peer.
func (r *Router) mayBeConfirmed() bool {
	return r.queriesConfirm() || r.awaitsConfirmations() || r.mayRequestConfirmations()
}

// queriesConfirm reports whether a worker that answers a query serves.
func (r *Router) queriesConfirm() bool {
	return r.queriesShowDrains && r.deployment.LoadCommandsAllowed
}

// CanServe reports whether any worker may be sent requests now.
func (r *Router) CanServe(now units.Seconds) bool {
	r.advance(now)
	return slices.ContainsFunc(r.workers, func(w *worker) bool { return w.state == Serving && r.holdsLease(w) })
}
