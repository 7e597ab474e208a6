package control

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

// A host makes one Router for each front end with New and calls List, Event, Ended, Held, Told and so on as
// things come in; answers go out through Host (types.go) before the call returns. Each call notes what it
// heard and goes through the ordered workerRules and eventRules until none fires. See docs/design.md.

const (
	overLanes   = 2.0   // own events in flight over lanes: past it a copy is overloaded
	overMedian  = 2.0   // recent latency over the function's median: past it a copy is slow
	slowFor     = 1.0   // this long slow
	slowCopies  = 2     // on this many functions: the worker is set aside
	asideFor    = 2.0   // for so long; troubles of other kinds double it up to asideMost
	asidePart   = 0.4   // of the serving workers at most: past it all are slow, and leaving them harms
	slowPart    = 0.05  // the same for slow ones: a crowd is slow too, and moves on to whoever is left
	heavyMost   = 1.5   // of that bound a single latency counts at most, against one heavy event
	stuckAfter  = 6.0   // own latency over the median: past it an event waits for a copy, if loads are slow
	recentPart  = 0.2   // weight of the newest latency, low against single heavy events
	pacePart    = 0.01  // weight of the newest in how slow a worker is in the long run, its usual pace
	medianStep  = 1.05  // step of the running median, against outliers that a mean would follow
	waitsMost   = 3     // load orders that an event follows, against one that fits nowhere
	moreEvery   = 2.5   // pause before one more copy beside others, against a jam that sows copies everywhere
	moreLost    = 120.0 // and more for the share of copies believed warm that were gone
	lostPart    = 0.02  // weight of the newest in it
	stretchPart = 0.2   // weight of the newest in how much longer loads take than is usual
	stretchMost = 1.3   // past it the store is crowded, and no load beside others is hurried
	limitLoads  = 3.0   // a load may take this multiple of its usual time before it counts as stuck
	roomStart   = 12.0  // events that a worker may hold at first, in equal parts for the front ends
	roomLeast   = 1.0   // and at the least, so that its recovery is seen
	roomUp      = 0.3   // added by an answer well within the target time while the room is used
	roomCut     = 0.75  // kept after an answer past roomLate of the target time
	roomEarly   = 0.5
	openCut     = 0.92  // part of the events let in that is kept after an answer past the target time or none
	openUp      = 0.04  // added after another; half a cut, so that the part falls while over a third are late
	openMost    = 1.4   // up to this, against single late answers on a quiet day
	tellBytes   = 4     // size of a message to the other front ends
	tellMost    = 150.0 // bytes that all of them may get for each launch that ended
	tellStep    = 0.15  // steps in which a message tells a time, against a longer one
	heardSpan   = 2.0   // span over which what was told of a worker is averaged
	wideLate    = 1.5   // without messages: a late answer widens a function by this
	wideEarly   = 0.93  // and an early one narrows it by this
	wideRoom    = 2.0   // lanes for each event of a function that runs, against waiting for one
	quickStep   = 0.005 // step of the latency that the quickest fifth stay under
	roomLate    = 0.6
	busyMean    = 1.5  // a worker past this multiple of the mean load takes no new copy
	busyMore    = 1.0  // and this many events more, against calling an idle fleet's noise busy
	turnPart    = 0.6  // and of that, where front ends take turns by chance
	turnKept    = 1.25 // fall windows for which a turn is kept
	coldPart    = 0.9  // part of the cold budget that is used, against rates that were misjudged
	tick        = 0.25 // pause between looks at the clock
	rateSpan    = 3.0  // span over which carried rates are averaged
	noRoomFor   = 0.5  // a worker that had no room is asked to load again after this
	forgetAfter = 60.0 // functions without events are let go after this
)

type event struct {
	Request
	kind            *RequestClass
	fn              *function
	due, sentAt     float64
	mark            uint64
	launches, waits int // waits counts the load orders that it followed
	wk              int // worker of the newest launch, -1 before
	out, done       bool
	loading         bool // sent to wait for a load
	mayRun          bool // some launch may have run; when and where the first such went:
	runAt           float64
	runWk           int
}

type place struct {
	wk, out         int
	warm            bool
	seen, slowSince float64
	recent, timedAt float64 // recent latency and when it was last fed
}

type function struct {
	id               FunctionID
	hash             uint64
	lanes, out       int     // own launches in flight
	load, median     float64 // usual time of a load, where it is told; running median of latency
	heard            float64
	places           []place
	rate             float64 // answers a second in the whole fleet
	width            float64 // first workers by rank that share the function's events
	ranks            []int   // serving workers by rank, of the list's state listed
	listed           int
	order            int     // worker with a load of ours under way, -1 for none
	orderedAt, pause float64 // no load beside a standing copy before the pause ends
	followers        []*event
}

