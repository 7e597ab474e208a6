package control

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// A host makes one Router for each front end with New, then calls List, Event, Ended, Held, Started,
// HungUp and Woken as things come in, each with the clock. Answers go out through
// Host (types.go) before the call returns. Every call notes what it heard and then goes through two
// ordered lists of rules, workerRules and eventRules, until none fires. The mechanism is that of
// docs/design.md; a comment at each rule or figure says what it guards against.

const (
	overLanes   = 2.0   // own events in flight over lanes: past it a copy is overloaded
	overMedian  = 2.0   // recent latency over the function's median: past it a copy is slow
	slowFor     = 1.0   // this long slow
	slowCopies  = 2     // on this many functions: the worker is set aside
	asideFor    = 2.0   // for so long; troubles of other kinds double it up to asideMost
	asideMost   = 8.0   // against asking a dead worker too often, yet finding it soon when it is back
	asidePart   = 0.4   // of the serving workers at most: past it all are slow, and leaving them harms
	slowPart    = 0.05  // the same for slow ones: a crowd is slow too, and moves on to whoever is left
	recentPart  = 0.2   // weight of the newest latency, low against single heavy events
	pacePart    = 0.01  // weight of the newest in how slow a worker is in the long run
	medianStep  = 1.05  // step of the running median, against outliers that a mean would follow
	failPart    = 0.25  // weight of the newest outcome in a worker's share of failures
	failMost    = 0.8   // share of failures past which a worker answers fast but wrong
	muteFor     = 20.0  // medians waited in all, with no answer since, before a worker counts as silent
	muteLeast   = 0.6   // but not sooner, against a short pause
	waitsMost   = 3     // load orders that an event follows, against one that fits nowhere
	moreEvery   = 2.5   // pause before one more copy beside others, against a jam that sows copies everywhere
	moreLost    = 120.0 // and more for the share of copies believed warm that were gone
	lostPart    = 0.02  // weight of the newest in it
	limitLoads  = 3.0   // a load may take this multiple of its usual time before it counts as stuck
	roomStart   = 12.0  // events that a worker may hold at first, in equal parts for the front ends
	roomLeast   = 1.0   // and at the least, so that its recovery is seen
	roomUp      = 0.3   // added by an answer well within the target time while the room is used
	roomCut     = 0.75  // kept after an answer past roomLate of the target time
	roomEarly   = 0.5
	roomLate    = 0.6
	busyMean    = 1.5  // a worker past this multiple of the mean load takes no new copy
	busyMore    = 2.0  // and this many events more, against calling an idle fleet's noise busy
	turnPart    = 0.7  // and of that, where front ends take turns by chance
	coldPart    = 0.9  // part of the cold budget that is used, against rates that were misjudged
	tick        = 0.25 // pause between looks at the clock
	rateSpan    = 5.0  // span over which carried rates are averaged
	noRoomFor   = 0.5  // a worker that had no room is asked to load again after this
	forgetAfter = 60.0 // functions without events are let go after this
)

type event struct {
	Event
	kind               *EventType
	fn                 *function
	due, sentAt        float64
	mark               uint64
	launches, waits    int // waits counts the load orders that it followed
	wk                 int // worker of the newest launch, -1 before
	out, streams, done bool
	loading            bool // sent to wait for a load
	mayRun             bool // some launch may have run; when and where the first such went:
	runAt              float64
	runZone            ZoneID
	runCell            int
}

// place is one function on one worker, as this front end believes it.
type place struct {
	wk, out         int
	warm            bool
	seen, slowSince float64
	recent, timedAt float64 // recent latency and when it was last fed
}

type function struct {
	id           FunctionID
	hash         uint64
	lanes, out   int     // own launches in flight
	load, median float64 // usual time of a load, where it is told; running median of latency
	heard        float64
	places       []place
	order        int // worker with a load of ours under way, -1 for none
	orderedAt    float64
	followers    []*event
}

