package invariants

// Values of Rules.Effect: what a request class promises about running a request more than once.
const (
	effectIdempotent      = "redeliverable"
	effectIdempotentByKey = "keyed"
	effectAtMostOnce      = "at-most-once"
)

// Rules are the limits that a deployment is checked against. Times are seconds.
type Rules struct {
	// Semantics maps each request class to "redeliverable", "keyed" or "at-most-once".
	Semantics map[string]string `json:"Effect"`
	// DeduplicationWindow maps each keyed class to the time for which workers drop repeats.
	DeduplicationWindow map[string]float64 `json:"Remembered"`
	// MeanWork is the mean work of a request on a core of speed 1.
	MeanWork float64 `json:"Work"`
	// FunctionWork is the same by function, where it is known.
	FunctionWork map[string]float64 `json:"WorkOf"`
	// Capacity is cores times speed, by worker.
	Capacity map[string]float64 `json:"Capacity"`
	// DrainGrace is how long after the notice a draining worker may still be sent something.
	DrainGrace float64 `json:"DrainGrace"`
	// InitialCapacityFraction is the share of its capacity that a worker has at its start.
	InitialCapacityFraction float64 `json:"ColdShare"`
	// WarmUpTime is the time from a worker's start to its full capacity; 0 switches rule 4 off.
	WarmUpTime float64 `json:"WarmWithin"`
	// OverloadFactor is the multiple of its capacity at which a cold worker fails; 0 switches rule 4 off.
	OverloadFactor float64 `json:"FallFactor"`
	// OverloadWindow is the time over which that multiple is measured.
	OverloadWindow float64 `json:"FallWindow"`
	// LoadWindow is the time over which load commands are limited; 0 switches rule 5 off.
	LoadWindow float64 `json:"LoadWindow"`
	// LoadBurst is the number of load commands within the window that need no request.
	LoadBurst float64 `json:"LoadFree"`
	// LoadsPerRequest is the number of further load commands for each request within the window.
	LoadsPerRequest float64 `json:"LoadShare"`
	// SubmissionDelay is the longest time from a client's sending a request to its front end's accepting it.
	SubmissionDelay float64 `json:"Lag"`
	// IndependentFrontEnds exempts attempts by different front ends from each other: repeats of a request went to several of them.
	IndependentFrontEnds bool `json:"Apart"`
	// DeadlineSlack is by how much the deadline that an attempt states may exceed what its client has left; 0 switches the
	// check off.
	DeadlineSlack float64 `json:"DeadlineSlack,omitempty"`
	// ObservationDelay is the longest time from a front end's sending bytes to the worker's seeing them.
	ObservationDelay float64 `json:"Grace"`
}

// Verdict counts what a recording holds and which rules it breaks.
type Verdict struct {
	Requests        int `json:"events"` // requests that were accepted
	Succeeded       int `json:"handled"`
	Rejected        int `json:"deferred"`
	Failed          int `json:"dead_lettered"`
	Invalid         int `json:"refused"`
	Cancelled       int `json:"left"` // requests whose client cancelled
	ConnectionsLost int `json:"lost"` // requests whose connection was lost to a front end that the script stopped
	Attempts        int `json:"launches"`
	LoadCommands    int `json:"orders"`

	Unanswered          int `json:"unanswered"`                 // rule 1: no response at all, or too late
	DuplicateResponses  int `json:"answers_twice"`              // rule 1: more than one response
	AttemptsAfterEnd    int `json:"sent_after_end"`             // rule 1: an attempt after the last waiter had its response
	ExcessDeadlines     int `json:"excess_deadlines,omitempty"` // rule 1: an attempt states more time than its client has left
	ConcurrentAttempts  int `json:"launches_at_once"`           // rule 2: concurrent attempts of one request
	DuplicateExecutions int `json:"ran_twice"`                  // rule 2: at-most-once, or keyed past the deduplication window
	WrongRejections     int `json:"bad_deferrals"`              // rule 2: rejected for a retry though it ran and must not run again
	SentAfterDrain      int `json:"after_drain"`                // rule 3: sent to a draining worker
	WarmUpOverloads     int `json:"cold_pushed"`                // rule 4: a cold worker was overloaded
	ExcessLoadCommands  int `json:"load_floods"`                // rule 5: too many load commands
	VersionMismatches   int `json:"wrong_versions"`             // another version ran, or was named, than the one asked for

	RulesBroken int      `json:"rules_broken"`     // of the five rules, and the promise of versions
	Violations  []string `json:"faults,omitempty"` // the first violations of each kind
}

// countBroken counts the rules that have at least one violation.
func (v *Verdict) countBroken() int {
	broken := 0
	for _, violations := range []int{
		v.Unanswered + v.DuplicateResponses + v.AttemptsAfterEnd + v.ExcessDeadlines,
		v.ConcurrentAttempts + v.DuplicateExecutions + v.WrongRejections,
		v.SentAfterDrain,
		v.WarmUpOverloads,
		v.ExcessLoadCommands,
		v.VersionMismatches,
	} {
		if violations > 0 {
			broken++
		}
	}
	return broken
}
