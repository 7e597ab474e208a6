package simulation

import (
	"fmt"
	"slices"
	"time"

	"streamcleat/internal/verification/invariants"
)

const (
	maxViolations = 50        // of one run, which ends then
	maxEvents     = 4_000_000 // of one run, to detect a livelock
)

// Report is the result of one script.
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
	FaultCoverage   map[string]int `json:"met,omitempty"` // number of injections by kind of fault and state of the front end
}

// OK reports whether there was no violation.
func (r *Report) OK() bool { return len(r.Findings) == 0 }

// Play runs a script. onTrace receives the names of the trace, and may be nil.
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

// run runs events until a time, or until there are too many violations.
func (s *site) run(until float64) {
	for s.scheduler.runNext(until) && len(s.violations) < maxViolations {
		s.checkTouched()
		if s.scheduler.executed > maxEvents {
			s.violation("liveness", "no end after %d steps, the last is %q", s.scheduler.executed, s.scheduler.lastEventName)
			return
		}
	}
}
