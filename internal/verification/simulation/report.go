package simulation

import (
	"fmt"
	"slices"
	"time"

	"streamcleat/internal/verification/invariants"
)

const (
	maxViolations = 50        // after which a script is not played on
	maxEvents     = 4_000_000 // of one script, against a world that goes round in circles
)

// Report is the result of playing one script.
type Report struct {
	Seed    uint64 `json:"seed"`
	Profile string `json:"profile"`
	invariants.Verdict
	Findings        []string       `json:"broke,omitempty"` // the first violations of each rule and invariant
	Digest          string         `json:"digest"`          // of the trace
	SimulatedEvents int            `json:"steps"`
	VirtualSeconds  float64        `json:"virtual_s"`
	RealSeconds     float64        `json:"real_s"`
	Restarts        int            `json:"restarts"`
	FaultCoverage   map[string]int `json:"met,omitempty"` // how often a kind of fault met a state of a front end
}

// OK returns whether nothing broke.
func (r *Report) OK() bool { return len(r.Findings) == 0 }

// Play plays a script. onTrace, which may be nil, gets the trace in words.
func Play(script *Script, onTrace func(string)) (*Report, []invariants.Record, error) {
	began := time.Now()
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
	s.checkRepeats()
	s.closing.Wait()
	broke := slices.Concat(verdict.Violations, s.violations)
	verdict.Violations = nil
	return &Report{
		Seed:            script.Seed,
		Profile:         script.Profile,
		Verdict:         verdict,
		Findings:        broke,
		Digest:          s.scheduler.digest(),
		SimulatedEvents: s.scheduler.executed,
		VirtualSeconds:  s.scheduler.now,
		RealSeconds:     time.Since(began).Seconds(),
		Restarts:        s.restarts,
		FaultCoverage:   s.coverage,
	}, records, nil
}

// run runs events until a time, or until too much broke.
func (s *site) run(until float64) {
	for s.scheduler.runNext(until) && len(s.violations) < maxViolations {
		s.checkTouched()
		if s.scheduler.executed > maxEvents {
			s.violation("liveness", "%d steps, the last %q", s.scheduler.executed, s.scheduler.lastName)
			return
		}
	}
}
