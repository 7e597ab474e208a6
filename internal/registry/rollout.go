package registry

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/opencontainers/go-digest"

	"streamcleat/internal/stablehash"
)

// Rollout is the gradual move of an alias between two versions: the alias names To for canary requests and From for all
// others. Rollouts are stored in their JSON form.
type Rollout struct {
	Function             string        `json:"function"`
	Alias                string        `json:"alias"`
	From                 digest.Digest `json:"from"`
	To                   digest.Digest `json:"to"`
	CanaryFraction       float64       `json:"share"`             // fraction of requests that resolve to To
	Tenants              []string      `json:"tenants,omitempty"` // tenants whose requests always resolve to To
	Steps                []float64     `json:"steps,omitempty"`   // canary fractions to advance through automatically
	StepDuration         float64       `json:"hold_s,omitempty"`  // minimum duration of a step in seconds
	MinResponses         int           `json:"least,omitempty"`   // minimum number of responses from To in a step
	MaxExcessFailureRate float64       `json:"most_bad"`          // rollback if the failure rate of To exceeds that of From by more

	stepStartedAt float64
	fromResults   resultCounts // since the start of the current step
	toResults     resultCounts
}

// resultCounts counts the responses from a version.
type resultCounts struct {
	succeeded int
	failed    int // failures caused by the version
}

func (c *resultCounts) total() int { return c.succeeded + c.failed }

func (c *resultCounts) failureRate() float64 {
	if c.total() == 0 {
		return 0
	}
	return float64(c.failed) / float64(c.total())
}

func (c *resultCounts) add(failed bool) {
	if failed {
		c.failed++
	} else {
		c.succeeded++
	}
}

// rolloutActor is the actor of automatic changes in the audit trail.
const rolloutActor = "rollout"

// startRollout starts a rollout, or the next step of the current rollout.
func (r *Registry) startRollout(rollout Rollout, now float64) error {
	f, _, err := r.findUsable(rollout.Function, rollout.To)
	if err != nil {
		return err
	}
	from, ok := f.aliases[rollout.Alias]
	if !ok {
		return &ChangeError{
			Change: changeAlias, Function: rollout.Function, Name: rollout.Alias,
			Err: fmt.Errorf("%w; a rollout requires an alias that names a version", ErrUnknown),
		}
	}
	if from == rollout.To {
		return fmt.Errorf("alias %s:%s already names that version", rollout.Function, rollout.Alias)
	}
	if err := rollout.validate(); err != nil {
		return &ChangeError{Change: changeRollout, Function: rollout.Function, Name: rollout.Alias, Err: err}
	}
	rollout.From = from
	rollout.stepStartedAt = now
	if len(rollout.Steps) > 0 && rollout.CanaryFraction == 0 {
		rollout.CanaryFraction = rollout.Steps[0]
	}
	f.rollouts[rollout.Alias] = &rollout
	return nil
}

func (ro *Rollout) validate() error {
	previous := 0.0
	for _, step := range append(slices.Clone(ro.Steps), 1) {
		if step < previous || step > 1 {
			return errors.New("steps must be ascending and at most 1")
		}
		previous = step
	}
	if ro.CanaryFraction < 0 || ro.CanaryFraction > 1 || ro.StepDuration < 0 || ro.MinResponses < 0 || ro.MaxExcessFailureRate < 0 || ro.MaxExcessFailureRate > 1 {
		return errors.New("share and most_bad must be between 0 and 1, and hold_s and least must not be negative")
	}
	return nil
}

// isCanary reports whether a request resolves to the new version.
func (ro *Rollout) isCanary(tenant, requestID string) bool {
	return slices.Contains(ro.Tenants, tenant) || rolloutPosition(ro.Function, requestID) < ro.CanaryFraction
}

// rolloutPosition maps a request to a fixed position in [0, 1). The request resolves to the new version if its position is
// below the canary fraction.
func rolloutPosition(function, requestID string) float64 {
	const significantBits = 53 // significand of a float64
	return float64(stablehash.Pair(function, requestID)>>(64-significantBits)) / (1 << significantBits)
}

