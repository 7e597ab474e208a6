package control

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
)

func plain() *Deployment {
	return &Deployment{FrontEnds: 1, MissIsAnswered: true, LoadCommandsAllowed: true, MaxAttempts: 4,
		MaxRetryAfter: 0.5, IdleReplicaLifetime: 8, MinRoundInterval: 0.004, ColdShare: 0.2, WarmUpTime: 15, OverloadFactor: 2.5, OverloadWindow: 1.5,
		RequestClasses: []RequestClass{{Name: "free", LatencyObjective: 1, Timeout: 3}}}
}

func anyDeployment(rnd *rand.Rand) *Deployment {
	d := plain()
	d.FrontEnds = 1 + rnd.Intn(5)
	d.MissIsAnswered, d.LoadCommandsAllowed = rnd.Intn(2) == 0, rnd.Intn(4) > 0
	d.GossipAllowed = rnd.Intn(2) == 0
	d.MaxAttempts = 1 + rnd.Intn(6)
	d.MaxRetryAfter = float64(rnd.Intn(2))
	if rnd.Intn(2) == 0 {
		d.LoadCommandWindow, d.LoadCommandAllowance, d.LoadCommandsPerRequest = 2, float64(rnd.Intn(3)), rnd.Float64()/4
	}
	d.RequestClasses = append(d.RequestClasses,
		RequestClass{Name: "once", LatencyObjective: 0.5, Timeout: 2, Semantics: AtMostOnce},
		RequestClass{Name: "all", LatencyObjective: 0.8, Timeout: 2, Semantics: IdempotentByKey, DeduplicationWindow: 0.2 + rnd.Float64()},
		RequestClass{Name: "zone", LatencyObjective: 1, Timeout: 3, Semantics: IdempotentByKey, DeduplicationScope: ScopeZone, DeduplicationWindow: 0.5},
		RequestClass{Name: "cell", LatencyObjective: 1, Timeout: 3, Semantics: IdempotentByKey, DeduplicationScope: ScopeFailureDomain, DeduplicationWindow: 2})
	return d
}