type Router struct {
	dep   *Deployment
	host  Host
	now   float64
	x, c  uint32
	mark  uint64
	evts  map[RequestID]*event
	marks map[uint64]*event
	todo  []*event // to be decided
	fns   map[FunctionID]*function
	brief map[uint16]*function // by the short hash that messages tell
	every []*function
	index map[WorkerID]int
	short map[uint32]int // workers by a short hash

	id       []WorkerID
	hash     []uint64
	zone     []ZoneID
	kind     []int // index into the kinds of machine:
	cell     []int
	phase    []EndpointState
	size     []float64
	born     []float64
	flying   [][]*event // own events in flight
	answered []float64  // newest answer
	room     []float64  // own events that it may hold
	cutAt    []float64  // when that was last cut
	heard    []float64  // events held there by its newest report, less our own; -1 unheard
	aside    []float64  // set aside until
	pace     []float64  // latencies over their medians in the long run
	noRoom   []float64  // no load fits before
	turn     []float64  // parts of a launch that added up since a cold worker's start,
	spent    []float64  // and what of it is used up

	kinds                  []MachineType
	handled, carried, most []float64 // own events a warm one handled: since the tick, each second, at most

	quick, open, mayTell        float64   // latency of the quickest answers; part let in; endings not yet told
	taken, ordered              []float64 // events taken and loads ordered within the load window
	lastTick, lost, stretch     float64
	look                        bool // the worker rules are due
	state                       int  // changes with the worker list
	meanAt, meanLoad, meanHeard float64
}

func New(dep *Deployment, seed uint64, host Host, now float64) *Router {
	return &Router{dep: dep, host: host, now: now, x: uint32(seed), c: uint32(seed>>32)%4294957664 + 1, mark: 1,
		evts: map[RequestID]*event{}, marks: map[uint64]*event{}, fns: map[FunctionID]*function{},
		brief: map[uint16]*function{}, index: map[WorkerID]int{}, short: map[uint32]int{}, lastTick: now,
		open: openMost}
}

func (r *Router) chance(n int) int {
	t := uint64(r.x)*4294957665 + uint64(r.c)
	r.x, r.c = uint32(t), uint32(t>>32)
	return int(uint64(r.x) * uint64(n) >> 32)
}

// OnEndpointUpdate takes news of the workers; a first list, from before this front end's start, begins the clock.
func (r *Router) OnEndpointUpdate(now float64, full, first bool, list []Worker) {
	r.now = now
	if first {
		r.host.SetTimer(tick, 0)
		if r.dep.PollEndpoints {
			r.host.Subscribe()
		}
	}
	named := make([]bool, len(r.id))
	for _, w := range list {
		i, known := r.index[w.ID]
		if !known {
			if i = r.admit(w.ID); i == len(named) {
				named = append(named, true)
			}
		}
		named[i] = true
		if r.phase[i] = w.State; w.State == Gone {
			continue
		}
		if !known || w.StartedAt != r.born[i] {
			for _, f := range r.every { // a process that started anew holds none of its copies
				if p := f.at(i); p != nil {
					p.warm, p.slowSince, p.recent = false, 0, 0
				}
			}
			r.aside[i], r.noRoom[i], r.room[i] = 0, 0, r.part(roomStart)
			r.turn[i], r.spent[i] = float64(r.chance(1<<20))/(1<<20), 0
		}
		kind := slices.Index(r.kinds, w.MachineType)
		if kind < 0 {
			kind, r.kinds = len(r.kinds), append(r.kinds, w.MachineType)
			r.handled, r.carried, r.most = append(r.handled, 0), append(r.carried, 0), append(r.most, 0)
		}
		r.zone[i], r.kind[i], r.cell[i], r.size[i], r.born[i] = w.Zone, kind, w.FailureDomain, max(w.Weight, 0.01), w.StartedAt
	}
	for i := range named {
		if full && !named[i] {
			r.phase[i] = Gone
		}
	}
	r.look, r.state = true, r.state+1
	r.settle()
}

func (r *Router) OnEndpointPollFailed(now float64) { r.host.SetTimer(asideFor, 1) }

// vacant is a worker that is gone and that nothing refers to, against tables that grow without end.
func (r *Router) vacant() int {
	used := make([]bool, len(r.id)+1)
	for _, e := range r.evts {
		used[max(e.wk, 0)], used[e.runWk] = true, true
	}
	for _, f := range r.every {
		used[max(f.order, 0)] = true
	}
	for wk := range r.id {
		if r.phase[wk] == Gone && !used[wk] {
			return wk
		}
	}
	return -1
}

