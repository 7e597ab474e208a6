// Package control decides where each event runs. control.go holds every decision; this file
// holds the ids, what is read at start, what comes in, and the interface that the host answers.
package control

type (
	RequestID   string
	WorkerID    string
	FunctionID  string
	TenantID    string
	ZoneID      string
	MachineType string
)

// DeliverySemantics tells what running an event twice does.
type DeliverySemantics int

const (
	Idempotent DeliverySemantics = iota
	IdempotentByKey
	AtMostOnce
)

// DeduplicationScope is the group of workers that drops repeats of a keyed event.
type DeduplicationScope int

const (
	ScopeFleet DeduplicationScope = iota
	ScopeZone
	ScopeFailureDomain
)

// RequestClass is one type of event as the deployment states it.
type RequestClass struct {
	Name                string
	LatencyObjective    float64
	Timeout             float64
	Semantics           DeliverySemantics
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow float64 // how long a keyed event's repeats are known
}

// Tenant is one customer with its agreed rate over all front ends.
type Tenant struct {
	Name  TenantID
	Quota float64
}

// Deployment is what the module reads at start, decoded once by the adapter.
type Deployment struct {
	FrontEnds              int
	RequestClasses         []RequestClass
	Tenants                []Tenant
	PollEndpoints          bool // the worker list must be asked for
	MissIsAnswered         bool // a worker without the function answers a miss instead of loading it
	LoadCommandsAllowed    bool
	GossipAllowed          bool // front ends may send each other messages
	MaxAttempts            int
	MaxRetryAfter          float64 // longest wait that a deferred client heeds; 0 where it is told none
	IdleReplicaLifetime    float64 // shortest time that an idle copy stays
	LoadCommandWindow      float64
	LoadCommandAllowance   float64
	LoadCommandsPerRequest float64
	MinRoundInterval       float64 // least time between two rounds of input
	ColdShare              float64
	WarmUpTime             float64
	OverloadFactor         float64
	OverloadWindow         float64
}

// EndpointState is what the worker list says of a process.
type EndpointState int

const (
	Serving EndpointState = iota
	Draining
	Gone
)

// Worker is one line of the worker list. Born is 0 where the process runs since long.
type Worker struct {
	ID            WorkerID
	Zone          ZoneID
	MachineType   MachineType
	FailureDomain int
	State         EndpointState
	Weight        float64
	StartedAt     float64
}

// Request is one event as it comes in. Left is the time until the client gives this try up.
type Request struct {
	ID           RequestID
	Class        string
	Tenant       TenantID
	Function     FunctionID
	TimeLeft     float64
	Concurrency  int
	Memory       float64
	LoadTime     float64 // usual time of a load, 0 where it is not told
	ExpectedWork float64 // expected work, 0 where no hint came
	Retried      bool
}

// Outcome is how a launch or an order ended.
type Outcome int

const (
	Succeeded Outcome = iota
	Failed            // answered with an error
	TimedOut
	ConnectionLost // the connection broke under it
	Cancelled
	Rejected // from here on it is proven that it never ran
	Unreachable
	NotSent
	ReplicaMissing
)

// StartType is how an event met its copy.
type StartType int

const (
	StartUnknown StartType = iota
	WarmStart
	ColdStart
	JoinedColdStart
	StartFailed
)

// LoadReport is a worker's load report; Known tells that it carries one of the figures.
type LoadReport struct {
	Running, Waiting float64
	Known            bool
}

// AttemptResult is the end of one launch.
type AttemptResult struct {
	Request  RequestID
	Worker   WorkerID
	Attempt  int
	Outcome  Outcome
	Answered bool
	Latency  float64
	Start    StartType
	Report   LoadReport
}

// Host carries out what the module decides. Times are seconds from now.
type Host interface {
	StartAttempt(evt RequestID, wk WorkerID, limit float64)
	Reject(evt RequestID, pause float64)
	Fail(evt RequestID)
	LoadReplicas(wk WorkerID, fn FunctionID, copies int)
	Broadcast(message []byte) // to every other front end
	SetTimer(after float64, mark uint64)
	Subscribe()
}
