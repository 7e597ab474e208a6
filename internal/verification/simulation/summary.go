package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Summary is the sum of the reports of the seeds of a profile.
type Summary struct {
	Profile             string
	Seeds               int
	SeedsWithViolations int
	FirstViolatingSeed  uint64 // valid if SeedsWithViolations > 0
	Requests            int
	Succeeded           int
	Attempts            int
	SimulatedEvents     int
	Restarts            int
	VirtualSeconds      float64
	FaultCoverage       map[string]int // as in Report
	startedAt           time.Time
}

// NewSummary returns an empty summary. The rates that String prints are relative to the time since this call.
func NewSummary(profile string) *Summary {
	return &Summary{Profile: profile, FaultCoverage: map[string]int{}, startedAt: time.Now()}
}

// Add adds the report of a seed.
func (s *Summary) Add(r *Report) {
	s.Seeds++
	if !r.OK() {
		s.SeedsWithViolations++
		if s.SeedsWithViolations == 1 {
			s.FirstViolatingSeed = r.Seed
		}
	}
	s.Requests += r.Requests
	s.Succeeded += r.Succeeded
	s.Attempts += r.Attempts
	s.SimulatedEvents += r.SimulatedEvents
	s.Restarts += r.Restarts
	s.VirtualSeconds += r.VirtualSeconds
	for key, n := range r.FaultCoverage {
		s.FaultCoverage[key] += n
	}
}

// NotInjected returns the fault kinds that no seed injected.
func (s *Summary) NotInjected() []string {
	var notInjected []string
	for _, k := range faultKinds {
		if !s.wasInjected(k.name) {
			notInjected = append(notInjected, string(k.name))
		}
	}
	return notInjected
}

func (s *Summary) wasInjected(kind FaultKind) bool {
	return slices.ContainsFunc(faultStates(), func(state string) bool { return s.FaultCoverage[coverageKey(kind, state)] > 0 })
}

// String returns the totals and rates, with a table of the states in which faults were injected.
func (s *Summary) String() string {
	var b strings.Builder
	elapsed := time.Since(s.startedAt).Seconds()
	fmt.Fprintf(&b, "%d seeds of %s, %d with violations; %d requests, %d succeeded, %d attempts, %d appliance restarts\n", s.Seeds, s.Profile, s.SeedsWithViolations,
		s.Requests, s.Succeeded, s.Attempts, s.Restarts)
	fmt.Fprintf(&b, "%.0f virtual seconds in %.1f: speed-up %.0f; %.0f steps and %.0f requests per second\n\n", s.VirtualSeconds, elapsed, s.VirtualSeconds/elapsed,
		float64(s.SimulatedEvents)/elapsed, float64(s.Requests)/elapsed)
	s.writeCoverage(&b)
	return b.String()
}

// writeCoverage writes a table with a row for each fault kind that was injected and a column for each state.
func (s *Summary) writeCoverage(b *strings.Builder) {
	states := faultStates()
	width := 0
	var kinds []string
	for _, k := range faultKinds {
		if s.wasInjected(k.name) {
			kinds = append(kinds, string(k.name))
			width = max(width, len(k.name))
		}
	}
	slices.Sort(kinds)
	fmt.Fprintf(b, "%-*s", width, "fault in state")
	for _, state := range states {
		fmt.Fprintf(b, "  %s", state)
	}
	b.WriteString("\n")
	for _, kind := range kinds {
		fmt.Fprintf(b, "%-*s", width, kind)
		for _, state := range states {
			fmt.Fprintf(b, "  %*d", len(state), s.FaultCoverage[coverageKey(FaultKind(kind), state)])
		}
		b.WriteString("\n")
	}
}