func (r *Router) admit(id WorkerID) int {
	wk := r.vacant()
	if wk < 0 {
		wk = len(r.id)
		r.id, r.hash, r.zone, r.kind = append(r.id, ""), append(r.hash, 0), append(r.zone, ""), append(r.kind, 0)
		r.cell, r.phase, r.flying = append(r.cell, 0), append(r.phase, Serving), append(r.flying, nil)
		for _, figures := range []*[]float64{&r.size, &r.born, &r.answered, &r.room, &r.cutAt, &r.heard, &r.aside,
			&r.pace, &r.noRoom, &r.turn, &r.spent} {
			*figures = append(*figures, 0)
		}
	}
	delete(r.index, r.id[wk])
	if short := uint32(r.hash[wk] & 0xfff); r.short[short] == wk {
		delete(r.short, short)
	}
	for _, f := range r.every {
		f.places = slices.DeleteFunc(f.places, func(p place) bool { return p.wk == wk })
	}
	r.index[id], r.id[wk], r.hash[wk] = wk, id, hash(string(id))
	r.short[uint32(r.hash[wk]&0xfff)] = wk
	for _, figures := range [][]float64{r.answered, r.cutAt, r.aside, r.pace, r.noRoom, r.turn, r.spent} {
		figures[wk] = 0
	}
	r.room[wk], r.heard[wk], r.phase[wk] = r.part(roomStart), -1, Serving
	return wk
}

func (f *function) at(wk int) *place {
	if i := slices.IndexFunc(f.places, func(p place) bool { return p.wk == wk }); i >= 0 {
		return &f.places[i]
	}
	return nil
}

func (f *function) make(wk int) *place {
	if f.at(wk) == nil {
		f.places = append(f.places, place{wk: wk})
	}
	return f.at(wk)
}

func (r *Router) function(in Request) *function {
	f := r.fns[in.Function]
	if f == nil {
		f = &function{id: in.Function, hash: hash(string(in.Function)), order: -1, width: 1}
		r.fns[f.id], r.brief[uint16(f.hash)], r.every = f, f, append(r.every, f)
	}
	f.lanes, f.heard, f.load = max(in.Concurrency, 1), r.now, max(in.LoadTime, f.load)
	return f
}

// Preload has a copy loaded of a function that will be asked for soon, where none stands and the ration leaves
// room: against a minute in which all timers fire at functions that nobody holds. It tells of an order.
func (r *Router) Preload(now float64, in Request) bool {
	r.now = now
	e := &event{Request: in, fn: r.function(in), wk: -1, kind: &RequestClass{}}
	wk, _ := r.bestWarm(e, false)
	site := -1
	if wk < 0 && e.fn.order < 0 && r.mayOrder() {
		if site = r.loadSite(e, 1); site >= 0 {
			r.order(e.fn, site)
		}
	}
	r.settle()
	return site >= 0
}

// RestoreReplica takes back what this front end knew before it started anew: a copy that stood age seconds ago. It
// moves beliefs only: one that is wrong costs a miss.
func (r *Router) RestoreReplica(now float64, in Request, id WorkerID, age float64) {
	r.now = now
	if wk, known := r.index[id]; known && r.phase[wk] == Serving && age < r.dep.IdleReplicaLifetime {
		p := r.function(in).make(wk)
		p.warm, p.seen = true, max(p.seen, now-age)
	}
}

func (r *Router) order(f *function, site int) {
	f.order, f.orderedAt, f.pause = site, r.now, r.now+moreEvery+moreLost*r.lost
	r.ordered = append(r.within(r.ordered, r.dep.LoadCommandWindow), r.now)
	r.host.LoadReplicas(r.id[site], f.id, 1)
}

func (r *Router) OnRequest(now float64, in Request) {
	r.now = now
	// A type that was never stated is handled with the most care.
	e := &event{Request: in, due: now + in.TimeLeft, wk: -1,
		kind: &RequestClass{LatencyObjective: in.TimeLeft, Timeout: in.TimeLeft, Semantics: AtMostOnce}}
	for i := range r.dep.RequestClasses {
		if r.dep.RequestClasses[i].Name == in.Class {
			e.kind = &r.dep.RequestClasses[i]
		}
	}
	r.mark++
	e.fn, e.mark = r.function(in), r.mark
	r.evts[e.ID], r.marks[e.mark] = e, e
	r.taken = append(r.within(r.taken, r.dep.LoadCommandWindow), now)
	// Against an event that waits here past its time: a launch would end by itself.
	r.host.SetTimer(max(in.TimeLeft-r.dep.MinRoundInterval, 0), e.mark)
	r.todo = append(r.todo, e)
	r.settle()
}

func (r *Router) OnCancel(now float64, id RequestID) {
	r.now = now
	if e := r.evts[id]; e != nil {
		r.finish(e)
	}
	r.settle()
}

