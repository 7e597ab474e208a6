package simulation

import (
	"errors"
	"slices"
	"strings"

	"streamcleat/internal/units"
)

// ErrNoViolation is returned by Shrink for a script without violations.
var ErrNoViolation = errors.New("script has no violation")

// maxShrinkRuns is the maximum number of runs of one Shrink.
const maxShrinkRuns = 400

// Shrink reduces a script with a violation to a smaller one with a violation of the same kind. It first removes faults
// (delta debugging, Zeller and Hildebrandt 2002), then appliances, workers, clients and requests, then time. It also
// returns the report of the smaller script and the number of runs.
func Shrink(s *Script) (small *Script, r *Report, runs int, err error) {
	r, _, err = Play(s, nil)
	if err != nil {
		return nil, nil, 1, err
	}
	if r.OK() {
		return nil, r, 1, ErrNoViolation
	}
	search := &shrinker{violation: violationKind(r.Findings[0]), best: *s, report: r, runs: 1}
	search.removeFaults()
	for search.reduceSizes() {
	}
	search.removeFaults()
	search.shortenFaults()
	return &search.best, search.report, search.runs, nil
}

// shrinker is the state of one Shrink.
type shrinker struct {
	violation string // the kind that candidates must have
	best      Script
	report    *Report // of best
	runs      int
}

// violationKind returns the kind of a violation, which is the beginning of its description.
func violationKind(description string) string {
	kind, _, _ := strings.Cut(description, ":")
	kind, _, _ = strings.Cut(kind, " at ")
	return kind
}

// try runs a candidate, and takes it as the best one if it has a violation of the same kind.
func (s *shrinker) try(candidate Script) bool {
	if s.runs >= maxShrinkRuns || candidate.Check() != nil {
		return false
	}
	s.runs++
	r, _, err := Play(&candidate, nil)
	if err != nil {
		return false
	}
	if !slices.ContainsFunc(r.Findings, func(finding string) bool { return violationKind(finding) == s.violation }) {
		return false
	}
	s.best, s.report = candidate, r
	return true
}

// removeFaults removes parts of the faults. The size of a part is halved when none can be removed.
func (s *shrinker) removeFaults() {
	for parts := 2; len(s.best.Faults) > 0; {
		size := (len(s.best.Faults) + parts - 1) / parts
		switch {
		case s.removeOnePart(size):
			parts = max(parts-1, 2)
		case size == 1:
			return
		default:
			parts = min(parts*2, len(s.best.Faults))
		}
	}
}

// removeOnePart removes the first part of the given size that can be removed.
func (s *shrinker) removeOnePart(size int) bool {
	faults := s.best.Faults
	for from := 0; from < len(faults); from += size {
		candidate := s.best
		candidate.Faults = append(slices.Clone(faults[:from]), faults[min(from+size, len(faults)):]...)
		if s.try(candidate) {
			return true
		}
	}
	return false
}

// reduction makes a script smaller in one way. It returns false if that is impossible.
type reduction func(s *Script) bool

// reductions are tried in this order.
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

// setSmaller sets a value, and reports whether that changed it.
func setSmaller[T comparable](value *T, smaller T) bool {
	changed := *value != smaller
	*value = smaller
	return changed
}

// reduceSizes tries each reduction once, and reports whether one was taken.
func (s *shrinker) reduceSizes() bool {
	reduced := false
	for _, reduce := range reductions {
		candidate := s.best
		if reduce(&candidate) && s.try(candidate) {
			reduced = true
		}
	}
	return reduced
}

// shortenFaults sets the duration of faults to 0, or halves it.
func (s *shrinker) shortenFaults() {
	for i := range s.best.Faults {
		for _, factor := range []float64{0, 0.5} {
			candidate := s.best
			candidate.Faults = slices.Clone(s.best.Faults)
			fault := &candidate.Faults[i]
			fault.Duration *= units.Seconds(factor)
			if fault.Duration != s.best.Faults[i].Duration && s.try(candidate) {
				break
			}
		}
	}
}
