package dispatch

import (
	"streamcleat/control"
	"streamcleat/internal/units"
)

const (
	// executionRetention is the time in seconds for which a request that may have been executed is remembered after its end.
	executionRetention units.Seconds = 30
	// maxExecutedRequests is the number of requests that are remembered. Beyond it, the ones that ended first are forgotten.
	maxExecutedRequests = 16 << 10
)

// executedRequest is a request that has ended, may have been executed and must not simply be executed again.
type executedRequest struct {
	identity        Identity
	class           *control.RequestClass
	firstExecutedAt units.Seconds
	endedAt         units.Seconds
}

// executedRequests remembers requests that may have been executed, so that another request with the same identity does not have its
// effect twice. It is for front ends without cached responses.
type executedRequests struct {
	byIdentity map[Identity]executedRequest
	byAge      []executedRequest // the one that ended first is the first
}

// add adds a request that ends now.
func (e *executedRequests) add(request executedRequest) {
	e.expire(request.endedAt)
	if e.byIdentity == nil {
		e.byIdentity = map[Identity]executedRequest{}
	}
	e.byIdentity[request.identity] = request
	e.byAge = append(e.byAge, request)
	if len(e.byAge) > maxExecutedRequests {
		e.removeOldest()
	}
}

// get returns the request that ended last with an identity.
func (e *executedRequests) get(now units.Seconds, identity Identity) (request executedRequest, known bool) {
	request, known = e.byIdentity[identity]
	return request, known && now-request.endedAt < executionRetention
}

// expire removes the requests whose retention is over.
func (e *executedRequests) expire(now units.Seconds) {
	for len(e.byAge) > 0 && now-e.byAge[0].endedAt >= executionRetention {
		e.removeOldest()
	}
}

func (e *executedRequests) removeOldest() {
	oldest := e.byAge[0]
	e.byAge = e.byAge[1:]
	if e.byIdentity[oldest.identity] == oldest { // it has not ended again since
		delete(e.byIdentity, oldest.identity)
	}
}
