package appliance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/schedule"
	"streamcleat/internal/storage"
)

var campaignSeeds = flag.Int("campaign", 2, "seeds of the crash campaign, each with every write")

// outsideWorld is what a killed box can't take back: what workers did and what clients heard.
type outsideWorld struct {
	ran     map[dispatch.Identity]int
	known   map[dispatch.Identity]bool // keyed events that the workers remember
	types   map[dispatch.Identity]string
	final   map[dispatch.Identity]dispatch.ResponseKind
	minutes map[dispatch.Identity]bool // timer minutes that came due
	lost    map[dispatch.Identity]bool // reported as dead-lettered
	twice   string
	flights []flight  // launches that have left: a worker runs them though the box that sent them is dead
	reached time.Time // up to here a plan was asked
}

// machineClock is read by the store's own goroutine too.
type machineClock struct{ ms atomic.Int64 }

func (c *machineClock) now() float64  { return float64(c.ms.Load()) / 1000 }
func (c *machineClock) add(s float64) { c.ms.Add(int64(s * 1000)) }

type flight struct {
	from *boxLife
	x    dispatch.Attempt
}

// boxLife is one process of the box, down to the order of its writes: the real core, plan and store, on a disk that can
// be cut off at any write.
type boxLife struct {
	w      *outsideWorld
	dead   *atomic.Bool
	store  *storage.Store
	core   *dispatch.Dispatcher
	plan   *schedule.Plan
	m      *machineClock // the machine's clock
	askers map[dispatch.WaiterID]dispatch.Identity
	own    map[dispatch.Identity]bool
	next   dispatch.WaiterID
	notes  []dispatch.Record
	after  []func()
	asks   map[dispatch.Identity]dispatch.Request
	again  []dispatch.Request // of the box's own, deferred
	orders []dispatch.LoadCommand
}

func (l *boxLife) Respond(to dispatch.WaiterID, a dispatch.Response) {
	id := l.askers[to]
	tell := func() {
		if a.Kind != dispatch.Rejected {
			if was, ok := l.w.final[id]; ok && was == dispatch.Succeeded && a.Kind != dispatch.Succeeded {
				l.w.twice = fmt.Sprintf("%v: %s after it was handled", id, a.Kind)
			}
			l.w.final[id] = a.Kind
			if l.own[id] {
				l.store.ScheduledRequestDone(id)
			}
		} else if l.own[id] { // as the box does, where the time of the firing is not over
			l.again = append(l.again, l.asks[id])
		}
	}
	if a.AwaitsRecord {
		l.after = append(l.after, tell)
	} else if !l.dead.Load() {
		tell()
	}
}
func (l *boxLife) SendAttempt(x dispatch.Attempt) {
	send := func() { l.w.flights = append(l.w.flights, flight{l, x}) }
	if x.AwaitsRecord {
		l.after = append(l.after, send)
	} else if !l.dead.Load() {
		send()
	}
}
func (l *boxLife) SendLoad(o dispatch.LoadCommand)                 { l.orders = append(l.orders, o) }
func (l *boxLife) Abandon(uint64)                                  {}
func (l *boxLife) CancelUnsent(uint64) bool                        { return false }
func (l *boxLife) Broadcast([]byte)                                {}
func (l *boxLife) Store(n dispatch.Record)                         { l.notes = append(l.notes, n) }
func (l *boxLife) OnRequestEnd(dispatch.Response, *dispatch.Trace) {}
func (l *boxLife) now() float64                                    { return 1000 + l.m.now() }
func wallOf(m float64) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(m * float64(time.Second)))
}

// settle commits what was noted and lets go what waited for it, as the loop does.
func (l *boxLife) settle() {
	for (len(l.notes) > 0 || len(l.orders) > 0) && !l.dead.Load() {
		notes, after := l.notes, l.after
		l.notes, l.after = nil, nil
		if len(notes) > 0 {
			done := make(chan error, 1)
			l.store.Commit(notes, func(err error) { done <- err })
			if err := <-done; err != nil || l.dead.Load() {
				return
			}
			for _, f := range after {
				f()
			}
		}
		orders := l.orders
		l.orders = nil
		for _, o := range orders {
			l.core.OnLoadReply(l.now(), o.ID, control.Succeeded, 1)
		}
	}
}

func (l *boxLife) take(ask dispatch.Request) {
	if l.dead.Load() {
		return
	}
	l.next++
	l.askers[l.next] = ask.Identity
	l.asks[ask.Identity] = ask
	l.core.Submit(l.now(), l.next, ask)
	l.settle()
}