// OnTimer is a timer: 0 is the module's own, 1 asks for the list again, others belong to events.
func (r *Router) OnTimer(now float64, mark uint64) {
	r.now = now
	switch e := r.marks[mark]; {
	case mark == 0:
		r.host.SetTimer(tick, 0)
		r.age()
		r.look = true
	case mark == 1:
		r.host.Subscribe()
	case e != nil && !e.out && now >= e.due-2*r.dep.MinRoundInterval:
		r.giveUp(e)
	}
	r.settle()
}

func (r *Router) OnAttemptResult(now float64, end AttemptResult) {
	r.now = now
	e := r.evts[end.Request]
	if e == nil || !e.out {
		return
	}
	wk, f := e.wk, e.fn
	p := f.make(wk)
	e.out = false
	r.flying[wk] = slices.DeleteFunc(r.flying[wk], func(o *event) bool { return o == e })
	f.out, p.out = f.out-1, p.out-1
	if rep := end.Report; rep.Known {
		r.heard[wk] = max(rep.Running+rep.Waiting-float64(len(r.flying[wk])), 0)
	}
	if end.Outcome == ReplicaMissing || end.Start == ColdStart {
		r.lost += lostPart
	}
	if end.Outcome != TimedOut && end.Outcome != Cancelled {
		r.answered[wk] = now
	}
	r.lost *= 1 - lostPart
	switch end.Outcome {
	case Succeeded:
		if r.warmth(wk, r.now) >= 1 {
			r.handled[r.kind[wk]]++
		}
		if p.warm, p.seen = true, now; end.Start <= WarmStart {
			r.timed(f, p, end.Latency)
			r.resize(e, end.Latency > roomLate*e.kind.LatencyObjective, end.Latency < roomEarly*e.kind.LatencyObjective)
		}
	case TimedOut: // no answer is the latest of answers; unheeded, a crowded worker stays crowded
		r.resize(e, !e.loading && end.Latency > roomLate*e.kind.LatencyObjective, false)
	case Rejected:
		r.noRoom[wk] = now + noRoomFor
		r.resize(e, true, false)
	case Unreachable: // its process is gone, and its copies with it; the list is late
		p.warm, r.noRoom[wk] = false, now+noRoomFor
	case ReplicaMissing: // it lacks the function but is no worse for it
		p.warm, e.wk = false, -1
	}
	if end.Outcome <= Rejected && end.Outcome != ConnectionLost {
		if !e.loading && end.Start <= WarmStart {
			r.widen(e, end)
		}
		r.tell(f, wk, end.Latency)
	}
	if end.Outcome < Rejected && !e.mayRun {
		e.mayRun, e.runAt, e.runWk = true, e.sentAt, wk
	}
	switch {
	case e.done:
		delete(r.evts, e.ID)
	case end.Answered:
		r.finish(e)
	default:
		r.todo = append(r.todo, e)
	}
	r.settle()
}

func (r *Router) many() bool { return r.part(roomStart) < 1 } // each one's part of a room is under one event

func (r *Router) part(all float64) float64 { return all / float64(r.dep.FrontEnds) }

// resize moves how many own events a worker may hold, against all that makes it do less than its fellows. One
// cut counts for all sent before it, and one event alone tells of no queue.
func (r *Router) resize(e *event, late, early bool) {
	wk := e.wk
	switch held := float64(len(r.flying[wk])) + 1; {
	case late && held > 1 && e.sentAt > r.cutAt[wk]:
		r.room[wk] = max(min(r.room[wk], held)*roomCut, roomLeast)
		r.cutAt[wk] = r.now
	case early && held > r.room[wk]/2:
		r.room[wk] += r.part(roomUp)
	}
}

// widen moves the number of workers that share a function's events. Among many front ends each holds next to
// none of them, and by its own count one copy would always do: all would meet on the first worker by rank.
func (r *Router) widen(e *event, end AttemptResult) {
	late := end.Outcome == Rejected || end.Latency > roomLate*e.kind.LatencyObjective
	if end.Outcome == Rejected || end.Outcome == Succeeded && end.Latency > e.kind.LatencyObjective {
		r.open *= openCut
	} else if end.Outcome == Succeeded { // a lost answer tells nothing of a crowd
		r.open = min(r.open+openUp, openMost)
	}
	if r.quick *= 1 + quickStep; end.Outcome == Succeeded && (end.Latency < r.quick || r.quick == 0) {
		r.quick = max(r.quick/(1+5*quickStep), end.Latency/2)
	}
	switch {
	case r.dep.GossipAllowed:
		r.counted(e.fn, 1)
	case late:
		e.fn.width *= wideLate
	case end.Latency < roomEarly*e.kind.LatencyObjective:
		e.fn.width = max(e.fn.width*wideEarly, 1)
	}
	e.fn.width = min(e.fn.width, float64(len(r.id)))
}

