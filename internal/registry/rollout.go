package registry

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/opencontainers/go-digest"

	"streamcleat/internal/stablehash"
)

// Rollout is a release under way: an alias names From for some requests and To for the others.
type Rollout struct {
	Function             string        `json:"function"`
	Alias                string        `json:"alias"`
	From                 digest.Digest `json:"from"`
	To                   digest.Digest `json:"to"`
	CanaryFraction       float64       `json:"share"`             // of requests that get To
	Tenants              []string      `json:"tenants,omitempty"` // whose requests get it whatever the share
	Steps                []float64     `json:"steps,omitempty"`   // shares that it goes through by itself
	StepDuration         float64       `json:"hold_s,omitempty"`  // seconds at each step before the next
	MinResponses         int           `json:"least,omitempty"`   // answers of To that a step needs
	MaxExcessFailureRate float64       `json:"most_bad"`          // share of failures, beyond that of From, at which it rolls back

	stepStartedAt float64
	fromResults   resultCounts // since the step began
	toResults     resultCounts
}

// resultCounts counts the answers of a version.
type resultCounts struct {
	succeeded int
	failed    int // by the version's fault
}

func (c resultCounts) total() int { return c.succeeded + c.failed }

func (c resultCounts) failureShare() float64 {
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

// rolloutActor is who the audit trail names for what rollouts do by themselves.
const rolloutActor = "rollout"

// startRollout begins a rollout, or goes on with the next step of one.
func (r *Registry) startRollout(rollout Rollout, now float64) error {
	f, _, err := r.findUsable(rollout.Function, rollout.To)
	if err != nil {
		return err
	}
	from, ok := f.aliases[rollout.Alias]
	if !ok {
		return &ChangeError{
			Change: changeAlias, Function: rollout.Function, Name: rollout.Alias,
			Err: fmt.Errorf("%w; a rollout goes from one version to another", ErrUnknown),
		}
	}
	if from == rollout.To {
		return fmt.Errorf("alias %s:%s names that version already", rollout.Function, rollout.Alias)
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
	last := 0.0
	for _, step := range append(slices.Clone(ro.Steps), 1) {
		if step < last || step > 1 {
			return errors.New("steps must rise and stay within 1")
		}
		last = step
	}
	if ro.CanaryFraction < 0 || ro.CanaryFraction > 1 || ro.StepDuration < 0 || ro.MinResponses < 0 || ro.MaxExcessFailureRate < 0 || ro.MaxExcessFailureRate > 1 {
		return errors.New("shares lie between 0 and 1, and hold and least are not below 0")
	}
	return nil
}

// includes reports whether a request gets the new version.
func (ro *Rollout) includes(tenant, request string) bool {
	return slices.Contains(ro.Tenants, tenant) || rolloutPosition(ro.Function, request) < ro.CanaryFraction
}

// rolloutPosition places a request between 0 and 1, by its identity alone; it gets the new version while its position is
// below the share.
func rolloutPosition(function, request string) float64 {
	const significantBits = 53 // of a float64
	return float64(stablehash.Pair(function, request)>>(64-significantBits)) / (1 << significantBits)
}

// Rollback returns the move that takes an alias back to what it named before its last move or its rollout.
func (r *Registry) Rollback(name, alias string) (AliasUpdate, error) {
	f := r.functions[name]
	if f == nil {
		return AliasUpdate{}, unknownFunction(name)
	}
	if rollout := f.rollouts[alias]; rollout != nil {
		return AliasUpdate{Function: name, Alias: alias, Digest: rollout.From}, nil
	}
	previous := f.previous[alias]
	if previous == "" {
		return AliasUpdate{}, fmt.Errorf("alias %s:%s never named anything else", name, alias)
	}
	return AliasUpdate{Function: name, Alias: alias, Digest: previous}, nil
}

// RecordResult counts an answer of a version in the rollouts from or to it. A failed one is the version's fault.
func (r *Registry) RecordResult(name string, d digest.Digest, failed bool) {
	f := r.functions[name]
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

// AdvanceRollouts returns the changes that rollouts ask for now, in the order of functions and aliases. Its entries are
// for Apply; while there are none, nothing is due.
func (r *Registry) AdvanceRollouts(now float64) []Entry {
	var due []Entry
	for _, name := range r.names {
		f := r.functions[name]
		for _, alias := range slices.Sorted(maps.Keys(f.rollouts)) {
			if entry, ok := f.rollouts[alias].advance(now); ok {
				due = append(due, entry)
			}
		}
	}
	return due
}

// advance returns the change that a rollout asks for now. The rules, in order: it rolls back where the new version fails
// more by more than it may, and enough answers were seen to say so; it waits until the step has lasted long enough and
// enough answers were seen; it goes a step on; after the last step it ends with the new version for all.
func (ro *Rollout) advance(now float64) (Entry, bool) {
	entry := Entry{At: now, Actor: rolloutActor}
	seen := ro.toResults.total()
	excess := ro.toResults.failureShare() - ro.fromResults.failureShare()
	if seen > 0 && seen >= ro.MinResponses && excess > ro.MaxExcessFailureRate {
		entry.AliasUpdate = ro.moveTo(ro.From)
		entry.Reason = fmt.Sprintf("%d of %d answers were bad, %.2f more than of the version before", ro.toResults.failed, seen, excess)
		return entry, true
	}
	if len(ro.Steps) == 0 || now-ro.stepStartedAt < ro.StepDuration || seen < ro.MinResponses {
		return Entry{}, false
	}
	if next := ro.nextShare(); ro.CanaryFraction < 1 && next > ro.CanaryFraction {
		step := *ro
		step.CanaryFraction = next
		step.fromResults = resultCounts{}
		step.toResults = resultCounts{}
		entry.Rollout = &step
		entry.Reason = fmt.Sprintf("it has held at %.2f", ro.CanaryFraction)
		return entry, true
	}
	entry.AliasUpdate = ro.moveTo(ro.To)
	entry.Reason = "it has held at every step"
	return entry, true
}

func (ro *Rollout) moveTo(d digest.Digest) *AliasUpdate {
	return &AliasUpdate{Function: ro.Function, Alias: ro.Alias, Digest: d}
}

// nextShare returns the share of the next step; 1 after the last one.
func (ro *Rollout) nextShare() float64 {
	for _, share := range ro.Steps {
		if share > ro.CanaryFraction {
			return share
		}
	}
	return 1
}
