package control

import (
	"fmt"
	"math/rand"
)

// The world is a slow, plain fleet with several front ends on it. It shares no code with the module and
// notes in bad the first thing that a rule forbids.
type world struct {
	rnd   *rand.Rand
	dep   *Deployment
	now   float64
	fes   []*frontEnd
	wks   []*machine
	later []due
	bad   string
}

type due struct {
	at float64
	do func()
}

type machine struct {
	Worker
	rate, freeAt, bornAt float64         // events a second when warm; busy until; started
	told                 []EndpointState // what each front end was last told
	mood                 int             // 0 well, 1 silent, 2 failing, 3 turning away, 4 unreachable
	holds                map[FunctionID]bool
	sends, toldBorn      []float64
}

type taken struct {
	Request
	kind     RequestClass
	due      float64
	answered int
	handled  bool
	launches []*sent
}

type sent struct {
	wk            *machine
	at            float64
	ended, mayRun bool
}

type frontEnd struct {
	w              *world
	me             int
	r              *Router
	evts           map[RequestID]*taken
	takes, ordered []float64
}

func (w *world) fault(format string, args ...any) {
	if w.bad == "" {
		w.bad = fmt.Sprintf("%.3f: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) after(span float64, do func()) { w.later = append(w.later, due{w.now + span, do}) }

func (w *world) machine(id WorkerID) *machine {
	for _, m := range w.wks {
		if m.ID == id {
			return m
		}
	}
	w.fault("unknown worker %s", id)
	return w.wks[0]
}

func (w *world) step(span float64) {
	w.now += span
	for i := 0; i < len(w.later); i++ {
		if w.later[i].at <= w.now {
			do := w.later[i].do
			w.later = append(w.later[:i], w.later[i+1:]...)
			i--
			do()
		}
	}
}

func (f *frontEnd) event(id RequestID) *taken {
	t := f.evts[id]
	if t == nil {
		f.w.fault("unknown event %s", id)
		return &taken{}
	}
	if f.w.now > t.due+0.016+0.01 { // the world moves in steps of 0.01
		f.w.fault("event %s is past its time by %.3f", id, f.w.now-t.due)
	}
	if t.answered > 0 {
		f.w.fault("event %s was answered before", id)
	}
	return t
}

func (f *frontEnd) StartAttempt(id RequestID, wk WorkerID, limit float64) {
	t, m := f.event(id), f.w.machine(wk)
	if len(t.launches) >= f.w.dep.MaxAttempts || limit <= 0 {
		f.w.fault("launch %d of %s with limit %g", len(t.launches), id, limit)
	}
	if m.told[f.me] != Serving {
		f.w.fault("launch to a worker told to be %d", m.told[f.me])
	}
	var first *sent
	for _, l := range t.launches {
		if !l.ended {
			f.w.fault("two launches of %s out", id)
		}
		if l.mayRun && first == nil {
			first = l
		}
	}
	if first != nil {
		same := t.kind.DeduplicationScope == ScopeFleet ||
			first.wk.Zone == m.Zone && (t.kind.DeduplicationScope == ScopeZone || first.wk.FailureDomain == m.FailureDomain)
		if t.kind.Semantics == AtMostOnce ||
			t.kind.Semantics == IdempotentByKey && (!same || f.w.now > first.at+t.kind.DeduplicationWindow) {
			f.w.fault("%s launched again though it may have run", id)
		}
	}
	l := &sent{wk: m, at: f.w.now, mayRun: true}
	t.launches = append(t.launches, l)
	m.push(f.w, m.toldBorn[f.me] == m.StartedAt)
	res, span := f.w.run(m, t.Function)
	if span > limit {
		res, span = TimedOut, limit
	}
	n := len(t.launches) - 1
	f.w.after(span, func() { f.end(t, l, n, res) })
}

func (f *frontEnd) end(t *taken, l *sent, n int, res Outcome) {
	if l.ended {
		return
	}
	l.ended = true
	l.mayRun = res != Rejected && res != Unreachable && res != ReplicaMissing && res != NotSent
	if res == Succeeded && t.answered == 0 {
		t.answered, t.handled = 1, true
	}
	f.r.OnAttemptResult(f.w.now, AttemptResult{Request: t.ID, Worker: l.wk.ID, Attempt: n, Outcome: res, Answered: t.answered > 0,
		Latency: f.w.now - l.at})
}

// push keeps the count of rule four, from all front ends that know of the start.
func (m *machine) push(w *world, knows bool) {
	if age := w.now - m.bornAt; m.bornAt > 0 && knows && age < w.dep.WarmUpTime {
		m.sends = append(m.sends, w.now)
		n := 0
		for _, at := range m.sends {
			if at > w.now-w.dep.OverloadWindow {
				n++
			}
		}
		share := w.dep.ColdShare + (1-w.dep.ColdShare)*max(age-w.dep.OverloadWindow, 0)/w.dep.WarmUpTime
		if may := w.dep.OverloadFactor * share * w.dep.OverloadWindow * m.rate; float64(n) > max(may, float64(len(w.fes))) {
			w.fault("cold worker pushed: %d launches where %.1f are borne", n, may)
		}
	}
}

func (w *world) run(m *machine, fn FunctionID) (Outcome, float64) {
	switch m.mood {
	case 1:
		return TimedOut, 1e9
	case 2:
		return Failed, 0.01
	case 3:
		return Rejected, 0.01
	case 4:
		return Unreachable, 0.05
	}
	if m.State == Gone {
		return ConnectionLost, 0.05
	}
	if w.dep.MissIsAnswered && !m.holds[fn] {
		return ReplicaMissing, 0.01
	}
	m.holds[fn] = true
	m.freeAt = max(m.freeAt, w.now) + w.rnd.ExpFloat64()/m.rate
	return Succeeded, m.freeAt - w.now + 0.005
}

func (f *frontEnd) Reject(id RequestID, pause float64) {
	t := f.event(id)
	t.answered++
	for _, l := range t.launches {
		known := t.kind.Semantics == IdempotentByKey && t.kind.DeduplicationScope == ScopeFleet && f.w.now <= l.at+t.kind.DeduplicationWindow
		if (l.mayRun || !l.ended) && t.kind.Semantics != Idempotent && !known {
			f.w.fault("%s deferred though it may have run", id)
		}
	}
	if pause < 0 || pause > f.w.dep.MaxRetryAfter {
		f.w.fault("pause %g", pause)
	}
}

func (f *frontEnd) Fail(id RequestID) { f.event(id).answered++ }

func (f *frontEnd) LoadReplicas(wk WorkerID, fn FunctionID, copies int) {
	m, d := f.w.machine(wk), f.w.dep
	if m.told[f.me] != Serving || !d.LoadCommandsAllowed || copies < 1 || copies > 16 {
		f.w.fault("order to %s", wk)
	}
	f.ordered = append(f.ordered, f.w.now)
	in := func(times []float64) (n float64) {
		for _, at := range times {
			if at > f.w.now-d.LoadCommandWindow {
				n++
			}
		}
		return n
	}
	if d.LoadCommandWindow > 0 && in(f.ordered) > d.LoadCommandAllowance+d.LoadCommandsPerRequest*in(f.takes)+1e-9 {
		f.w.fault("load order over the ration")
	}
	if m.mood == 1 {
		return // an order that is never answered
	}
	f.w.after(0.3, func() {
		if m.holds[fn] = m.mood == 0; m.holds[fn] {
			f.r.OnLoadResult(f.w.now, wk, fn, Succeeded, 1, 0.3)
		} else {
			f.r.OnLoadResult(f.w.now, wk, fn, Rejected, 0, 0.3)
		}
	})
}

func (f *frontEnd) Broadcast(m []byte) {
	if !f.w.dep.GossipAllowed || len(m) > 256 {
		f.w.fault("message of %d bytes", len(m))
	}
	for _, o := range f.w.fes {
		if o != f && f.w.rnd.Intn(10) > 0 {
			f.w.after(f.w.rnd.Float64()/20, func() { o.r.OnGossip(f.w.now, m) })
		}
	}
}

func (f *frontEnd) SetTimer(after float64, mark uint64) {
	f.w.after(max(after, 0.001), func() { f.r.OnTimer(f.w.now, mark) })
}

func (f *frontEnd) Subscribe() {}

func (f *frontEnd) tell(first bool) {
	var list []Worker
	for _, m := range f.w.wks {
		if m.told[f.me], m.toldBorn[f.me] = m.State, m.StartedAt; m.State != Gone {
			list = append(list, m.Worker)
		}
	}
	f.r.OnEndpointUpdate(f.w.now, true, first, list)
}

func (f *frontEnd) take(id RequestID, fn FunctionID, kind RequestClass, left float64) *taken {
	t := &taken{kind: kind, due: f.w.now + left,
		Request: Request{ID: id, Class: kind.Name, Function: fn, TimeLeft: left, Concurrency: 2}}
	f.evts[id] = t
	f.takes = append(f.takes, f.w.now)
	f.r.OnRequest(f.w.now, t.Request)
	return t
}

// newWorld makes a fleet of the given size that every front end has been told of.
func newWorld(seed int64, dep *Deployment, workers int) *world {
	w := &world{rnd: rand.New(rand.NewSource(seed)), dep: dep, now: 100}
	for i := range workers {
		m := &machine{rate: 20, holds: map[FunctionID]bool{},
			Worker: Worker{ID: WorkerID(fmt.Sprint("w", i)), Zone: ZoneID(fmt.Sprint(i % 2)), FailureDomain: i % 3, Weight: 1},
			told:   make([]EndpointState, dep.FrontEnds), toldBorn: make([]float64, dep.FrontEnds)}
		w.wks = append(w.wks, m)
	}
	for i := range dep.FrontEnds {
		f := &frontEnd{w: w, me: i, evts: map[RequestID]*taken{}}
		f.r = New(dep, (uint64(seed)<<20+uint64(i))*0x9e3779b97f4a7c15, f, w.now)
		w.fes = append(w.fes, f)
		f.tell(true)
	}
	return w
}