func (r *Router) counted(f *function, answers float64) {
	f.rate += answers / rateSpan // what waits does not count, or a crowded fleet spreads until none fits
	if r.many() {                // few see enough by their own events in flight
		f.width = max(f.rate*r.quick*wideRoom/float64(f.lanes), 1)
	}
}

func (r *Router) told() float64 { return max(float64(tellBytes*(r.dep.FrontEnds-1))/tellMost, 1) }

func (r *Router) tell(f *function, wk int, took float64) {
	if r.mayTell = min(r.mayTell+1, 2*r.told()); !r.dep.GossipAllowed || r.mayTell < r.told() || r.dep.FrontEnds < 2 {
		return
	}
	r.mayTell -= r.told()
	m := uint32(uint16(f.hash)) | uint32(r.hash[wk]&0xfff)<<16 | uint32(min(took/tellStep, 15))<<28
	r.host.Broadcast(binary.LittleEndian.AppendUint32(nil, m))
}

// OnGossip takes what another front end tells. It only moves beliefs: one that is wrong costs a miss.
func (r *Router) OnGossip(now float64, message []byte) {
	r.now = now
	if len(message) != tellBytes {
		return
	}
	m := binary.LittleEndian.Uint32(message)
	wk, known := r.short[m>>16&0xfff]
	if !known || r.phase[wk] != Serving {
		return
	}
	r.heard[wk] = max(r.heard[wk], 0) + r.told()*(float64(m>>28)+0.5)*tellStep/heardSpan
	if f := r.brief[uint16(m)]; f != nil {
		p := f.make(wk)
		p.warm, p.seen = true, now
		r.counted(f, r.told())
	}
}

func (r *Router) timed(f *function, p *place, took float64) {
	if f.median == 0 {
		f.median = took
	}
	if p.recent == 0 {
		p.recent = min(took, f.median)
	}
	if f.median *= medianStep; took < f.median {
		f.median /= medianStep * medianStep
	}
	p.recent += recentPart * (min(took, heavyMost*r.usual(f, p)) - p.recent)
	p.timedAt = r.now
	r.pace[p.wk] += pacePart * (took/f.median - r.pace[p.wk])
	if p.recent <= r.usual(f, p) {
		p.slowSince = 0
	} else if p.slowSince == 0 {
		p.slowSince = r.now
	}
}

func (r *Router) leave(wk int, most float64) bool {
	kept := r.mean(func(k int) (float64, bool) { return float64(max(cmp.Compare(r.aside[k], r.now), 0)), true })
	if kept < most {
		r.aside[wk] = r.now + asideFor
	}
	return kept < most
}

func (r *Router) OnLoadResult(now float64, id WorkerID, fn FunctionID, res Outcome, copies int, took float64) {
	r.now = now
	wk, known := r.index[id]
	f := r.fns[fn]
	if f == nil || !known {
		return
	}
	if f.load > 0 && took > tick {
		r.stretch += stretchPart * (took/f.load - r.stretch)
	}
	if copies > 0 {
		p := f.make(wk)
		if p.warm, p.seen = true, now; took < tick && r.many() { // it stood: the store had no work
			f.pause = now
		}
	} else if res == Rejected || res == Unreachable || res == ConnectionLost {
		r.noRoom[wk] = now + noRoomFor // against a dead worker, first by rank, that is asked again and again
	}
	r.answered[wk] = now
	if f.order == wk {
		r.follow(f)
	}
	r.settle()
}

// loadLeft is how long the load under way is expected to take yet; past that, as long again.
func (r *Router) loadLeft(f *function) float64 {
	gone := r.now - f.orderedAt
	if left := f.load*max(r.stretch, 1) - gone; left > 0 {
		return left
	}
	return gone
}

func (r *Router) follow(f *function) {
	f.order = -1
	r.todo = append(r.todo, f.followers...)
	f.followers = nil
}

func (r *Router) finish(e *event) {
	e.done = true
	delete(r.marks, e.mark)
	if !e.out {
		delete(r.evts, e.ID)
	}
}

// giveUp answers at once: deferred where a repeat is proven harmless, else dead-lettered.
func (r *Router) giveUp(e *event) bool {
	if !e.mayRun || e.kind.Semantics == Idempotent ||
		e.kind.Semantics == IdempotentByKey && e.kind.DeduplicationScope == ScopeFleet && r.now < e.runAt+e.kind.DeduplicationWindow {
		r.host.Reject(e.ID, r.dep.MaxRetryAfter/2)
	} else {
		r.host.Fail(e.ID)
	}
	r.finish(e)
	return true
}

