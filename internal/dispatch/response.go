package dispatch

import "streamcleat/control"

// ResponseKind is how a request ended for its client.
type ResponseKind uint8

// The kinds of final responses.
const (
	Succeeded ResponseKind = iota // a worker answered it
	Rejected                      // not run, or safe to run again: the client may retry after Response.RetryAfter
	Failed                        // it may have run and must not be retried, or can't be served at all
)

// String is the kind as users, records and metrics spell it.
func (k ResponseKind) String() string { return [...]string{"handled", "deferred", "dead-lettered"}[k] }

// Response is a final response.
type Response struct {
	Kind         ResponseKind
	Cause        Cause
	RetryAfter   float64 // seconds after which the client of a rejected request may retry
	Worker       string  // of the last attempt
	Start        control.StartType
	Replayed     bool // first given to another waiter of the same request
	Attempts     int
	Fields       []Field
	Body         []byte
	Identity     Identity
	Elapsed      float64 // seconds from the admission of the request to its end
	Class        string
	Function     string
	Tenant       string
	Binding      Binding // zero where the function has no versions
	AwaitsRecord bool    // must not be sent before its record is durable
}

// Cause tells why a request ended as it did.
type Cause uint8

// The causes, in the words of RFC 9209 where it has one.
const (
	CauseResponded         Cause = iota
	CauseNoCapacity              // no worker could take it in time
	CauseDeadlineExceeded        // the client's deadline passed first
	CauseWorkerFailed            // the last worker replied with an error
	CauseConnectionLost          // the connection to the last worker was lost during the attempt
	CauseWorkerUnreachable       // no connection to a worker could be opened
	CauseWorkerFull              // the last worker rejected it
	CauseLoadFailed              // the function could not be loaded
	CauseResponseExpired         // it ended long ago: its response is no longer cached, and it must not run again
	CauseShuttingDown            // the front end shuts down
	CauseUnknownClass            // the configuration has no such request class
	CauseTooManyOpen             // the front end holds as many open requests as it may
	CauseRestarted               // it may have run before the front end restarted
	CauseNotStored               // a record that must be durable can't be written
	CauseNoVersion               // the function reference names no version that may run
	CauseWrongDigest             // the worker replied with another version than the bound one
	CauseDuplicate               // a request of the same identity is open, and this one must not join it
)

// causeTexts are the causes as users, records and metrics spell them.
var causeTexts = [...]string{
	CauseResponded:         "answered",
	CauseNoCapacity:        "no-room",
	CauseDeadlineExceeded:  "time-up",
	CauseWorkerFailed:      "worker-failed",
	CauseConnectionLost:    "worker-broke",
	CauseWorkerUnreachable: "worker-gone",
	CauseWorkerFull:        "worker-full",
	CauseLoadFailed:        "load-failed",
	CauseResponseExpired:   "forgotten",
	CauseShuttingDown:      "stopping",
	CauseUnknownClass:      "unknown-type",
	CauseTooManyOpen:       "overflow",
	CauseRestarted:         "restarted",
	CauseNotStored:         "not-kept",
	CauseNoVersion:         "no-version",
	CauseWrongDigest:       "wrong-digest",
	CauseDuplicate:         "duplicate",
}

// String is the cause as users, records and metrics spell it.
func (c Cause) String() string { return causeTexts[c] }

// newResponse is a response to an open request, without fields and body.
func (d *Dispatcher) newResponse(req *openRequest, kind ResponseKind, cause Cause) Response {
	return Response{
		Kind:     kind,
		Cause:    cause,
		Worker:   string(req.lastWorker),
		Start:    req.lastStart,
		Attempts: req.attempts,
		Identity: req.request.Identity,
		Elapsed:  d.now - req.startedAt,
		Class:    req.request.Class,
		Function: req.request.Function,
		Tenant:   req.request.Tenant,
		Binding:  req.binding,
	}
}

// causeOf tells why the router gives a request up, by how its last attempt ended.
func (d *Dispatcher) causeOf(req *openRequest) Cause {
	if req.attempts == 0 {
		if d.now >= req.deadline-2*d.settings.Deployment.MinRoundInterval {
			return CauseDeadlineExceeded
		}
		return CauseNoCapacity
	}
	switch req.lastOutcome {
	case control.Failed:
		if req.wrongDigest {
			return CauseWrongDigest
		}
		return CauseWorkerFailed
	case control.ConnectionLost, control.Cancelled:
		return CauseConnectionLost
	case control.Rejected:
		return CauseWorkerFull
	case control.Unreachable:
		return CauseWorkerUnreachable
	case control.NotSent:
		return CauseNotStored
	case control.ReplicaMissing:
		return CauseLoadFailed
	}
	return CauseDeadlineExceeded
}

// refuse responds to a request that is not admitted. A rejection promises that a retry is harmless: nothing ran now, and
// what ran before under the same identity is cached.
func (d *Dispatcher) refuse(to WaiterID, request Request, kind ResponseKind, cause Cause) {
	response := Response{
		Kind:     kind,
		Cause:    cause,
		Identity: request.Identity,
		Class:    request.Class,
		Function: request.Function,
	}
	if kind == Rejected {
		response.RetryAfter = d.settings.Deployment.MaxRetryAfter
	}
	d.countResponse(response)
	d.effects.Respond(to, response)
	d.effects.OnRequestEnd(response, &Trace{
		Identity:  request.Identity,
		Class:     request.Class,
		Function:  request.Function,
		Tenant:    request.Tenant,
		StartedAt: d.now,
		Response:  response,
	})
}

// replay gives a cached response to a waiter.
func (d *Dispatcher) replay(to WaiterID, cached *cachedResponse, class *control.RequestClass) {
	response := cached.response
	response.Replayed = true
	response.AwaitsRecord = class.Semantics != control.Idempotent // its record may not be durable yet
	d.counts.Replayed++
	d.effects.Respond(to, response)
}

// complete closes an open request: it stores and caches the final response and gives it to every waiter.
func (d *Dispatcher) complete(req *openRequest, response Response) {
	d.unlink(req)
	for _, w := range req.waiters {
		delete(d.requestByWaiter, w.id)
	}
	// A restart must neither forget an attempt that may have run nor take back a response that was given. The end of a
	// request that may run again is recorded too, but nothing waits for that.
	if req.recorded || response.Kind == Succeeded {
		response.AwaitsRecord = req.recorded
		d.recordEnd(req, response)
	}
	d.cacheResponse(req, response)
	d.countResponse(response)
	d.addStep(req, response.Kind.String(), "", response.Cause.String())
	for i, w := range req.waiters {
		response.Replayed = i > 0
		d.effects.Respond(w.id, response)
	}
	response.Replayed = false
	trace := d.newTrace(req)
	trace.Open = false
	trace.Response = response
	trace.Response.Body, trace.Response.Fields = nil, nil
	req.waiters = nil
	if !d.settings.TracingDisabled {
		d.traces.ended.add(trace, maxEndedTraces)
	}
	d.effects.OnRequestEnd(response, trace)
}

// countResponse adds a final response to the totals.
func (d *Dispatcher) countResponse(response Response) {
	switch response.Kind {
	case Succeeded:
		d.counts.Succeeded++
	case Rejected:
		d.counts.Rejected++
	case Failed:
		d.counts.Failed++
	}
}
