package node

import (
	"streamcleat/control"
	downstreamframes "streamcleat/internal/downstream/frames"
	"streamcleat/internal/platform"
	"streamcleat/internal/units"
	upstreamframes "streamcleat/internal/upstream/frames"
)

const (
	// Threads is the value of GOMAXPROCS for a front end. A front end has one core; the second thread runs while the event
	// loop waits in the kernel.
	Threads = 2

	mebibyte = 1 << 20

	// heapFraction is the soft limit of the heap as a fraction of the memory limit. The rest is left for stacks, kernel
	// buffers and uncollected garbage.
	heapFraction = 0.6
	// bodyMemoryDivisor reserves a quarter of the memory for bodies of open requests.
	bodyMemoryDivisor = 4
	// requestOverheadBytes is the memory that an open request takes in addition to its body.
	requestOverheadBytes = 4096
	// unreadMemoryDivisor reserves an eighth of the memory for unread responses, on all client connections together.
	unreadMemoryDivisor = 8
	// minUnreadBytes is the minimum limit of unread response bytes per connection. A limit of less than a few frames would
	// disconnect clients that read slowly.
	minUnreadBytes = 64 << 10

	// reservedDescriptors is the number of file descriptors reserved for the listener, the event loop, the discovery watch,
	// peer datagrams, abandoned dials that have not ended yet, and connections that are closed as soon as they are accepted.
	reservedDescriptors = 24
	// reservedDescriptorsDivisor reserves another sixteenth of all descriptors.
	reservedDescriptorsDivisor = 16
	// upstreamDescriptorDivisor allots a third of the remaining descriptors to connections to workers.
	upstreamDescriptorDivisor = 3
	// perWorkerDivisor limits one worker to a twentieth of the connections to workers.
	perWorkerDivisor = 20
	// minConnectionsPerWorker permits a second connection to a worker while the first is busy.
	minConnectionsPerWorker = 2

	// upstreamIdleFraction is the fraction of the platform's idle timeout after which the front end closes a connection. It
	// is below 1 so that the worker does not close the connection while a request is being sent on it.
	upstreamIdleFraction = 0.6

	millisecondsPerSecond = 1000
)

// overflowClients is the number of connections beyond the limit whose requests are rejected. Their descriptors are among the reserved
// ones.
const overflowClients = 8

// Limits of a client connection. Times are in seconds.
const (
	maxRequestsPerConnection = 32
	firstFrameTimeout        = 2.5
	frameArrivalTimeout      = 2
	clientIdleTimeout        = 5
)

// Upper bounds of values in a request, to reject implausible ones. The configuration document has no settings for them.
const (
	maxReplicaMemoryMB    = 1 << 16
	maxReplicaConcurrency = 256
	maxLoadSeconds        = 600
	maxWorkSeconds        = 600
)

// MemoryLimit returns the soft limit of the heap in bytes that follows from the document.
func MemoryLimit(document *platform.Document) int64 {
	return int64(document.MemoryMB * heapFraction * mebibyte)
}

// maxOpenRequests returns the maximum number of open requests: the platform's limit, or fewer if the memory reserved for
// their bodies does not suffice.
func maxOpenRequests(document *platform.Document) int {
	fittingRequests := int(document.MemoryMB * mebibyte / bodyMemoryDivisor / (downstreamframes.MaxBody + requestOverheadBytes))
	return min(document.Terms.Limits.MaxOpen, fittingRequests)
}

// connectionLimits returns the maximum numbers of connections to clients and to workers.
func connectionLimits(document *platform.Document) (clients, workers int) {
	reserved := reservedDescriptors + document.MaxDescriptors/reservedDescriptorsDivisor
	workers = (document.MaxDescriptors - reserved) / upstreamDescriptorDivisor
	return document.MaxDescriptors - reserved - workers, workers
}

// maxUnreadBytes returns the number of response bytes that each client may leave unread, given the maximum number of clients.
func maxUnreadBytes(document *platform.Document, clients int) int {
	return max(int(document.MemoryMB*mebibyte/unreadMemoryDivisor)/clients, minUnreadBytes)
}

// upstreamLimits returns the limits of the connection pool, given the maximum number of connections to workers.
func upstreamLimits(document *platform.Document, connections int) upstreamframes.Limits {
	platformLimits := &document.Terms.Limits
	return upstreamframes.Limits{
		DialTimeout:         units.Seconds(platformLimits.DialTimeoutMs / millisecondsPerSecond),
		IdleTimeout:         units.Seconds(platformLimits.IdleTimeoutMs / millisecondsPerSecond * upstreamIdleFraction),
		MaxTotal:            connections,
		MaxPerWorker:        max(connections/perWorkerDivisor, minConnectionsPerWorker),
		MaxStreams:          max(platformLimits.MaxStreams, 1),
		IdempotencyKeyField: downstreamframes.IdempotencyKeyField,
	}
}

// clientLimits returns the limits of client connections and the classes and tenants that requests may name. A deployment
// without tenants accepts any tenant.
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
