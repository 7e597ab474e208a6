package dispatch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"streamcleat/control"
)

// rig plays the outside of a core: it notes what the core asks for and answers when the test says so.
type rig struct {
	t        *testing.T
	c        *Dispatcher
	now      float64
	answers  map[WaiterID][]Response
	launches []Attempt
	notes    []Record
	orders   []LoadCommand
	left     map[uint64]bool // launches that were abandoned
	out      map[Identity]uint64
	ran      map[Identity]bool // some launch of it may have run
	once     map[Identity]bool // it must not run again then
	twice    []string
}

func (r *rig) Respond(to WaiterID, a Response) { r.answers[to] = append(r.answers[to], a) }
func (r *rig) SendAttempt(l Attempt) {
	if job, busy := r.out[l.Identity]; busy {
		r.twice = append(r.twice, fmt.Sprintf("%v launched as %d while %d is out", l.Identity, l.ID, job))
	}
	if r.once[l.Identity] && r.ran[l.Identity] {
		r.twice = append(r.twice, fmt.Sprintf("%v launched though it may have run", l.Identity))
	}
	r.out[l.Identity] = l.ID
	r.launches = append(r.launches, l)
}
func (r *rig) SendLoad(o LoadCommand)   { r.orders = append(r.orders, o) }
func (r *rig) CancelUnsent(uint64) bool { return false }

func (r *rig) Abandon(job uint64) {
	r.left[job] = true
	r.over(job, true)
}
func (r *rig) over(job uint64, mayRun bool) {
	for id, j := range r.out {
		if j == job {
			delete(r.out, id)
			r.ran[id] = r.ran[id] || mayRun
		}
	}
}
func (r *rig) Broadcast([]byte)              {}
func (r *rig) Store(n Record)                { r.notes = append(r.notes, n) }
func (r *rig) OnRequestEnd(Response, *Trace) {}

const start = 1000.0

func deployment() *control.Deployment {
	return &control.Deployment{FrontEnds: 1, MissIsAnswered: true, LoadCommandsAllowed: true, MaxAttempts: 4, MaxRetryAfter: 0.5, IdleReplicaLifetime: 8,
		MinRoundInterval: 0.004, ColdShare: 0.3, WarmUpTime: 10, OverloadFactor: 2.5, OverloadWindow: 1.5, RequestClasses: []control.RequestClass{
			{Name: "again", LatencyObjective: 1.5, Timeout: 4},
			{Name: "keyed", LatencyObjective: 1.5, Timeout: 4, Semantics: control.IdempotentByKey, DeduplicationWindow: 6},
			{Name: "once", LatencyObjective: 1.5, Timeout: 4, Semantics: control.AtMostOnce}}}
}

func newRig(t *testing.T, change func(*Settings)) *rig {
	r := &rig{t: t, now: start, answers: map[WaiterID][]Response{}, left: map[uint64]bool{}, out: map[Identity]uint64{},
		ran: map[Identity]bool{}, once: map[Identity]bool{}}
	set := Settings{Deployment: deployment(), Functions: func(string) FunctionProfile { return FunctionProfile{Concurrency: 2} }, ResponseMargin: 0.1,
		LoadTimeout: 5, MaxOpen: 100, DeduplicationWindow: 60, MaxCachedBytes: 1 << 20, Seed: 7}
	if change != nil {
		change(&set)
	}
	r.c = New(set, r, start)
	r.c.OnEndpointUpdate(start, true, []control.Worker{{ID: "wk-a", Weight: 1}, {ID: "wk-b", Weight: 1}, {ID: "wk-c", Weight: 1}})
	return r
}

// to moves the clock and fires what comes due on the way.
func (r *rig) to(at float64) {
	for r.c.NextTimer() <= at {
		r.now = max(r.now, r.c.NextTimer())
		r.c.Tick(r.now)
	}
	r.now = at
	r.c.Tick(at)
}

