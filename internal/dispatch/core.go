package dispatch

import (
	"cmp"
	"container/heap"
	"slices"
	"strconv"

	"streamcleat/control"
)

// FunctionProfile is what is known of a function before its first event.
type FunctionProfile struct {
	Concurrency int
	MemoryMB    float64 // MB of one copy
	LoadTime    float64 // usual seconds of a load, 0 where unknown
}

// Settings are the core's own, decoded once at start.
type Settings struct {
	Deployment          *control.Deployment
	Functions           func(name string) FunctionProfile
	ResolveVersion      func(ask *Request) (Binding, FunctionProfile, error) // nil, or a zero Binding: the function has no versions
	VersionAllowed      func(b Binding) bool                                 // whether an earlier binding may still run
	ResponseMargin      float64                                              // seconds before the client's time is up by which the answer leaves
	LoadTimeout         float64                                              // seconds after which a load order counts as unanswered
	MaxOpen             int                                                  // events open at once
	DeduplicationWindow float64                                              // seconds for which final answers are kept for repeats
	MaxCachedBytes      int                                                  // bytes that kept answers may hold; past it the oldest lose their bodies
	Seed                uint64
	CancelAbandoned     bool // a launch that nobody waits for any more is given up, not left to run for a repeat
	TracingDisabled     bool // the ways of events are not noted: they cost time and memory that a small machine lacks
}

// launch is one attempt that is out.
type launch struct {
	job    uint64
	evt    *event
	wk     control.WorkerID
	sentAt float64
	number int
}

type order struct {
	wk     control.WorkerID
	fn     control.FunctionID
	sentAt float64
}

type asker struct {
	to  WaiterID
	due float64
}

type event struct {
	id       control.RequestID
	ask      Request
	bound    Binding
	fn       FunctionProfile
	kind     *control.RequestClass
	askers   []asker
	began    float64
	due      float64
	out      *launch
	launches int
	ended    bool // for the decisions; while out is set it stays open here
	mayRun   bool
	runAt    float64
	wrong    bool // a worker answered with another version
	noted    bool // a note says that it may have run
	steps    []TraceStep
	last     control.Outcome // how its newest launch ended
	warmth   control.StartType
	lastWk   control.WorkerID
}

// kept is what stays known of an event after its end.
type kept struct {
	id     Identity
	answer Response
	until  float64
	mayRun bool // some launch may have run, the first at:
	runAt  float64
	bare   bool // the body was let go for room
	gone   bool // replaced by a newer end of the same event
}

type timerKind uint8

const (
	wake timerKind = iota
	askerDue
	launchDue
	orderDue
)

type timer struct {
	at   float64
	kind timerKind
	key  uint64
	no   uint64 // order of arming, so that equal times fire alike
	evt  *event
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].no < t[j].no
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// Dispatcher is one front end's state. It is not safe for use by two goroutines.
type Dispatcher struct {
	set    Settings
	out    Effects
	router *control.Router
	types  map[string]*control.RequestClass
	now    float64
	next   uint64 // job and event numbers
	armed  uint64
	clock  timers

	events   map[control.RequestID]*event
	open     map[Identity]*event
	asking   map[WaiterID]*event
	flying   map[uint64]*launch
	orders   map[uint64]*order
	kept     map[Identity]*kept
	age      []*kept            // the same by time of their ending
	bindings map[string]Binding // by the decisions' id
	bodies   []*kept            // those that still hold a body, likewise
	weight   int
	stopped  bool
	count    Counts
	traces   traces
}

// Counts are totals since the start.
type Counts struct {
	Accepted, Deduplicated, Replayed            uint64 // events, and repeats answered without one of their own
	Succeeded, Rejected, Failed                 uint64
	Attempts, LoadCommands, TimedOut, Cancelled uint64
	Open, InFlight, Cached, CachedBytes, Timers int // at this moment
	PendingLoads                                int // load orders that are out
}

