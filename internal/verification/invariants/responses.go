package invariants

// clientCall is one request of one client.
type clientCall struct {
	request   Record
	end       Record
	ended     bool
	responses int
}

// checkResponses checks rule 1: each accepted request gets exactly one final response before its client's timeout, and no
// attempt of it is started once none of its clients waits for it any more.
func (c *checker) checkResponses(records []Record) {
	calls := c.collectCalls(records)
	byRequest := map[string][]*clientCall{}
	for _, call := range calls {
		byRequest[call.request.RequestID] = append(byRequest[call.request.RequestID], call)
		c.countEnd(call)
	}
	for _, r := range records {
		if r.Kind == AttemptStarted {
			c.verdict.Attempts++
			c.checkClientIsWaiting(r, byRequest[r.RequestID])
			c.checkDeadline(r, byRequest[r.RequestID])
		}
	}
}

// collectCalls matches the records of requests with the records of their ends. The calls are in the order of the requests.
func (c *checker) collectCalls(records []Record) []*clientCall {
	byID := map[uint64]*clientCall{}
	var calls []*clientCall
	for _, r := range records {
		switch r.Kind {
		case RequestSent:
			call := &clientCall{request: r}
			byID[r.CallID] = call
			calls = append(calls, call)
		case ResponseReceived, ClientCancelled, ConnectionLost:
			call := byID[r.CallID]
			if call == nil {
				c.violation(&c.verdict.DuplicateResponses, "response", "call %d: %s without a request", r.CallID, r.Kind)
				continue
			}
			c.endCall(call, r)
		default: // not part of this check
		}
	}
	return calls
}

// endCall records the end of a call. Only the first end counts; a second response is a violation.
func (c *checker) endCall(call *clientCall, end Record) {
	if end.Kind == ResponseReceived {
		call.responses++
		if call.responses > 1 {
			c.violation(&c.verdict.DuplicateResponses, "duplicate response", "%s at %.3f: a second response", call.request.RequestID, end.At)
			return
		}
	}
	if !call.ended {
		call.ended, call.end = true, end
	}
}

// countEnd counts a call by the way in which it ended.
func (c *checker) countEnd(call *clientCall) {
	switch {
	case !call.ended:
		c.violation(&c.verdict.Unanswered, "no response", "%s sent at %.3f to %s", call.request.RequestID, call.request.At, call.request.FrontEnd)
	case call.end.Kind == ClientCancelled:
		c.verdict.Cancelled++
	case call.end.Kind == ConnectionLost:
		c.verdict.ConnectionsLost++
	case call.end.At-call.request.At > call.request.Timeout:
		c.violation(&c.verdict.Unanswered, "response overdue", "%s: response %.3f s after the request, timeout %.3f s",
			call.request.RequestID, call.end.At-call.request.At, call.request.Timeout)
	default:
		if accepted := c.countOutcome(call.end.Outcome); !accepted {
			return
		}
	}
	c.verdict.Requests++
}

// countOutcome counts a response that was received in time, and reports whether the request had been accepted.
func (c *checker) countOutcome(outcome string) bool {
	switch outcome {
	case Succeeded:
		c.verdict.Succeeded++
	case Rejected:
		c.verdict.Rejected++
	case Failed:
		c.verdict.Failed++
	default:
		c.verdict.Invalid++
		return false
	}
	return true
}

// checkClientIsWaiting checks that a client is waiting for the request when an attempt of it reaches a worker. Requests
// without a recorded client are exempt because tests may send attempts to workers directly.
func (c *checker) checkClientIsWaiting(attempt Record, calls []*clientCall) {
	if len(calls) == 0 {
		return
	}
	grace := c.rules.ObservationDelay
	for _, call := range calls {
		if call.request.At <= attempt.At+grace && (!call.ended || attempt.At <= call.end.At+grace) {
			return
		}
	}
	c.violation(&c.verdict.AttemptsAfterEnd, "attempt after end", "%s reached %s at %.3f, when no client was waiting for it", attempt.RequestID,
		attempt.Worker, attempt.At)
}

// checkDeadline checks that the timeout of an attempt does not exceed the longest remaining time of the request's clients by
// more than DeadlineSlack.
func (c *checker) checkDeadline(attempt Record, calls []*clientCall) {
	if c.rules.DeadlineSlack == 0 || attempt.Timeout == 0 || len(calls) == 0 {
		return
	}
	remaining := 0.0
	for _, call := range calls {
		remaining = max(remaining, call.request.At+call.request.Timeout-attempt.At)
	}
	if attempt.Timeout > remaining+c.rules.DeadlineSlack {
		c.violation(&c.verdict.ExcessDeadlines, "deadline", "%s reached %s at %.3f with a timeout of %.3f s, its client has %.3f s remaining",
			attempt.RequestID, attempt.Worker, attempt.At, attempt.Timeout, remaining)
	}
}
