package node

import (
	"streamcleat/control"
	downstreamframes "streamcleat/internal/downstream/frames"
	"streamcleat/internal/platform"
	"streamcleat/internal/units"
	upstreamframes "streamcleat/internal/upstream/frames"
)

const (
	// Threads is the value of GOMAXPROCS for a front end, which has one core: the second thread runs while the event loop
	// waits in the kernel.
	Threads = 2

	mebibyte = 1 << 20

	// heapFraction is the fraction of the memory used as the soft limit of the heap. Stacks, kernel buffers and uncollected
	// garbage take the rest.
	heapFraction = 0.6
	// bodyMemoryDivisor reserves a quarter of the memory for bodies of open requests.
	bodyMemoryDivisor = 4
	// requestOverheadBytes is the memory of an open request without its body.
	requestOverheadBytes = 4096
	// unreadMemoryDivisor reserves an eighth of the memory for responses that clients have not read, on all connections
	// together.
	unreadMemoryDivisor = 8
	// minUnreadBytes is the least that each connection may leave unread. Less than a few frames would disconnect clients
	// that read slowly.
	minUnreadBytes = 64 << 10

	// reservedDescriptors covers the listener, the event loop, the discovery watch, peer datagrams, abandoned dials that
	// have not ended, and connections that are closed as soon as they are accepted.
	reservedDescriptors = 24
	// reservedDescriptorsDivisor reserves a sixteenth of the descriptors in addition.
	reservedDescriptorsDivisor = 16
	// upstreamDescriptorDivisor gives connections to workers a third of the remaining descriptors.
	upstreamDescriptorDivisor = 3
	// perWorkerDivisor limits one worker to a twentieth of the connections to workers.
	perWorkerDivisor = 20
	// minConnectionsPerWorker allows a second connection while the first is busy.
	minConnectionsPerWorker = 2

	// upstreamIdleFraction is the fraction of the platform's idle timeout after which the front end closes a connection, so
	// that the worker does not close it under a request.
	upstreamIdleFraction = 0.6

	millisecondsPerSecond = 1000
)

// Limits of a client connection; times are in seconds.
const (
	maxRequestsPerConnection = 32
	firstFrameTimeout        = 2.5
	frameArrivalTimeout      = 2
	clientIdleTimeout        = 5
)

// Bounds of the values that a request may state. They reject nonsense; the deployment sets none.
const (
	maxReplicaMemoryMB    = 1 << 16
	maxReplicaConcurrency = 256
	maxLoadSeconds        = 600
	maxWorkSeconds        = 600
)

// MemoryLimit returns the soft limit of the heap in bytes.
func MemoryLimit(document *platform.Document) int64 {
	return int64(document.MemoryMB * heapFraction * mebibyte)
}

// maxOpenRequests returns the maximum number of open requests: the platform's limit, or fewer where their bodies would
// not fit into memory.
func maxOpenRequests(document *platform.Document) int {
	fit := int(document.MemoryMB * mebibyte / bodyMemoryDivisor / (downstreamframes.MaxBody + requestOverheadBytes))
	return min(document.Terms.Limits.MaxOpen, fit)
}

// connectionLimits divides the descriptors between clients and workers.
func connectionLimits(document *platform.Document) (clients, workers int) {
	reserved := reservedDescriptors + document.MaxDescriptors/reservedDescriptorsDivisor
	workers = (document.MaxDescriptors - reserved) / upstreamDescriptorDivisor
	return document.MaxDescriptors - reserved - workers, workers
}

// maxUnreadBytes returns the number of response bytes that each of a number of clients may leave unread.
func maxUnreadBytes(document *platform.Document, clients int) int {
	return max(int(document.MemoryMB*mebibyte/unreadMemoryDivisor)/clients, minUnreadBytes)
}

// upstreamLimits returns the limits of a pool with a maximum number of connections to workers.
func upstreamLimits(document *platform.Document, connections int) upstreamframes.Limits {
	caps := &document.Terms.Limits
	return upstreamframes.Limits{
		DialTimeout:         units.Seconds(caps.DialTimeoutMs / millisecondsPerSecond),
		IdleTimeout:         units.Seconds(caps.IdleTimeoutMs / millisecondsPerSecond * upstreamIdleFraction),
		MaxTotal:            connections,
		MaxPerWorker:        max(connections/perWorkerDivisor, minConnectionsPerWorker),
		MaxStreams:          max(caps.MaxStreams, 1),
		IdempotencyKeyField: downstreamframes.IdempotencyKeyField,
	}
}

// clientLimits returns the limits of client connections and the classes and tenants that requests may name. A deployment
// that lists no tenants accepts all.
func clientLimits(deployment *control.Deployment, ready func() bool) *downstreamframes.Limits {
	timeouts := map[string]units.Seconds{}
	for _, class := range deployment.RequestClasses {
		timeouts[class.Name] = class.Timeout
	}
	tenants := map[string]bool{}
	for _, tenant := range deployment.Tenants {
		tenants[string(tenant.Name)] = true
	}
	return &downstreamframes.Limits{
		MaxOpen:           maxRequestsPerConnection,
		FirstFrameTimeout: firstFrameTimeout,
		FrameTimeout:      frameArrivalTimeout,
		IdleTimeout:       clientIdleTimeout,
		ClassTimeout:      func(class string) units.Seconds { return timeouts[class] },
		HasTenant:         func(name string) bool { return len(tenants) == 0 || tenants[name] },
		IsReady:           ready,
		MaxMemoryMB:       maxReplicaMemoryMB,
		MaxConcurrency:    maxReplicaConcurrency,
		MaxLoadTime:       maxLoadSeconds,
		MaxExpectedWork:   maxWorkSeconds,
	}
}