// Router decides for one front end.
type Router struct {
	dep   *Deployment
	host  Host
	now   float64
	x, c  uint32
	mark  uint64
	evts  map[EventID]*event
	marks map[uint64]*event
	todo  []*event // to be decided
	fns   map[FunctionID]*function
	every []*function
	index map[WorkerID]int

	id       []WorkerID
	hash     []uint64
	zone     []ZoneID
	kind     []int // index into the kinds of machine:
	cell     []int
	phase    []Phase
	size     []float64
	born     []float64
	flying   [][]*event  // own events in flight
	answered []float64   // newest answer
	room     []float64   // own events that it may hold
	cutAt    []float64   // when that was last cut
	heard    []float64   // events held there by its newest report, less our own; -1 unheard
	aside    []float64   // set aside until
	strikes  []int       // troubles in a row
	pace     []float64   // latencies over their medians in the long run
	fails    []float64   // share of late failures
	noRoom   []float64   // no load fits before
	pushed   [][]float64 // launches of the current fall window, also from before a start was told
	turn     []float64   // end of the window in which a launch to a cold worker was drawn for
	drawn    []bool      // and whether it may still be sent

	kinds   map[KindID]int
	handled []float64 // own events handled by warm workers of the kind since the last tick
	carried []float64 // the same each second and worker, and the most of that
	most    []float64

	taken, ordered              []float64 // events taken and loads ordered within the load window
	lastTick, lost              float64
	look                        bool // the worker rules are due
	meanAt, meanLoad, meanHeard float64
}

// New makes the module of one front end.
func New(dep *Deployment, seed uint64, host Host, now float64) *Router {
	return &Router{dep: dep, host: host, now: now, x: uint32(seed), c: uint32(seed>>32)%4294957664 + 1, mark: 1,
		evts: map[EventID]*event{}, marks: map[uint64]*event{}, fns: map[FunctionID]*function{},
		index: map[WorkerID]int{}, kinds: map[KindID]int{}, lastTick: now}
}

func (r *Router) chance(n int) int {
	t := uint64(r.x)*4294957665 + uint64(r.c)
	r.x, r.c = uint32(t), uint32(t>>32)
	return int(uint64(r.x) * uint64(n) >> 32)
}

// List takes news of the workers; a first list, from before this front end's start, begins the clock.
func (r *Router) List(now float64, full, first bool, list []Worker) {
	r.now = now
	if first {
		r.host.Wake(tick, 0)
		if r.dep.Asked {
			r.host.Subscribe()
		}
	}
	named := make([]bool, len(r.id))
	for _, w := range list {
		i, known := r.index[w.ID]
		if !known {
			i = r.admit(w.ID)
			named = append(named, true)
		}
		named[i] = true
		if r.phase[i] = w.Phase; w.Phase == Gone {
			continue
		}
		if known && w.Born != r.born[i] {
			// A process that started anew holds none of the copies that were seen there. Its strikes
			// stay, against one that dies again and again.
			r.forget(i, true)
			r.aside[i], r.noRoom[i], r.turn[i], r.room[i] = 0, 0, 0, r.part(roomStart)
		}
		kind, met := r.kinds[w.Kind]
		if !met {
			kind = len(r.kinds)
			r.kinds[w.Kind] = kind
			r.handled, r.carried, r.most = append(r.handled, 0), append(r.carried, 0), append(r.most, 0)
		}
		r.zone[i], r.kind[i], r.cell[i], r.size[i], r.born[i] = w.Zone, kind, w.Cell, max(w.Size, 0.01), w.Born
	}
	for i := range named {
		if full && !named[i] {
			r.phase[i] = Gone
		}
	}
	r.look = true
	r.settle()
}

// ListFailed asks again soon, against going on with a list that nobody updates.
func (r *Router) ListFailed(now float64) { r.host.Wake(asideFor, 1) }

