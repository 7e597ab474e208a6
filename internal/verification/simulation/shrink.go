package simulation

import (
	"errors"
	"slices"
	"strings"

	"streamcleat/internal/units"
)

// ErrNoViolation is the error of Shrink for a script that runs without a violation.
var ErrNoViolation = errors.New("script has no violation")

// maxShrinkRuns is the maximum number of runs in one call of Shrink.
const maxShrinkRuns = 400

// Shrink reduces a script with a violation to a smaller script that has a violation of the same kind. It removes faults first
// (delta debugging, Zeller and Hildebrandt 2002), then reduces the site and its load, and the time last. It also returns the
// report of the smaller script and the number of runs.
func Shrink(s *Script) (small *Script, r *Report, runs int, err error) {
	r, _, err = Play(s, nil)
	if err != nil {
		return nil, nil, 1, err
	}
	if r.OK() {
		return nil, r, 1, ErrNoViolation
	}
	shrink := &shrinker{violation: violationKind(r.Findings[0]), best: *s, report: r, runs: 1}
	shrink.removeFaults()
	for shrink.reduceSizes() {
	}
	shrink.removeFaults()
	shrink.shortenFaults()
	return &shrink.best, shrink.report, shrink.runs, nil
}

// shrinker is the state of one call of Shrink.
type shrinker struct {
	violation string  // kind of the violation that a candidate must reproduce
	best      Script  // smallest script so far that reproduces the violation
	report    *Report // of best
	runs      int
}

// violationKind returns the kind of a violation: the part of its description before the time or the colon.
func violationKind(description string) string {
	kind, _, _ := strings.Cut(description, ":")
	kind, _, _ = strings.Cut(kind, " at ")
	return kind
}

// try runs a candidate, and reports whether it reproduces the violation. If so, it becomes the best script.
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

// removeFaults divides the faults into parts, and removes those without which the violation remains. When no part can be
// removed it doubles the number of parts, until each is a single fault.
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

// removeOnePart removes the first part of the given size without which the violation remains, and reports whether there is one.
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

// reduction makes a script smaller in one respect. It returns false if the script cannot be reduced further in that respect.
type reduction func(s *Script) bool

// reductions contains all reductions in the order in which they are tried.
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

// setSmaller sets a value, and reports whether that changed the value.
func setSmaller[T comparable](value *T, smaller T) bool {
	changed := *value != smaller
	*value = smaller
	return changed
}

// reduceSizes tries each reduction once, and reports whether the violation remained with at least one of them.
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

// shortenFaults sets the duration of each fault to 0 or, if the violation does not remain, to half of it.
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
