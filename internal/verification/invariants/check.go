package invariants

import (
	"fmt"
	"sort"
)

// maxViolationsPerKind is the maximum number of violations of one kind that Verdict.Violations describes. The counters include
// all violations.
const maxViolationsPerKind = 3

// Check checks a complete recording against the rules. It sorts records by time in place.
func Check(rules Rules, records []Record) Verdict {
	c := &checker{rules: rules, countByKind: map[string]int{}}
	sort.SliceStable(records, func(a, b int) bool { return records[a].At < records[b].At })
	c.checkResponses(records)
	c.checkExecutions(records)
	c.checkDraining(records)
	c.checkWarmUp(records)
	c.checkLoadCommands(records)
	c.checkVersions(records)
	c.verdict.RulesBroken = c.verdict.countBroken()
	return c.verdict
}

// checker holds the rules and the results of one call of Check.
type checker struct {
	rules       Rules
	verdict     Verdict
	countByKind map[string]int // violations found, by kind
}

// violation increments a counter of the verdict, and adds a description unless there are already enough of that kind.
func (c *checker) violation(count *int, kind, format string, args ...any) {
	*count++
	c.countByKind[kind]++
	if c.countByKind[kind] <= maxViolationsPerKind {
		c.verdict.Violations = append(c.verdict.Violations, kind+": "+fmt.Sprintf(format, args...))
	}
}

// frontEndWorker identifies a worker as seen by one front end, or by all of them if frontEnd is empty.
type frontEndWorker struct{ frontEnd, worker string }

// lookupTime returns the time recorded for a worker and a front end. If there is none, it returns the time of the worker that
// applies to all front ends.
func lookupTime(times map[frontEndWorker]float64, frontEnd, worker string) (float64, bool) {
	if at, ok := times[frontEndWorker{frontEnd, worker}]; ok {
		return at, true
	}
	at, ok := times[frontEndWorker{"", worker}]
	return at, ok
}
