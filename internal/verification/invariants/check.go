package invariants

import (
	"fmt"
	"sort"
)

// maxViolationsPerKind is the maximum number of violations of one kind that are described. All of them are counted.
const maxViolationsPerKind = 3

// Check checks a complete recording. It sorts records by time in place.
func Check(rules Rules, records []Record) Verdict {
	c := &checker{rules: rules, described: map[string]int{}}
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

// checker holds the rules and the findings of one Check.
type checker struct {
	rules     Rules
	verdict   Verdict
	described map[string]int // number of violations by kind
}

// violation increments a counter of the verdict, and describes the violation if it is among the first of its kind.
func (c *checker) violation(count *int, kind, format string, args ...any) {
	*count++
	c.described[kind]++
	if c.described[kind] <= maxViolationsPerKind {
		c.verdict.Violations = append(c.verdict.Violations, kind+": "+fmt.Sprintf(format, args...))
	}
}

// frontEndWorker identifies a worker as seen by one front end, or by all of them if frontEnd is empty.
type frontEndWorker struct{ frontEnd, worker string }

// lookupTime returns the time recorded for a front end and a worker, or else the one that holds for all front ends.
func lookupTime(times map[frontEndWorker]float64, frontEnd, worker string) (float64, bool) {
	if at, ok := times[frontEndWorker{frontEnd, worker}]; ok {
		return at, true
	}
	at, ok := times[frontEndWorker{"", worker}]
	return at, ok
}