// Rollback returns the update that moves an alias back: to the old version of its rollout if there is one, otherwise to
// the version that it named before its last update.
func (r *Registry) Rollback(function, alias string) (AliasUpdate, error) {
	f := r.functions[function]
	if f == nil {
		return AliasUpdate{}, unknownFunctionError(function)
	}
	if rollout := f.rollouts[alias]; rollout != nil {
		return AliasUpdate{Function: function, Alias: alias, Digest: rollout.From}, nil
	}
	previous := f.previousDigests[alias]
	if previous == "" {
		return AliasUpdate{}, fmt.Errorf("alias %s:%s has no previous version", function, alias)
	}
	return AliasUpdate{Function: function, Alias: alias, Digest: previous}, nil
}

// RecordResult counts a response from a version in the rollouts from or to it. failed means that the version caused the
// request to fail.
func (r *Registry) RecordResult(function string, d digest.Digest, failed bool) {
	f := r.functions[function]
	if f == nil {
		return
	}
	for _, rollout := range f.rollouts {
		switch d {
		case rollout.From:
			rollout.fromResults.add(failed)
		case rollout.To:
			rollout.toResults.add(failed)
		}
	}
}

// AdvanceRollouts returns the entries that advance, complete or roll back rollouts at now, ordered by the first publication
// of their functions and then by alias. It does not change the registry: the caller stores the entries and passes them to
// Apply.
func (r *Registry) AdvanceRollouts(now float64) []Entry {
	var due []Entry
	for _, function := range r.functionNames {
		f := r.functions[function]
		for _, alias := range slices.Sorted(maps.Keys(f.rollouts)) {
			if entry, ok := f.rollouts[alias].advance(now); ok {
				due = append(due, entry)
			}
		}
	}
	return due
}

// advance returns the entry that is due for a rollout at now, if any. The first rule that applies decides:
//   - The rollout rolls back if there are enough responses and the excess failure rate of the new version is too high.
//   - It waits if it has no steps, the current step has not lasted long enough or there are not enough responses.
//   - It advances to the next step, or after the last one to all requests.
//   - After a step with all requests it completes: the alias moves to the new version.
//
// The reasons are stored in the audit trail.
func (ro *Rollout) advance(now float64) (Entry, bool) {
	entry := Entry{At: now, Actor: rolloutActor}
	responses := ro.toResults.total()
	excess := ro.toResults.failureRate() - ro.fromResults.failureRate()
	if responses > 0 && responses >= ro.MinResponses && excess > ro.MaxExcessFailureRate {
		entry.AliasUpdate = ro.aliasUpdateTo(ro.From)
		entry.Reason = fmt.Sprintf("%d of %d answers were bad, %.2f more than of the version before", ro.toResults.failed, responses, excess)
		return entry, true
	}
	if len(ro.Steps) == 0 || now-ro.stepStartedAt < ro.StepDuration || responses < ro.MinResponses {
		return Entry{}, false
	}
	if next := ro.nextFraction(); ro.CanaryFraction < 1 && next > ro.CanaryFraction {
		nextStep := *ro
		nextStep.CanaryFraction = next
		nextStep.fromResults = resultCounts{}
		nextStep.toResults = resultCounts{}
		entry.Rollout = &nextStep
		entry.Reason = fmt.Sprintf("it has held at %.2f", ro.CanaryFraction)
		return entry, true
	}
	entry.AliasUpdate = ro.aliasUpdateTo(ro.To)
	entry.Reason = "it has held at every step"
	return entry, true
}

func (ro *Rollout) aliasUpdateTo(d digest.Digest) *AliasUpdate {
	return &AliasUpdate{Function: ro.Function, Alias: ro.Alias, Digest: d}
}

// nextFraction returns the canary fraction of the next step, or 1 after the last step.
func (ro *Rollout) nextFraction() float64 {
	for _, fraction := range ro.Steps {
		if fraction > ro.CanaryFraction {
			return fraction
		}
	}
	return 1
}