// New makes a core at the time now, in seconds of a clock that never goes back.
func New(set Settings, out Effects, now float64) *Dispatcher {
	c := &Dispatcher{set: set, out: out, now: now, types: map[string]*control.RequestClass{},
		events: map[control.RequestID]*event{}, open: map[Identity]*event{}, asking: map[WaiterID]*event{},
		flying: map[uint64]*launch{}, orders: map[uint64]*order{}, kept: map[Identity]*kept{}, bindings: map[string]Binding{}}
	for i := range set.Deployment.RequestClasses {
		t := &set.Deployment.RequestClasses[i]
		c.types[t.Name] = t
	}
	c.router = control.New(set.Deployment, set.Seed, (*host)(c), now)
	c.router.OnEndpointUpdate(now, true, true, nil)
	return c
}

// Counts is a copy of the totals.
func (c *Dispatcher) Counts() Counts {
	n := c.count
	n.Open, n.InFlight, n.Cached, n.CachedBytes, n.Timers = len(c.events), len(c.flying), len(c.kept), c.weight, len(c.clock)
	n.PendingLoads = len(c.orders)
	return n
}

// NextTimer is when Tick wants to be called, in seconds of the clock.
func (c *Dispatcher) NextTimer() float64 { return c.clock[0].at }

// Tick fires what has come due.
func (c *Dispatcher) Tick(now float64) {
	c.at(now)
	for len(c.clock) > 0 && c.clock[0].at <= c.now {
		c.fire(heap.Pop(&c.clock).(timer))
	}
}

func (c *Dispatcher) at(now float64) { c.now = max(c.now, now) }

func (c *Dispatcher) arm(after float64, kind timerKind, key uint64, evt *event) {
	c.armed++
	heap.Push(&c.clock, timer{c.now + max(after, 0), kind, key, c.armed, evt})
}

func (c *Dispatcher) fire(t timer) {
	switch t.kind {
	case wake:
		if t.key == 0 {
			c.forget()
		}
		c.router.OnTimer(c.now, t.key)
	case askerDue: // a repeat with less time than the event that it joined
		c.late(t.evt, WaiterID(t.key))
	case launchDue:
		if l := c.flying[t.key]; l != nil {
			c.count.TimedOut++
			c.out.Abandon(l.job)
			c.end(l, WorkerReply{Outcome: control.TimedOut})
		}
	case orderDue:
		if c.orders[t.key] != nil {
			c.out.Abandon(t.key) // its connection must not wait on
			c.OnLoadReply(c.now, t.key, control.TimedOut, 0)
		}
	}
}

// OnEndpointUpdate takes the list of workers or, where full is false, what changed in it.
func (c *Dispatcher) OnEndpointUpdate(now float64, full bool, list []control.Worker) {
	c.at(now)
	c.router.OnEndpointUpdate(c.now, full, false, list)
}

// OnGossip takes a message of another front end.
func (c *Dispatcher) OnGossip(now float64, message []byte) {
	c.at(now)
	c.router.OnGossip(c.now, message)
}

// Submit takes an event for an asker, who gets exactly one Answer, be it before Take returns.
func (c *Dispatcher) Submit(now float64, to WaiterID, ask Request) {
	c.at(now)
	kind := c.types[ask.Class]
	if kind == nil {
		c.refuse(to, ask, Failed, CauseUnknownClass)
		return
	}
	if ask.Timeout == 0 || ask.Timeout > kind.Timeout {
		ask.Timeout = kind.Timeout
	}
	due := c.now + max(ask.Timeout-c.set.ResponseMargin, 0)
	if e := c.open[ask.Identity]; e != nil {
		if ask.RejectDuplicates {
			c.refuse(to, ask, Rejected, CauseDuplicate)
			return
		}
		c.join(e, asker{to, due})
		return
	}
	if k := c.remembered(ask.Identity); k != nil && c.again(k, kind) {
		a := k.answer
		a.Replayed = true
		a.AwaitsRecord = kind.Semantics != control.Idempotent // the note of it may not be on disk yet
		c.count.Replayed++
		c.out.Respond(to, a)
		return
	}
	if c.stopped {
		c.refuse(to, ask, Rejected, CauseShuttingDown)
		return
	}
	if len(c.events) >= c.set.MaxOpen {
		c.refuse(to, ask, Rejected, CauseTooManyOpen)
		return
	}
	e := &event{ask: ask, kind: kind, askers: []asker{{to, due}}, began: c.now, due: due}
	if err := c.bind(e); err != nil {
		c.refuse(to, ask, Failed, CauseNoVersion)
		return
	}
	c.begin(e)
}

