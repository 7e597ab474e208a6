package node

import (
	"streamcleat/control"
	downstreamframes "streamcleat/internal/downstream/frames"
	"streamcleat/internal/platform"
	upstreamframes "streamcleat/internal/upstream/frames"
)

const (
	// Threads is for one core: a second thread only takes over while the event loop waits in the kernel.
	Threads = 2

	mebibyte = 1 << 20

	// heapShare is the part of the memory at which the garbage collector works hardest; the rest is for stacks, the
	// kernel's buffers and garbage that is not collected yet.
	heapShare = 0.6
	// bodyMemoryDivisor keeps a quarter of the memory for bodies of open requests.
	bodyMemoryDivisor = 4
	// requestOverheadBytes is what an open request takes beside its body.
	requestOverheadBytes = 4096
	// unreadMemoryDivisor keeps an eighth of the memory for responses that clients leave unread, on all connections
	// together.
	unreadMemoryDivisor = 8
	// minUnreadBytes may be left unread on one connection in any case: less than a few frames would cut off clients
	// that read slowly.
	minUnreadBytes = 64 << 10

	// Descriptors for the listener, the loop, the journal service, datagrams, dials that were given up and have not ended,
	// and connections that are closed as soon as they are accepted.
	reservedDescriptors        = 24
	reservedDescriptorsDivisor = 16 // one of so many is kept back besides
	// upstreamDescriptorDivisor gives a third of the other descriptors to connections to workers.
	upstreamDescriptorDivisor = 3
	// One worker gets a twentieth of the connections, but two at least: a second one while the first is busy.
	perWorkerDivisor        = 20
	minConnectionsPerWorker = 2

	// upstreamIdleShare is the part of the platform's idle time after which a connection to a worker is closed here: the
	// worker must not close it under a request.
	upstreamIdleShare = 0.6

	millisecondsPerSecond = 1000
)

// Limits of client connections, in seconds, and of what requests may name: figures that some machine could bear.
const (
	maxRequestsPerConnection = 32
	firstFrameTimeout        = 2.5
	frameArrivalTimeout      = 2
	clientIdleTimeout        = 5
	maxReplicaMemoryMB       = 1 << 16
	maxReplicaConcurrency    = 256
	maxLoadSeconds           = 600
	maxWorkSeconds           = 600
)

// MemoryLimit is the soft limit of the heap in bytes.
func MemoryLimit(document *platform.Document) int64 {
	return int64(document.MemoryMB * heapShare * mebibyte)
}

// maxOpenRequests is how many requests may be open: as many as the platform takes, and as their bodies fit into memory.
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

// maxUnreadBytes is how much of its responses each of so many clients may leave unread.
func maxUnreadBytes(document *platform.Document, clients int) int {
	return max(int(document.MemoryMB*mebibyte/unreadMemoryDivisor)/clients, minUnreadBytes)
}

// upstreamLimits are those of all connections to workers.
func upstreamLimits(document *platform.Document, connections int) upstreamframes.Limits {
	caps := &document.Terms.Limits
	return upstreamframes.Limits{
		DialTimeout:         caps.DialTimeoutMs / millisecondsPerSecond,
		IdleTimeout:         caps.IdleTimeoutMs / millisecondsPerSecond * upstreamIdleShare,
		MaxTotal:            connections,
		MaxPerWorker:        max(connections/perWorkerDivisor, minConnectionsPerWorker),
		MaxStreams:          max(caps.MaxStreams, 1),
		IdempotencyKeyField: downstreamframes.IdempotencyKeyField,
	}
}

// clientLimits are what requests may name: what the deployment does, and figures that some machine could bear.
func clientLimits(deployment *control.Deployment, ready func() bool) *downstreamframes.Limits {
	timeouts := map[string]float64{}
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
		ClassTimeout:      func(class string) float64 { return timeouts[class] },
		HasTenant:         func(name string) bool { return len(tenants) == 0 || tenants[name] },
		IsReady:           ready,
		MaxMemoryMB:       maxReplicaMemoryMB,
		MaxConcurrency:    maxReplicaConcurrency,
		MaxLoadTime:       maxLoadSeconds,
		MaxExpectedWork:   maxWorkSeconds,
	}
}
