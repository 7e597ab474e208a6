package invariants

// Values of Rules.Semantics.
const (
	semanticsIdempotent      = "redeliverable"
	semanticsIdempotentByKey = "keyed"
	semanticsAtMostOnce      = "at-most-once"
)

// Rules are the limits that a deployment is checked against. Times are seconds.
type Rules struct {
	// Semantics maps each request class to "redeliverable", "keyed" or "at-most-once".
	Semantics map[string]string `json:"Effect"`
	// DeduplicationWindow maps each keyed class to the time for which workers drop duplicates.
	DeduplicationWindow map[string]float64 `json:"Remembered"`
	// MeanWork is the mean work of a request on a core of speed 1.
	MeanWork float64 `json:"Work"`
	// FunctionWork is the mean work by function. MeanWork applies to functions that it lacks.
	FunctionWork map[string]float64 `json:"WorkOf"`
	// Capacity is cores times speed, by worker.
	Capacity map[string]float64 `json:"Capacity"`
	// DrainGrace is the time after the drain notice in which attempts and load commands may still reach the worker.
	DrainGrace float64 `json:"DrainGrace"`
	// InitialCapacityFraction is the fraction of its capacity that a worker has at its start.
	InitialCapacityFraction float64 `json:"ColdShare"`
	// WarmUpTime is the time from a worker's start to its full capacity; 0 switches rule 4 off.
	WarmUpTime float64 `json:"WarmWithin"`
	// OverloadFactor is the multiple of its capacity at which a cold worker fails; 0 switches rule 4 off.
	OverloadFactor float64 `json:"FallFactor"`
	// OverloadWindow is the time over which the load of a cold worker is measured.
	OverloadWindow float64 `json:"FallWindow"`
	// LoadWindow is the time over which load commands are limited; 0 switches rule 5 off.
	LoadWindow float64 `json:"LoadWindow"`
	// LoadBurst is the number of load commands that are allowed within the window without a request.
	LoadBurst float64 `json:"LoadFree"`
	// LoadsPerRequest is the number of further load commands for each request within the window.
	LoadsPerRequest float64 `json:"LoadShare"`
	// SubmissionDelay is the maximum time between a client's sending a request and its front end's accepting it.
	SubmissionDelay float64 `json:"Lag"`
	// IndependentFrontEnds allows concurrent attempts of a request by different front ends: clients retry at several of
	// them, and front ends share no state.
	IndependentFrontEnds bool `json:"Apart"`
	// DeadlineSlack is the maximum excess of the timeout that an attempt states over the remaining time of its client; 0
	// switches the check off.
	DeadlineSlack float64 `json:"DeadlineSlack,omitempty"`
	// ObservationDelay is the maximum time between a front end's sending bytes and the worker's receiving them.
	ObservationDelay float64 `json:"Grace"`
}

// Verdict is the result of Check: what the recording holds, and its violations.
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

	Unanswered          int `json:"unanswered"`                 // rule 1: no response, or an overdue one
	DuplicateResponses  int `json:"answers_twice"`              // rule 1: more than one response
	AttemptsAfterEnd    int `json:"sent_after_end"`             // rule 1: an attempt after the last client ended
	ExcessDeadlines     int `json:"excess_deadlines,omitempty"` // rule 1: the timeout of an attempt exceeds its client's
	ConcurrentAttempts  int `json:"launches_at_once"`           // rule 2: concurrent attempts of one request
	DuplicateExecutions int `json:"ran_twice"`                  // rule 2: at-most-once, or keyed past the deduplication window
	WrongRejections     int `json:"bad_deferrals"`              // rule 2: an at-most-once request rejected after it was executed
	SentAfterDrain      int `json:"after_drain"`                // rule 3: sent to a draining worker
	WarmUpOverloads     int `json:"cold_pushed"`                // rule 4: a cold worker was overloaded
	ExcessLoadCommands  int `json:"load_floods"`                // rule 5: too many load commands
	VersionMismatches   int `json:"wrong_versions"`             // another version was executed or named than the one asked for

	RulesBroken int      `json:"rules_broken"`     // number of the five rules and the rule of versions that have violations
	Violations  []string `json:"faults,omitempty"` // the first violations of each kind
}

// countBroken returns the number of rules that have at least one violation.
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