// bind settles what an event runs on. A repeat keeps the version of its earlier try, unless that must not run any
// more.
func (c *Dispatcher) bind(e *event) error {
	if e.fn = e.ask.StatedProfile; e.fn.Concurrency == 0 && c.set.Functions != nil {
		e.fn = c.set.Functions(e.ask.Function)
	}
	if c.set.ResolveVersion == nil {
		return nil
	}
	b, fn, err := c.set.ResolveVersion(&e.ask)
	if k := c.kept[e.ask.Identity]; k != nil && k.answer.Binding.ID != "" && k.answer.Binding != b && c.set.VersionAllowed(k.answer.Binding) {
		b, err = k.answer.Binding, nil
	}
	if err != nil || b.ID == "" {
		return err
	}
	e.bound, e.fn = b, fn
	c.bindings[b.ID] = b
	return nil
}

// function is the event's function as the decisions know it.
func (e *event) function() string {
	if e.bound.ID != "" {
		return e.bound.ID
	}
	return e.ask.Function
}

// Preload has a copy of a function loaded that will be asked for soon, if the decisions find that none stands and that
// the ration of load orders leaves room. It tells whether an order went out.
func (c *Dispatcher) Preload(now float64, eventType, function string) bool {
	c.at(now)
	e := &event{ask: Request{Class: eventType, Function: function}}
	if c.bind(e) != nil {
		return false
	}
	return c.router.Preload(c.now, control.Request{Class: eventType, Function: control.FunctionID(e.function()), Concurrency: e.fn.Concurrency,
		Memory: e.fn.MemoryMB, LoadTime: e.fn.LoadTime})
}

// again tells whether a repeat must be answered from what is kept. Only a deferral lets an event run again, and of
// a keyed one only while the workers still know its first run.
func (c *Dispatcher) again(k *kept, kind *control.RequestClass) bool {
	if k.answer.Kind != Rejected {
		return true
	}
	if k.mayRun && kind.Semantics == control.IdempotentByKey && c.now >= k.runAt+kind.DeduplicationWindow {
		k.answer.Kind, k.answer.Cause = Failed, CauseResponseExpired
		return true
	}
	return false
}

// refuse answers an event that was never begun. A deferral promises that a repeat is harmless; here nothing ran
// now, and what ran before is known.
func (c *Dispatcher) refuse(to WaiterID, ask Request, kind ResponseKind, why Cause) {
	a := Response{Kind: kind, Cause: why, Identity: ask.Identity, Class: ask.Class, Function: ask.Function}
	if kind == Rejected {
		a.RetryAfter = c.set.Deployment.MaxRetryAfter
	}
	c.tally(a)
	c.out.Respond(to, a)
	c.out.OnRequestEnd(a, &Trace{Identity: ask.Identity, Class: ask.Class, Function: ask.Function, Tenant: ask.Tenant, StartedAt: c.now,
		Response: a})
}