func (r *Router) age() {
	span := max(r.now-r.lastTick, tick/2)
	r.lastTick = r.now
	for _, f := range r.every {
		f.rate *= 1 - min(span/rateSpan, 1)
	}
	warm := make([]float64, len(r.most))
	for wk, kind := range r.kind {
		if r.dep.GossipAllowed { // reports stand until the next; what peers told fades
			r.heard[wk] = max(r.heard[wk], 0) * (1 - min(span/heardSpan, 1))
		}
		if r.warmth(wk, r.now) < 1 {
			r.turn[wk] += turnPart * r.coldBudget(wk) * span / r.dep.OverloadWindow
		} else if r.phase[wk] == Serving {
			warm[kind]++
		}
	}
	for k, n := range warm {
		r.carried[k] += min(span/rateSpan, 1) * (r.handled[k]/span/max(n, 1) - r.carried[k])
		r.most[k], r.handled[k] = max(r.most[k], r.carried[k]), 0
	}
	r.every = slices.DeleteFunc(r.every, func(f *function) bool {
		idle := f.order < 0 && f.out == 0 && r.now-f.heard > forgetAfter
		if idle {
			delete(r.fns, f.id)
			delete(r.brief, uint16(f.hash))
		}
		return idle
	})
}

func (r *Router) within(times []float64, span float64) []float64 {
	return slices.DeleteFunc(times, func(at float64) bool { return at <= r.now-span })
}

func (r *Router) mean(figure func(wk int) (float64, bool)) float64 {
	sum, n := 0.0, 0.0
	for wk := range r.id {
		if v, ok := figure(wk); ok && r.phase[wk] == Serving {
			sum, n = sum+v, n+1
		}
	}
	return sum / max(n, 1)
}

// warmth is the least part of its capacity that a worker may have at a time after its start.
func (r *Router) warmth(wk int, at float64) float64 {
	if r.born[wk] <= 0 || at-r.born[wk] >= r.dep.WarmUpTime {
		return 1
	}
	return r.dep.ColdShare + (1-r.dep.ColdShare)*max(at-r.born[wk], 0)/r.dep.WarmUpTime
}

// coldBudget is how many launches this front end may add to a cold worker in a fall window. Capacity is not
// told; what a warm worker of the kind handled for this front end, at most, is part of it; the parts of all
// add up to no more than the whole. What cold workers carry would shrink the budget itself.
func (r *Router) coldBudget(wk int) float64 {
	part := coldPart * r.dep.OverloadFactor * r.warmth(wk, max(r.now-r.dep.OverloadWindow, r.born[wk]))
	return max(part*r.dep.OverloadWindow*r.most[r.kind[wk]], 1/float64(r.dep.FrontEnds))
}

// coldRoom tells whether one more launch keeps a cold worker's budget. Against a hundred front ends that send
// one each, budgets add up to turns, from a start left to chance. A turn not taken soon is lost: saved up,
// those of all would be spent together when a hot function loses its worker to a rollout.
func (r *Router) coldRoom(wk int) bool {
	return r.warmth(wk, r.now) >= 1 || r.turn[wk]-r.spent[wk] >= 1 &&
		r.turn[wk]-math.Floor(r.turn[wk]) < turnKept*turnPart*r.coldBudget(wk)
}

// load is how busy a worker is believed to be, for its size; workers unheard of count as average.
func (r *Router) load(wk int) float64 {
	heard := r.heard[wk]
	if heard < 0 {
		heard = r.meanHeard
	}
	return (float64(len(r.flying[wk])+1) + heard) / (r.size[wk] * r.warmth(wk, r.now))
}

func (r *Router) busy(wk int) bool { return r.load(wk) > busyMean*r.meanLoad+busyMore/r.size[wk] }

func (r *Router) may(e *event, wk int) bool {
	if r.phase[wk] != Serving || !r.coldRoom(wk) {
		return false
	}
	if !e.mayRun || e.kind.Semantics == Idempotent {
		return true
	}
	zone := r.zone[wk] == r.zone[e.runWk]
	group := e.kind.DeduplicationScope == ScopeFleet || zone && (e.kind.DeduplicationScope == ScopeZone || r.cell[wk] == r.cell[e.runWk])
	return group && e.kind.Semantics == IdempotentByKey && r.now < e.runAt+e.kind.DeduplicationWindow
}

func (r *Router) fit(wk int) bool {
	held := 0
	for _, e := range r.flying[wk] {
		// Against a slow store that closes its workers: what waits for a load there takes none of their cores.
		stuck := r.stretch > stretchMost && r.now-r.answered[wk] < tick && r.now-e.sentAt > r.stuckFor(e, wk)
		if (!e.loading || e.fn.order != wk) && !stuck {
			held++
		}
	}
	return r.aside[wk] <= r.now && float64(held) < r.room[wk]
}

