package invariants

import "math"

// attempt is one attempt of a request at a worker.
type attempt struct {
	startedAt, endedAt float64
	start              Record
}

// executions holds the attempts and executions of each request, by request ID and ordered by time.
type executions struct {
	requests []string // ordered by their first attempts
	attempts map[string][]*attempt
	executed map[string][]Record
}

// checkExecutions checks rule 2: a request has at most one attempt in flight, a request that is not idempotent is executed at
// most once, and an at-most-once request that was executed is not rejected.
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
	collected := &executions{attempts: map[string][]*attempt{}, executed: map[string][]Record{}}
	byID := map[uint64]*attempt{}
	for _, r := range records {
		switch r.Kind {
		case AttemptStarted:
			a := &attempt{startedAt: r.At, endedAt: math.Inf(1), start: r}
			byID[r.CallID] = a
			if collected.attempts[r.RequestID] == nil {
				collected.requests = append(collected.requests, r.RequestID)
			}
			collected.attempts[r.RequestID] = append(collected.attempts[r.RequestID], a)
		case AttemptEnded:
			if a := byID[r.CallID]; a != nil {
				a.endedAt = r.At
			}
		case Executed:
			collected.executed[r.RequestID] = append(collected.executed[r.RequestID], r)
		default: // not part of this check
		}
	}
	return collected
}

// checkConcurrentAttempts checks that each attempt starts after the previous one has ended.
func (c *checker) checkConcurrentAttempts(id string, attempts []*attempt) {
	for i := 1; i < len(attempts); i++ {
		previous, next := attempts[i-1], attempts[i]
		if c.rules.IndependentFrontEnds && next.start.FrontEnd != previous.start.FrontEnd {
			continue
		}
		if next.startedAt < previous.endedAt-c.rules.ObservationDelay {
			c.violation(&c.verdict.ConcurrentAttempts, "concurrent attempts", "%s at %s from %.3f to %.3f, and at %s from %.3f", id,
				previous.start.Worker, previous.startedAt, previous.endedAt, next.start.Worker, next.startedAt)
		}
	}
}

// checkDuplicateExecution checks that a request that is not idempotent was executed at most once, and that no later attempt
// could have executed it again: an at-most-once request is not attempted after its execution, and a keyed request not after
// its deduplication window.
func (c *checker) checkDuplicateExecution(id string, attempts []*attempt, executed []Record) {
	if len(executed) == 0 {
		return
	}
	class := attempts[0].start.Class
	semantics := c.rules.Semantics[class]
	firstExecution, lastAttempt := executed[0].At, attempts[len(attempts)-1].startedAt
	if len(executed) > 1 && semantics != semanticsIdempotent {
		c.violation(&c.verdict.DuplicateExecutions, "duplicate execution", "%s (%s) executed %d times, first at %.3f, last at %.3f",
			id, semantics, len(executed), firstExecution, executed[len(executed)-1].At)
	}
	if semantics == semanticsAtMostOnce && lastAttempt > firstExecution {
		c.violation(&c.verdict.DuplicateExecutions, "retry after execution", "%s was executed at %.3f and attempted again at %.3f", id,
			firstExecution, lastAttempt)
	}
	if semantics == semanticsIdempotentByKey && lastAttempt > firstExecution+c.rules.DeduplicationWindow[class]+c.rules.ObservationDelay {
		c.violation(&c.verdict.DuplicateExecutions, "retry past the deduplication window", "%s was executed at %.3f and attempted again at %.3f",
			id, firstExecution, lastAttempt)
	}
}

// checkRejection checks that an at-most-once request had not been executed when it was rejected.
func (c *checker) checkRejection(response Record, executed []Record) {
	for _, execution := range executed {
		if execution.At <= response.At {
			c.violation(&c.verdict.WrongRejections, "rejected after execution", "%s was executed at %.3f and rejected at %.3f",
				response.RequestID, execution.At, response.At)
			return
		}
	}
}