func (r *rig) take(to WaiterID, kind, id string, wait float64) {
	r.once[Identity{"/t", id}] = kind == "once"
	r.c.Submit(r.now, to, Request{Identity: Identity{"/t", id}, Class: kind, Function: "f", Timeout: wait})
}

// load answers every order that is out: the copies stand.
func (r *rig) load() {
	for _, o := range r.orders {
		r.c.OnLoadReply(r.now, o.ID, control.Succeeded, 1)
	}
	r.orders = nil
}

func (r *rig) end(job uint64, res control.Outcome) {
	r.over(job, res < control.Rejected)
	r.c.OnAttemptReply(r.now, job, WorkerReply{Outcome: res, Body: []byte("done")})
}

// launched takes an event to its first launch.
func (r *rig) launched(to WaiterID, kind, id string) Attempt {
	r.take(to, kind, id, 0)
	if len(r.launches) == 0 {
		r.to(r.now + 0.2)
		r.load()
	}
	if len(r.launches) == 0 {
		r.t.Fatalf("%s was not launched; answers %v", id, r.answers)
	}
	return r.launches[len(r.launches)-1]
}

func (r *rig) one(to WaiterID) Response {
	r.t.Helper()
	if len(r.answers[to]) != 1 {
		r.t.Fatalf("asker %d has %d answers: %+v", to, len(r.answers[to]), r.answers[to])
	}
	return r.answers[to][0]
}

func (r *rig) want(to WaiterID, kind ResponseKind, why Cause) {
	r.t.Helper()
	if a := r.one(to); a.Kind != kind || a.Cause != why {
		r.t.Fatalf("asker %d got %s (%s), not %s (%s)", to, a.Kind, a.Cause, kind, why)
	}
}

func TestSameMinuteFiredTwiceAtOnceAndLater(t *testing.T) {
	r := newRig(t, nil)
	l := r.launched(1, "once", "minute")
	r.take(2, "once", "minute", 0)
	r.to(r.now + 1)
	r.take(3, "once", "minute", 0)
	r.end(l.ID, control.Succeeded)
	r.to(r.now + 5)
	r.take(4, "once", "minute", 0)
	for a := WaiterID(1); a <= 4; a++ {
		r.want(a, Succeeded, CauseAnswered)
		if got := r.one(a); string(got.Body) != "done" || got.Replayed != (a > 1) {
			t.Fatalf("asker %d got body %q, repeat %v", a, got.Body, got.Replayed)
		}
	}
	if len(r.launches) != 1 {
		t.Fatalf("%d launches for one event", len(r.launches))
	}
}

func TestWorkerThatNeverAnswers(t *testing.T) {
	for kind, want := range map[string]ResponseKind{"again": Rejected, "keyed": Rejected, "once": Failed} {
		r := newRig(t, nil)
		l := r.launched(1, kind, "e")
		r.to(start + 3.89)
		if len(r.answers[1]) != 0 {
			t.Fatalf("%s: answered before its time was up", kind)
		}
		r.to(start + 3.91)
		r.want(1, want, CauseDeadlineExceeded)
		if !r.left[l.ID] {
			t.Fatalf("%s: the launch was not given up", kind)
		}
		r.end(l.ID, control.Succeeded) // the answer comes after the deadline
		r.one(1)
		if n := r.c.Counts(); n.Open+n.InFlight != 0 {
			t.Fatalf("%s: %+v", kind, n)
		}
	}
}

