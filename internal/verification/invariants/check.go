package invariants

import (
	"fmt"
	"sort"
)

// maxViolationsPerKind limits how many violations of one kind are described; all of them are counted.
const maxViolationsPerKind = 3

// Check checks a whole recording. It sorts records by time in place.
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

// checker carries the rules and what was found so far through the checks.
type checker struct {
	rules     Rules
	verdict   Verdict
	described map[string]int // violations by kind
}

// violation adds one to a count of the verdict and describes the first ones of each kind.
func (c *checker) violation(count *int, kind, format string, args ...any) {
	*count++
	c.described[kind]++
	if c.described[kind] <= maxViolationsPerKind {
		c.verdict.Violations = append(c.verdict.Violations, kind+": "+fmt.Sprintf(format, args...))
	}
}

// frontEndWorker names a worker as one front end sees it. An empty front end stands for all of them.
type frontEndWorker struct{ frontEnd, worker string }

// timeFor looks up what a front end knows of a worker, or what holds for all front ends.
func timeFor(times map[frontEndWorker]float64, frontEnd, worker string) (at float64, ok bool) {
	if at, ok = times[frontEndWorker{frontEnd, worker}]; ok {
		return at, true
	}
	at, ok = times[frontEndWorker{"", worker}]
	return at, ok
}
