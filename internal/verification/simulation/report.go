package simulation

import (
	"fmt"
	"slices"
	"time"

	"streamcleat/internal/verification/invariants"
)

const (
	maxViolations = 50        // of a run; with that many the run ends
	maxEvents     = 4_000_000 // of a run; more indicate a livelock
)

// Report is the result of a run of one script.
type Report struct {
	Seed    uint64 `json:"seed"`
	Profile string `json:"profile"`
	invariants.Verdict
	Findings        []string       `json:"broke,omitempty"` // the first violations of each kind
	Digest          string         `json:"digest"`          // of the trace
	SimulatedEvents int            `json:"steps"`
	VirtualSeconds  float64        `json:"virtual_s"`
	RealSeconds     float64        `json:"real_s"`
	Restarts        int            `json:"restarts"`
	FaultCoverage   map[string]int `json:"met,omitempty"` // number of injections by fault kind and state of the front end
}

// OK reports whether the run had no violation.
func (r *Report) OK() bool { return len(r.Findings) == 0 }

// Play runs a script, and returns its report and the recorded traffic. onTrace receives each step of the trace as a
// line of its virtual time and name; it may be nil.
func Play(script *Script, onTrace func(string)) (*Report, []invariants.Record, error) {
	startedAt := time.Now()
	s, err := newSite(script)
	if err != nil {
		return nil, nil, err
	}
	if onTrace != nil {
		s.scheduler.onTrace = func(name string) { onTrace(fmt.Sprintf("%10.6f %s", s.scheduler.now, name)) }
	}
	s.run(script.Seconds + recoveryPeriod)
	s.checkEnd()
	records := s.recorder.Records()
	verdict := invariants.Check(s.rules, records)
	s.checkRetries()
	s.abandonedStores.Wait()
	findings := slices.Concat(verdict.Violations, s.violations)
	verdict.Violations = nil
	return &Report{
		Seed:            script.Seed,
		Profile:         script.Profile,
		Verdict:         verdict,
		Findings:        findings,
		Digest:          s.scheduler.digest(),
		SimulatedEvents: s.scheduler.executed,
		VirtualSeconds:  float64(s.scheduler.now),
		RealSeconds:     time.Since(startedAt).Seconds(),
		Restarts:        s.restarts,
		FaultCoverage:   s.coverage,
	}, records, nil
}

// run runs events until the given virtual time, and checks the affected front ends after each. It ends early after maxViolations
// violations or maxEvents events.
func (s *site) run(until float64) {
	for s.scheduler.runNext(until) && len(s.violations) < maxViolations {
		s.checkActiveFrontEnds()
		if s.scheduler.executed > maxEvents {
			s.violation("liveness", "run did not end within %d events, the last one is %q", s.scheduler.executed, s.scheduler.lastEventName)
			return
		}
	}
}