func (c *Dispatcher) begin(e *event) {
	c.next++
	e.id = control.RequestID(strconv.FormatUint(c.next, 36))
	c.events[e.id], c.open[e.ask.Identity] = e, e
	for _, a := range e.askers {
		c.asking[a.to] = e
	}
	if k := c.kept[e.ask.Identity]; k != nil {
		e.mayRun, e.runAt = k.mayRun, k.runAt
		if e.mayRun && e.kind.Semantics == control.IdempotentByKey { // the decisions know only this try
			e.due = min(e.due, e.runAt+e.kind.DeduplicationWindow)
		}
	}
	c.count.Accepted++
	c.step(e, "taken", "", c.belief(e.function()))
	c.router.OnRequest(c.now, control.Request{ID: e.id, Class: e.ask.Class, Tenant: control.TenantID(e.ask.Tenant),
		Function: control.FunctionID(e.function()), TimeLeft: max(e.due-c.now, 0), Concurrency: e.fn.Concurrency,
		Memory: e.fn.MemoryMB, LoadTime: e.fn.LoadTime, ExpectedWork: e.ask.ExpectedWork, Retried: e.ask.Retried})
}

func (c *Dispatcher) join(e *event, a asker) {
	c.count.Deduplicated++
	c.step(e, "joined", "", "")
	e.askers = append(e.askers, a)
	c.asking[a.to] = e
	if a.due < e.due || e.ended {
		c.arm(a.due-c.now, askerDue, uint64(a.to), e)
	}
}

// late answers one asker whose time is up before the event's own.
func (c *Dispatcher) late(e *event, to WaiterID) {
	if c.asking[to] != e {
		return
	}
	a := c.describe(e, Rejected, CauseDeadlineExceeded)
	if (e.mayRun || e.out != nil) && e.kind.Semantics != control.Idempotent {
		a.Kind = Failed
	} else {
		a.RetryAfter = c.set.Deployment.MaxRetryAfter
	}
	c.drop(e, to)
	c.out.Respond(to, a)
	c.unasked(e)
}

func (c *Dispatcher) drop(e *event, to WaiterID) {
	delete(c.asking, to)
	for i, a := range e.askers {
		if a.to == to {
			e.askers = append(e.askers[:i], e.askers[i+1:]...)
			return
		}
	}
}

// OnCancel tells that an asker left. Nothing more is launched for an event that nobody asks for; what is out runs
// on, so that a repeat finds its answer.
func (c *Dispatcher) OnCancel(now float64, to WaiterID) {
	c.at(now)
	e := c.asking[to]
	if e == nil {
		return
	}
	c.count.Cancelled++
	c.drop(e, to)
	c.unasked(e)
}

func (c *Dispatcher) unasked(e *event) {
	if len(e.askers) > 0 || e.ended {
		return
	}
	e.ended = true
	c.router.OnCancel(c.now, e.id)
	switch {
	case e.out == nil:
		c.close(e, c.describe(e, Rejected, CauseDeadlineExceeded))
	case c.out.CancelUnsent(e.out.job): // it waited for a connection or for its note
		c.end(e.out, WorkerReply{Outcome: control.NotSent})
	case c.set.CancelAbandoned:
		c.out.Abandon(e.out.job)
		c.end(e.out, WorkerReply{Outcome: control.Cancelled})
	}
}

// OnAttemptReply tells how a launch ended. Ends of launches that were abandoned are passed over.
func (c *Dispatcher) OnAttemptReply(now float64, job uint64, r WorkerReply) {
	c.at(now)
	if l := c.flying[job]; l != nil {
		c.end(l, r)
	}
}

