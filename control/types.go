// Package control decides for one front end which worker serves each request, which replicas are loaded, and which
// requests are rejected. It does no input or output and reads no clock.
//
// The host makes one Router per front end with New and calls its On methods as things come in, each with the current
// time. The router answers through Host before the call returns. It owns its view of the fleet (state.go); the
// decisions are in the files that deploy/balancer.toml lists as policy, with their ordered rules in rules.go. The
// mechanisms are described in docs/design.md.
//
// All times and spans are in seconds, as the wire has them.
package control

type (
	// RequestID names a request; it is unique among the unanswered requests of a front end.
	RequestID string
	// WorkerID names a worker; a process that starts again may keep it.
	WorkerID string
	// FunctionID names a function, of which workers load replicas.
	FunctionID string
	// TenantID names a customer.
	TenantID string
	// ZoneID names an availability zone.
	ZoneID string
	// MachineType names workers of like capacity.
	MachineType string
)

// DeliverySemantics tells what running a request twice does.
type DeliverySemantics int

// The delivery semantics.
const (
	Idempotent      DeliverySemantics = iota // harmless
	IdempotentByKey                          // harmless where the repeat is dropped by its key
	AtMostOnce                               // harmful
)

// DeduplicationScope is the group of workers that drop repeats by key together.
type DeduplicationScope int

// The deduplication scopes.
const (
	ScopeFleet DeduplicationScope = iota
	ScopeZone
	ScopeFailureDomain // of one zone
)

// RequestClass is a class of requests as the deployment states it.
type RequestClass struct {
	Name                string
	LatencyObjective    float64
	Timeout             float64
	Semantics           DeliverySemantics
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow float64 // how long a key is remembered
}

// Tenant is one customer with its agreed rate over all front ends.
type Tenant struct {
	Name  TenantID
	Quota float64
}

// Deployment is what the router is told at its start.
type Deployment struct {
	FrontEnds               int
	RequestClasses          []RequestClass
	Tenants                 []Tenant
	PollEndpoints           bool // the endpoint list must be asked for
	NoLoadOnMiss            bool // a worker without the function answers a miss instead of loading it
	LoadCommandsAllowed     bool
	GossipAllowed           bool // front ends may send each other messages
	MaxAttempts             int
	MaxRetryAfter           float64 // longest wait that a rejected client keeps; 0 where it is told none
	IdleReplicaLifetime     float64 // shortest time that an idle replica stays
	LoadCommandWindow       float64 // span of the load command ration; 0 where there is none
	LoadCommandAllowance    float64 // load commands in a window
	LoadCommandsPerRequest  float64 // further load commands in a window for each request in it
	MinRoundInterval        float64 // least time between two rounds of input
	InitialCapacityFraction float64 // fraction of its capacity that a worker has at its start
	WarmUpTime              float64 // time after its start in which a worker reaches all of it
	OverloadFactor          float64 // multiple of its capacity that a worker in its warm-up bears
	OverloadWindow          float64 // span over which that holds
}

// EndpointState is the state of a worker in the endpoint list.
type EndpointState int

// The endpoint states.
const (
	Serving EndpointState = iota
	Draining
	Removed
)

// Worker is an entry of the endpoint list.
type Worker struct {
	ID            WorkerID
	Zone          ZoneID
	MachineType   MachineType
	FailureDomain int
	State         EndpointState
	Weight        float64
	StartedAt     float64 // start of the process, 0 where that was long ago
}

// UpdateScope is what an update of the endpoint list covers.
type UpdateScope int

// The update scopes.
const (
	Snapshot UpdateScope = iota // every worker
	Delta                       // the workers that changed
)

// Request is a request as it comes in.
type Request struct {
	ID           RequestID
	Class        string
	Tenant       TenantID
	Function     FunctionID
	TimeLeft     float64 // until the client gives up
	Concurrency  int     // requests that one replica serves at a time
	Memory       float64
	LoadTime     float64 // usual duration of a load, 0 where it is not told
	ExpectedWork float64 // 0 where it is not told
	Retried      bool    // the client sent it before
}

// Outcome is how an attempt or a load command ended.
type Outcome int

// The outcomes. From Rejected on it is proven that the request never ran.
const (
	Succeeded      Outcome = iota
	Failed                 // answered with an error
	TimedOut               // no answer in time
	ConnectionLost         // the connection broke before the answer
	Cancelled
	Rejected       // the worker refused it
	Unreachable    // no connection could be made
	NotSent        // the attempt was not begun
	ReplicaMissing // the worker has no replica and loads none by itself
)

// StartType is how an attempt met its replica.
type StartType int

// The start types.
const (
	StartUnknown    StartType = iota
	WarmStart                 // the replica was loaded
	ColdStart                 // the attempt began its load
	JoinedColdStart           // the attempt waited for its load
	StartFailed               // the load failed
)

// LoadReport is a worker's report of its load; Known tells that it carries one of the figures.
type LoadReport struct {
	Running, Waiting float64
	Known            bool
}

// AttemptResult is the end of an attempt.
type AttemptResult struct {
	Request   RequestID
	Worker    WorkerID
	Attempt   int
	Outcome   Outcome
	Completed bool // the request has its final answer
	Latency   float64
	Start     StartType
	Report    LoadReport
}

// LoadResult is the end of a load command.
type LoadResult struct {
	Worker   WorkerID
	Function FunctionID
	Outcome  Outcome
	Replicas int // loaded on the worker now
	Duration float64
}

// Host carries out what the router decides. Times are spans from now.
type Host interface {
	// StartAttempt sends a request to a worker; it ends with OnAttemptResult, after the timeout at the latest.
	StartAttempt(request RequestID, worker WorkerID, timeout float64)
	// Reject answers a request that may be sent again after the pause.
	Reject(request RequestID, retryAfter float64)
	// Fail answers a request with an error that is final.
	Fail(request RequestID)
	// LoadReplicas commands a worker to hold so many replicas; it ends with OnLoadResult.
	LoadReplicas(worker WorkerID, function FunctionID, replicas int)
	// Broadcast sends a message to every other front end, whose routers take it with OnGossip.
	Broadcast(message []byte)
	// SetTimer calls OnTimer with the number of the timer after the span.
	SetTimer(after float64, timer uint64)
	// Subscribe asks for the endpoint list, which comes with OnEndpointUpdate or OnEndpointPollFailed.
	Subscribe()
}
