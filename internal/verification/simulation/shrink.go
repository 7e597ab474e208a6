package simulation

import (
	"errors"
	"slices"
	"strings"
)

// ErrNoViolation is the error of shrinking a script that breaks nothing.
var ErrNoViolation = errors.New("the script breaks nothing")

// maxShrinkRuns limits the runs of one Shrink.
const maxShrinkRuns = 400

// Shrink reduces a script that breaks something to a smaller one that breaks the same kind of thing: fewer faults by
// halves and one by one (delta debugging, Zeller and Hildebrandt 2002), then fewer appliances, workers, clients and
// requests, then shorter. It returns how many runs that took.
func Shrink(s *Script) (small *Script, r *Report, runs int, err error) {
	r, _, err = Play(s, nil)
	if err != nil {
		return nil, nil, 1, err
	}
	if r.OK() {
		return nil, r, 1, ErrNoViolation
	}
	x := &shrinker{violation: violationKind(r.Findings[0]), best: *s, report: r, runs: 1}
	x.removeFaults()
	for x.reduceSizes() {
	}
	x.removeFaults()
	x.shortenFaults()
	return &x.best, x.report, x.runs, nil
}

// shrinker is a search for a smaller script.
type shrinker struct {
	violation string // the kind that the script is to keep
	best      Script
	report    *Report // of best
	runs      int
}

// violationKind returns the kind of a violation from its description.
func violationKind(description string) string {
	kind, _, _ := strings.Cut(description, ":")
	kind, _, _ = strings.Cut(kind, " at ")
	return kind
}

// try plays a candidate, and takes it where it still breaks the same kind of thing.
func (x *shrinker) try(candidate Script) bool {
	if x.runs >= maxShrinkRuns || candidate.Check() != nil {
		return false
	}
	x.runs++
	r, _, err := Play(&candidate, nil)
	if err != nil {
		return false
	}
	if !slices.ContainsFunc(r.Findings, func(b string) bool { return violationKind(b) == x.violation }) {
		return false
	}
	x.best, x.report = candidate, r
	return true
}

// removeFaults removes parts of the faults, of a size that halves where no part can go.
func (x *shrinker) removeFaults() {
	for parts := 2; len(x.best.Faults) > 0; {
		size := (len(x.best.Faults) + parts - 1) / parts
		switch {
		case x.removeOnePart(size):
			parts = max(parts-1, 2)
		case size == 1:
			return
		default:
			parts = min(parts*2, len(x.best.Faults))
		}
	}
}

// removeOnePart removes the first part of so many faults that can go.
func (x *shrinker) removeOnePart(size int) bool {
	faults := x.best.Faults
	for from := 0; from < len(faults); from += size {
		candidate := x.best
		candidate.Faults = append(slices.Clone(faults[:from]), faults[min(from+size, len(faults)):]...)
		if x.try(candidate) {
			return true
		}
	}
	return false
}

// reduction makes a script smaller in one way, and returns whether it did.
type reduction func(s *Script) bool

var reductions = []reduction{
	func(s *Script) bool { return setSmaller(&s.Timers, 0) },
	func(s *Script) bool { return setSmaller(&s.FrontEndsPerAppliance, 1) },
	func(s *Script) bool { return setSmaller(&s.Appliances, s.Appliances-1) },
	func(s *Script) bool { return setSmaller(&s.Workers, s.Workers-1) },
	func(s *Script) bool { return setSmaller(&s.Clients, s.Clients-1) },
	func(s *Script) bool { return setSmaller(&s.Functions, max(s.Functions/2, 1)) },
	func(s *Script) bool {
		s.Rate /= 2
		return s.Rate >= 1
	},
	func(s *Script) bool { return setSmaller(&s.LimitLoads, false) },
	func(s *Script) bool { return setSmaller(&s.ColdStart, false) },
	func(s *Script) bool {
		s.Seconds--
		return true
	},
}

func setSmaller[T comparable](value *T, smaller T) bool {
	changed := *value != smaller
	*value = smaller
	return changed
}

// reduceSizes tries each reduction once, and returns whether any was taken.
func (x *shrinker) reduceSizes() bool {
	reduced := false
	for _, reduce := range reductions {
		candidate := x.best
		if reduce(&candidate) && x.try(candidate) {
			reduced = true
		}
	}
	return reduced
}

// shortenFaults takes the duration off faults, or half of it.
func (x *shrinker) shortenFaults() {
	for i := range x.best.Faults {
		for _, share := range []float64{0, 0.5} {
			candidate := x.best
			candidate.Faults = slices.Clone(x.best.Faults)
			fault := &candidate.Faults[i]
			fault.Duration *= share
			if fault.Duration != x.best.Faults[i].Duration && x.try(candidate) {
				break
			}
		}
	}
}