func (c *Dispatcher) end(l *launch, r WorkerReply) {
	e := l.evt
	delete(c.flying, l.job)
	if r.Outcome == control.Succeeded && e.bound.ID != "" && r.Digest != e.bound.Digest {
		r.Outcome, e.wrong = control.Failed, true // whatever ran, it was not what was asked for
	}
	e.out, e.last, e.warmth, e.lastWk = nil, r.Outcome, r.Start, l.wk
	c.step(e, results[r.Outcome], string(l.wk), warmths[r.Start])
	if r.Outcome < control.Rejected && !e.mayRun {
		e.mayRun, e.runAt = true, l.sentAt
	}
	ending := control.AttemptResult{Request: e.id, Worker: l.wk, Attempt: l.number, Outcome: r.Outcome,
		Answered: r.Outcome == control.Succeeded && !e.ended, Latency: c.now - l.sentAt, Start: r.Start, Report: r.Report}
	if r.Outcome == control.Succeeded {
		a := c.describe(e, Succeeded, CauseAnswered)
		a.Fields, a.Body = r.Fields, r.Body
		c.close(e, a)
		c.router.OnAttemptResult(c.now, ending)
		return
	}
	wasEnded := e.ended
	c.router.OnAttemptResult(c.now, ending)
	if !wasEnded {
		return // the decisions went on with it, or gave it up through host
	}
	// Everyone had left while it was out. Who has come back since asks for it anew, if it may run again.
	back := e.askers
	safe := !e.mayRun || e.kind.Semantics == control.Idempotent
	if len(back) > 0 && safe && !c.stopped {
		c.unlink(e)
		first := back[0]
		again := &event{ask: e.ask, bound: e.bound, fn: e.fn, kind: e.kind, askers: back, began: c.now, due: first.due}
		for _, a := range back {
			again.due = min(again.due, a.due)
		}
		c.begin(again)
		return
	}
	a := c.describe(e, Rejected, c.why(e))
	if !safe {
		a.Kind = Failed
	}
	c.close(e, a)
}

// OnLoadReply tells how a load order ended: copies is how many stand, 0 where nothing came back.
func (c *Dispatcher) OnLoadReply(now float64, job uint64, res control.Outcome, copies int) {
	c.at(now)
	o := c.orders[job]
	if o == nil {
		return
	}
	delete(c.orders, job)
	c.ordered(string(o.fn), string(o.wk), "load "+results[res], strconv.Itoa(copies)+" copies stand")
	c.router.OnLoadResult(c.now, o.wk, o.fn, res, copies, c.now-o.sentAt)
}

// Drain takes no more events; what is open goes on.
func (c *Dispatcher) Drain(now float64) {
	c.at(now)
	c.stopped = true
}

// Terminate answers at once whatever is still open after a Stop.
func (c *Dispatcher) Terminate(now float64) {
	c.at(now)
	c.stopped = true
	left := make([]*event, 0, len(c.events))
	for _, e := range c.events {
		left = append(left, e)
	}
	slices.SortFunc(left, func(a, b *event) int { return cmp.Compare(a.id, b.id) })
	for _, e := range left {
		if l := e.out; l != nil {
			delete(c.flying, l.job)
			c.out.Abandon(l.job)
			e.mayRun = true
		}
		a := c.describe(e, Rejected, CauseShuttingDown)
		if e.mayRun && e.kind.Semantics != control.Idempotent {
			a.Kind = Failed
		}
		if !e.ended {
			c.router.OnCancel(c.now, e.id)
		}
		c.close(e, a)
	}
}

// Idle tells that nothing is open.
func (c *Dispatcher) Idle() bool { return len(c.events) == 0 }

func (c *Dispatcher) describe(e *event, kind ResponseKind, why Cause) Response {
	return Response{Kind: kind, Cause: why, Worker: string(e.lastWk), Start: e.warmth, Attempts: e.launches,
		Identity: e.ask.Identity, Elapsed: c.now - e.began, Class: e.ask.Class, Function: e.ask.Function,
		Tenant: e.ask.Tenant, Binding: e.bound}
}

func (c *Dispatcher) why(e *event) Cause {
	switch {
	case e.launches == 0 && c.now >= e.due-2*c.set.Deployment.MinRoundInterval:
		return CauseDeadlineExceeded
	case e.launches == 0:
		return CauseNoCapacity
	}
	switch e.last {
	case control.Failed:
		if e.wrong {
			return CauseWrongDigest
		}
		return CauseWorkerFailed
	case control.ConnectionLost, control.Cancelled:
		return CauseConnectionLost
	case control.Rejected:
		return CauseWorkerFull
	case control.Unreachable:
		return CauseWorkerUnreachable
	case control.NotSent:
		return CauseNotStored
	case control.ReplicaMissing:
		return CauseLoadFailed
	}
	return CauseDeadlineExceeded
}

