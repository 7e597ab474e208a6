package soak

import (
	"fmt"
	"strings"

	"streamcleat/internal/verification/invariants"
)

// Result is the result of a run.
type Result struct {
	Seed           uint64             `json:"seed"`
	Settings       string             `json:"site,omitempty"` // description of the settings, some of which the seed may have chosen
	Verdict        invariants.Verdict `json:"verdict"`
	Violations     []string           `json:"violations,omitempty"` // descriptions of the first maxViolations that the harness itself found
	ViolationCount int                `json:"violations_all"`       // number of all violations that the harness itself found
	Restarts       int                `json:"restarts"`             // of front ends
	SlowestReady   float64            `json:"slowest_ready_s"`      // longest time that a restarted front end took to become ready
	Faults         []string           `json:"troubles"`
	// OutageRequests is the number of requests that were sent during a discovery outage and got a response.
	OutageRequests  int     `json:"outage_requests"`
	OutageSucceeded int     `json:"outage_succeeded"` // number of OutageRequests that succeeded
	MaxWakeupDelay  float64 `json:"harness_late_s"`   // longest delay with which the harness itself was scheduled
	PeakMemory      int64   `json:"peak_memory"`      // largest resident set of a front end in bytes
	// Flooded counts the responses of front ends to requests sent while they were flooded, Unflooded all others.
	Flooded   ServedShare `json:"flooded"`
	Unflooded ServedShare `json:"unflooded"`
}

// ServedShare is a number of requests that got a response, and how many of them succeeded.
type ServedShare struct {
	Requests  int `json:"requests"`
	Succeeded int `json:"succeeded"`
}

// Ratio returns the fraction of requests that succeeded, or 1 if there were none.
func (s ServedShare) Ratio() float64 {
	if s.Requests == 0 {
		return 1
	}
	return float64(s.Succeeded) / float64(s.Requests)
}

// Broken reports whether the checker or the harness found any violation.
func (r *Result) Broken() bool { return r.Verdict.RulesBroken > 0 || r.ViolationCount > 0 }

// OutageSuccessRatio returns the fraction of OutageRequests that succeeded, or 1 if there were none.
func (r *Result) OutageSuccessRatio() float64 {
	if r.OutageRequests == 0 {
		return 1
	}
	return float64(r.OutageSucceeded) / float64(r.OutageRequests)
}

// String describes the result in a few lines.
func (r *Result) String() string {
	var b strings.Builder
	v := &r.Verdict
	fmt.Fprintf(&b, "seed %d (%s): %d requests, %d succeeded, %d rejected, %d failed, %d cancelled, %d lost with killed processes, %d attempts, "+
		"%d restarts, slowest ready %.2f s, harness late %.3f s\n", r.Seed, r.Settings, v.Requests, v.Succeeded, v.Rejected, v.Failed, v.Cancelled,
		v.ConnectionsLost, v.Attempts, r.Restarts, r.SlowestReady, r.MaxWakeupDelay)
	if r.OutageRequests > 0 {
		fmt.Fprintf(&b, "  during outages of discovery: %d of %d requests succeeded (%.3f), %d sent to draining workers\n", r.OutageSucceeded,
			r.OutageRequests, r.OutageSuccessRatio(), v.SentAfterDrain)
	}
	if r.Flooded.Requests > 0 {
		fmt.Fprintf(&b, "  beside floods: %d of %d requests succeeded (%.3f), %d of %d others (%.3f)\n", r.Flooded.Succeeded, r.Flooded.Requests,
			r.Flooded.Ratio(), r.Unflooded.Succeeded, r.Unflooded.Requests, r.Unflooded.Ratio())
	}
	fmt.Fprintf(&b, "  peak memory of a front end %d MB\n", r.PeakMemory/mebibyte)
	for _, text := range append(append([]string(nil), v.Violations...), r.Violations...) {
		fmt.Fprintf(&b, "  BROKEN %s\n", text)
	}
	return b.String()
}
