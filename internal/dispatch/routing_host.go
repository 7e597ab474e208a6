package dispatch

import (
	"streamcleat/control"
	"streamcleat/internal/units"
)

// routingHost implements [control.Host] for a dispatcher: it executes the router's decisions.
type routingHost struct{ dispatcher *Dispatcher }

var _ control.Host = routingHost{}

// StartAttempt implements [control.Host].
func (h routingHost) StartAttempt(id control.RequestID, worker control.WorkerID, timeout units.Seconds) {
	h.dispatcher.startAttempt(h.dispatcher.requests[id], worker, timeout)
}

// Reject implements [control.Host]. The router does not know about earlier requests of the same identity: if one was
// possibly executed and another execution is not safe, the request fails instead.
func (h routingHost) Reject(id control.RequestID, retryAfter units.Seconds) {
	d := h.dispatcher
	req := d.requests[id]
	response := d.newResponse(req, Rejected, d.causeOf(req))
	response.RetryAfter = retryAfter
	if req.possiblyExecuted && isRepeatUnsafe(req.class, req.firstExecutedAt, d.now) {
		response.Kind = Failed
	}
	d.complete(req, response)
}

// Fail implements [control.Host].
func (h routingHost) Fail(id control.RequestID) {
	d := h.dispatcher
	req := d.requests[id]
	d.complete(req, d.newResponse(req, Failed, d.causeOf(req)))
}

// LoadReplicas implements [control.Host].
func (h routingHost) LoadReplicas(worker control.WorkerID, function control.FunctionID, replicas int) {
	h.dispatcher.startLoad(worker, function, replicas)
}

// QueryReplicas implements [control.Host].
func (h routingHost) QueryReplicas(worker control.WorkerID, function control.FunctionID, replicas int, timeout units.Seconds) {
	h.dispatcher.startQuery(worker, function, replicas, timeout)
}

// Broadcast implements [control.Host].
func (h routingHost) Broadcast(message []byte) { h.dispatcher.effects.Broadcast(message) }

// SetTimer implements [control.Host].
func (h routingHost) SetTimer(after units.Seconds, id uint64) {
	h.dispatcher.armTimer(after, routerTimer, id, nil)
}

// RequestEndpoints implements [control.Host]. It does nothing: endpoint updates are pushed to the dispatcher.
func (h routingHost) RequestEndpoints() {}
