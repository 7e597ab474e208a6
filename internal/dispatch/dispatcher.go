package dispatch

import (
	"cmp"
	"container/heap"
	"slices"

	"streamcleat/control"
)

// Settings configure a [Dispatcher]; they are decoded once at start.
type Settings struct {
	Deployment          *control.Deployment
	Functions           func(name string) FunctionProfile                        // configured profile of a function; nil: none is configured
	ResolveVersion      func(request *Request) (Binding, FunctionProfile, error) // nil, or a zero Binding: the function has no versions
	VersionAllowed      func(binding Binding) bool                               // whether the version of an earlier attempt may still run
	ResponseMargin      float64                                                  // seconds before the client's deadline by which the response leaves
	LoadTimeout         float64                                                  // seconds after which a load command counts as unanswered
	MaxOpen             int                                                      // open requests
	DeduplicationWindow float64                                                  // seconds for which final responses are cached; 0: none are
	MaxCachedBytes      int                                                      // bytes of cached bodies; beyond it the oldest are dropped
	Seed                uint64
	CancelAbandoned     bool // cancel an attempt once its request has no waiter, instead of letting it run for a repeat
	TracingDisabled     bool // record no traces: they cost time and memory
}

// Dispatcher holds the state of one front end. It is not safe for concurrent use.
type Dispatcher struct {
	settings Settings
	effects  Effects
	router   *control.Router
	classes  map[string]*control.RequestClass
	now      float64
	lastID   uint64 // of requests, attempts and load commands
	draining bool

	requests        map[control.RequestID]*openRequest
	openByIdentity  map[Identity]*openRequest
	requestByWaiter map[WaiterID]*openRequest
	inFlight        map[uint64]*activeAttempt
	pendingLoads    map[uint64]*pendingLoad
	bindings        map[string]Binding // by the function's ID for routing
	timers          timerQueue
	timerSequence   uint64
	cache           responseCache
	counts          Counts
	traces          traceLog
}

// Counts are totals since the start and gauges of this moment.
type Counts struct {
	Accepted, Deduplicated, Replayed            uint64 // requests admitted, joined to an open one, answered from the cache
	Succeeded, Rejected, Failed                 uint64
	Attempts, LoadCommands, TimedOut, Cancelled uint64
	Open, InFlight, Cached, CachedBytes, Timers int // at this moment
	PendingLoads                                int // at this moment

	SendsDenied [sendDenialCount]uint64 // attempts that were not written any more, by SendRefusal
}

// New returns a Dispatcher whose clock reads now, in seconds of a clock that never goes back.
func New(settings Settings, effects Effects, now float64) *Dispatcher {
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

// Counts is a copy of the totals with the gauges of this moment.
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

// NextTimer is when [Dispatcher.Tick] must be called next, in seconds of the clock.
func (d *Dispatcher) NextTimer() float64 { return d.timers[0].at }

// Tick fires the timers that are due.
func (d *Dispatcher) Tick(now float64) {
	d.advance(now)
	for len(d.timers) > 0 && d.timers[0].at <= d.now {
		d.fire(heap.Pop(&d.timers).(timer))
	}
}

// advance sets the clock forward; it never goes back.
func (d *Dispatcher) advance(now float64) { d.now = max(d.now, now) }

// nextID draws the ID of a request, attempt or load command.
func (d *Dispatcher) nextID() uint64 {
	d.lastID++
	return d.lastID
}

// OnEndpointUpdate applies an update of the endpoint list.
func (d *Dispatcher) OnEndpointUpdate(now float64, scope control.UpdateScope, workers []control.Worker) {
	d.advance(now)
	d.router.OnEndpointUpdate(d.now, scope, workers)
}

// OnGossip takes a message of another front end.
func (d *Dispatcher) OnGossip(now float64, message []byte) {
	d.advance(now)
	d.router.OnGossip(d.now, message)
}

// Submit takes a request for a waiter, who gets exactly one response unless it cancels. The response may be given
// before Submit returns.
func (d *Dispatcher) Submit(now float64, to WaiterID, request Request) {
	d.advance(now)
	class := d.classes[request.Class]
	if class == nil {
		d.refuse(to, request, Failed, CauseUnknownClass)
		return
	}
	if request.Timeout == 0 || request.Timeout > class.Timeout {
		request.Timeout = class.Timeout
	}
	deadline := d.now + max(request.Timeout-request.QueueTime-d.settings.ResponseMargin, 0)
	if req := d.openByIdentity[request.Identity]; req != nil {
		if request.RejectDuplicates {
			d.refuse(to, request, Rejected, CauseDuplicate)
			return
		}
		d.join(req, waiter{id: to, deadline: deadline})
		return
	}
	if cached := d.cache.lookup(request.Identity, d.now); cached != nil && cached.mustReplay(class, d.now) {
		d.replay(to, cached, class)
		return
	}
	if d.draining {
		d.refuse(to, request, Rejected, CauseShuttingDown)
		return
	}
	if len(d.requests) >= d.settings.MaxOpen {
		d.refuse(to, request, Rejected, CauseTooManyOpen)
		return
	}
	req := &openRequest{
		request:   request,
		class:     class,
		waiters:   []waiter{{id: to, deadline: deadline}},
		startedAt: d.now,
		deadline:  deadline,
	}
	if err := d.resolveFunction(req); err != nil {
		d.refuse(to, request, Failed, CauseNoVersion)
		return
	}
	d.admit(req)
}

// Preload has a replica of a function loaded that will be needed soon, if routing finds that none is loaded and that the
// budget of load commands allows it. It reports whether a load command was sent.
func (d *Dispatcher) Preload(now float64, class, function string) bool {
	d.advance(now)
	req := &openRequest{request: Request{Class: class, Function: function}}
	if d.resolveFunction(req) != nil {
		return false
	}
	return d.router.Preload(d.now, req.routingRequest(0))
}

// Drain admits no more requests; those that are open go on.
func (d *Dispatcher) Drain(now float64) {
	d.advance(now)
	d.draining = true
}

// Terminate drains and ends every open request at once.
func (d *Dispatcher) Terminate(now float64) {
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

// terminateRequest ends one open request, and abandons its attempt, because the front end stops.
func (d *Dispatcher) terminateRequest(req *openRequest) {
	if attempt := req.attempt; attempt != nil {
		delete(d.inFlight, attempt.id)
		d.effects.Abandon(attempt.id)
		req.attempt = nil
		req.mayHaveRun = true
	}
	response := d.newResponse(req, Rejected, CauseShuttingDown)
	if !req.safeToRepeat() {
		response.Kind = Failed
	}
	if !req.released {
		d.router.OnCancel(d.now, req.id)
	}
	d.complete(req, response)
}

// Idle reports that no request is open.
func (d *Dispatcher) Idle() bool { return len(d.requests) == 0 }