func (r *Router) admit(id WorkerID) int {
	r.index[id] = len(r.id)
	r.id, r.hash = append(r.id, id), append(r.hash, hash(string(id)))
	r.zone, r.kind, r.cell = append(r.zone, ""), append(r.kind, 0), append(r.cell, 0)
	r.phase, r.flying, r.strikes = append(r.phase, Serving), append(r.flying, nil), append(r.strikes, 0)
	r.room, r.heard, r.pushed = append(r.room, r.part(roomStart)), append(r.heard, -1), append(r.pushed, nil)
	r.drawn = append(r.drawn, false)
	for _, figures := range []*[]float64{&r.size, &r.born, &r.answered, &r.cutAt, &r.pace, &r.aside, &r.fails,
		&r.noRoom, &r.turn} {
		*figures = append(*figures, 0)
	}
	return r.index[id]
}

// forget drops what is known of a worker's latencies, and of its copies too where they are lost.
func (r *Router) forget(wk int, copies bool) {
	for _, f := range r.every {
		if p := f.at(wk); p != nil {
			p.warm, p.slowSince, p.recent = p.warm && !copies, 0, 0
		}
	}
}

func (f *function) at(wk int) *place {
	for i := range f.places {
		if f.places[i].wk == wk {
			return &f.places[i]
		}
	}
	return nil
}

func (f *function) make(wk int) *place {
	if f.at(wk) == nil {
		f.places = append(f.places, place{wk: wk})
	}
	return f.at(wk)
}

func (r *Router) Event(now float64, in Event) {
	r.now = now
	// A type that was never stated is handled with the most care.
	e := &event{Event: in, due: now + in.Left, wk: -1,
		kind: &EventType{TargetTime: in.Left, MaxAge: in.Left, Repeat: AtMostOnce}}
	for i := range r.dep.EventTypes {
		if r.dep.EventTypes[i].Name == in.Type {
			e.kind = &r.dep.EventTypes[i]
		}
	}
	f := r.fns[in.Function]
	if f == nil {
		f = &function{id: in.Function, hash: hash(string(in.Function)), order: -1}
		r.fns[in.Function], r.every = f, append(r.every, f)
	}
	f.lanes, f.heard, f.load = max(in.Lanes, 1), now, max(in.Load, f.load)
	r.mark++
	e.fn, e.mark = f, r.mark
	r.evts[e.ID], r.marks[e.mark] = e, e
	r.taken = append(r.taken, now)
	// Against an event that waits here past its time: a launch would end by itself.
	r.host.Wake(max(in.Left-r.dep.RoundGap, 0), e.mark)
	r.todo = append(r.todo, e)
	r.settle()
}

// Started tells that an answer has begun to stream: no max age holds from then on.
func (r *Router) Started(now float64, id EventID) {
	if e := r.evts[id]; e != nil {
		e.streams = true
	}
}

func (r *Router) HungUp(now float64, id EventID) {
	r.now = now
	if e := r.evts[id]; e != nil {
		r.finish(e)
	}
	r.settle()
}

// Woken is a timer: 0 is the module's own, 1 asks for the list again, others belong to events.
func (r *Router) Woken(now float64, mark uint64) {
	r.now = now
	switch e := r.marks[mark]; {
	case mark == 0:
		r.host.Wake(tick, 0)
		r.age()
		r.look = true
	case mark == 1:
		r.host.Subscribe()
	case e != nil && !e.out && now >= e.due-2*r.dep.RoundGap:
		r.giveUp(e)
	}
	r.settle()
}

func (r *Router) reported(wk int, rep Report) {
	if rep.Known&(HasRunning|HasWaiting) != 0 {
		r.heard[wk] = max(rep.Running+rep.Waiting-float64(len(r.flying[wk])), 0)
	}
}

