package invariants

// call is one request of one client.
type call struct {
	request   Record
	end       Record
	ended     bool
	responses int
}

// checkResponses checks rule 1: each accepted request gets exactly one final response before its client's timeout, and
// no attempt of it is started after its last client has ended.
func (c *checker) checkResponses(records []Record) {
	calls := c.collectCalls(records)
	byRequest := map[string][]*call{}
	for _, x := range calls {
		byRequest[x.request.RequestID] = append(byRequest[x.request.RequestID], x)
		c.countEnd(x)
	}
	for _, r := range records {
		if r.Kind == AttemptStarted {
			c.verdict.Attempts++
			c.checkAttemptIsAwaited(r, byRequest[r.RequestID])
			c.checkDeadline(r, byRequest[r.RequestID])
		}
	}
}

// collectCalls matches requests with their ends. The calls are in the order of the requests.
func (c *checker) collectCalls(records []Record) []*call {
	byID := map[uint64]*call{}
	var calls []*call
	for _, r := range records {
		switch r.Kind {
		case RequestSent:
			x := &call{request: r}
			byID[r.CallID] = x
			calls = append(calls, x)
		case ResponseReceived, ClientCancelled, ConnectionLost:
			x := byID[r.CallID]
			if x == nil {
				c.violation(&c.verdict.DuplicateResponses, "response", "call %d: %s without a request", r.CallID, r.Kind)
				continue
			}
			c.endCall(x, r)
		default: // not part of this check
		}
	}
	return calls
}

// endCall records the end of a call. Only the first one counts; a second response is a violation.
func (c *checker) endCall(x *call, end Record) {
	if end.Kind == ResponseReceived {
		x.responses++
		if x.responses > 1 {
			c.violation(&c.verdict.DuplicateResponses, "duplicate response", "%s at %.3f: a second response", x.request.RequestID, end.At)
			return
		}
	}
	if !x.ended {
		x.ended, x.end = true, end
	}
}

// countEnd counts a call by its end.
func (c *checker) countEnd(x *call) {
	switch {
	case !x.ended:
		c.violation(&c.verdict.Unanswered, "no response", "%s sent at %.3f to %s", x.request.RequestID, x.request.At, x.request.FrontEnd)
	case x.end.Kind == ClientCancelled:
		c.verdict.Cancelled++
	case x.end.Kind == ConnectionLost:
		c.verdict.ConnectionsLost++
	case x.end.At-x.request.At > x.request.Timeout:
		c.violation(&c.verdict.Unanswered, "response overdue", "%s: response %.3f s after the request, timeout %.3f",
			x.request.RequestID, x.end.At-x.request.At, x.request.Timeout)
	default:
		if accepted := c.countOutcome(x.end.Outcome); !accepted {
			return
		}
	}
	c.verdict.Requests++
}

// countOutcome counts a response in time, and reports whether the request had been accepted.
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

// checkAttemptIsAwaited checks that a client waits for the request when an attempt of it reaches a worker. Requests
// without a recorded client are exempt, as tests may send attempts to workers directly.
func (c *checker) checkAttemptIsAwaited(attempt Record, calls []*call) {
	if len(calls) == 0 {
		return
	}
	grace := c.rules.ObservationDelay
	for _, x := range calls {
		if x.request.At <= attempt.At+grace && (!x.ended || attempt.At <= x.end.At+grace) {
			return
		}
	}
	c.violation(&c.verdict.AttemptsAfterEnd, "attempt after end", "%s reached %s at %.3f, when no client waited for it", attempt.RequestID,
		attempt.Worker, attempt.At)
}

// checkDeadline checks that the timeout which an attempt states is not longer than the remaining time of its clients.
func (c *checker) checkDeadline(attempt Record, calls []*call) {
	if c.rules.DeadlineSlack == 0 || attempt.Timeout == 0 || len(calls) == 0 {
		return
	}
	left := 0.0
	for _, x := range calls {
		left = max(left, x.request.At+x.request.Timeout-attempt.At)
	}
	if attempt.Timeout > left+c.rules.DeadlineSlack {
		c.violation(&c.verdict.ExcessDeadlines, "deadline", "%s reached %s at %.3f with a timeout of %.3f s, its client has %.3f s left",
			attempt.RequestID, attempt.Worker, attempt.At, attempt.Timeout, left)
	}
}
