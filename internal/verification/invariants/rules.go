package invariants

// Values of Rules.Semantics.
const (
	semanticsIdempotent      = "redeliverable"
	semanticsIdempotentByKey = "keyed"
	semanticsAtMostOnce      = "at-most-once"
)

// Rules are the limits that a recording is checked against. Times are in seconds.
type Rules struct {
	// Semantics maps each request class to "redeliverable", "keyed" or "at-most-once".
	Semantics map[string]string `json:"Effect"`
	// DeduplicationWindow maps each keyed class to the time for which workers drop duplicates of a request.
	DeduplicationWindow map[string]float64 `json:"Remembered"`
	// MeanWork is the mean work of a request: the time that it takes on a core of speed 1.
	MeanWork float64 `json:"Work"`
	// FunctionWork is the mean work of a request by function. MeanWork applies to functions that are not listed.
	FunctionWork map[string]float64 `json:"WorkOf"`
	// Capacity is the number of cores times their speed, by worker.
	Capacity map[string]float64 `json:"Capacity"`
	// DrainGrace is the time after the drain notice during which attempts and load commands may still reach the worker.
	DrainGrace float64 `json:"DrainGrace"`
	// InitialCapacityFraction is the fraction of its capacity that a worker has when it starts.
	InitialCapacityFraction float64 `json:"ColdShare"`
	// WarmUpTime is the time from a worker's start to its full capacity; 0 disables rule 4.
	WarmUpTime float64 `json:"WarmWithin"`
	// OverloadFactor is the multiple of its capacity at which a cold worker fails; 0 disables rule 4.
	OverloadFactor float64 `json:"FallFactor"`
	// OverloadWindow is the time over which the load of a cold worker is measured.
	OverloadWindow float64 `json:"FallWindow"`
	// LoadWindow is the time over which load commands are limited; 0 disables rule 5.
	LoadWindow float64 `json:"LoadWindow"`
	// LoadBurst is the number of load commands that are allowed within the window even without requests.
	LoadBurst float64 `json:"LoadFree"`
	// LoadsPerRequest is the number of additional load commands that each request within the window allows.
	LoadsPerRequest float64 `json:"LoadShare"`
	// SubmissionDelay is the maximum time from when a client sends a request until the front end accepts it.
	SubmissionDelay float64 `json:"Lag"`
	// IndependentFrontEnds allows concurrent attempts of a request by different front ends: clients retry at several of
	// them, and front ends share no state.
	IndependentFrontEnds bool `json:"Apart"`
	// DeadlineSlack is the time by which the timeout of an attempt may exceed the remaining time of its client; 0 disables
	// the check.
	DeadlineSlack float64 `json:"DeadlineSlack,omitempty"`
	// ObservationDelay is the maximum time from when a front end sends bytes until the worker receives them.
	ObservationDelay float64 `json:"Grace"`
}

// Verdict is the result of Check: the numbers of requests, attempts and load commands, and the violations.
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
	AttemptsAfterEnd    int `json:"sent_after_end"`             // rule 1: an attempt when no client was waiting any more
	ExcessDeadlines     int `json:"excess_deadlines,omitempty"` // rule 1: an attempt with a timeout beyond its client's
	ConcurrentAttempts  int `json:"launches_at_once"`           // rule 2: concurrent attempts of one request
	DuplicateExecutions int `json:"ran_twice"`                  // rule 2: a non-idempotent request executed twice, or retried unsafely
	WrongRejections     int `json:"bad_deferrals"`              // rule 2: an at-most-once request rejected after it was executed
	SentAfterDrain      int `json:"after_drain"`                // rule 3: sent to a draining worker
	WarmUpOverloads     int `json:"cold_pushed"`                // rule 4: a cold worker was overloaded
	ExcessLoadCommands  int `json:"load_floods"`                // rule 5: too many load commands
	VersionMismatches   int `json:"wrong_versions"`             // wrong version executed, or wrong version named in the response

	RulesBroken int      `json:"rules_broken"`     // number of the five rules and the rule of versions that have violations
	Violations  []string `json:"faults,omitempty"` // descriptions of the first violations of each kind
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
