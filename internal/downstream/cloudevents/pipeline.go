package cloudevents

import (
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// pendingRequest is a request whose response has not been written to the output.
type pendingRequest struct {
	slot       uint64
	deadline   units.Seconds     // deadline of an event; 0 for other requests
	request    *dispatch.Request // event that has not been submitted; nil otherwise
	response   []byte            // encoded response; nil until it is available
	closeAfter bool              // the connection is closed after the response
	submitted  bool
}

// reject sets an error response with problem details and additional header fields.
func (p *pendingRequest) reject(requestErr *requestError, fields ...dispatch.Field) {
	p.response = encodeProblem(requestErr.status, requestErr.problem, problemDetails{Detail: requestErr.detail},
		fields, p.closeAfter)
}

// Advance writes the responses that are next in order to the output and submits the events that no longer have to wait.
// Call it after Respond.
func (s *Session) Advance(now units.Seconds) {
	for progress := true; progress && !s.disconnected; {
		sent := s.writeResponses(now)
		submitted := s.submitEvents(now)
		progress = sent || submitted
	}
}

// writeResponses writes responses to the output in the order of their requests, up to the first that is not available.
func (s *Session) writeResponses(now units.Seconds) (sent bool) {
	for len(s.pending) > 0 && s.pending[0].response != nil {
		first := s.pending[0]
		s.output.Write(first.response)
		s.pending = s.pending[1:]
		s.lastActivity = now
		sent = true
		if first.closeAfter {
			s.readClosed = true
			s.abandon()
		}
	}
	return sent
}

// submitEvents submits events in order. An event whose deadline is before that of a request ahead of it is held back until
// the response to that request is available: responses are sent in order, so the event's own response could miss its
// deadline even if the event were handled immediately.
func (s *Session) submitEvents(now units.Seconds) (submitted bool) {
	var latestAhead units.Seconds // latest deadline of the requests ahead in the pipeline
	for _, pending := range s.pending {
		if pending.request != nil {
			if pending.deadline < latestAhead {
				break
			}
			s.submit(now, pending)
			submitted = true
		}
		latestAhead = max(latestAhead, pending.deadline)
	}
	return submitted
}

// submit submits an event with the time left until its deadline as its timeout.
func (s *Session) submit(now units.Seconds, pending *pendingRequest) {
	request := pending.request
	pending.request, pending.submitted = nil, true
	left := pending.deadline - now
	if request.Timeout != 0 && left <= 0 {
		left = timeoutExpired
	}
	request.Timeout = left
	s.handler.Submit(pending.slot, *request)
}

// Respond encodes the final response to a request. Advance writes it to the output.
func (s *Session) Respond(_ units.Seconds, slot uint64, r dispatch.Response) {
	for _, pending := range s.pending {
		if pending.slot == slot && pending.response == nil {
			pending.response = encodeFinalResponse(&r, s.proxyName, pending.closeAfter)
		}
	}
}
