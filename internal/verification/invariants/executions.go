package invariants

import "math"

// attempt is one attempt of a request at a worker, from its start to its end.
type attempt struct {
	from, to float64
	start    Record
}

// executions are the attempts and the executions of each request, in order of time.
type executions struct {
	requests []string // in the order of their first attempts
	attempts map[string][]*attempt
	runs     map[string][]Record
}

// checkExecutions checks rule 2: one attempt of a request at a time, no second execution of one that must not run
// twice, and no rejection of an at-most-once request that ran.
func (c *checker) checkExecutions(records []Record) {
	x := collectExecutions(records)
	for _, id := range x.requests {
		c.checkConcurrentAttempts(id, x.attempts[id])
		c.checkDuplicateExecution(id, x.attempts[id], x.runs[id])
	}
	for _, r := range records {
		if r.Kind == ResponseReceived && r.Outcome == Rejected && c.rules.Semantics[r.Class] == effectAtMostOnce {
			c.checkRejection(r, x.runs[r.RequestID])
		}
	}
}

func collectExecutions(records []Record) *executions {
	x := &executions{attempts: map[string][]*attempt{}, runs: map[string][]Record{}}
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
			x.runs[r.RequestID] = append(x.runs[r.RequestID], r)
		}
	}
	return x
}

// checkConcurrentAttempts checks that each attempt starts after the one before it ended.
func (c *checker) checkConcurrentAttempts(id string, attempts []*attempt) {
	for i := 1; i < len(attempts); i++ {
		before, next := attempts[i-1], attempts[i]
		if c.rules.IndependentFrontEnds && next.start.FrontEnd != before.start.FrontEnd {
			continue
		}
		if next.from < before.to-c.rules.ObservationDelay {
			c.violation(&c.verdict.ConcurrentAttempts, "at once", "%s at %s from %.3f to %.3f and at %s from %.3f", id, before.start.Worker,
				before.from, before.to, next.start.Worker, next.from)
		}
	}
}

// checkDuplicateExecution checks that a request that must not run twice did not, and was not sent again after its
// execution while workers could not drop the repeat.
func (c *checker) checkDuplicateExecution(id string, attempts []*attempt, runs []Record) {
	if len(runs) == 0 {
		return
	}
	class := attempts[0].start.Class
	effect := c.rules.Semantics[class]
	firstRun, lastAttempt := runs[0].At, attempts[len(attempts)-1].from
	if len(runs) > 1 && effect != effectIdempotent {
		c.violation(&c.verdict.DuplicateExecutions, "ran twice", "%s (%s) ran %d times, at %.3f and at %.3f", id, effect, len(runs),
			firstRun, runs[len(runs)-1].At)
	}
	if effect == effectAtMostOnce && lastAttempt > firstRun {
		c.violation(&c.verdict.DuplicateExecutions, "relaunched", "%s ran at %.3f and was launched again at %.3f", id, firstRun, lastAttempt)
	}
	if effect == effectIdempotentByKey && lastAttempt > firstRun+c.rules.DeduplicationWindow[class]+c.rules.ObservationDelay {
		c.violation(&c.verdict.DuplicateExecutions, "past memory", "%s ran at %.3f and was launched again at %.3f", id, firstRun, lastAttempt)
	}
}

// checkRejection checks that an at-most-once request which was rejected for a retry had not run by then.
func (c *checker) checkRejection(response Record, runs []Record) {
	for _, run := range runs {
		if run.At <= response.At {
			c.violation(&c.verdict.WrongRejections, "deferred", "%s ran at %.3f and was deferred at %.3f", response.RequestID, run.At,
				response.At)
			return
		}
	}
}