func (r *Router) Ended(now float64, end Ending) {
	r.now = now
	e := r.evts[end.Event]
	if e == nil || !e.out {
		return
	}
	wk, f := e.wk, e.fn
	p := f.make(wk)
	e.out = false
	r.flying[wk] = slices.DeleteFunc(r.flying[wk], func(o *event) bool { return o == e })
	f.out, p.out = f.out-1, p.out-1
	r.reported(wk, end.Report)
	if end.Result == Missed || end.Warmth == BeganLoad {
		r.lost += lostPart
	}
	if end.Result != TimedOut && end.Result != Cancelled {
		r.answered[wk] = now
	}
	r.lost *= 1 - lostPart
	switch end.Result {
	case Handled:
		if r.warmth(wk, r.now) >= 1 {
			r.handled[r.kind[wk]]++
		}
		if r.fails[wk] *= 1 - failPart; r.fails[wk] < failMost/2 {
			r.strikes[wk] = 0
		}
		if p.warm, p.seen = true, now; end.Warmth <= FoundWarm {
			r.timed(f, p, end.Took)
			r.resize(e, end.Took > roomLate*e.kind.TargetTime, end.Took < roomEarly*e.kind.TargetTime)
		}
	case Failed, Broken, Unreachable:
		r.fails[wk] += failPart * (1 - r.fails[wk])
		if r.fails[wk] > failMost {
			r.strike(wk)
		}
	case TimedOut: // no answer is the latest of answers; unheeded, a crowded worker stays crowded
		r.resize(e, !e.loading && end.Took > roomLate*e.kind.TargetTime, false)
	case TurnedAway:
		r.noRoom[wk] = now + noRoomFor
		r.resize(e, true, false)
	case Missed:
		p.warm = false
	}
	if end.Result < TurnedAway && !e.mayRun {
		e.mayRun, e.runAt, e.runZone, e.runCell = true, e.sentAt, r.zone[wk], r.cell[wk]
	}
	switch {
	case e.done:
		delete(r.evts, e.ID)
	case end.Settled:
		r.finish(e)
	default:
		r.todo = append(r.todo, e)
	}
	r.settle()
}

// part is this front end's share of what all of them may add to a worker.
func (r *Router) part(all float64) float64 { return all / float64(r.dep.FrontEnds) }

// resize moves the number of own events that a worker may hold, as its answers come late or early.
// It guards against all that makes a worker do less than its fellows; a cut counts once for all that
// was sent before it, and one event alone tells nothing of a queue.
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

// timed feeds a copy's latency. The paper compares with profiles of the hardware: where kinds of worker
// differ in speed, one that is always slow is no slower than its profile.
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
	p.recent += recentPart * (took - p.recent)
	p.timedAt = r.now
	r.pace[p.wk] += pacePart * (took/f.median - r.pace[p.wk])
	if p.recent <= r.usual(f, p) {
		p.slowSince = 0
	} else if p.slowSince == 0 {
		p.slowSince = r.now
	}
}

// strike sets a bad worker aside, for twice as long each time until it does well.
func (r *Router) strike(wk int) {
	r.leave(wk, min(asideFor*float64(int(1)<<min(r.strikes[wk], 8)), asideMost), asidePart)
	r.strikes[wk]++
}

// leave sets a worker aside, unless so many are that the trouble can't be theirs.
func (r *Router) leave(wk int, span, most float64) bool {
	kept := r.mean(func(k int) (float64, bool) { return float64(max(cmp.Compare(r.aside[k], r.now), 0)), true })
	if kept >= most {
		return false
	}
	r.aside[wk] = r.now + span
	r.forget(wk, false)
	return true
}

func (r *Router) Held(now float64, id WorkerID, fn FunctionID, res Result, copies int, took float64) {
	r.now = now
	wk, f := r.index[id], r.fns[fn]
	if f == nil {
		return
	}
	if copies > 0 {
		p := f.make(wk)
		p.warm, p.seen = true, now
	} else if res == TurnedAway {
		r.noRoom[wk] = now + noRoomFor
	}
	r.answered[wk] = now
	if f.order == wk {
		r.follow(f)
	}
	r.settle()
}

// follow lets the events that waited for an order be decided anew.
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
func (r *Router) giveUp(e *event) {
	if !e.mayRun || e.kind.Repeat == Redeliverable ||
		e.kind.Repeat == Keyed && e.kind.Reach == ReachAll && r.now < e.runAt+e.kind.Remembered {
		r.host.Defer(e.ID, r.dep.MaxPause/2)
	} else {
		r.host.DeadLetter(e.ID)
	}
	r.finish(e)
}