// work has the workers do what has reached them; a share of the answers waits for the next step.
func (l *boxLife) work(rng *rand.Rand) {
	again := l.again
	l.again = nil
	for _, a := range again {
		l.take(a)
	}
	flights := l.w.flights
	l.w.flights = nil
	for _, f := range flights {
		x := f.x
		if rng.IntN(3) == 0 {
			l.w.flights = append(l.w.flights, f)
			continue
		}
		switch kind := l.w.types[x.Identity]; {
		case kind == "keyed" && l.w.known[x.Identity]:
		default:
			l.w.known[x.Identity] = true
			if l.w.ran[x.Identity]++; l.w.ran[x.Identity] > 1 && kind != "again" {
				l.w.twice = fmt.Sprintf("%v (%s) ran twice", x.Identity, kind)
			}
		}
		switch {
		case f.from != l || l.dead.Load(): // nobody is there to hear of it
		case rng.IntN(6) == 0:
			l.core.OnAttemptReply(l.now(), x.ID, dispatch.WorkerReply{Outcome: control.ConnectionLost})
		default:
			l.core.OnAttemptReply(l.now(), x.ID, dispatch.WorkerReply{Outcome: control.Succeeded, Body: []byte("ok")})
		}
		l.settle()
	}
}

func begin(t *testing.T, w *outsideWorld, fs vfs.FS, m *machineClock, dead *atomic.Bool, entries []schedule.Entry, from time.Time) *boxLife {
	l := &boxLife{w: w, dead: dead, m: m, askers: map[dispatch.WaiterID]dispatch.Identity{}, own: map[dispatch.Identity]bool{},
		asks: map[dispatch.Identity]dispatch.Request{}}
	store, found, err := storage.OpenStore("state", storage.Options{FS: fs, Retention: 600,
		Clock: func() storage.Timestamp { return storage.Timestamp{Boot: "a", Up: m.now()} }})
	if err != nil {
		if dead.Load() {
			return nil
		}
		t.Fatal(err)
	}
	l.store = store
	dep := &control.Deployment{FrontEnds: 1, MissIsAnswered: true, LoadCommandsAllowed: true, MaxAttempts: 4, MaxRetryAfter: 0.5, IdleReplicaLifetime: 8, MinRoundInterval: 0.004,
		ColdShare: 0.3, WarmUpTime: 10, OverloadFactor: 2.5, OverloadWindow: 1.5, RequestClasses: []control.RequestClass{{Name: "again", LatencyObjective: 2, Timeout: 4},
			{Name: "keyed", LatencyObjective: 2, Timeout: 4, Semantics: control.IdempotentByKey, DeduplicationWindow: 300},
			{Name: "once", LatencyObjective: 2, Timeout: 4, Semantics: control.AtMostOnce}}}
	l.core = dispatch.New(dispatch.Settings{Deployment: dep, Functions: func(string) dispatch.FunctionProfile { return dispatch.FunctionProfile{Concurrency: 8} },
		ResponseMargin: 0.05, LoadTimeout: 5, MaxOpen: 1000, DeduplicationWindow: 600, MaxCachedBytes: 1 << 20, Seed: 9}, l, l.now())
	for _, a := range l.core.Recover(l.now(), found.Records) {
		w.lost[a.Identity] = true
	}
	l.core.OnEndpointUpdate(l.now(), true, []control.Worker{{ID: "wk-a", Weight: 1}, {ID: "wk-b", Weight: 1}})
	l.plan = schedule.Resume(entries, found.LastFirings, from)
	for _, o := range found.ScheduledRequests {
		l.own[o.Request.Identity] = true
		l.take(o.Request)
	}
	return l
}

// step is a minute of the box: what is due fires, clients ask, time passes, the workers work.
func (l *boxLife) step(rng *rand.Rand, clients []dispatch.Request) {
	l.m.add(60)
	l.fire()
	for _, c := range clients {
		if _, done := l.w.final[c.Identity]; !done {
			l.w.types[c.Identity] = c.Class
			l.take(c)
		}
	}
	l.work(rng)
	if !l.dead.Load() {
		l.m.add(0.5)
		l.core.Tick(l.now())
		l.settle()
	}
}

