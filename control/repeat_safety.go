package control

import "streamcleat/internal/units"

// Repeat safety: where a request that may have been executed may be executed again. Workers drop repeats of a request that they
// or another worker of their deduplication scope executed within the deduplication window, by its idempotency key.
//
// Keys are remembered by processes. A request therefore records the process of its first execution and not the worker: the
// entry of the worker may change, or turn out to have been that of another process, before the request is attempted again.

// deduplicationGroup holds the properties of a worker that decide with which others it shares idempotency keys.
type deduplicationGroup struct {
	zone          ZoneID
	failureDomain int
}

// groupOf returns the deduplication group of an entry of the endpoint list.
func groupOf(endpoint Worker) deduplicationGroup {
	return deduplicationGroup{zone: endpoint.Zone, failureDomain: endpoint.FailureDomain}
}

// inSameScope reports whether the workers of two groups share idempotency keys under scope.
func inSameScope(scope DeduplicationScope, a, b deduplicationGroup) bool {
	switch scope {
	case ScopeFleet:
		return true
	case ScopeZone:
		return a.zone == b.zone
	default:
		return a == b
	}
}

// isRepeatSafe reports whether w may execute req even if another attempt has been executed. A request that may already have
// been executed is retried only if it is idempotent or the process at w deduplicates its key.
func (r *Router) isRepeatSafe(req *request, w *worker) bool {
	if !req.possiblyExecuted || req.class.Semantics == Idempotent {
		return true
	}
	return r.isRetryDeduplicated(req) && r.recognizesKey(w, req)
}

// isFirstExecutionIdentified reports whether the process that may have executed req first was the one that the endpoint list
// described then. It is if discovery has been available without interruption since the attempt started. An outage that has
// ended in the meantime does not identify it, because the worker's entry may have been outdated when the attempt was sent.
func (r *Router) isFirstExecutionIdentified(req *request) bool {
	isUninterrupted := r.isDiscoveryAvailable() && req.firstExecutionAt >= r.discovery.uninterruptedSince
	return req.firstExecutionBy.confirmed().identified || isUninterrupted
}

// recognizesKey reports whether the process at the address of w recognizes the idempotency key of req, which may have been
// executed, while the key is retained. A process that may be another than the listed one recognizes only the keys of the
// requests that it executed itself.
func (r *Router) recognizesKey(w *worker, req *request) bool {
	scope := req.class.DeduplicationScope
	isSameProcess := w.process == req.firstExecutionBy.confirmed() && w.certainProcess == nil
	if scope == ScopeFleet || isSameProcess {
		return true
	}
	areIdentified := r.isProcessIdentified(w) && r.isFirstExecutionIdentified(req)
	return areIdentified && inSameScope(scope, w.process.group, req.firstExecutionBy.group)
}

// MayExecute reports whether the process that an attempt of a request reaches now may execute it, and records that process.
// The host calls it when it sends the bytes, in addition to MaySend: since the decision, the connections to the worker may
// have ended, or its entry in the endpoint list may have changed.
func (r *Router) MayExecute(now units.Seconds, id RequestID) bool {
	r.advance(now)
	req := r.requests[id]
	if req == nil || !req.inFlight || !r.isRepeatSafe(req, req.worker) {
		return false
	}
	req.attemptedBy = r.reachProcess(req.worker)
	return true
}

// prefersIdentifiedProcess reports whether the first execution of req should be on an identified process: if it fails, other
// workers can repeat it only then.
func (r *Router) prefersIdentifiedProcess(req *request) bool {
	if r.isDiscoveryAvailable() || req.possiblyExecuted {
		return false
	}
	return req.class.Semantics == IdempotentByKey && req.class.DeduplicationScope != ScopeFleet
}

// isRetrySafe reports whether the client may retry the request, on any worker.
func (r *Router) isRetrySafe(req *request) bool {
	if !req.possiblyExecuted || req.class.Semantics == Idempotent {
		return true
	}
	return req.class.DeduplicationScope == ScopeFleet && r.isRetryDeduplicated(req)
}

// isRetryDeduplicated reports whether the workers in the deduplication scope still retain the idempotency key.
func (r *Router) isRetryDeduplicated(req *request) bool {
	inWindow := r.now < req.firstExecutionAt+req.class.DeduplicationWindow
	return req.class.Semantics == IdempotentByKey && inWindow
}
