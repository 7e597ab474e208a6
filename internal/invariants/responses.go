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
		byRequest[x.request.Event] = append(byRequest[x.request.Event], x)
		c.countEnd(x)
	}
	for _, r := range records {
		if r.Kind == Launched {
			c.verdict.Launches++
			c.checkAttemptIsAwaited(r, byRequest[r.Event])
		}
	}
}

// collectCalls matches requests with their ends, in the order of the requests.
func (c *checker) collectCalls(records []Record) []*call {
	byID := map[uint64]*call{}
	var calls []*call
	for _, r := range records {
		switch r.Kind {
		case Asked:
			x := &call{request: r}
			byID[r.Call] = x
			calls = append(calls, x)
		case Answered, ClientCancelled, Lost:
			x := byID[r.Call]
			if x == nil {
				c.violation(&c.verdict.Twice, "answer", "call %d: %s without an ask", r.Call, r.Kind)
				continue
			}
			c.endCall(x, r)
		}
	}
	return calls
}

// endCall notes the end of a call. The first one counts, and a second response is a violation.
func (c *checker) endCall(x *call, end Record) {
	if end.Kind == Answered {
		x.responses++
		if x.responses > 1 {
			c.violation(&c.verdict.Twice, "twice", "%s at %.3f: a second answer", x.request.Event, end.At)
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
		c.violation(&c.verdict.Unanswered, "unanswered", "%s asked at %.3f of %s", x.request.Event, x.request.At, x.request.Front)
	case x.end.Kind == ClientCancelled:
		c.verdict.Left++
	case x.end.Kind == Lost:
		c.verdict.Lost++
	case x.end.At-x.request.At > x.request.Wait:
		c.violation(&c.verdict.Unanswered, "late", "%s answered %.3f s after its ask, its client waited %.3f", x.request.Event,
			x.end.At-x.request.At, x.request.Wait)
	default:
		if accepted := c.countOutcome(x.end.Outcome); !accepted {
			return
		}
	}
	c.verdict.Events++
}

// countOutcome counts a response in time, and returns whether the request had been accepted.
func (c *checker) countOutcome(outcome string) (accepted bool) {
	switch outcome {
	case Handled:
		c.verdict.Handled++
	case Deferred:
		c.verdict.Deferred++
	case DeadLettered:
		c.verdict.DeadLettered++
	default:
		c.verdict.Refused++
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
	grace := c.rules.Grace
	for _, x := range calls {
		if x.request.At <= attempt.At+grace && (!x.ended || attempt.At <= x.end.At+grace) {
			return
		}
	}
	c.violation(&c.verdict.AfterEnd, "after end", "%s reached %s at %.3f, when nobody asked for it", attempt.Event,
		attempt.Worker, attempt.At)
}
