package invariants

// call is one request by one client, with its end.
type call struct {
	request   Record
	end       Record
	ended     bool
	responses int
}

// checkResponses checks rule 1: each accepted request gets exactly one final response before its client's time is up,
// and nothing is sent for it after its last waiter had one.
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

// collectCalls matches requests with their ends, in the order of the requests.
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
				c.violation(&c.verdict.DuplicateResponses, "answer", "call %d: %s without an ask", r.CallID, r.Kind)
				continue
			}
			c.endCall(x, r)
		}
	}
	return calls
}

// endCall notes the end of a call. The first one counts, and a second response is a violation.
func (c *checker) endCall(x *call, end Record) {
	if end.Kind == ResponseReceived {
		x.responses++
		if x.responses > 1 {
			c.violation(&c.verdict.DuplicateResponses, "twice", "%s at %.3f: a second answer", x.request.RequestID, end.At)
			return
		}
	}
	if !x.ended {
		x.ended, x.end = true, end
	}
}

// countEnd counts how a call ended.
func (c *checker) countEnd(x *call) {
	switch {
	case !x.ended:
		c.violation(&c.verdict.Unanswered, "unanswered", "%s asked at %.3f of %s", x.request.RequestID, x.request.At, x.request.FrontEnd)
	case x.end.Kind == ClientCancelled:
		c.verdict.Cancelled++
	case x.end.Kind == ConnectionLost:
		c.verdict.ConnectionsLost++
	case x.end.At-x.request.At > x.request.Timeout:
		c.violation(&c.verdict.Unanswered, "late", "%s answered %.3f s after its ask, its client waited %.3f", x.request.RequestID,
			x.end.At-x.request.At, x.request.Timeout)
	default:
		if accepted := c.countOutcome(x.end.Outcome); !accepted {
			return
		}
	}
	c.verdict.Requests++
}

// countOutcome counts a response in time, and returns whether the request had been accepted.
func (c *checker) countOutcome(outcome string) (accepted bool) {
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
// without any recorded client are exempt: workers may be driven without one.
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
	c.violation(&c.verdict.AttemptsAfterEnd, "after end", "%s reached %s at %.3f, when nobody asked for it", attempt.RequestID,
		attempt.Worker, attempt.At)
}

// checkDeadline checks that the time which an attempt states is at most what some client that waits for it has left.
func (c *checker) checkDeadline(attempt Record, calls []*call) {
	if c.rules.DeadlineSlack == 0 || attempt.Timeout == 0 || len(calls) == 0 {
		return
	}
	left := 0.0
	for _, x := range calls {
		left = max(left, x.request.At+x.request.Timeout-attempt.At)
	}
	if attempt.Timeout > left+c.rules.DeadlineSlack {
		c.violation(&c.verdict.ExcessDeadlines, "deadline", "%s reached %s at %.3f and states %.3f s, its client has %.3f s left",
			attempt.RequestID, attempt.Worker, attempt.At, attempt.Timeout, left)
	}
}