// stuckFor is the time past which an answer is so late that its event surely waits for a copy that loads.
func (r *Router) stuckFor(e *event, wk int) float64 {
	if e.loading {
		return 0
	}
	return stuckAfter * e.fn.median * max(r.pace[wk], 1)
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// ranked lists the serving workers for a function in an order alike at every front end, so that all keep its
// copies in the same few places. Last comes the worker that just lost the event.
func (r *Router) ranked(e *event) []int {
	f := e.fn
	if f.listed != r.state {
		f.listed, f.ranks = r.state, f.ranks[:0]
		for wk := range r.id {
			if r.phase[wk] == Serving {
				f.ranks = append(f.ranks, wk)
			}
		}
		slices.SortFunc(f.ranks, func(a, b int) int { return cmp.Compare(r.mix(f, b), r.mix(f, a)) })
	}
	if i := slices.Index(f.ranks, e.wk); i >= 0 {
		return append(slices.Delete(slices.Clone(f.ranks), i, i+1), e.wk)
	}
	return f.ranks
}

func (r *Router) mix(f *function, wk int) uint64 {
	x := f.hash ^ r.hash[wk]
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return (x ^ x>>33) * 0xc4ceb9fe1a85ec53
}

func (r *Router) least(list []int) int {
	best, low, ties := -1, 0.0, 0
	for _, wk := range list {
		switch l := r.load(wk); {
		case best < 0 || l < low:
			best, low, ties = wk, l, 1
		case l == low:
			if ties++; r.chance(ties) == 0 {
				best = wk
			}
		}
	}
	return best
}

func (r *Router) warm(p *place) bool {
	return p != nil && p.warm && (p.out > 0 || r.now < p.seen+r.dep.IdleReplicaLifetime)
}

// slow is the design's latency test. An old figure must not keep a copy out for good, nor an idle copy.
func (r *Router) slow(f *function, p *place) bool {
	return p.out > 0 && r.now-p.timedAt < slowFor && p.recent > r.usual(f, p)
}

func (r *Router) usual(f *function, p *place) float64 {
	return overMedian * f.median * max(r.pace[p.wk], 1)
}

// bestWarm is the least-loaded of the warm copies in use: the first by rank, as many as our events in flight
// or the width call for; events over all copies would keep each alive. It tells how many are lacking.
func (r *Router) bestWarm(e *event, strict bool) (wk, short int) {
	f, wide := e.fn, int(math.Ceil(e.fn.width))
	var list []int
	for _, wk := range r.ranked(e) {
		p := f.at(wk)
		if !r.warm(p) || wk == e.wk && len(list) > 0 || !r.fit(wk) || !r.may(e, wk) ||
			strict && (float64(p.out) >= overLanes*float64(f.lanes) || r.slow(f, p) || r.busy(wk)) {
			continue
		}
		if list = append(list, wk); len(list) >= max(wide, 1+f.out/f.lanes) {
			break
		}
	}
	return r.least(list), wide - len(list)
}

func (r *Router) launch(e *event, wk int) bool {
	if wk < 0 {
		return false
	}
	e.wk, e.sentAt, e.out, e.loading = wk, r.now, true, !r.warm(e.fn.at(wk))
	e.launches, e.fn.out = e.launches+1, e.fn.out+1
	e.fn.make(wk).out++
	r.flying[wk] = append(r.flying[wk], e)
	// What was saved up is kept in part only, so that no window gets more than its budget.
	r.spent[wk] = max(r.spent[wk]+1, r.turn[wk]-(1-turnPart)*r.coldBudget(wk))
	r.host.StartAttempt(e.ID, r.id[wk], e.due-r.now)
	return true
}

func (r *Router) mayOrder() bool {
	if !r.dep.LoadCommandsAllowed || r.dep.LoadCommandWindow <= 0 {
		return r.dep.LoadCommandsAllowed
	}
	r.taken, r.ordered = r.within(r.taken, r.dep.LoadCommandWindow), r.within(r.ordered, r.dep.LoadCommandWindow)
	return float64(len(r.ordered)+1) <= r.dep.LoadCommandAllowance+r.dep.LoadCommandsPerRequest*float64(len(r.taken))
}

// loadSite is the first worker by rank that does not carry well more than the mean, else the least-loaded.
// Where several more are called for, one of that many, so that front ends don't load one after another.
func (r *Router) loadSite(e *event, more int) int {
	var list, free []int
	for _, wk := range r.ranked(e) {
		if r.noRoom[wk] > r.now || r.warm(e.fn.at(wk)) || !r.fit(wk) || !r.may(e, wk) {
			continue
		}
		list = append(list, wk)
		if !r.busy(wk) && wk != e.wk {
			if free = append(free, wk); len(free) >= more {
				break
			}
		}
	}
	if len(free) == 0 {
		return r.least(list)
	}
	return free[r.chance(len(free))]
}

func (r *Router) settle() {
	if r.meanAt != r.now {
		r.meanAt = r.now
		r.meanHeard = r.mean(func(k int) (float64, bool) { return r.heard[k], r.heard[k] >= 0 })
		r.meanLoad = r.mean(func(k int) (float64, bool) { return r.load(k), true })
	}
	for fired := true; fired; {
		fired = false
		for wk := 0; r.look && wk < len(r.id); wk++ {
			for _, rule := range workerRules {
				fired = rule(r, wk) || fired
			}
		}
		r.look = fired
		if len(r.todo) > 0 {
			e := r.todo[0]
			r.todo = r.todo[1:]
			fired = true
			for i := 0; !e.done && !eventRules[i](r, e); i++ {
			}
		}
	}
}

// workerRules are gone through for each worker when the clock or the list moves.
var workerRules = []func(*Router, int) bool{
	// The design's set-aside: a worker that is slow on several functions is left alone for a while.
	func(r *Router, wk int) bool {
		n := 0
		for _, f := range r.every {
			p := f.at(wk) // slow answers must span the time: after one nothing more may have been sent
			if p != nil && p.slowSince > 0 && p.timedAt-p.slowSince >= slowFor && r.now-p.timedAt < slowFor {
				n++
			}
		}
		return n >= slowCopies && r.aside[wk] <= r.now && r.leave(wk, slowPart)
	},
	// A load on a worker that drained, left or keeps silent is not waited for. One that answers meanwhile has a
	// slow store behind it, and one more load elsewhere would crowd that more.
	func(r *Router, wk int) (fired bool) {
		for _, f := range r.every {
			lost := f.order == wk && r.now-max(f.orderedAt, r.answered[wk]) > limitLoads*max(f.load, 1)
			if lost {
				r.leave(wk, asidePart)
			}
			if lost || f.order == wk && r.phase[wk] != Serving {
				r.follow(f)
				fired = true
			}
		}
		return fired
	},
}

// eventRules decide one event; the first that fires ends the list, and the last always fires.
var eventRules = []func(*Router, *event) bool{
	// No launch can help: its time is up, its tries are used, or it may have run and must not again.
	func(r *Router, e *event) bool {
		spent := r.now >= e.due-r.dep.MinRoundInterval || e.launches >= r.dep.MaxAttempts
		return (spent || e.mayRun && e.kind.Semantics == AtMostOnce) && r.giveUp(e)
	},
	// Answers come late or not at all for lack of room: among many front ends a part is deferred at once,
	// against a crowd that only works for clients who have left.
	func(r *Router, e *event) bool {
		in, first := r.open, e.launches == 0 && e.waits == 0
		if e.Retried { // against clients that repeat at once and without end: their first tries come first
			in *= in * in
		}
		return first && r.many() && float64(r.chance(1<<20)) > in*(1<<20) && r.giveUp(e)
	},
	// The ordinary path: the least-loaded warm copy that is not overloaded. Where too few pass, one load at a
	// time for each function, on the least-utilized worker; meanwhile the least-loaded warm copy takes it.
	func(r *Router, e *event) bool {
		wk, short := r.bestWarm(e, true)
		standing := func(p place) bool { return r.warm(&p) && r.phase[p.wk] == Serving && r.aside[p.wk] <= r.now }
		soon := r.now < e.fn.pause && slices.ContainsFunc(e.fn.places, standing) // with room or without
		any := wk
		if wk < 0 {
			any, _ = r.bestWarm(e, false)
		}
		// Against events turned away for the pause beside idle workers: a store at its usual pace bears the load.
		hurry := any < 0 && r.stretch > 0 && r.stretch < stretchMost // 0: no usual time is told
		if (wk < 0 || short > 0) && e.fn.order < 0 && e.waits < waitsMost && (!soon || hurry) && r.mayOrder() {
			if site := r.loadSite(e, short); site >= 0 && (!soon || !r.busy(site)) {
				r.order(e.fn, site)
			}
		}
		wk = any
		return r.launch(e, wk)
	},
	// Else the loading worker, once the order has surely reached it; else it waits for the answer.
	func(r *Router, e *event) bool {
		wk := e.fn.order
		if wk < 0 || e.waits >= waitsMost {
			return false
		}
		if r.now-e.fn.orderedAt > 4*r.dep.MinRoundInterval && r.may(e, wk) && r.fit(wk) && wk != e.wk {
			return r.launch(e, wk)
		}
		if r.now+r.loadLeft(e.fn) > e.due { // against a stalled store
			return false
		}
		e.waits++
		e.fn.followers = append(e.fn.followers, e)
		return true
	},
	// Without orders a worker loads what it is sent, where the deployment's workers do that.
	func(r *Router, e *event) bool {
		return !r.dep.MissIsAnswered && !r.mayOrder() && r.launch(e, r.loadSite(e, 1))
	},
	// Nobody has room. A queue here would make all of it late; told at once, a client can come back in time.
	func(r *Router, e *event) bool { return r.giveUp(e) },
}