// age does what only the clock brings about.
func (r *Router) age() {
	span := max(r.now-r.lastTick, tick/2)
	r.lastTick = r.now
	warm := make([]float64, len(r.most))
	for wk, kind := range r.kind {
		if r.phase[wk] == Serving && r.warmth(wk, r.now) >= 1 {
			warm[kind]++
		}
	}
	for k, n := range warm {
		if n > 0 {
			r.carried[k] += min(span/rateSpan, 1) * (r.handled[k]/span/n - r.carried[k])
			r.most[k] = max(r.most[k], r.carried[k])
		}
		r.handled[k] = 0
	}
	r.every = slices.DeleteFunc(r.every, func(f *function) bool {
		idle := f.order < 0 && f.out == 0 && r.now-f.heard > forgetAfter
		if idle {
			delete(r.fns, f.id)
		}
		return idle
	})
	r.taken, r.ordered = r.within(r.taken, r.dep.LoadWindow), r.within(r.ordered, r.dep.LoadWindow)
}

func (r *Router) within(times []float64, span float64) []float64 {
	for len(times) > 0 && times[0] <= r.now-span {
		times = times[1:]
	}
	return times
}

// mean is the mean of a figure over the serving workers for which it is known, 0 where there are none.
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
	if r.born[wk] <= 0 || at-r.born[wk] >= r.dep.WarmWithin {
		return 1
	}
	return r.dep.ColdShare + (1-r.dep.ColdShare)*max(at-r.born[wk], 0)/r.dep.WarmWithin
}

// coldBudget is the number of launches that this front end may add to a cold worker in a fall window. Its
// capacity is not told; what a warm worker of its kind handles for this front end is a part of that, and the
// parts of all front ends add up to no more than the whole. So no front end needs to know of the others.
// The most in the past counts: in a rollout soon none is warm, and a budget from what cold workers carry
// would shrink itself.
func (r *Router) coldBudget(wk int) float64 {
	start := max(r.now-r.dep.FallWindow, r.born[wk])
	return coldPart * r.dep.FallFactor * r.warmth(wk, start) * r.dep.FallWindow * r.most[r.kind[wk]]
}

// coldRoom tells whether one more launch keeps a cold worker's budget.
func (r *Router) coldRoom(wk int) bool {
	if r.warmth(wk, r.now) >= 1 {
		return true
	}
	r.pushed[wk] = r.within(r.pushed[wk], r.dep.FallWindow)
	budget := r.coldBudget(wk)
	if budget >= 1 || r.dep.FrontEnds == 1 {
		return float64(len(r.pushed[wk])+1) <= max(budget, 1)
	}
	// Against a hundred front ends that may send one each: of a budget under one each draws for a turn, anew
	// in every window, so that turns not taken can't pile up.
	if r.now >= r.turn[wk] {
		r.turn[wk], r.drawn[wk] = r.now+r.dep.FallWindow, float64(r.chance(1<<20)) < budget*turnPart*(1<<20)
	}
	return r.drawn[wk]
}

// load is how busy a worker is believed to be, for its size; workers unheard of count as average.
func (r *Router) load(wk int) float64 {
	heard := r.heard[wk]
	if heard < 0 {
		heard = r.meanHeard
	}
	return (float64(len(r.flying[wk])+1) + heard) / (r.size[wk] * r.warmth(wk, r.now))
}

// survey takes the means over the fleet, once for each moment.
func (r *Router) survey() {
	if r.meanAt == r.now {
		return
	}
	r.meanAt = r.now
	r.meanHeard = r.mean(func(k int) (float64, bool) { return r.heard[k], r.heard[k] >= 0 })
	r.meanLoad = r.mean(func(k int) (float64, bool) { return r.load(k), true })
}

// may tells whether the rules let the event go to the worker at all.
func (r *Router) may(e *event, wk int) bool {
	if r.phase[wk] != Serving || !r.coldRoom(wk) {
		return false
	}
	if !e.mayRun || e.kind.Repeat == Redeliverable {
		return true
	}
	zone := r.zone[wk] == e.runZone
	group := e.kind.Reach == ReachAll || zone && (e.kind.Reach == ReachZone || r.cell[wk] == e.runCell)
	return group && e.kind.Repeat == Keyed && r.now < e.runAt+e.kind.Remembered
}