func TestBrokenAndNeverSent(t *testing.T) {
	for _, c := range []struct {
		kind  string
		res   control.Outcome
		again bool
		want  ResponseKind
		why   Cause
	}{
		{"again", control.ConnectionLost, true, 0, 0},
		{"keyed", control.ConnectionLost, true, 0, 0},
		{"once", control.ConnectionLost, false, Failed, CauseConnectionLost},
		{"once", control.Failed, false, Failed, CauseWorkerFailed},
		{"again", control.Unreachable, true, 0, 0},
		{"keyed", control.Unreachable, true, 0, 0},
		{"once", control.Unreachable, true, 0, 0},
		{"once", control.Rejected, true, 0, 0},
	} {
		r := newRig(t, nil)
		l := r.launched(1, c.kind, "e")
		r.end(l.ID, c.res)
		if !c.again {
			r.want(1, c.want, c.why)
			continue
		}
		r.to(r.now + 0.2)
		r.load()
		if len(r.launches) != 2 || len(r.answers[1]) != 0 {
			t.Errorf("%s after %v: %d launches, answers %v", c.kind, c.res, len(r.launches), r.answers[1])
		}
	}
}

func TestHungUpRunsOnForARepeat(t *testing.T) {
	r := newRig(t, nil)
	l := r.launched(1, "once", "e")
	r.c.OnCancel(r.now, 1)
	r.take(2, "once", "e", 0)
	r.end(l.ID, control.Succeeded)
	if len(r.answers[1]) != 0 {
		t.Fatal("a client that left got an answer")
	}
	r.want(2, Succeeded, CauseAnswered)
	if len(r.launches) != 1 {
		t.Fatalf("%d launches", len(r.launches))
	}
	// The same with an end that may have run: the repeat of a redeliverable event runs anew, of the other it must not.
	for kind, want := range map[string]int{"again": 2, "once": 1} {
		r := newRig(t, nil)
		l := r.launched(1, kind, "e")
		r.c.OnCancel(r.now, 1)
		r.take(2, kind, "e", 0)
		r.end(l.ID, control.ConnectionLost)
		r.to(r.now + 0.2)
		r.load()
		if len(r.launches) != want {
			t.Errorf("%s: %d launches, not %d", kind, len(r.launches), want)
		}
		if want == 1 {
			r.want(2, Failed, CauseConnectionLost)
		}
	}
}

func TestNobodyAsksNothingIsLaunched(t *testing.T) {
	r := newRig(t, nil)
	r.take(1, "again", "e", 0)
	r.c.OnCancel(r.now, 1)
	r.to(r.now + 0.2)
	r.load()
	if len(r.launches) != 0 {
		t.Fatal("launched though its client had left")
	}
	if n := r.c.Counts(); n.Open != 0 {
		t.Fatalf("%+v", n)
	}
}

func TestJoinerWithLessTimeIsAnsweredInItsTime(t *testing.T) {
	for kind, want := range map[string]ResponseKind{"again": Rejected, "once": Failed} {
		r := newRig(t, nil)
		l := r.launched(1, kind, "e")
		at := r.now
		r.take(2, kind, "e", 1)
		r.to(at + 0.95)
		r.want(2, want, CauseDeadlineExceeded)
		r.end(l.ID, control.Succeeded)
		r.want(1, Succeeded, CauseAnswered)
	}
}

func TestDeferredKeyedRunsAgainOnlyWhileRemembered(t *testing.T) {
	r := newRig(t, nil)
	r.launched(1, "keyed", "e")
	ranAt := r.now
	r.to(start + 3.95)
	r.want(1, Rejected, CauseDeadlineExceeded)
	r.take(2, "keyed", "e", 0) // within: it runs again, but only until the workers forget
	r.to(ranAt + 6.5)
	r.one(2)
	for _, again := range r.launches[1:] {
		if again.Timeout > ranAt+6-start-3.95+0.01 {
			t.Fatalf("the second try may run for %.2f s, past what the workers remember", again.Timeout)
		}
	}
	n := len(r.launches)
	r.take(3, "keyed", "e", 0)
	r.to(r.now + 1)
	r.load()
	if a := r.one(3); a.Kind != Failed {
		t.Fatalf("after the workers forgot it: %s (%s)", a.Kind, a.Cause)
	}
	if len(r.launches) != n {
		t.Fatal("launched again after the workers forgot it")
	}
}

