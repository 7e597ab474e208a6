package invariants

import "math"

// attempt is one attempt of a request at a worker.
type attempt struct {
	from, to float64
	start    Record
}

// executions holds the attempts and executions of each request, ordered by time.
type executions struct {
	requests []string // ordered by their first attempts
	attempts map[string][]*attempt
	executed map[string][]Record
}

// checkExecutions checks rule 2: a request has one attempt in flight at a time, a request that is not idempotent is not
// executed twice, and an at-most-once request that was executed is not rejected.
func (c *checker) checkExecutions(records []Record) {
	byRequest := collectExecutions(records)
	for _, id := range byRequest.requests {
		c.checkConcurrentAttempts(id, byRequest.attempts[id])
		c.checkDuplicateExecution(id, byRequest.attempts[id], byRequest.executed[id])
	}
	for _, r := range records {
		if r.Kind == ResponseReceived && r.Outcome == Rejected && c.rules.Semantics[r.Class] == semanticsAtMostOnce {
			c.checkRejection(r, byRequest.executed[r.RequestID])
		}
	}
}

func collectExecutions(records []Record) *executions {
	x := &executions{attempts: map[string][]*attempt{}, executed: map[string][]Record{}}
	byID := map[uint64]*attempt{}
	for _, r := range records {
		switch r.Kind {
		case AttemptStarted:
			a := &attempt{from: r.At, to: math.Inf(1), start: r}
			byID[r.CallID] = a
			if x.attempts[r.RequestID] == nil {
				x.requests = append(x.requests, r.RequestID)
			}
			x.attempts[r.RequestID] = append(x.attempts[r.RequestID], a)
		case AttemptEnded:
			if a := byID[r.CallID]; a != nil {
				a.to = r.At
			}
		case Executed:
			x.executed[r.RequestID] = append(x.executed[r.RequestID], r)
		default: // not part of this check
		}
	}
	return x
}

// checkConcurrentAttempts checks that each attempt starts after the end of the previous one.
func (c *checker) checkConcurrentAttempts(id string, attempts []*attempt) {
	for i := 1; i < len(attempts); i++ {
		previous, next := attempts[i-1], attempts[i]
		if c.rules.IndependentFrontEnds && next.start.FrontEnd != previous.start.FrontEnd {
			continue
		}
		if next.from < previous.to-c.rules.ObservationDelay {
			c.violation(&c.verdict.ConcurrentAttempts, "concurrent attempts", "%s at %s from %.3f to %.3f, and at %s from %.3f", id,
				previous.start.Worker, previous.from, previous.to, next.start.Worker, next.from)
		}
	}
}

// checkDuplicateExecution checks that a request that is not idempotent was executed once, and that no later attempt
// could have executed it again.
func (c *checker) checkDuplicateExecution(id string, attempts []*attempt, executed []Record) {
	if len(executed) == 0 {
		return
	}
	class := attempts[0].start.Class
	semantics := c.rules.Semantics[class]
	firstExecution, lastAttempt := executed[0].At, attempts[len(attempts)-1].from
	if len(executed) > 1 && semantics != semanticsIdempotent {
		c.violation(&c.verdict.DuplicateExecutions, "duplicate execution", "%s (%s) executed %d times, first at %.3f, last at %.3f",
			id, semantics, len(executed), firstExecution, executed[len(executed)-1].At)
	}
	if semantics == semanticsAtMostOnce && lastAttempt > firstExecution {
		c.violation(&c.verdict.DuplicateExecutions, "retry after execution", "%s executed at %.3f and attempted again at %.3f", id,
			firstExecution, lastAttempt)
	}
	if semantics == semanticsIdempotentByKey && lastAttempt > firstExecution+c.rules.DeduplicationWindow[class]+c.rules.ObservationDelay {
		c.violation(&c.verdict.DuplicateExecutions, "retry past the deduplication window", "%s executed at %.3f and attempted again at %.3f",
			id, firstExecution, lastAttempt)
	}
}

// checkRejection checks that an at-most-once request had not been executed when it was rejected.
func (c *checker) checkRejection(response Record, executed []Record) {
	for _, execution := range executed {
		if execution.At <= response.At {
			c.violation(&c.verdict.WrongRejections, "rejected after execution", "%s executed at %.3f and rejected at %.3f",
				response.RequestID, execution.At, response.At)
			return
		}
	}
}
