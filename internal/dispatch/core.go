package dispatch

import (
	"cmp"
	"container/heap"
	"slices"
	"strconv"

	"streamcleat/control"
)

// Function is what is known of a function before its first event.
type Function struct {
	Lanes  int
	Memory float64 // MB of one copy
	Load   float64 // usual seconds of a load, 0 where unknown
}

// Settings are the core's own, decoded once at start.
type Settings struct {
	Deployment   *control.Deployment
	Functions    func(name string) Function
	Bind         func(ask *Ask) (Binding, Function, error) // nil, or a zero Binding: the function has no versions
	MayRun       func(b Binding) bool                      // whether an earlier binding may still run
	Margin       float64                                   // seconds before the client's time is up by which the answer leaves
	OrderLimit   float64                                   // seconds after which a load order counts as unanswered
	MostOpen     int                                       // events open at once
	Remember     float64                                   // seconds for which final answers are kept for repeats
	RememberMost int                                       // bytes that kept answers may hold; past it the oldest lose their bodies
	Seed         uint64
	GiveUp       bool // a launch that nobody waits for any more is given up, not left to run for a repeat
	Untraced     bool // the ways of events are not noted: they cost time and memory that a small machine lacks
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
	to  Asker
	due float64
}

type event struct {
	id       control.EventID
	ask      Ask
	bound    Binding
	fn       Function
	kind     *control.EventType
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
	steps    []Step
	last     control.Result // how its newest launch ended
	warmth   control.Warmth
	lastWk   control.WorkerID
}

