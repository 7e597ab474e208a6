package dispatch

import (
	"cmp"
	"container/heap"
	"slices"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// Settings configures a [Dispatcher]. Times are in seconds.
type Settings struct {
	Deployment *control.Deployment
	// Functions returns the configured profile of a function. If it is nil, no profiles are configured.
	Functions func(name string) FunctionProfile
	// ResolveVersion binds a request to a version of its function. If it is nil or returns a zero Binding, the function has
	// no versions.
	ResolveVersion func(request *Request) (Binding, FunctionProfile, error)
	// VersionAllowed reports whether the version of an earlier attempt may still run. It is set if ResolveVersion is.
	VersionAllowed func(binding Binding) bool
	// ResponseMargin is how long before the client's deadline the response is sent at the latest.
	ResponseMargin units.Seconds
	// LoadTimeout is the time after which a load command is abandoned.
	LoadTimeout units.Seconds
	// MaxOpen is the maximum number of open requests.
	MaxOpen int
	// DeduplicationWindow is the time for which final responses are cached. If it is 0, none are.
	DeduplicationWindow units.Seconds
	// MaxCachedBytes is the maximum total size of cached bodies. Beyond it the oldest are dropped.
	MaxCachedBytes int
	Seed           uint64
	// CancelAbandoned cancels an attempt once its request has no waiter, instead of keeping its response for a retry.
	CancelAbandoned bool
	// TracingDisabled turns off traces, which take time and memory.
	TracingDisabled bool
}

// Dispatcher manages the requests of one front end. It is not safe for concurrent use.
type Dispatcher struct {
	settings Settings
	effects  Effects
	router   *control.Router
	classes  map[string]*control.RequestClass
	now      units.Seconds
	lastID   uint64 // shared by requests, attempts and load commands
	draining bool

	requests        map[control.RequestID]*openRequest
	openByIdentity  map[Identity]*openRequest
	requestByWaiter map[WaiterID]*openRequest
	inFlight        map[uint64]*activeAttempt
	pendingLoads    map[uint64]*pendingLoad
	bindings        map[string]Binding // by Binding.ID
	timers          timerQueue
	timerSequence   uint64
	cache           responseCache
	executed        executedRequests
	counts          Counts
	traces          traceLog
}

// Counts holds totals since the start, and gauges.
type Counts struct {
	Accepted, Deduplicated, Replayed            uint64 // requests admitted, joined to an open one, served from the cache
	Succeeded, Rejected, Failed                 uint64 // final responses by kind
	Attempts, LoadCommands, TimedOut, Cancelled uint64 // attempts, load commands, attempt timeouts, canceled waiters
	Queries                                     uint64 // replica queries to workers

	Open, InFlight, Cached, CachedBytes, Timers, PendingLoads int // gauges

	SendsDenied [sendDenialCount]uint64 // total, by SendDenial
}

// New returns a Dispatcher. now is the current time in seconds of a monotonic clock.
func New(settings Settings, effects Effects, now units.Seconds) *Dispatcher {
	d := &Dispatcher{
		settings:        settings,
		effects:         effects,
		now:             now,
		classes:         map[string]*control.RequestClass{},
		requests:        map[control.RequestID]*openRequest{},
		openByIdentity:  map[Identity]*openRequest{},
		requestByWaiter: map[WaiterID]*openRequest{},
		inFlight:        map[uint64]*activeAttempt{},
		pendingLoads:    map[uint64]*pendingLoad{},
		bindings:        map[string]Binding{},
	}
	for i := range settings.Deployment.RequestClasses {
		class := &settings.Deployment.RequestClasses[i]
		d.classes[class.Name] = class
	}
	d.cache = newResponseCache(d.classes, settings.MaxCachedBytes)
	d.router = control.New(settings.Deployment, settings.Seed, routingHost{d}, now)
	d.router.Start()
	d.router.OnEndpointUpdate(now, control.Snapshot, nil)
	return d
}

// Counts returns the current counts.
func (d *Dispatcher) Counts() Counts {
	counts := d.counts
	counts.Open = len(d.requests)
	counts.InFlight = len(d.inFlight)
	counts.Cached = d.cache.len()
	counts.CachedBytes = d.cache.bodyBytes
	counts.Timers = len(d.timers)
	counts.PendingLoads = len(d.pendingLoads)
	return counts
}

// NextTimer returns the time at which [Dispatcher.Tick] must be called next.
func (d *Dispatcher) NextTimer() units.Seconds { return d.timers[0].at }

// Tick advances the clock and runs the timers that are due.
func (d *Dispatcher) Tick(now units.Seconds) {
	d.advance(now)
	for len(d.timers) > 0 && d.timers[0].at <= d.now {
		due := d.timers[0]
		heap.Pop(&d.timers)
		d.fireTimer(due)
	}
}

// advance moves the clock forward, never backward.
func (d *Dispatcher) advance(now units.Seconds) { d.now = max(d.now, now) }

// nextID returns a new ID for a request, attempt or load command.
func (d *Dispatcher) nextID() uint64 {
	d.lastID++
	return d.lastID
}

// OnEndpointUpdate applies an update of the endpoint list.
func (d *Dispatcher) OnEndpointUpdate(now units.Seconds, scope control.UpdateScope, workers []control.Worker) {
	d.advance(now)
	d.router.OnEndpointUpdate(d.now, scope, workers)
}

// OnDiscoveryAvailable records that discovery is available: the endpoint list was complete at asOf or later.
func (d *Dispatcher) OnDiscoveryAvailable(now, asOf units.Seconds) {
	d.advance(now)
	d.router.OnDiscoveryAvailable(d.now, asOf)
}

// OnDiscoveryUnavailable records a discovery outage: updates of the endpoint list do not arrive for now.
func (d *Dispatcher) OnDiscoveryUnavailable(now units.Seconds) {
	d.advance(now)
	d.router.OnDiscoveryUnavailable(d.now)
}

// DrainingByRejection returns the workers that are considered draining because they rejected messages while discovery was
// unavailable.
func (d *Dispatcher) DrainingByRejection() []control.WorkerID { return d.router.DrainingByRejection() }

// CanServe reports whether requests may be sent to at least one worker now.
func (d *Dispatcher) CanServe(now units.Seconds) bool {
	d.advance(now)
	return d.router.CanServe(d.now)
}

// OnDisconnected records that the last established connection to a worker has ended.
func (d *Dispatcher) OnDisconnected(now units.Seconds, worker control.WorkerID) {
	d.advance(now)
	d.router.OnDisconnected(d.now, worker)
}

// OnProcessUncertain records that a new connection to a worker may reach another process than the earlier ones. It reports
// whether that is to be found out at once.
func (d *Dispatcher) OnProcessUncertain(now units.Seconds, worker control.WorkerID) (verify bool) {
	d.advance(now)
	return d.router.OnProcessUncertain(d.now, worker)
}

// OnProcessConfirmed records that all connections to a worker reach the same process.
func (d *Dispatcher) OnProcessConfirmed(now units.Seconds, worker control.WorkerID) {
	d.advance(now)
	d.router.OnProcessConfirmed(d.now, worker)
}

// OnGossip processes a gossip message from another front end.
func (d *Dispatcher) OnGossip(now units.Seconds, message []byte) {
	d.advance(now)
	d.router.OnGossip(d.now, message)
}

// Submit submits a request on behalf of a waiter, which gets exactly one response unless it cancels. The response may be
// delivered before Submit returns.
func (d *Dispatcher) Submit(now units.Seconds, to WaiterID, request Request) {
	d.advance(now)
	class := d.classes[request.Class]
	if class == nil {
		d.denyAdmission(to, request, Failed, CauseUnknownClass)
		return
	}
	if request.Timeout == 0 || request.Timeout > class.Timeout {
		request.Timeout = class.Timeout
	}
	deadline := d.now + max(request.Timeout-request.QueueTime-d.settings.ResponseMargin, 0)
	if req := d.openByIdentity[request.Identity]; req != nil {
		if request.RejectDuplicates {
			d.denyAdmission(to, request, Rejected, CauseDuplicate)
			return
		}
		d.join(req, waiter{id: to, deadline: deadline})
		return
	}
	if cached := d.cache.lookup(request.Identity, d.now); cached != nil {
		cached.failIfRepeatUnsafe(class, d.now)
		if cached.mustReplay() {
			d.replay(to, cached, class)
			return
		}
	}
	executed, mayBeExecuted := d.executed.get(d.now, request.Identity)
	if mayBeExecuted && isRepeatUnsafe(executed.class, executed.firstExecutedAt, d.now) {
		d.denyAdmission(to, request, Failed, CauseDuplicate)
		return
	}
	if d.draining {
		d.denyAdmission(to, request, Rejected, CauseShuttingDown)
		return
	}
	if len(d.requests) >= d.settings.MaxOpen {
		d.denyAdmission(to, request, Rejected, CauseTooManyOpen)
		return
	}
	req := &openRequest{
		request:   request,
		class:     class,
		waiters:   []waiter{{id: to, deadline: deadline}},
		startedAt: d.now,
		deadline:  deadline,
	}
	req.possiblyExecuted, req.firstExecutedAt = mayBeExecuted, executed.firstExecutedAt
	if err := d.resolveFunction(req); err != nil {
		d.denyAdmission(to, request, Failed, CauseNoVersion)
		return
	}
	d.admit(req)
}

// Preload loads a replica of a function that will be requested soon, if the router knows of no loaded replica and the
// quota of load commands allows it. It reports whether a load command was sent.
func (d *Dispatcher) Preload(now units.Seconds, class, function string) bool {
	d.advance(now)
	req := &openRequest{request: Request{Class: class, Function: function}}
	if d.resolveFunction(req) != nil {
		return false
	}
	return d.router.Preload(d.now, req.routingRequest(0))
}

// Drain stops admitting requests. Open requests continue.
func (d *Dispatcher) Drain(now units.Seconds) {
	d.advance(now)
	d.draining = true
}

// Terminate stops admitting requests and ends every open request immediately.
func (d *Dispatcher) Terminate(now units.Seconds) {
	d.advance(now)
	d.draining = true
	open := make([]*openRequest, 0, len(d.requests))
	for _, req := range d.requests {
		open = append(open, req)
	}
	slices.SortFunc(open, func(a, b *openRequest) int { return cmp.Compare(a.id, b.id) })
	for _, req := range open {
		d.terminateRequest(req)
	}
}

// terminateRequest ends an open request and abandons its attempt.
func (d *Dispatcher) terminateRequest(req *openRequest) {
	if attempt := req.attempt; attempt != nil {
		delete(d.inFlight, attempt.id)
		d.effects.Abandon(attempt.id)
		req.attempt = nil
		req.possiblyExecuted = true
	}
	response := d.newResponse(req, Rejected, CauseShuttingDown)
	if !req.isSafeToRetry() {
		response.Kind = Failed
	}
	if !req.released {
		d.router.OnCancel(d.now, req.id)
	}
	d.complete(req, response)
}

// Idle reports whether no request is open.
func (d *Dispatcher) Idle() bool { return len(d.requests) == 0 }
