package control

import "streamcleat/internal/units"

// EndpointState is the state of a worker in the endpoint list.
type EndpointState int

// Endpoint states.
const (
	Serving EndpointState = iota
	Draining
	Removed
)

// Worker is an entry of the endpoint list.
type Worker struct {
	ID            WorkerID
	Address       string // another address is that of another process
	Zone          ZoneID
	MachineType   MachineType
	FailureDomain int
	State         EndpointState
	Weight        float64
	StartedAt     units.Seconds // start of the process; 0 if it is long past
}

// UpdateScope specifies which workers an endpoint update covers.
type UpdateScope int

// Scopes of an endpoint update.
const (
	Snapshot UpdateScope = iota // all workers
	Delta                       // changed workers only
)

// Request is a request of a client.
type Request struct {
	ID           RequestID
	Class        string
	Tenant       TenantID
	Function     FunctionID
	TimeLeft     units.Seconds // time until the client's deadline
	Concurrency  int           // requests that one replica serves concurrently
	Memory       float64
	LoadTime     units.Seconds // expected duration of a replica load; 0 if unknown
	ExpectedWork units.Seconds // 0 if unknown
	Retried      bool          // the client marked it as a retry
}

// Outcome is the result of an attempt or a load command.
type Outcome int

// Outcomes. With Rejected and all outcomes after it, the request was certainly not executed.
const (
	Succeeded      Outcome = iota
	Failed                 // the worker responded with an error
	TimedOut               // no response before the timeout
	ConnectionLost         // the connection closed before the response
	Cancelled
	Rejected       // the worker rejected it
	Unreachable    // no connection could be established
	NotSent        // the attempt was not sent
	ReplicaMissing // the worker has no replica and does not load one on a miss
)

// StartType describes the state of the replica when an attempt reached it.
type StartType int

// Start types.
const (
	StartUnknown    StartType = iota
	WarmStart                 // the replica was loaded
	ColdStart                 // the attempt triggered the load
	JoinedColdStart           // the attempt waited for a load in progress
	StartFailed               // the load failed
)

// LoadReport is the load that a worker reports with a response.
type LoadReport struct {
	Running, Waiting float64
	Known            bool // the worker reported at least one of the values
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Request   RequestID
	Worker    WorkerID
	Attempt   int
	Outcome   Outcome
	Completed bool // the client has received the final response
	Latency   units.Seconds
	Start     StartType
	Report    LoadReport
}

// LoadResult is the result of a load command.
type LoadResult struct {
	Worker   WorkerID
	Function FunctionID
	Outcome  Outcome
	Replicas int // replicas now loaded on the worker
	Duration units.Seconds
}

// QueryResult is the result of a query.
type QueryResult struct {
	Worker    WorkerID
	Function  FunctionID
	Commanded int // replicas that the worker was commanded to hold; 0 for a plain query
	Outcome   Outcome
	Replicas  int           // replicas loaded on the worker
	Latency   units.Seconds // since the query was sent
}

// Host carries out the decisions of a Router. Times are relative to the current time.
type Host interface {
	// StartAttempt sends a request to a worker. The host reports the result with Router.OnAttemptResult, at the
	// latest when the timeout expires.
	StartAttempt(request RequestID, worker WorkerID, timeout units.Seconds)
	// Reject responds that the client may retry the request after retryAfter.
	Reject(request RequestID, retryAfter units.Seconds)
	// Fail responds with a final error.
	Fail(request RequestID)
	// LoadReplicas commands a worker to hold the given number of replicas. The host reports the result with
	// Router.OnLoadResult.
	LoadReplicas(worker WorkerID, function FunctionID, replicas int)
	// QueryReplicas queries how many replicas a worker has loaded, and commands it to hold the given number of them, which
	// may be 0. The host sends it only if Router.MayQuery permits it at the moment of sending, and reports the result with
	// Router.OnQueryResult, at the latest when the timeout expires.
	QueryReplicas(worker WorkerID, function FunctionID, replicas int, timeout units.Seconds)
	// Broadcast sends a message to all other front ends, which pass it to Router.OnGossip.
	Broadcast(message []byte)
	// SetTimer schedules a call of Router.OnTimer with the given timer ID.
	SetTimer(after units.Seconds, timer uint64)
	// RequestEndpoints requests the endpoint list, which arrives with Router.OnEndpointUpdate, or fails with
	// Router.OnEndpointPollFailed.
	RequestEndpoints()
}