// kept is what stays known of an event after its end.
type kept struct {
	id     Identity
	answer Answer
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

// Core is one front end's state. It is not safe for use by two goroutines.
type Core struct {
	set    Settings
	out    Outside
	router *control.Router
	types  map[string]*control.EventType
	now    float64
	next   uint64 // job and event numbers
	armed  uint64
	clock  timers

	events   map[control.EventID]*event
	open     map[Identity]*event
	asking   map[Asker]*event
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
	Taken, Joined, FromKept             uint64 // events, and repeats answered without one of their own
	Handled, Deferred, DeadLettered     uint64
	Launches, Orders, Abandoned, HungUp uint64
	Open, Out, Kept, KeptBytes, Armed   int // at this moment
	Loading                             int // load orders that are out
}

// New makes a core at the time now, in seconds of a clock that never goes back.
func New(set Settings, out Outside, now float64) *Core {
	c := &Core{set: set, out: out, now: now, types: map[string]*control.EventType{},
		events: map[control.EventID]*event{}, open: map[Identity]*event{}, asking: map[Asker]*event{},
		flying: map[uint64]*launch{}, orders: map[uint64]*order{}, kept: map[Identity]*kept{}, bindings: map[string]Binding{}}
	for i := range set.Deployment.EventTypes {
		t := &set.Deployment.EventTypes[i]
		c.types[t.Name] = t
	}
	c.router = control.New(set.Deployment, set.Seed, (*host)(c), now)
	c.router.List(now, true, true, nil)
	return c
}

// Counts is a copy of the totals.
func (c *Core) Counts() Counts {
	n := c.count
	n.Open, n.Out, n.Kept, n.KeptBytes, n.Armed = len(c.events), len(c.flying), len(c.kept), c.weight, len(c.clock)
	n.Loading = len(c.orders)
	return n
}

// Next is when Tick wants to be called, in seconds of the clock.
func (c *Core) Next() float64 { return c.clock[0].at }

// Tick fires what has come due.
func (c *Core) Tick(now float64) {
	c.at(now)
	for len(c.clock) > 0 && c.clock[0].at <= c.now {
		c.fire(heap.Pop(&c.clock).(timer))
	}
}

func (c *Core) at(now float64) { c.now = max(c.now, now) }

func (c *Core) arm(after float64, kind timerKind, key uint64, evt *event) {
	c.armed++
	heap.Push(&c.clock, timer{c.now + max(after, 0), kind, key, c.armed, evt})
}

func (c *Core) fire(t timer) {
	switch t.kind {
	case wake:
		if t.key == 0 {
			c.forget()
		}
		c.router.Woken(c.now, t.key)
	case askerDue: // a repeat with less time than the event that it joined
		c.late(t.evt, Asker(t.key))
	case launchDue:
		if l := c.flying[t.key]; l != nil {
			c.count.Abandoned++
			c.out.Abandon(l.job)
			c.end(l, Reply{Result: control.TimedOut})
		}
	case orderDue:
		if c.orders[t.key] != nil {
			c.out.Abandon(t.key) // its connection must not wait on
			c.Loaded(c.now, t.key, control.TimedOut, 0)
		}
	}
}

// Workers takes the list of workers or, where full is false, what changed in it.
func (c *Core) Workers(now float64, full bool, list []control.Worker) {
	c.at(now)
	c.router.List(c.now, full, false, list)
}

// Told takes a message of another front end.
func (c *Core) Told(now float64, message []byte) {
	c.at(now)
	c.router.Told(c.now, message)
}

// Take takes an event for an asker, who gets exactly one Answer, be it before Take returns.
func (c *Core) Take(now float64, to Asker, ask Ask) {
	c.at(now)
	kind := c.types[ask.Type]
	if kind == nil {
		c.refuse(to, ask, DeadLettered, Unknown)
		return
	}
	if ask.Wait == 0 || ask.Wait > kind.MaxAge {
		ask.Wait = kind.MaxAge
	}
	due := c.now + max(ask.Wait-c.set.Margin, 0)
	if e := c.open[ask.Identity]; e != nil {
		if ask.Alone {
			c.refuse(to, ask, Deferred, Duplicate)
			return
		}
		c.join(e, asker{to, due})
		return
	}
	if k := c.remembered(ask.Identity); k != nil && c.again(k, kind) {
		a := k.answer
		a.Repeat = true
		a.Firm = kind.Repeat != control.Redeliverable // the note of it may not be on disk yet
		c.count.FromKept++
		c.out.Answer(to, a)
		return
	}
	if c.stopped {
		c.refuse(to, ask, Deferred, Stopping)
		return
	}
	if len(c.events) >= c.set.MostOpen {
		c.refuse(to, ask, Deferred, Overflow)
		return
	}
	e := &event{ask: ask, kind: kind, askers: []asker{{to, due}}, began: c.now, due: due}
	if err := c.bind(e); err != nil {
		c.refuse(to, ask, DeadLettered, NoVersion)
		return
	}
	c.begin(e)
}

// bind settles what an event runs on. A repeat keeps the version of its earlier try, unless that must not run any
// more.
func (c *Core) bind(e *event) error {
	if e.fn = e.ask.Stated; e.fn.Lanes == 0 && c.set.Functions != nil {
		e.fn = c.set.Functions(e.ask.Function)
	}
	if c.set.Bind == nil {
		return nil
	}
	b, fn, err := c.set.Bind(&e.ask)
	if k := c.kept[e.ask.Identity]; k != nil && k.answer.Binding.ID != "" && k.answer.Binding != b && c.set.MayRun(k.answer.Binding) {
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

// Ahead has a copy of a function loaded that will be asked for soon, if the decisions find that none stands and that
// the ration of load orders leaves room. It tells whether an order went out.
func (c *Core) Ahead(now float64, eventType, function string) bool {
	c.at(now)
	e := &event{ask: Ask{Type: eventType, Function: function}}
	if c.bind(e) != nil {
		return false
	}
	return c.router.Ahead(c.now, control.Event{Type: eventType, Function: control.FunctionID(e.function()), Lanes: e.fn.Lanes,
		Memory: e.fn.Memory, Load: e.fn.Load})
}

// again tells whether a repeat must be answered from what is kept. Only a deferral lets an event run again, and of
// a keyed one only while the workers still know its first run.
func (c *Core) again(k *kept, kind *control.EventType) bool {
	if k.answer.Kind != Deferred {
		return true
	}
	if k.mayRun && kind.Repeat == control.Keyed && c.now >= k.runAt+kind.Remembered {
		k.answer.Kind, k.answer.Cause = DeadLettered, Forgotten
		return true
	}
	return false
}

// refuse answers an event that was never begun. A deferral promises that a repeat is harmless; here nothing ran
// now, and what ran before is known.
func (c *Core) refuse(to Asker, ask Ask, kind Kind, why Cause) {
	a := Answer{Kind: kind, Cause: why, Identity: ask.Identity, EventType: ask.Type, FunctionID: ask.Function}
	if kind == Deferred {
		a.Pause = c.set.Deployment.MaxPause
	}
	c.tally(a)
	c.out.Answer(to, a)
	c.out.Ended(a, &Trace{Identity: ask.Identity, Type: ask.Type, Function: ask.Function, Tenant: ask.Tenant, Began: c.now,
		Answer: a})
}

func (c *Core) begin(e *event) {
	c.next++
	e.id = control.EventID(strconv.FormatUint(c.next, 36))
	c.events[e.id], c.open[e.ask.Identity] = e, e
	for _, a := range e.askers {
		c.asking[a.to] = e
	}
	if k := c.kept[e.ask.Identity]; k != nil {
		e.mayRun, e.runAt = k.mayRun, k.runAt
		if e.mayRun && e.kind.Repeat == control.Keyed { // the decisions know only this try
			e.due = min(e.due, e.runAt+e.kind.Remembered)
		}
	}
	c.count.Taken++
	c.step(e, "taken", "", c.belief(e.function()))
	c.router.Event(c.now, control.Event{ID: e.id, Type: e.ask.Type, Tenant: control.TenantID(e.ask.Tenant),
		Function: control.FunctionID(e.function()), Left: max(e.due-c.now, 0), Lanes: e.fn.Lanes,
		Memory: e.fn.Memory, Load: e.fn.Load, Work: e.ask.Work, Repeated: e.ask.Repeated})
}

func (c *Core) join(e *event, a asker) {
	c.count.Joined++
	c.step(e, "joined", "", "")
	e.askers = append(e.askers, a)
	c.asking[a.to] = e
	if a.due < e.due || e.ended {
		c.arm(a.due-c.now, askerDue, uint64(a.to), e)
	}
}

// late answers one asker whose time is up before the event's own.
func (c *Core) late(e *event, to Asker) {
	if c.asking[to] != e {
		return
	}
	a := c.describe(e, Deferred, TimeUp)
	if (e.mayRun || e.out != nil) && e.kind.Repeat != control.Redeliverable {
		a.Kind = DeadLettered
	} else {
		a.Pause = c.set.Deployment.MaxPause
	}
	c.drop(e, to)
	c.out.Answer(to, a)
	c.unasked(e)
}

func (c *Core) drop(e *event, to Asker) {
	delete(c.asking, to)
	for i, a := range e.askers {
		if a.to == to {
			e.askers = append(e.askers[:i], e.askers[i+1:]...)
			return
		}
	}
}

// HungUp tells that an asker left. Nothing more is launched for an event that nobody asks for; what is out runs
// on, so that a repeat finds its answer.
func (c *Core) HungUp(now float64, to Asker) {
	c.at(now)
	e := c.asking[to]
	if e == nil {
		return
	}
	c.count.HungUp++
	c.drop(e, to)
	c.unasked(e)
}

func (c *Core) unasked(e *event) {
	if len(e.askers) > 0 || e.ended {
		return
	}
	e.ended = true
	c.router.HungUp(c.now, e.id)
	switch {
	case e.out == nil:
		c.close(e, c.describe(e, Deferred, TimeUp))
	case c.out.Withdraw(e.out.job): // it waited for a connection or for its note
		c.end(e.out, Reply{Result: control.NeverSent})
	case c.set.GiveUp:
		c.out.Abandon(e.out.job)
		c.end(e.out, Reply{Result: control.Cancelled})
	}
}

// Launched tells how a launch ended. Ends of launches that were abandoned are passed over.
func (c *Core) Launched(now float64, job uint64, r Reply) {
	c.at(now)
	if l := c.flying[job]; l != nil {
		c.end(l, r)
	}
}

func (c *Core) end(l *launch, r Reply) {
	e := l.evt
	delete(c.flying, l.job)
	if r.Result == control.Handled && e.bound.ID != "" && r.Digest != e.bound.Digest {
		r.Result, e.wrong = control.Failed, true // whatever ran, it was not what was asked for
	}
	e.out, e.last, e.warmth, e.lastWk = nil, r.Result, r.Warmth, l.wk
	c.step(e, results[r.Result], string(l.wk), warmths[r.Warmth])
	if r.Result < control.TurnedAway && !e.mayRun {
		e.mayRun, e.runAt = true, l.sentAt
	}
	ending := control.Ending{Event: e.id, Worker: l.wk, Launch: l.number, Result: r.Result,
		Settled: r.Result == control.Handled && !e.ended, Took: c.now - l.sentAt, Warmth: r.Warmth, Report: r.Report}
	if r.Result == control.Handled {
		a := c.describe(e, Handled, Answered)
		a.Fields, a.Body = r.Fields, r.Body
		c.close(e, a)
		c.router.Ended(c.now, ending)
		return
	}
	wasEnded := e.ended
	c.router.Ended(c.now, ending)
	if !wasEnded {
		return // the decisions went on with it, or gave it up through host
	}
	// Everyone had left while it was out. Who has come back since asks for it anew, if it may run again.
	back := e.askers
	safe := !e.mayRun || e.kind.Repeat == control.Redeliverable
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
	a := c.describe(e, Deferred, c.why(e))
	if !safe {
		a.Kind = DeadLettered
	}
	c.close(e, a)
}

// Loaded tells how a load order ended: copies is how many stand, 0 where nothing came back.
func (c *Core) Loaded(now float64, job uint64, res control.Result, copies int) {
	c.at(now)
	o := c.orders[job]
	if o == nil {
		return
	}
	delete(c.orders, job)
	c.ordered(string(o.fn), string(o.wk), "load "+results[res], strconv.Itoa(copies)+" copies stand")
	c.router.Held(c.now, o.wk, o.fn, res, copies, c.now-o.sentAt)
}

// Stop takes no more events; what is open goes on.
func (c *Core) Stop(now float64) {
	c.at(now)
	c.stopped = true
}

// Finish answers at once whatever is still open after a Stop.
func (c *Core) Finish(now float64) {
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
		a := c.describe(e, Deferred, Stopping)
		if e.mayRun && e.kind.Repeat != control.Redeliverable {
			a.Kind = DeadLettered
		}
		if !e.ended {
			c.router.HungUp(c.now, e.id)
		}
		c.close(e, a)
	}
}

// Quiet tells that nothing is open.
func (c *Core) Quiet() bool { return len(c.events) == 0 }

func (c *Core) describe(e *event, kind Kind, why Cause) Answer {
	return Answer{Kind: kind, Cause: why, Worker: string(e.lastWk), Warmth: e.warmth, Launches: e.launches,
		Identity: e.ask.Identity, After: c.now - e.began, EventType: e.ask.Type, FunctionID: e.ask.Function,
		Tenant: e.ask.Tenant, Binding: e.bound}
}

func (c *Core) why(e *event) Cause {
	switch {
	case e.launches == 0 && c.now >= e.due-2*c.set.Deployment.RoundGap:
		return TimeUp
	case e.launches == 0:
		return NoRoom
	}
	switch e.last {
	case control.Failed:
		if e.wrong {
			return WrongDigest
		}
		return WorkerFailed
	case control.Broken, control.Cancelled:
		return WorkerBroke
	case control.TurnedAway:
		return WorkerFull
	case control.Unreachable:
		return WorkerGone
	case control.NeverSent:
		return NotKept
	case control.Missed:
		return LoadFailed
	}
	return TimeUp
}

// close gives every asker the final answer and keeps it for repeats.
func (c *Core) close(e *event, a Answer) {
	c.unlink(e)
	for _, w := range e.askers {
		delete(c.asking, w.to)
	}
	// A launch that may have run must not be forgotten, nor an answer given that a restart would take back. What
	// may run again is noted too, but nothing waits for that.
	if e.noted || a.Kind == Handled {
		a.Firm = e.noted
		n := Note{Kind: NoteEnded, Answer: a, MayRun: e.mayRun}
		if e.mayRun {
			n.RanAgo = c.now - e.runAt
		}
		c.out.Keep(n)
	}
	c.keep(e, a)
	c.tally(a)
	c.step(e, a.Kind.String(), "", a.Cause.String())
	for i, w := range e.askers {
		a.Repeat = i > 0
		c.out.Answer(w.to, a)
	}
	a.Repeat = false
	t := c.trace(e)
	t.Open, t.Answer = false, a
	t.Answer.Body, t.Answer.Fields = nil, nil
	e.askers = nil
	if !c.set.Untraced {
		c.traces.add(t)
	}
	c.out.Ended(a, t)
}

func (c *Core) unlink(e *event) {
	e.ended = true
	delete(c.events, e.id)
	if c.open[e.ask.Identity] == e {
		delete(c.open, e.ask.Identity)
	}
}

func (c *Core) tally(a Answer) {
	switch a.Kind {
	case Handled:
		c.count.Handled++
	case Deferred:
		c.count.Deferred++
	case DeadLettered:
		c.count.DeadLettered++
	}
}

func (c *Core) keep(e *event, a Answer) {
	if c.set.Remember <= 0 { // no repeat comes under the same identity
		return
	}
	if old := c.kept[e.ask.Identity]; old != nil {
		old.gone = true
		c.bare(old)
	}
	c.remember(&kept{id: e.ask.Identity, answer: a, until: c.now + c.set.Remember, mayRun: e.mayRun, runAt: e.runAt})
}

func (c *Core) remember(k *kept) {
	k.answer.Firm = false
	c.kept[k.id] = k
	c.age = append(c.age, k)
	c.bodies = append(c.bodies, k)
	c.weight += k.size()
	for c.weight > c.set.RememberMost && len(c.bodies) > 0 {
		oldest := c.bodies[0]
		c.bodies = c.bodies[1:]
		c.bare(oldest)
	}
}

func (k *kept) size() int { return len(k.answer.Body) }

// bare lets the body go. What may not run twice stays known; a handled event that may is forgotten whole.
func (c *Core) bare(k *kept) {
	if k.bare {
		return
	}
	c.weight -= k.size()
	k.bare = true
	if k.size() > 0 {
		k.answer.Body, k.answer.Fields = nil, nil
		k.answer.Kind, k.answer.Cause = DeadLettered, Forgotten
		if t := c.types[k.answer.EventType]; t != nil && t.Repeat == control.Redeliverable && c.kept[k.id] == k {
			delete(c.kept, k.id)
		}
	}
}

func (c *Core) remembered(id Identity) *kept {
	k := c.kept[id]
	if k != nil && k.until <= c.now {
		return nil
	}
	return k
}

// forget lets go what no repeat may ask for any more.
func (c *Core) forget() {
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
