package cloudevents

import (
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// pendingRequest is a request that waits for its response.
type pendingRequest struct {
	slot      uint64
	deadline  units.Seconds     // of an event; 0 for other requests
	request   *dispatch.Request // an event not yet submitted; nil otherwise
	response  []byte            // encoded; nil until there is one
	closes    bool              // the connection is closed after the response
	submitted bool
}

// reject answers a request with problem details and additional header fields.
func (p *pendingRequest) reject(failure *requestError, fields ...dispatch.Field) {
	p.response = encodeProblem(failure.status, failure.problem, problemDetails{Detail: failure.detail}, fields, p.closes)
}

// Advance encodes the responses that are next in order and submits the events that no longer have to wait. Call it after
// Respond.
func (s *Session) Advance(now units.Seconds) {
	for progress := true; progress && !s.disconnected; {
		sent := s.sendResponses(now)
		submitted := s.submitEvents(now)
		progress = sent || submitted
	}
}

// sendResponses sends responses in the order of their requests, up to the first one missing.
func (s *Session) sendResponses(now units.Seconds) (sent bool) {
	for len(s.pending) > 0 && s.pending[0].response != nil {
		first := s.pending[0]
		s.output.Write(first.response)
		s.pending = s.pending[1:]
		s.activeAt = now
		sent = true
		if first.closes {
			s.closed = true
			s.abandon()
		}
	}
	return sent
}

// submitEvents submits events in order. An event whose deadline is before that of a request ahead of it is held back until
// that request is answered: responses are sent in order, so its own could come too late even if it were handled at once.
func (s *Session) submitEvents(now units.Seconds) (submitted bool) {
	var latestAhead units.Seconds // latest deadline of the requests ahead
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

// submit submits an event with the time that is left to its client.
func (s *Session) submit(now units.Seconds, pending *pendingRequest) {
	request := pending.request
	pending.request, pending.submitted = nil, true
	left := pending.deadline - now
	if request.Timeout != 0 && left <= 0 {
		left = expired
	}
	request.Timeout = left
	s.handler.Submit(pending.slot, *request)
}

// Respond records the final response to a request. Advance sends it.
func (s *Session) Respond(_ units.Seconds, slot uint64, r dispatch.Response) {
	for _, pending := range s.pending {
		if pending.slot == slot && pending.response == nil {
			pending.response = encodeFinal(&r, s.proxyName, pending.closes)
		}
	}
}
