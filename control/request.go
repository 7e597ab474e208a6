package control

import (
	"slices"

	"streamcleat/internal/units"
)

// request is a request that is open or has an attempt in flight.
type request struct {
	Request
	class     *RequestClass
	function  *function
	deadline  units.Seconds
	timerID   uint64
	attempts  int
	loadWaits int // number of loads that the request has waited for
	// awaitedLease is set once the request has waited for the lease of a worker to be confirmed.
	awaitedLease bool

	worker           *worker       // worker of the latest attempt; nil before the first and after a replica miss
	attemptedBy      *process      // process that the latest attempt was sent to
	attemptStartedAt units.Seconds // start of the latest attempt
	inFlight         bool
	awaitsLoad       bool // the latest attempt was sent to a worker without a warm replica
	finished         bool // responded to or cancelled

	rejectedBy       []WorkerID // workers that rejected an attempt of the request
	possiblyExecuted bool
	firstExecutionAt units.Seconds // start of the first attempt that may have been executed
	firstExecutionBy *process      // process that it was sent to
}

// recordAttemptStart records the start of an attempt on w.
func (r *Router) recordAttemptStart(req *request, w *worker) {
	req.worker = w
	req.attemptedBy = w.process
	w.lease.usedAt = r.now
	req.attemptStartedAt = r.now
	req.inFlight = true
	req.attempts++
	req.function.inFlight++
	req.function.ensureReplica(w).inFlight++
	w.inFlight = append(w.inFlight, req)
}

// recordAttemptEnd records the end of the attempt in flight and returns the replica it was sent to.
func (r *Router) recordAttemptEnd(req *request) *replica {
	rep := req.function.ensureReplica(req.worker)
	req.inFlight = false
	req.function.inFlight--
	rep.inFlight--
	isSame := func(other *request) bool { return other == req }
	req.worker.inFlight = slices.DeleteFunc(req.worker.inFlight, isSame)
	return rep
}

// wasRejectedBy reports whether w rejected an attempt of the request.
func (req *request) wasRejectedBy(w *worker) bool { return slices.Contains(req.rejectedBy, w.id) }

// finish records that the request was responded to or cancelled. The request is retained while an attempt is in flight.
func (r *Router) finish(req *request) {
	req.finished = true
	delete(r.requestsByTimerID, req.timerID)
	if !req.inFlight {
		r.closeRequest(req)
	}
}

// appendWaiter appends a request to a list of waiters. Before the list grows, the requests that are finished are removed, so that its
// length is bounded by the number of open requests.
func appendWaiter(waiters []*request, req *request) []*request {
	if len(waiters) == cap(waiters) {
		waiters = slices.DeleteFunc(waiters, func(other *request) bool { return other.finished })
		waiters = slices.Grow(waiters, len(waiters)+1)
	}
	return append(waiters, req)
}

// finishOrRequeue releases or closes a request whose attempt has ended or, if the request is still open, queues it for the
// request rules again.
func (r *Router) finishOrRequeue(req *request, result AttemptResult) {
	switch {
	case req.finished:
		r.closeRequest(req)
	case result.Completed:
		r.finish(req)
	default:
		r.pending = append(r.pending, req)
	}
}