// The five rules, on generated deployments and fleets that fail, stall, restart, drain and vanish.
func TestRulesHold(t *testing.T) {
	day := func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		w := newWorld(seed, anyDeployment(rnd), 1+rnd.Intn(8))
		n, rate := 0, 0.1+rnd.Float64()*0.5
		for step := range 1500 {
			w.step(0.01)
			if step < 1000 && rnd.Float64() < rate {
				f := w.fes[rnd.Intn(1+rnd.Intn(len(w.fes)))]
				kind := w.dep.RequestClasses[rnd.Intn(len(w.dep.RequestClasses))]
				n++
				f.take(RequestID(fmt.Sprint(n)), FunctionID(fmt.Sprint(rnd.Intn(1+rnd.Intn(12)))), kind,
					kind.Timeout*max(rnd.Float64(), 0.01))
			}
			if m := w.wks[rnd.Intn(len(w.wks))]; rnd.Intn(60) == 0 {
				switch rnd.Intn(8) {
				case 0, 1, 2, 3:
					m.mood = rnd.Intn(5)
				case 4:
					m.State = Draining
				case 5:
					m.State = Gone
				default:
					m.State, m.mood, m.StartedAt, m.bornAt = Serving, 0, w.now, w.now
					m.holds, m.sends = map[FunctionID]bool{}, nil
				}
				for _, f := range w.fes {
					w.after(rnd.Float64(), func() { f.tell(false) })
				}
			}
		}
		for _, f := range w.fes {
			for id, e := range f.evts {
				if e.answered != 1 {
					w.fault("event %s has %d answers", id, e.answered)
				}
			}
			if len(f.r.evts)+len(f.r.marks)+len(f.r.todo) > 0 {
				w.fault("state is left over: %d %d %d", len(f.r.evts), len(f.r.marks), len(f.r.todo))
			}
		}
		if w.bad != "" {
			t.Logf("seed %d: %s", seed, w.bad)
		}
		return w.bad == ""
	}
	if err := quick.Check(day, &quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// drive plays a steady stream of one function for some seconds and counts what came of it.
func drive(w *world, fns int, gap, span float64) (handled, other int) {
	var all []*taken
	for i := 0; float64(i)*gap < span; i++ {
		w.step(gap)
		id := RequestID(fmt.Sprint(w.now, "-", i))
		all = append(all, w.fes[i%len(w.fes)].take(id, FunctionID(fmt.Sprint("f", i%fns)), w.dep.RequestClasses[0], 3))
	}
	for range 400 {
		w.step(0.01)
	}
	for _, e := range all {
		if e.handled {
			handled++
		} else {
			other++
		}
	}
	return handled, other
}

// homes counts the copies that stand.
func (w *world) homes() (n int) {
	for _, m := range w.wks {
		n += len(m.holds)
	}
	return n
}

// Front ends that share nothing load a function on the same worker.
func TestFrontEndsAgreeOnHomes(t *testing.T) {
	d := plain()
	d.FrontEnds = 3
	w := newWorld(5, d, 8)
	drive(w, 4, 0.1, 4)
	if homes := w.homes(); homes > 6 || w.bad != "" {
		t.Errorf("4 functions stand in %d places; %s", homes, w.bad)
	}
}

// One old slow answer must not keep a copy out for good, though an event of ours is still there.
func TestOldLatencyLapses(t *testing.T) {
	w := newWorld(1, plain(), 4)
	drive(w, 1, 0.2, 4)
	r, f := w.fes[0].r, w.fes[0].r.fns["f0"]
	p := &f.places[0]
	p.out, p.recent, p.timedAt = 1, 3*f.median, r.now
	if !r.slow(f, p) {
		t.Error("a copy at three times the median is not slow")
	}
	if r.now += 1.1; r.slow(f, p) {
		t.Error("a copy is still slow by an old answer")
	}
}

// When all answer slowly or fail, no more than the stated part stands aside.
func TestNotAllSetAside(t *testing.T) {
	w := newWorld(3, plain(), 10)
	drive(w, 20, 0.02, 3)
	for _, m := range w.wks {
		m.mood = 2
	}
	for i := range 100 {
		w.fes[0].take(RequestID(fmt.Sprint(i)), FunctionID(fmt.Sprint("f", i%20)), w.dep.RequestClasses[0], 3)
		w.step(0.02)
		n := 0
		for wk := range w.wks {
			if w.fes[0].r.aside[wk] > w.now {
				n++
			}
		}
		if n > 4 {
			t.Fatalf("%d of 10 workers set aside", n)
		}
	}
}

// In a rollout soon every worker is cold; they must still get work.
func TestRolloutDoesNotStarve(t *testing.T) {
	w := newWorld(4, plain(), 4)
	drive(w, 4, 0.02, 6)
	for _, m := range w.wks {
		m.StartedAt, m.bornAt, m.holds = w.now, w.now, map[FunctionID]bool{}
	}
	w.fes[0].tell(false)
	if handled, other := drive(w, 4, 0.04, 8); handled < 100 || w.bad != "" {
		t.Errorf("%d handled, %d not; %s", handled, other, w.bad)
	}
}

// Many front ends, each with a budget under one launch, together keep that of a cold worker.
func TestManyFrontEndsKeepColdBudget(t *testing.T) {
	d := plain()
	d.FrontEnds = 150
	w := newWorld(12, d, 6)
	drive(w, 12, 0.02, 6)
	m := w.wks[0]
	m.StartedAt, m.bornAt = w.now, w.now
	for _, f := range w.fes {
		f.tell(false)
	}
	// Whatever was saved up for long, an early rush and a late one stay under the budget, and get something.
	for _, wait := range []float64{0, 10} {
		for range int(wait * 100) {
			w.step(0.01)
		}
		sent := 0
		for range 150 {
			w.step(0.01)
			for _, f := range w.fes {
				if f.r.coldRoom(0) {
					f.r.spent[0] = f.r.turn[0]
					sent++
				}
			}
		}
		may := d.OverloadFactor * (d.ColdShare + (1-d.ColdShare)*wait/d.WarmUpTime) * d.OverloadWindow * m.rate
		if float64(sent) > may || sent == 0 {
			t.Errorf("%d launches to a cold worker that bears %.1f", sent, may)
		}
	}
}

// However many processes there are, however unevenly events come to them, and though a third of them restarts on the way
// and knows nothing, their sum keeps what a cold worker bears, with the slack that the rule has for chance. Here every
// front end sends all that it may.
func TestColdWorkersBearTheSum(t *testing.T) {
	for _, n := range []int{1, 3, 30, 300} {
		d := plain()
		d.FrontEnds = n
		w := newWorld(int64(n), d, 4)
		asked := 0
		kind := d.RequestClasses[0]
		for range 800 { // 8 s of half of what the fleet can do, most of it at few front ends
			w.step(0.01)
			if w.rnd.Float64() < 0.4 {
				asked++
				u := w.rnd.Float64()
				f := w.fes[int(float64(n)*u*u*u)]
				f.take(RequestID(fmt.Sprint("e", asked)), FunctionID(fmt.Sprint("f", asked%5)), kind, 2)
			}
		}
		m := w.wks[0]
		m.StartedAt, m.bornAt = w.now, w.now
		for _, f := range w.fes {
			f.tell(false)
		}
		var sent []float64
		for step := range 1400 {
			w.step(0.01)
			if step == 300 {
				for i, f := range w.fes {
					if i%3 == 0 {
						f.r = New(d, uint64(n+i)*0x9e3779b97f4a7c15, f, w.now)
						f.tell(true)
					}
				}
			}
			for _, i := range w.rnd.Perm(n) {
				f := w.fes[i]
				for f.r.coldRoom(0) {
					id := RequestID(fmt.Sprint("c", len(sent)))
					f.evts[id] = &taken{kind: kind, due: w.now + 1}
					f.r.launch(&event{Request: Request{ID: id}, fn: &function{lanes: 1}, kind: &kind, due: w.now + 1}, 0)
					sent = append(sent, w.now)
				}
			}
			in := 0.0
			for k := len(sent) - 1; k >= 0 && sent[k] > w.now-d.OverloadWindow; k-- {
				in++
			}
			bears := d.OverloadFactor * (d.ColdShare + (1-d.ColdShare)*(w.now-m.bornAt)/d.WarmUpTime) * d.OverloadWindow * m.rate
			if in > bears+2*math.Sqrt(bears)+2 {
				t.Fatalf("%d front ends: %.0f launches in the window %.2f s after the start, which bears %.1f", n, in, w.now-m.bornAt, bears)
			}
		}
		if len(sent) < 5 {
			t.Errorf("%d front ends: a cold worker got %d launches in its warm-up", n, len(sent))
		}
	}
}

// Many front ends, none of which fills a copy alone, spread a hot function. Unknown messages move nothing.
func TestHotFunctionSpreadsOverManyFrontEnds(t *testing.T) {
	for _, tells := range []bool{false, true} {
		d := plain()
		d.FrontEnds, d.GossipAllowed = 60, tells
		w := newWorld(13, d, 12)
		drive(w, 1, 0.01, 8)
		if homes := w.homes(); homes < 4 || w.bad != "" {
			t.Errorf("told %v: 100 events a second stand in %d places; %s", tells, homes, w.bad)
		}
		r := w.fes[0].r
		before := fmt.Sprint(r.heard, r.fns["f0"].width)
		for _, m := range [][]byte{nil, {1}, {1, 2, 3, 4, 5}, {1, 2, 3, 4}} {
			r.OnGossip(w.now, m)
		}
		if after := fmt.Sprint(r.heard, r.fns["f0"].width); after != before {
			t.Errorf("a message of unknown form moved %s to %s", before, after)
		}
	}
}

// Few front ends see a function's events themselves: the width stays, and a quick order keeps the pause.
func TestFewFrontEndsKeepTheirOwnCount(t *testing.T) {
	for _, n := range []int{2, 60} {
		d := plain()
		d.FrontEnds, d.GossipAllowed = n, true
		r := newWorld(15, d, 3).fes[0].r
		f := &function{id: "f", lanes: 1, width: 1, order: -1, pause: r.now + 9}
		r.fns["f"], r.quick = f, 0.5
		r.counted(f, 100)
		r.OnLoadResult(r.now, r.id[0], "f", Succeeded, 1, 0.01)
		if (f.width > 1) != (n > 2) || (f.pause <= r.now) != (n > 2) {
			t.Errorf("%d front ends: width %g, pause %g at %g", n, f.width, f.pause, r.now)
		}
	}
}

// Late answers shut a part of the events out at once, repeats before first tries. Lost ones tell of no crowd.
func TestLateAnswersDeferAPart(t *testing.T) {
	d := plain()
	d.FrontEnds = 100
	w := newWorld(14, d, 3)
	f := w.fes[0]
	deferred := func(result Outcome, repeated bool) (n int) {
		for f.r.open = 1; f.r.open > 0.7 && n < 20; n++ {
			e := &event{fn: &function{lanes: 1, width: 1}, kind: &d.RequestClasses[0]}
			f.r.widen(e, AttemptResult{Outcome: result, Latency: 2})
		}
		n = 0
		for range 200 {
			e := &event{Request: Request{ID: "x", Retried: repeated}, kind: &d.RequestClasses[0], fn: &function{}, wk: -1}
			f.evts["x"] = &taken{Request: e.Request, kind: d.RequestClasses[0], due: w.now + 3}
			if eventRules[1](f.r, e) {
				n++
			}
		}
		return n
	}
	first, again, lost := deferred(Succeeded, false), deferred(Succeeded, true), deferred(TimedOut, false)
	if first < 40 || first > 100 || again < first+40 || again == 200 || lost > 0 || w.bad != "" {
		t.Errorf("deferred of 200: %d first tries, %d repeats, %d after lost answers; %s", first, again, lost, w.bad)
	}
}

// Lateness that letting fewer in does not mend (a fifth of the answers) shuts nobody out; half of them late does.
func TestSomeLateAnswersShutNobodyOut(t *testing.T) {
	d := plain()
	d.FrontEnds = 100
	for every, shut := range map[int]bool{5: false, 4: false, 2: true} {
		f := newWorld(14, d, 3).fes[0]
		least := f.r.open
		for n := range 400 {
			took := 0.1
			if n%every == 0 {
				took = 2
			}
			f.r.widen(&event{fn: &function{lanes: 1, width: 1}, kind: &d.RequestClasses[0]}, AttemptResult{Outcome: Succeeded, Latency: took})
			least = min(least, f.r.open)
		}
		if least < 1 != shut {
			t.Errorf("one in %d late: the part let in falls to %.2f", every, least)
		}
	}
}

// One late answer of an idle worker does not close it.
func TestRoomStaysOpen(t *testing.T) {
	w := newWorld(6, plain(), 1)
	r := w.fes[0].r
	for i := range 50 {
		r.now += 0.1
		r.resize(&event{wk: 0, sentAt: r.now + float64(i)}, true, false)
	}
	if r.room[0] < 2 {
		t.Errorf("room %g", r.room[0])
	}
}

// No worker at all, a function that no worker has room for, and events with hardly any time left.
func TestNothingToBeDone(t *testing.T) {
	for _, workers := range []int{0, 3} {
		w := newWorld(7, plain(), workers)
		for _, m := range w.wks {
			m.mood = 3
		}
		f := w.fes[0]
		for i := range 500 {
			f.take(RequestID(fmt.Sprint(i)), "big", w.dep.RequestClasses[0], []float64{0.001, 3}[i%2])
		}
		for range 150 {
			w.step(0.01)
		}
		for id, e := range f.evts {
			if e.answered != 1 {
				t.Errorf("%d workers: event %s has %d answers after half its time", workers, id, e.answered)
			}
		}
		if w.bad != "" || len(f.ordered) > 20 {
			t.Errorf("%d workers: %d orders; %s", workers, len(f.ordered), w.bad)
		}
	}
}

// Waits for a load take no room: ten of them once closed a worker to its warm copies.
func TestWaitsForLoadsTakeNoRoom(t *testing.T) {
	w := newWorld(8, plain(), 1)
	r := w.fes[0].r
	r.flying[0] = slices.Repeat([]*event{{fn: &function{order: 0}, loading: true}}, 20)
	if !r.fit(0) {
		t.Error("a worker where events wait for a load takes no others")
	}
	r.flying[0] = slices.Repeat([]*event{{}}, 20)
	if r.fit(0) {
		t.Error("a worker far past its room takes more")
	}
}

// A broken connection says nothing of the copies there, and a slow store nothing of its workers.
func TestBrokenLinksAndSlowStores(t *testing.T) {
	w := newWorld(9, plain(), 3)
	drive(w, 1, 0.2, 3)
	f := w.fes[0]
	r, fn := f.r, f.r.fns["f0"]
	e := f.take("x", "f0", w.dep.RequestClasses[0], 3)
	f.end(e, e.launches[0], 0, ConnectionLost)
	if !r.warm(&fn.places[0]) {
		t.Error("a copy is forgotten for a broken connection")
	}
	fn.order, fn.orderedAt, r.answered[1] = 1, r.now-60, r.now
	if workerRules[1](r, 1); fn.order != 1 {
		t.Error("a load on a live worker is given up")
	}
	r.answered[1] = r.now - 60
	if workerRules[1](r, 1); fn.order == 1 || r.aside[1] <= r.now {
		t.Error("a load on a silent worker is waited for")
	}
}

// Where copies believed warm are found gone, loads beside others wait longer.
func TestCrowdedStoreSlowsLoads(t *testing.T) {
	w := newWorld(10, plain(), 4)
	drive(w, 2, 0.1, 4)
	for _, m := range w.wks {
		m.holds = map[FunctionID]bool{}
	}
	before := w.fes[0].r.lost
	drive(w, 2, 0.1, 1)
	if w.fes[0].r.lost <= before {
		t.Errorf("the share of copies gone stays at %g", before)
	}
}

// The design's defaults: warm entries lapse, fall with a miss or a new start, and a copy is overloaded at
// twice its lanes; one load for each function at a time.
func TestDesignDefaults(t *testing.T) {
	warmed := func() (*world, *frontEnd, *function, *place) {
		w := newWorld(11, plain(), 3)
		drive(w, 1, 0.2, 2)
		f := w.fes[0]
		fn := f.r.fns["f0"]
		fn.places = fn.places[:1]
		fn.places[0].warm, fn.places[0].seen = true, f.r.now
		return w, f, fn, &fn.places[0]
	}
	w, f, fn, p := warmed()
	if p.seen = f.r.now - 7.9; !f.r.warm(p) {
		t.Error("a copy lapsed before its keep-alive")
	}
	if p.seen = f.r.now - 8.1; f.r.warm(p) {
		t.Error("a copy outlives its keep-alive")
	}
	w, f, fn, p = warmed()
	e := &event{fn: fn, kind: &w.dep.RequestClasses[0], wk: -1}
	if p.out = 3; first(f.r.bestWarm(e, true)) != p.wk {
		t.Error("a copy under twice its lanes is passed over")
	}
	if p.out = 4; first(f.r.bestWarm(e, true)) >= 0 || first(f.r.bestWarm(e, false)) != p.wk {
		t.Error("a copy at twice its lanes passes, or is not the last resort")
	}
	w, f, _, p = warmed()
	w.wks[p.wk].StartedAt, w.wks[p.wk].bornAt = w.now, w.now
	if f.tell(false); p.warm {
		t.Error("a copy outlives its process")
	}
	w, f, _, p = warmed()
	w.wks[p.wk].holds = map[FunctionID]bool{}
	orders := len(f.ordered)
	f.take("m", "f0", w.dep.RequestClasses[0], 3)
	if w.step(0.02); p.warm || len(f.ordered) != orders+1 {
		t.Errorf("after a miss the entry stands (%v) or %d loads began", p.warm, len(f.ordered)-orders)
	}
	for i := range 5 {
		f.take(RequestID(fmt.Sprint("n", i)), "f0", w.dep.RequestClasses[0], 3)
	}
	if len(f.ordered) != orders+1 {
		t.Errorf("%d loads of one function at once", len(f.ordered)-orders)
	}
}

func first(wk, _ int) int { return wk }

// A listed worker whose process is gone holds none of its copies: the function is loaded elsewhere at once, not
// asked for at the dead address until the tries are used up.
func TestUnreachableWorkerHoldsNothing(t *testing.T) {
	w := newWorld(3, plain(), 3)
	f := w.fes[0]
	drive(w, 1, 0.05, 2)
	for _, m := range w.wks {
		if m.holds["f0"] {
			m.mood = 4
		}
	}
	got := f.take("late", "f0", w.dep.RequestClasses[0], 3)
	for range 200 {
		w.step(0.01)
	}
	if w.bad != "" || !got.handled || len(got.launches) > 2 {
		t.Fatalf("%s: handled %v after %d launches", w.bad, got.handled, len(got.launches))
	}
}

// What is loaded ahead stands when it is asked for; a copy that stands, a load under way and a spent ration get no
// order, and no event is launched for it.
func TestLoadedAheadOfTime(t *testing.T) {
	d := plain()
	d.LoadCommandWindow, d.LoadCommandAllowance = 5, 2
	w := newWorld(4, d, 3)
	f := w.fes[0]
	w.step(0.1)
	in := Request{Class: "free", Function: "f0", Concurrency: 1, LoadTime: 0.5}
	if !f.r.Preload(w.now, in) || f.r.Preload(w.now, in) {
		t.Fatal("one order is wanted, not none or two")
	}
	for range 200 {
		w.step(0.01)
	}
	if f.r.Preload(w.now, in) || w.homes() != 1 {
		t.Fatal("ordered though a copy stands")
	}
	got := f.take("e", "f0", d.RequestClasses[0], 3)
	if len(got.launches) != 1 {
		t.Fatal("it had to wait")
	}
	in.Function = "f1"
	f.r.Preload(w.now, in)
	if in.Function = "f2"; f.r.Preload(w.now, in) {
		t.Fatal("ordered past the ration")
	}
	if w.bad != "" {
		t.Fatal(w.bad)
	}
}

// A copy whose worker has no room left is no reason to turn events away beside an idle worker, unless loads take longer
// than is usual: then one more would crowd the store.
func TestFullCopyDoesNotKeepThePause(t *testing.T) {
	for _, crowded := range []bool{false, true} {
		w := newWorld(1, plain(), 2)
		f := w.fes[0]
		r := f.r
		drive(w, 1, 0.1, 2)
		fn := r.fns["f0"]
		fn.pause, fn.heard = r.now+9, r.now
		for wk := range r.id {
			if p := fn.at(wk); p != nil && p.warm {
				r.room[wk] = 0
			}
		}
		if r.stretch = 1; crowded {
			r.stretch = 2
		}
		f.take("late", "f0", w.dep.RequestClasses[0], 3)
		if ordered := fn.order >= 0; ordered == crowded {
			t.Errorf("crowded %v: ordered %v", crowded, ordered)
		}
	}
}

// Where the target time is long against the work, an event that waited for a lane takes many times the median. One such,
// or a few apart, must not make a copy slow; answers that all come late must.
func TestHeavyEventsAreNotSlowCopies(t *testing.T) {
	for _, every := range []int{5, 1} {
		r := newWorld(1, plain(), 2).fes[0].r
		f := r.function(Request{Function: "f"})
		p := f.make(0)
		for range 50 {
			r.timed(f, p, 0.05)
		}
		slow := 0
		for i := range 40 {
			took := 0.05
			if i%every == 0 {
				took = 1
			}
			f.median = 0.05 // most answers come from elsewhere
			if r.timed(f, p, took); p.slowSince > 0 {
				slow++
			}
		}
		if (slow > 25) != (every == 1) || every > 1 && slow > 0 {
			t.Errorf("every %d heavy: slow after %d of 40", every, slow)
		}
	}
}

// Behind a stalled store every follower would wait until its time is up; told at once, its client can come back.
func TestNoWaitBehindAStalledStore(t *testing.T) {
	for _, stretch := range []float64{1, 20} {
		w := newWorld(1, plain(), 2)
		f := w.fes[0]
		f.r.stretch = stretch
		in := Request{ID: "e", Class: "free", Function: "f", TimeLeft: 3, LoadTime: 0.5}
		w.fes[0].evts["e"] = &taken{}
		f.r.OnRequest(w.now, in)
		if waits := f.r.evts["e"] != nil; waits != (stretch == 1) || f.r.fns["f"].order < 0 {
			t.Errorf("loads at %g of their time: waits %v, order %d", stretch, waits, f.r.fns["f"].order)
		}
	}
}

// A worker whose store is slow still answers what it holds; what waits there for a copy must not close it. One that
// answers nothing, or is crowded without a slow store, stays closed.
func TestStuckEventsTakeNoRoom(t *testing.T) {
	for _, c := range []struct {
		stretch, answered float64
		fits              bool
	}{{3, 0.1, true}, {3, 1, false}, {1, 0.1, false}} {
		r := newWorld(1, plain(), 2).fes[0].r
		f := r.function(Request{Function: "f"})
		f.median, r.stretch, r.answered[0], r.room[0] = 0.1, c.stretch, r.now-c.answered, 2
		for range 3 {
			r.flying[0] = append(r.flying[0], &event{fn: f, wk: 0, out: true, sentAt: r.now - 0.7})
		}
		if r.fit(0) != c.fits {
			t.Errorf("%+v: fits %v", c, !c.fits)
		}
	}
}

// Workers that came and went leave nothing behind, also where their launches end after they are gone.
func TestReplacedWorkersAreLetGo(t *testing.T) {
	r := newWorld(1, plain(), 3).fes[0].r
	for i := range 300 {
		now := r.now + 0.1
		id := WorkerID(fmt.Sprint("new-", i))
		r.OnEndpointUpdate(now, true, false, []Worker{{ID: id, Weight: 1}})
		f := r.function(Request{Function: "f"})
		f.make(r.index[id]).warm = true
		r.OnLoadResult(now, WorkerID(fmt.Sprint("new-", i-9)), "f", Succeeded, 1, 0.1)
		if wk := r.index[id]; r.id[wk] != id || f.at(wk) == nil || r.room[wk] != roomStart || r.short[uint32(r.hash[wk]&0xfff)] != wk {
			t.Fatalf("%s is out of place", id)
		}
	}
	if n := len(r.fns["f"].places); len(r.id) > 6 || len(r.index) > 6 || len(r.short) > 6 || n > 6 || len(r.spent) != len(r.id) {
		t.Errorf("%d workers, %d in the index, %d by hash, %d places", len(r.id), len(r.index), len(r.short), n)
	}
}

// A dead worker that the list still names, first by rank, must not be asked for load after load until its events have no
// load left to follow.
func TestLoadsLeaveADeadWorker(t *testing.T) {
	for _, res := range []Outcome{Unreachable, ConnectionLost, Rejected} {
		w := newWorld(1, plain(), 3)
		r := w.fes[0].r
		w.fes[0].evts["e"] = &taken{}
		r.OnRequest(w.now, Request{ID: "e", Class: "free", Function: "f", TimeLeft: 3})
		f := r.fns["f"]
		dead := f.order
		r.OnLoadResult(w.now+0.001, r.id[dead], "f", res, 0, 0.001)
		if f.order < 0 || f.order == dead {
			t.Errorf("after %d the load goes to %d, from %d", res, f.order, dead)
		}
	}
}