// fit tells whether a worker is in good health and has room.
func (r *Router) fit(wk int) bool {
	held := 0
	for _, e := range r.flying[wk] {
		if !e.loading { // against a slow store that would close its workers to their warm copies
			held++
		}
	}
	return r.aside[wk] <= r.now && float64(held) < r.room[wk]
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// rank orders the workers for a function, alike at every front end, so that front ends which never
// speak to each other keep its copies in the same few places. Highest comes first, and last the worker
// that just lost the event.
func (r *Router) rank(e *event, wk int) uint64 {
	if wk == e.wk {
		return 0
	}
	x := e.fn.hash ^ r.hash[wk]
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// ranked lists the workers that pass, by rank.
func (r *Router) ranked(e *event, pass func(wk int, p *place) bool) []int {
	var list []int
	for wk := range r.id {
		if r.fit(wk) && r.may(e, wk) && pass(wk, e.fn.at(wk)) {
			list = append(list, wk)
		}
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(r.rank(e, b), r.rank(e, a)) })
	return list
}

// least picks the least-loaded of a list, ties at random.
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
	return p != nil && p.warm && (p.out > 0 || r.now < p.seen+r.dep.KeepWarm)
}

// standing tells whether a warm copy is known on a worker that is in use, with room or without.
func (r *Router) standing(f *function) bool {
	return slices.ContainsFunc(f.places, func(p place) bool {
		return r.warm(&p) && r.phase[p.wk] == Serving && r.aside[p.wk] <= r.now
	})
}

// slow is the design's latency test. A copy that is passed over gets no new figures, so an old one
// must not keep it out for good, nor one heavy event an idle copy.
func (r *Router) slow(f *function, p *place) bool {
	return p.out > 0 && r.now-p.timedAt < slowFor && p.recent > r.usual(f, p)
}

// usual is the latency past which a copy is slow.
func (r *Router) usual(f *function, p *place) float64 {
	return overMedian * f.median * max(r.pace[p.wk], 1)
}

// bestWarm is the least-loaded of the warm copies in use: the first by rank, as many as the events in
// flight fill. Spread over all copies, events would keep each alive and crowd the memory with them.
func (r *Router) bestWarm(e *event, strict bool) int {
	list := r.ranked(e, func(wk int, p *place) bool {
		return r.warm(p) && !(strict && (float64(p.out) >= overLanes*float64(e.fn.lanes) || r.slow(e.fn, p)))
	})
	return r.least(list[:min(len(list), 1+e.fn.out/e.fn.lanes)])
}

func (r *Router) launch(e *event, wk int, loading bool) bool {
	if wk < 0 {
		return false
	}
	e.wk, e.sentAt, e.out, e.loading = wk, r.now, true, loading
	e.launches, e.fn.out = e.launches+1, e.fn.out+1
	e.fn.make(wk).out++
	r.flying[wk] = append(r.flying[wk], e)
	r.pushed[wk] = append(r.within(r.pushed[wk], r.dep.FallWindow), r.now)
	r.drawn[wk] = false
	r.host.Launch(e.ID, r.id[wk], e.due-r.now)
	return true
}

// mayOrder keeps the ration of load orders, where one is stated.
func (r *Router) mayOrder() bool {
	if !r.dep.MayOrder || r.dep.LoadWindow <= 0 {
		return r.dep.MayOrder
	}
	r.taken, r.ordered = r.within(r.taken, r.dep.LoadWindow), r.within(r.ordered, r.dep.LoadWindow)
	return float64(len(r.ordered)+1) <= r.dep.LoadFree+r.dep.LoadShare*float64(len(r.taken))
}

// loadSite is the first worker by rank that does not carry well more than the mean, else the least-loaded.
func (r *Router) loadSite(e *event) int {
	list := r.ranked(e, func(wk int, p *place) bool { return r.noRoom[wk] <= r.now && !r.warm(p) })
	for _, wk := range list {
		if r.load(wk) <= busyMean*r.meanLoad+busyMore/r.size[wk] && wk != e.wk {
			return wk
		}
	}
	return r.least(list)
}