func TestRefusals(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.MaxOpen = 1 })
	r.take(1, "nonsense", "a", 0)
	r.want(1, Failed, CauseUnknownClass)
	r.take(2, "again", "b", 0)
	r.take(3, "again", "c", 0)
	r.want(3, Rejected, CauseTooManyOpen)
	r.take(4, "again", "b", 0) // a repeat is no further event
	r.c.Drain(r.now)
	r.take(5, "again", "d", 0)
	r.want(5, Rejected, CauseShuttingDown)
	r.c.Terminate(r.now)
	r.want(2, Rejected, CauseShuttingDown)
	r.want(4, Rejected, CauseShuttingDown)
	if !r.c.Idle() {
		t.Fatal("not quiet after Finish")
	}
	r = newRig(t, nil)
	r.take(1, "again", "e", -1) // its client had stopped waiting when it came
	r.want(1, Rejected, CauseDeadlineExceeded)
}

func TestFinishDeadLettersWhatMayRun(t *testing.T) {
	for kind, want := range map[string]ResponseKind{"again": Rejected, "keyed": Failed, "once": Failed} {
		r := newRig(t, nil)
		l := r.launched(1, kind, "e")
		r.c.Terminate(r.now)
		r.want(1, want, CauseShuttingDown)
		if !r.left[l.ID] {
			t.Errorf("%s: its launch goes on", kind)
		}
	}
}

func TestDrainGoneAndBackWhileOut(t *testing.T) {
	r := newRig(t, nil)
	l := r.launched(1, "again", "e")
	var list []control.Worker
	for _, id := range []control.WorkerID{"wk-a", "wk-b", "wk-c"} {
		list = append(list, control.Worker{ID: id, Weight: 1, State: control.Gone})
	}
	r.c.OnEndpointUpdate(r.now, false, list)
	r.take(2, "again", "other", 0)
	r.want(2, Rejected, CauseNoCapacity) // all workers gone: at once
	r.end(l.ID, control.ConnectionLost)
	r.want(1, Rejected, CauseConnectionLost)
	n := len(r.launches) + len(r.orders)
	r.to(r.now + 3)
	if len(r.launches)+len(r.orders) != n {
		t.Fatal("something went to a worker that is gone")
	}
}

func TestKeptAnswersAreBounded(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.MaxCachedBytes, s.MaxOpen = 40, 1000 })
	for i := range 50 {
		kind := []string{"again", "once"}[i%2]
		n := len(r.launches)
		r.take(WaiterID(i+1), kind, fmt.Sprint(i), 0)
		if len(r.launches) == n {
			r.to(r.now + 0.1)
			r.load()
		}
		r.end(r.launches[len(r.launches)-1].ID, control.Succeeded)
		r.to(r.now + 0.01)
	}
	if n := r.c.Counts(); n.CachedBytes > 40 || n.Succeeded != 50 {
		t.Fatalf("%+v", n)
	}
	r.take(1000, "once", "1", 0) // its body is gone, but it must not run again
	r.want(1000, Failed, CauseResponseExpired)
	r.to(r.now + 61)
	if n := r.c.Counts(); n.Cached != 0 || n.CachedBytes != 0 || len(r.c.age) != 0 || len(r.c.bodies) != 0 {
		t.Fatalf("after the remembered time: %+v, %d, %d", n, len(r.c.age), len(r.c.bodies))
	}
}