// close gives every asker the final answer and keeps it for repeats.
func (c *Dispatcher) close(e *event, a Response) {
	c.unlink(e)
	for _, w := range e.askers {
		delete(c.asking, w.to)
	}
	// A launch that may have run must not be forgotten, nor an answer given that a restart would take back. What
	// may run again is noted too, but nothing waits for that.
	if e.noted || a.Kind == Succeeded {
		a.AwaitsRecord = e.noted
		n := Record{Kind: RecordRequestEnded, Response: a, MayHaveRun: e.mayRun}
		if e.mayRun {
			n.FirstRunAgo = c.now - e.runAt
		}
		c.out.Store(n)
	}
	c.keep(e, a)
	c.tally(a)
	c.step(e, a.Kind.String(), "", a.Cause.String())
	for i, w := range e.askers {
		a.Replayed = i > 0
		c.out.Respond(w.to, a)
	}
	a.Replayed = false
	t := c.trace(e)
	t.Open, t.Response = false, a
	t.Response.Body, t.Response.Fields = nil, nil
	e.askers = nil
	if !c.set.TracingDisabled {
		c.traces.add(t)
	}
	c.out.OnRequestEnd(a, t)
}

func (c *Dispatcher) unlink(e *event) {
	e.ended = true
	delete(c.events, e.id)
	if c.open[e.ask.Identity] == e {
		delete(c.open, e.ask.Identity)
	}
}

func (c *Dispatcher) tally(a Response) {
	switch a.Kind {
	case Succeeded:
		c.count.Succeeded++
	case Rejected:
		c.count.Rejected++
	case Failed:
		c.count.Failed++
	}
}

func (c *Dispatcher) keep(e *event, a Response) {
	if c.set.DeduplicationWindow <= 0 { // no repeat comes under the same identity
		return
	}
	if old := c.kept[e.ask.Identity]; old != nil {
		old.gone = true
		c.bare(old)
	}
	c.remember(&kept{id: e.ask.Identity, answer: a, until: c.now + c.set.DeduplicationWindow, mayRun: e.mayRun, runAt: e.runAt})
}

func (c *Dispatcher) remember(k *kept) {
	k.answer.AwaitsRecord = false
	c.kept[k.id] = k
	c.age = append(c.age, k)
	c.bodies = append(c.bodies, k)
	c.weight += k.size()
	for c.weight > c.set.MaxCachedBytes && len(c.bodies) > 0 {
		oldest := c.bodies[0]
		c.bodies = c.bodies[1:]
		c.bare(oldest)
	}
}

func (k *kept) size() int { return len(k.answer.Body) }

// bare lets the body go. What may not run twice stays known; a handled event that may is forgotten whole.
func (c *Dispatcher) bare(k *kept) {
	if k.bare {
		return
	}
	c.weight -= k.size()
	k.bare = true
	if k.size() > 0 {
		k.answer.Body, k.answer.Fields = nil, nil
		k.answer.Kind, k.answer.Cause = Failed, CauseResponseExpired
		if t := c.types[k.answer.Class]; t != nil && t.Semantics == control.Idempotent && c.kept[k.id] == k {
			delete(c.kept, k.id)
		}
	}
}

func (c *Dispatcher) remembered(id Identity) *kept {
	k := c.kept[id]
	if k != nil && k.until <= c.now {
		return nil
	}
	return k
}

// forget lets go what no repeat may ask for any more.
func (c *Dispatcher) forget() {
	n := 0
	for n < len(c.age) && (c.age[n].until <= c.now || c.age[n].gone) {
		k := c.age[n]
		if c.kept[k.id] == k {
			delete(c.kept, k.id)
		}
		c.bare(k)
		c.age[n] = nil
		n++
	}
	c.age = c.age[n:]
	for len(c.bodies) > 0 && c.bodies[0].bare {
		c.bodies = c.bodies[1:]
	}
}