// settle goes through the rules until none fires.
func (r *Router) settle() {
	r.survey()
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
			// Slow answers must span the time: after a single one nothing more may have been sent.
			if p := f.at(wk); p != nil && p.slowSince > 0 && p.timedAt-p.slowSince >= slowFor {
				n++
			}
		}
		return n >= slowCopies && r.aside[wk] <= r.now && r.leave(wk, asideFor, slowPart)
	},
	// A silent worker must not hold events to their end while another could still handle them. Waits
	// are added up in medians, so that one heavy event on a live worker is not taken for silence.
	func(r *Router, wk int) bool {
		waits, longest := 0.0, 0.0
		for _, e := range r.flying[wk] {
			if e.sentAt > r.answered[wk] && !e.loading && !e.streams {
				waits += (r.now - e.sentAt) / max(e.fn.median, muteLeast/muteFor)
				longest = max(longest, r.now-e.sentAt)
			}
		}
		if waits < muteFor || longest < muteLeast || r.aside[wk] > r.now {
			return false
		}
		// From here on only new silence counts.
		r.answered[wk] = r.now
		r.strike(wk)
		for _, e := range r.flying[wk] {
			if r.dep.MayCancel && !e.streams && e.kind.Repeat == Redeliverable && e.launches < r.dep.MaxLaunches {
				r.host.Cancel(e.ID, e.launches-1)
			}
		}
		return true
	},
	// A load on a worker that drained, left or keeps silent is not waited for. One that answers other
	// things meanwhile has a slow store behind it, and one more load elsewhere would crowd that more.
	func(r *Router, wk int) (fired bool) {
		for _, f := range r.every {
			lost := f.order == wk && r.now-max(f.orderedAt, r.answered[wk]) > limitLoads*max(f.load, 1)
			if lost {
				r.strike(wk)
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
		spent := r.now >= e.due-r.dep.RoundGap || e.launches >= r.dep.MaxLaunches
		spent = spent || e.mayRun && e.kind.Repeat == AtMostOnce
		if spent {
			r.giveUp(e)
		}
		return spent
	},
	// The ordinary path: the least-loaded warm copy that is not overloaded.
	func(r *Router, e *event) bool { return r.launch(e, r.bestWarm(e, true), false) },
	// None passes: one load at a time for each function, on the least-utilized worker.
	func(r *Router, e *event) bool {
		soon := r.now-e.fn.orderedAt < moreEvery+moreLost*r.lost && r.standing(e.fn)
		if e.fn.order >= 0 || e.waits >= waitsMost || soon || !r.mayOrder() {
			return false
		}
		if wk := r.loadSite(e); wk >= 0 {
			e.fn.order, e.fn.orderedAt = wk, r.now
			r.ordered = append(r.ordered, r.now)
			r.host.Hold(r.id[wk], e.fn.id, 1)
		}
		return false
	},
	// Meanwhile the least-loaded warm copy takes it, overloaded or not.
	func(r *Router, e *event) bool { return r.launch(e, r.bestWarm(e, false), false) },
	// Else the loading worker, once the order has surely reached it; else it waits for the answer.
	func(r *Router, e *event) bool {
		wk := e.fn.order
		if wk < 0 || e.waits >= waitsMost {
			return false
		}
		if r.now-e.fn.orderedAt > 4*r.dep.RoundGap && r.may(e, wk) && r.fit(wk) && wk != e.wk {
			return r.launch(e, wk, true)
		}
		e.waits++
		e.fn.followers = append(e.fn.followers, e)
		return true
	},
	// Without orders a worker loads what it is sent, where the deployment's workers do that.
	func(r *Router, e *event) bool {
		return !r.dep.MissAnswers && !r.mayOrder() && r.launch(e, r.loadSite(e), true)
	},
	// Nobody has room. A queue here would only make all of it late; told at once, a client can come
	// back in time.
	func(r *Router, e *event) bool {
		r.giveUp(e)
		return true
	},
}
