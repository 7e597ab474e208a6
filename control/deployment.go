package control

import "streamcleat/internal/units"

type (
	// RequestID identifies a request. It is unique among the open requests of a front end.
	RequestID string
	// WorkerID identifies a worker. A restarted process may keep its ID.
	WorkerID string
	// FunctionID identifies a function, of which workers load replicas.
	FunctionID string
	// TenantID identifies a tenant.
	TenantID string
	// ZoneID identifies an availability zone.
	ZoneID string
	// MachineType identifies workers of equal capacity.
	MachineType string
)

// DeliverySemantics specifies whether a request may be executed more than once.
type DeliverySemantics int

// Delivery semantics of a request class.
const (
	Idempotent      DeliverySemantics = iota // safe to execute repeatedly
	IdempotentByKey                          // safe where workers deduplicate by idempotency key
	AtMostOnce                               // must not be executed twice
)

// DeduplicationScope is the set of workers that share a store of idempotency keys.
type DeduplicationScope int

// Deduplication scopes.
const (
	ScopeFleet DeduplicationScope = iota
	ScopeZone
	ScopeFailureDomain // a failure domain within one zone
)

// RequestClass is the configuration of a class of requests.
type RequestClass struct {
	Name                string
	LatencyObjective    units.Seconds
	Timeout             units.Seconds
	Semantics           DeliverySemantics
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow units.Seconds // retention of an idempotency key
}

// Tenant is a customer with its agreed request rate across all front ends.
type Tenant struct {
	Name  TenantID
	Quota float64
}

// Deployment is the configuration of a Router.
type Deployment struct {
	FrontEnds               int
	RequestClasses          []RequestClass
	Tenants                 []Tenant
	PollEndpoints           bool // the endpoint list must be requested with Host.RequestEndpoints
	NoLoadOnMiss            bool // a worker without the replica reports a miss instead of loading it
	LoadCommandsAllowed     bool
	GossipAllowed           bool // front ends may broadcast messages to each other
	MaxAttempts             int
	MaxRetryAfter           units.Seconds // maximum Retry-After of a rejection; 0 if clients receive none
	IdleReplicaLifetime     units.Seconds // minimum time that workers keep an idle replica
	LoadCommandWindow       units.Seconds // window of the load command quota; 0 for no quota
	LoadCommandAllowance    float64       // load commands allowed in each window
	LoadCommandsPerRequest  float64       // load commands allowed in addition for each request in the window
	MinRoundInterval        units.Seconds // minimum time between two rounds of input
	InitialCapacityFraction float64       // fraction of its capacity that a worker has when it starts
	WarmUpTime              units.Seconds // time from a worker's start until it has full capacity
	OverloadFactor          float64       // multiple of its capacity that a warming worker tolerates
	OverloadWindow          units.Seconds // window over which OverloadFactor applies
	EndpointLeases          bool          // the host reports confirmations of the endpoint list; otherwise it is valid until updated
	PollLease               units.Seconds // time for which a list is valid without a successful poll; 0: until updated
	DrainGrace              units.Seconds // time after a drain notice in which messages may still be sent to the worker
	IdleTimeout             units.Seconds // time after which the host closes an idle connection to a worker; 0: never
}