// TestAnythingInAnyOrder plays random days against the core: clients ask, repeat and leave, workers answer in any
// way or never, the list changes. Every asker that stays gets one answer in its time, and no event is out twice.
func TestAnythingInAnyOrder(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := newRig(t, nil)
		due := map[WaiterID]float64{}
		gone := map[WaiterID]bool{}
		kindOf := map[string]string{}
		var asker WaiterID
		results := []control.Outcome{control.Succeeded, control.Succeeded, control.Succeeded, control.Failed, control.ConnectionLost,
			control.Rejected, control.Unreachable, control.ReplicaMissing}
		for range 400 {
			switch rng.IntN(10) {
			case 0, 1, 2:
				asker++
				id := fmt.Sprint(rng.IntN(40))
				if kindOf[id] == "" {
					kindOf[id] = []string{"again", "keyed", "once"}[rng.IntN(3)]
				}
				wait := 0.3 + 4*rng.Float64()
				due[asker] = r.now + min(wait, 4)
				r.take(asker, kindOf[id], id, wait)
			case 3:
				if asker > 0 {
					a := WaiterID(rng.Uint64N(uint64(asker)) + 1)
					if len(r.answers[a]) == 0 {
						gone[a] = true
						r.c.OnCancel(r.now, a)
					}
				}
			case 4, 5, 6:
				var out []uint64
				for _, l := range r.launches {
					if r.out[l.Identity] == l.ID {
						out = append(out, l.ID)
					}
				}
				if len(out) > 0 {
					r.end(out[rng.IntN(len(out))], results[rng.IntN(len(results))])
				}
			case 7:
				if len(r.orders) > 0 {
					o := r.orders[0]
					r.orders = r.orders[1:]
					r.c.OnLoadReply(r.now, o.ID, []control.Outcome{control.Succeeded, control.Rejected, control.Failed}[rng.IntN(3)], rng.IntN(2))
				}
			case 8:
				wk := control.Worker{ID: control.WorkerID("wk-" + string(rune('a'+rng.IntN(3)))), Weight: 1, State: control.EndpointState(rng.IntN(3))}
				if wk.State == control.Serving && rng.IntN(2) == 0 {
					wk.StartedAt = r.now
				}
				r.c.OnEndpointUpdate(r.now, false, []control.Worker{wk})
			case 9:
				r.to(r.now + rng.Float64())
			}
		}
		r.to(r.now + 10)
		for a := WaiterID(1); a <= asker; a++ {
			switch n := len(r.answers[a]); {
			case gone[a] && n > 0:
				t.Fatalf("seed %d: asker %d left and got an answer", seed, a)
			case !gone[a] && n != 1:
				t.Fatalf("seed %d: asker %d has %d answers", seed, a, n)
			}
		}
		if len(r.twice) > 0 {
			t.Fatalf("seed %d: %s", seed, r.twice[0])
		}
		n := r.c.Counts()
		if n.Open+n.InFlight > 0 || len(r.c.asking)+len(r.c.open) > 0 {
			t.Fatalf("seed %d: left over %+v", seed, n)
		}
		r.to(r.now + 120)
		if n := r.c.Counts(); n.Cached > 0 || n.Timers > 2 {
			t.Fatalf("seed %d: kept over %+v", seed, n)
		}
	}
}

func BenchmarkEvent(b *testing.B) {
	r := newRig(nil, nil)
	quiet := &bare{}
	r.c = New(r.c.set, quiet, start)
	r.c.OnEndpointUpdate(start, true, []control.Worker{{ID: "wk-a", Weight: 1}, {ID: "wk-b", Weight: 1}})
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 0.0005
		r.c.Tick(now)
		r.c.Submit(now, WaiterID(i+1), Request{Identity: Identity{"/b", fmt.Sprint(i)}, Class: "again", Function: "f"})
		if quiet.order != 0 {
			r.c.OnLoadReply(now, quiet.order, control.Succeeded, 1)
			quiet.order = 0
		}
		r.c.OnAttemptReply(now+0.0001, quiet.job, WorkerReply{Outcome: control.Succeeded, Start: control.WarmStart})
	}
}

// bare is an outside that keeps nothing.
type bare struct{ job, order uint64 }

func (o *bare) Respond(WaiterID, Response)    {}
func (o *bare) SendAttempt(l Attempt)         { o.job = l.ID }
func (o *bare) SendLoad(l LoadCommand)        { o.order = l.ID }
func (o *bare) Abandon(uint64)                {}
func (o *bare) CancelUnsent(uint64) bool      { return false }
func (o *bare) Broadcast([]byte)              {}
func (o *bare) Store(Record)                  {}
func (o *bare) OnRequestEnd(Response, *Trace) {}