// fire fires what is due; it is noted first.
func (l *boxLife) fire() {
	if l.w.reached = wallOf(l.m.now()); l.dead.Load() {
		return
	}
	var fire []storage.Firing
	for _, f := range l.plan.Due(wallOf(l.m.now())) {
		a := newScheduledRequest("/own", f)
		l.w.types[a.Identity] = a.Class
		l.w.minutes[a.Identity] = true
		l.own[a.Identity] = true
		fire = append(fire, storage.Firing{Entry: f.Entry.Key(), Due: f.Due, Deadline: f.Deadline(), Request: a})
	}
	if len(fire) > 0 && l.store.RecordFirings(fire) == nil && !l.dead.Load() {
		for _, f := range fire {
			l.take(f.Request)
		}
	}
}

// campaign kills the box at one write and starts it again; it returns how many writes the whole run makes.
func campaign(t *testing.T, at int64, seed uint64) int64 {
	entries, err := schedule.Parse(strings.NewReader("MISFIRE=all\n* * * * * again f\n* * * * * keyed f\n* * * * * once f\n"), "tab")
	if err != nil {
		t.Fatal(err)
	}
	w := &outsideWorld{ran: map[dispatch.Identity]int{}, known: map[dispatch.Identity]bool{}, types: map[dispatch.Identity]string{},
		final: map[dispatch.Identity]dispatch.ResponseKind{}, minutes: map[dispatch.Identity]bool{}, lost: map[dispatch.Identity]bool{}}
	rng := rand.New(rand.NewPCG(seed, 11))
	mem := vfs.NewCrashableMem()
	var writes atomic.Int64
	var dead atomic.Bool
	var after *vfs.MemFS
	fs := errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
		if op.Kind.ReadOrWrite() == errorfs.OpIsWrite && writes.Add(1) == at {
			after = mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: int(seed%3) * 50, RNG: rand.New(rand.NewPCG(seed, 12))})
			dead.Store(true)
		}
		return nil
	}))
	m := &machineClock{}
	from := wallOf(0)
	box := begin(t, w, fs, m, &dead, entries, from)
	var clients []dispatch.Request
	for i := range 12 {
		clients = append(clients, dispatch.Request{Identity: dispatch.Identity{Source: "/till", ID: fmt.Sprint(i)}, Function: "f",
			Class: []string{"again", "keyed", "once"}[i%3]})
	}
	revive := func() {
		if dead.Load() {
			if box != nil {
				box.store.Close()
			}
			dead.Store(false)
			box = begin(t, w, after, m, &dead, entries, from)
		}
	}
	for i := range 9 {
		revive()
		box.step(rng, clients[:min(3*(i+1), len(clients))])
	}
	home := func() { // everything that is out comes home
		for range 30 {
			revive()
			box.fire()
			box.work(rng)
			if box.m.add(0.2); !dead.Load() {
				box.core.Tick(box.now())
				box.settle()
			}
		}
	}
	home()
	for _, c := range clients {
		if _, done := w.final[c.Identity]; !done {
			revive()
			box.take(c)
			home()
		}
	}
	revive()
	where := fmt.Sprintf("killed at write %d, seed %d", at, seed)
	if w.twice != "" {
		t.Fatalf("%s: %s", where, w.twice)
	}
	for _, c := range clients {
		if _, done := w.final[c.Identity]; !done {
			t.Fatalf("%s: %v has no final answer", where, c.Identity)
		}
	}
	// No minute may be missing, also one that came due while the box was down.
	for minute := from.Truncate(time.Minute).Add(time.Minute); !minute.After(w.reached); minute = minute.Add(time.Minute) {
		for i := range entries {
			id := dispatch.Identity{Source: "/own", ID: schedule.FiringID(&entries[i], minute)}
			if _, done := w.final[id]; !w.minutes[id] && w.ran[id] == 0 && !done {
				t.Fatalf("%s: minute %v never fired", where, id)
			}
			if w.ran[id] == 0 && w.final[id] != dispatch.Failed {
				t.Fatalf("%s: minute %v never ran, and nobody was told: final %v", where, id, w.final)
			}
		}
	}
	box.store.Close()
	return writes.Load()
}

// TestCrashCampaign kills the box at each write of its run: no effect twice, every client gets its final answer, no
// timer minute is lost or run twice. -campaign N makes it longer.
func TestCrashCampaign(t *testing.T) {
	total, runs := int64(0), 0
	for seed := range uint64(*campaignSeeds) {
		writes := campaign(t, 0, seed)
		for at := int64(1); at <= writes; at++ {
			campaign(t, at, seed)
			runs++
		}
		total += writes
	}
	t.Logf("%d writes, killed at each: %d runs", total, runs)
	if total < 100 {
		t.Errorf("only %d writes: the run does too little", total)
	}
}