// A million events in the time of two hours leave nothing behind but what is remembered.
func TestHeapStaysFlat(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.DeduplicationWindow = 10 })
	o := &bare{}
	r.c = New(r.c.set, o, start)
	r.c.OnEndpointUpdate(start, true, []control.Worker{{ID: "wk-a", Weight: 1}, {ID: "wk-b", Weight: 1}})
	now, heap := start, [2]uint64{}
	for i := range 1_000_000 {
		now += 0.007
		r.c.Tick(now)
		r.c.Submit(now, WaiterID(i+1), Request{Identity: Identity{"/b", fmt.Sprint(i)}, Class: []string{"again", "keyed", "once"}[i%3],
			Function: fmt.Sprint("f", i/1000), Body: []byte("some body")})
		if o.order != 0 {
			r.c.OnLoadReply(now, o.order, control.Succeeded, 1)
			o.order = 0
		}
		if o.job != 0 && i%7 > 0 { // one in seven is never answered
			r.c.OnAttemptReply(now+0.0001, o.job, WorkerReply{Outcome: control.Succeeded, Body: []byte("some answer")})
		}
		o.job = 0
		if at := [2]int{200_000, 999_999}; i == at[0] || i == at[1] {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			heap[i/999_999] = m.HeapAlloc
		}
	}
	t.Logf("heap %d KB after 200,000 events, %d KB after a million", heap[0]>>10, heap[1]>>10)
	if heap[1] > heap[0]+heap[0]/4+1<<20 {
		t.Errorf("heap grew from %d to %d bytes", heap[0], heap[1])
	}
	if n := r.c.Counts(); n.Open > 1000 || n.Cached > 3000 || n.Timers > 3000 {
		t.Errorf("%+v", n)
	}
}

// Where clients never repeat under the same identity, nothing is kept or traced, a second event under an open identity
// is deferred, and a launch is given up once nobody waits for it.
func TestWithoutRepeats(t *testing.T) {
	r := newRig(t, func(s *Settings) {
		s.DeduplicationWindow, s.MaxCachedBytes, s.CancelAbandoned, s.TracingDisabled, s.Functions = 0, 0, true, true, nil
	})
	ask := Request{Identity: Identity{"", "e"}, Class: "again", Function: "f", StatedProfile: FunctionProfile{Concurrency: 3, LoadTime: 0.5}, RejectDuplicates: true}
	r.c.Submit(r.now, 1, ask)
	r.c.Submit(r.now, 2, ask)
	r.want(2, Rejected, CauseDuplicate)
	r.to(r.now + 0.2)
	r.load()
	if len(r.launches) != 1 {
		t.Fatalf("launches %+v", r.launches)
	}
	r.c.OnCancel(r.now, 1)
	if !r.left[r.launches[0].ID] || !r.c.Idle() || len(r.answers[1]) > 0 {
		t.Errorf("given up %v, quiet %v, answers %v", r.left, r.c.Idle(), r.answers[1])
	}
	r.end(r.launches[0].ID, control.Succeeded) // its answer came all the same
	r.c.Submit(r.now, 3, ask)
	r.end(r.launches[1].ID, control.Succeeded)
	r.want(3, Succeeded, CauseAnswered)
	r.to(r.now + 5)
	if n := r.c.Counts(); n.Cached+n.Open+n.InFlight > 0 || len(r.c.EndedTraces()) > 0 {
		t.Errorf("%+v, %d traces", n, len(r.c.EndedTraces()))
	}
	if v, _ := r.c.router.Function("f"); v.Concurrency != 3 || v.LoadTime != 0.5 {
		t.Errorf("what the event told of its function is lost: %+v", v)
	}
}
