package simulation

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"streamcleat/internal/appliance"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
	"streamcleat/internal/invariants"
	"streamcleat/internal/proxy"
	"streamcleat/internal/registry"
	"streamcleat/internal/schedule"
	"streamcleat/internal/storage"
	"streamcleat/internal/upstream"
)

// box is one process of the program on its machine: the life, the store and the timers of a box and its front ends,
// put together as the real box does, on the virtual clock.
type box struct {
	proc
	s       *site
	no      int
	disk    *disk
	store   *storage.Store
	life    appliance.Lifecycle
	fronts  []*front
	found   *storage.RecoveredState
	plan    *schedule.Plan
	fired   map[string]time.Time
	hold    bool
	syncing bool
	boots   int
	acked   map[dispatch.Identity]dispatch.Record // noted, and on disk for all that the program was told
	ackedAt map[dispatch.Identity]float64
	pending map[dispatch.Identity][]dispatch.Record // noted, and not yet told to be on disk
	chores  *appliance.TaskScheduler
	reg     *registry.Registry
	trail   int                          // entries of it that are on disk for all that the program was told
	own     map[dispatch.Identity]uint64 // the box's own events that are open: their calls
	again   float64                      // seconds from a stop to the next start
	silent  bool                         // the watcher of the list misses changes
}

// front is one front end of a box. It outlives the process: clients know it by its address.
type front struct {
	b       *box
	name    string
	addr    string
	peer    int // number among all
	f       *proxy.Proxy
	timer   *step
	told    map[string]string  // phases of workers as it read them
	births  map[string]float64 // and their starts
	touched bool               // something happened in it during this step
}

// link is a connection as the front end has it.
type link struct{ e *end }

func (l link) Write(data []byte) { l.e.write(data) }
func (l link) Close()            { l.e.close() }
func (l link) CloseWrite()       { l.e.shut() }
func (l link) Unsent() int       { return l.e.unsent() }
func (l link) Name() string      { return l.e.c.name }

// ReadAhead has nothing: what arrives in this world is handed over at once.
func (l link) ReadAhead() ([]byte, bool) { return nil, true }

const (
	syncTime = 0.001 // seconds of a sync of the disk
	bootTime = 0.05  // from the start of a process to its first look at the state
)

func (s *site) newBox(no, fronts int) *box {
	b := &box{proc: proc{w: s.w, name: fmt.Sprintf("box-%d", no), power: true, base: 1e6 + 1000*float64(no)}, s: s, no: no, disk: newDisk(),
		acked: map[dispatch.Identity]dispatch.Record{}, ackedAt: map[dispatch.Identity]float64{}, pending: map[dispatch.Identity][]dispatch.Record{}}
	for i := range fronts {
		f := &front{b: b, name: fmt.Sprintf("front-%d", len(s.fronts)), peer: len(s.fronts)}
		f.addr = fmt.Sprintf("%s:%d", b.name, 8080+i)
		b.fronts = append(b.fronts, f)
		s.fronts = append(s.fronts, f)
		s.net.doors[f.addr] = &door{&b.proc, f.accept}
	}
	return b
}

// start begins the process.
func (b *box) start() {
	b.life = appliance.Lifecycle{}
	b.proc.life++
	b.up, b.power, b.still, b.syncing, b.hold = true, true, false, false, true
	b.boots++
	b.plan = nil
	b.in(bootTime, "opens the state", b.open)
}

func (b *box) move(h appliance.LifecycleEvent, why string) {
	for _, a := range b.life.Handle(h, why) {
		b.act(a)
	}
}

// open opens the state, as the real box does first of all.
func (b *box) open() {
	if !b.s.script.Stateless {
		store, found, err := storage.OpenStore("state", storage.Options{FS: b.disk.view(), Retention: answersKept, Synchronous: true, Clock: b.stamp})
		if err != nil {
			if !b.disk.full {
				b.s.fault("state", "%s can't open its state: %v", b.name, err)
			}
			b.move(appliance.Failed, "state")
			return
		}
		b.store, b.found = store, found
		b.s.recovered(b, found)
		b.s.resumed(b, found)
		b.library(found.AuditTrail)
	} else {
		b.found = &storage.RecoveredState{Created: true, LastFirings: map[string]time.Time{}}
		b.library(nil)
	}
	b.own = map[dispatch.Identity]uint64{}
	b.move(appliance.StoreOpened, "")
}

// stamp is the machine's clock for the store: only a loss of power is a new start of the machine.
func (b *box) stamp() storage.Timestamp {
	return storage.Timestamp{Boot: fmt.Sprintf("%s/%d", b.name, b.s.reboots[b.no]), Up: b.w.now}
}

func (b *box) act(a appliance.Action) {
	switch a {
	case appliance.Recover:
		b.in(0.01, "recovers", b.recover)
	case appliance.StartSchedules:
		b.hold = false
		b.fire()
	case appliance.SuspendSchedules:
		b.hold = true
	case appliance.StopListening:
		for _, f := range b.fronts {
			if f.f != nil {
				f.f.StopListening()
			}
		}
	case appliance.StartDrainTimer:
		b.in(1, "drain time", func() { b.move(appliance.DrainTimeout, "") })
		b.quiet()
	case appliance.TerminateRequests:
		for _, f := range b.fronts {
			if f.f != nil {
				f.f.Terminate()
			}
		}
		b.kept()
	case appliance.CloseStore:
		for _, f := range b.fronts {
			if f.f != nil {
				f.f.CloseUpstream()
			}
		}
		if b.store != nil {
			if err := b.store.Close(); err != nil && !b.disk.full && b.store.Err() == nil {
				b.s.fault("state", "%s did not close its state: %v", b.name, err)
			}
			b.store = nil
		}
		b.in(0.02, "written", func() { b.move(appliance.StoreClosed, "") })
	case appliance.Exit:
		b.gone(false)
		b.w.in(max(b.again, 0.1), b.name+" starts", b.startIfDown)
	}
}

func (b *box) startIfDown() {
	if !b.up {
		b.start()
	}
}

// quiet waits until nothing is open.
func (b *box) quiet() {
	open := 0
	for _, f := range b.fronts {
		if f.f != nil {
			open += f.f.Dispatcher().Counts().Open
		}
	}
	if open == 0 {
		b.move(appliance.RequestsDrained, "")
	} else if b.life.State == appliance.Draining {
		b.in(0.01, "drains", b.quiet)
	}
}

// kept waits until what was noted is on disk.
func (b *box) kept() {
	for _, f := range b.fronts {
		if f.f != nil && !f.f.RecordsStored() {
			b.in(0.01, "writes", b.kept)
			return
		}
	}
	b.move(appliance.RequestsTerminated, "")
}

// recover starts the front ends with what was kept.
func (b *box) recover() {
	for _, f := range b.fronts {
		f.begin()
	}
	if b.s.script.Timers > 0 {
		b.fired = map[string]time.Time{}
		for k, v := range b.found.LastFirings {
			b.fired[k] = v
		}
		b.plan = schedule.Resume(b.s.entries, b.fired, b.wall())
	}
	for _, o := range b.found.ScheduledRequests {
		b.take(o.Request, o.Deadline, 1)
	}
	b.chores = appliance.NewTaskScheduler(b.w.now, appliance.BackgroundTask{Name: "tick", Interval: 1, Priority: 3, SliceDuration: 0.05, Urgent: true},
		appliance.BackgroundTask{Name: "expiry", Interval: 2, Priority: 2, SliceDuration: 0.02, MaxTimeShare: 0.05, MaxDelay: 5},
		appliance.BackgroundTask{Name: "compaction", Interval: 7, Priority: 1, SliceDuration: 1, MaxTimeShare: 0.05, MaxDelay: 10})
	b.in(0.1, "chores", b.work)
	b.move(appliance.StateRecovered, "")
}

// work gives a slice to the chore that is due, as the real box does.
func (b *box) work() {
	if b.store == nil || b.life.State >= appliance.Terminating {
		return
	}
	name, _ := b.chores.Next(b.w.now, 0)
	more := false
	err := b.written(func() (err error) {
		switch name {
		case "tick":
			var known []dispatch.ReplicaSnapshot
			for _, f := range b.fronts {
				known = append(known, f.f.ReplicaSnapshots()...)
			}
			err = b.store.SaveReplicas(known)
		case "expiry":
			n := 0
			n, err = b.store.Expire(50)
			more = n == 50
		case "compaction":
			err = b.store.Compact()
		}
		return
	})
	if !b.up {
		return
	}
	b.chores.Done(b.w.now, name, 0.005, more, err)
	b.in(0.1, "chores", b.work)
}

// written does something with the store; where the machine stops in the middle of a record nothing follows.
func (b *box) written(do func() error) error {
	torn := b.disk.Torn
	err := do()
	if b.disk.Torn > torn {
		b.crash(true, 0.3)
	}
	return err
}

// tag names one process of a front end: a new one shares nothing with the last but the state on disk.
func (f *front) tag() string { return fmt.Sprintf("%s/%d", f.name, f.b.boots) }

func (f *front) begin() {
	b := f.b
	set := proxy.Settings{Name: f.name, Cluster: "sim", Dispatch: b.s.cfg.Dispatch(b.s.script.Seed*1000 + uint64(f.peer)), Upstream: b.s.cfg.Upstream(f.name),
		Downstream: b.s.cfg.Downstream(), MaxClients: b.s.cfg.Limits.Connections, Recovered: b.found.Records, ReplicaSnapshots: b.found.Replicas,
		RecordTimeout: b.s.cfg.Limits.Margin / 2}
	if b.s.script.Versions {
		set.Dispatch.ResolveVersion, set.Dispatch.VersionAllowed = b.bind, b.mayRun
	}
	set.Dispatch.Deployment.FrontEnds, set.Dispatch.Deployment.GossipAllowed = len(b.s.fronts), len(b.s.fronts) > 1
	if b.store != nil {
		set.RecordStore = b
	}
	f.timer = nil
	f.told, f.births = map[string]string{}, map[string]float64{}
	f.f = proxy.New(set, (*host)(f))
	b.in(proxy.SweepEvery, f.name+" sweeps", f.sweep)
	if b.s.list != nil {
		f.read()
	}
	b.in(2, f.name+" looks at the list", f.resync)
}

func (f *front) sweep() {
	f.f.Sweep()
	f.b.in(proxy.SweepEvery, f.name+" sweeps", f.sweep)
}

func (f *front) resync() {
	f.read()
	f.b.in(2, f.name+" looks at the list", f.resync)
}

// read takes the list of workers as it now is.
func (f *front) read() {
	s := f.b.s
	if err := f.f.ReadEndpointList(s.list); err != nil {
		s.fault("list", "%s: %v", f.name, err)
	}
	for _, k := range s.workers {
		phase := k.phase
		if !k.listed {
			phase = "gone"
		}
		if k.born > 0 && f.births[k.name] != k.born {
			f.births[k.name] = k.born
			s.tape.Add(invariants.Record{Kind: invariants.Born, Worker: k.name, Front: f.tag(), Born: k.born})
		}
		if f.told[k.name] != phase {
			f.told[k.name] = phase
			s.tape.Add(invariants.Record{Kind: invariants.Told, Worker: k.name, Phase: phase, Front: f.tag()})
		}
	}
}

func (f *front) accept(e *end) bool {
	if f.f == nil || f.b.life.State < appliance.Serving && f.b.life.State != appliance.Recovering {
		return false
	}
	cl := f.f.Accept(link{e})
	if cl == nil {
		return false
	}
	e.data = func(data []byte) { f.f.OnClientData(cl, data) }
	e.closed = func() { e.close(); f.f.OnClientClosed(cl) }
	return true
}

// host is what a front end stands on.
type host front

func (h *host) Now() float64 {
	(*front)(h).touch()
	return h.b.clock()
}

func (h *host) Wall() time.Time { return h.b.wall() }

func (h *host) SetTimer(at float64) {
	f := (*front)(h)
	f.timer.drop()
	f.timer = f.b.in(at-f.b.clock(), f.name+" wakes", func() { f.f.Tick() })
}

func (h *host) After(seconds float64, do func()) { h.b.in(seconds, h.name+" after", do) }
func (h *host) Post(do func())                   { h.b.in(0, h.name+" posted", do) }

func (h *host) Dial(no upstream.ConnID, addr string) {
	f := (*front)(h)
	f.b.s.net.dial(&f.b.proc, addr, f.b.s.cfg.Workers.Dial, func(e *end, err error) {
		if err != nil {
			f.f.OnDialed(no, nil, err)
			return
		}
		answered := f.watch(e, addr)
		e.data = func(data []byte) {
			answered(data)
			f.f.OnUpstreamData(no, data)
		}
		e.closed = func() { e.close(); f.f.OnUpstreamClosed(no) }
		f.f.OnDialed(no, link{e}, nil)
	})
}

// watch notes for the referee what passes on a connection to a worker, as the front end's side of the socket sees it.
func (f *front) watch(e *end, addr string) (answered func([]byte)) {
	wk, _, _ := strings.Cut(addr, ":")
	limits := http1.Limits{Head: 1 << 16, Body: 1 << 20}
	out, in, s := http1.NewRequests(limits), http1.NewResponses(limits), f.b.s
	var open invariants.Record
	e.tap = func(data []byte) {
		out.Feed(bytes.Clone(data))
		for {
			m, err := out.Next()
			if err != nil {
				s.fault("wire", "%s sent %s what is no request: %v", f.name, wk, err)
			}
			if m == nil || err != nil {
				return
			}
			switch {
			case strings.HasSuffix(m.Target, "/infer"):
				open = invariants.Record{Kind: invariants.Launched, Worker: wk, Function: strings.Split(m.Target, "/")[3], Digest: strings.Trim(m.Header.Get("If-Match"), `"`), Front: f.tag(), Call: s.tape.Call(),
					Event: m.Header.Get("Ce-Source") + "#" + m.Header.Get("Ce-Id"), Type: m.Header.Get("Ce-Type")}
				s.tape.Add(open)
				s.calls[f.name+" "+open.Event] = open.Call
			case strings.HasSuffix(m.Target, "/load"):
				s.tape.Add(invariants.Record{Kind: invariants.Ordered, Worker: wk, Front: f.tag(), Copies: 1})
			}
		}
	}
	ended := func() {
		if open.Event != "" {
			open.Kind = invariants.Ended
			s.tape.Add(open)
			open = invariants.Record{}
		}
	}
	e.ended = ended // whichever side closed
	return func(data []byte) {
		in.Feed(bytes.Clone(data))
		if m, err := in.Next(); m != nil || err != nil {
			ended()
		}
	}
}

// Broadcast sends a datagram to every other front end.
func (h *host) Broadcast(data []byte) {
	for _, o := range h.b.s.fronts {
		if o.peer != h.peer {
			h.b.s.net.datagram(&h.b.proc, &o.b.proc, data, func(data []byte) {
				if o.f != nil {
					o.f.OnDatagram(data)
				}
			})
		}
	}
}

// Commit implements frontend.Keeper: the store's batch is written when the disk's turn has come.
func (b *box) Commit(notes []dispatch.Record, done func(error)) {
	b.submitted(notes)
	b.store.Commit(notes, func(err error) {
		if err == nil {
			b.settled(notes)
		}
		done(err)
	})
	b.sync()
}

func (b *box) sync() {
	if b.syncing {
		return
	}
	b.syncing = true
	b.in(syncTime+b.disk.slow, "syncs", func() {
		b.syncing = false
		if b.store == nil { // closed meanwhile, which wrote what waited
			return
		}
		b.written(func() error {
			b.store.Step()
			return nil
		})
	})
}

// crash ends the process without a word; power takes the machine with it.
func (b *box) crash(power bool, again float64) {
	if !b.up {
		return
	}
	b.gone(power)
	b.w.in(again, b.name+" starts", b.startIfDown)
}

// gone is what stays of a process that ended.
func (b *box) gone(power bool) {
	b.s.down(b)
	ends := b.s.net.of(b.name)
	b.end()
	for _, e := range ends {
		e.c.harmed = true
		if power { // nobody is told; packets find the machine off, or up again and without the connection
			e.queue, e.due, e.waiting = nil, nil, 0
			e.finish()
		} else {
			e.vanish()
		}
	}
	if power {
		b.power = false
		b.s.reboots[b.no]++
		b.w.in(0.2, b.name+" has power", func() { b.power = true })
	}
	for _, f := range b.fronts {
		f.timer.drop()
		f.f = nil
	}
	for _, call := range sorted(b.own) {
		b.s.ownLost(call)
	}
	old := b.store
	b.store = nil
	b.disk.restart(power)
	if old != nil {
		b.s.closing.Go(func() { old.Drop() }) // gives its memory back; its disk is nobody's any more
	}
}

// fire fires what is due, as the real box does: on disk first.
func (b *box) fire() {
	if b.s.script.Timers == 0 || b.hold || b.w.now > b.s.script.Seconds+lastTry {
		return
	}
	due := b.plan.Due(b.wall())
	if len(due) > 0 {
		var notes []storage.Firing
		for _, f := range due {
			notes = append(notes, storage.Firing{Entry: f.Entry.Key(), Due: f.Due, Deadline: f.Deadline(), Request: b.ask(f)})
		}
		var err error
		if b.store != nil {
			if err = b.written(func() error { return b.store.RecordFirings(notes) }); !b.up {
				return
			}
		}
		if err == nil {
			for _, n := range notes {
				b.fired[n.Entry] = n.Due
				minute := n.Request.Identity.String()
				if b.s.minutes[minute] {
					b.s.fault("timers", "%s fires %s a second time", b.name, minute)
				}
				b.s.minutes[minute] = b.store != nil
				b.take(n.Request, n.Deadline, 1)
			}
		}
	}
	pause := 1.0
	if next, ok := b.plan.Next(); ok {
		pause = min(max(next.Sub(b.wall()).Seconds(), 0.001), pause)
	}
	b.in(pause, "timers", b.fire)
}

func (b *box) ask(f schedule.Firing) dispatch.Request {
	e, ownSource := f.Entry, "/timers/"+b.name
	return dispatch.Request{Identity: dispatch.Identity{Source: ownSource, ID: f.ID}, Class: e.Class, Function: e.Function, Tenant: e.Tenant,
		Fields: []dispatch.Field{{Name: "ce-specversion", Value: "1.0"}, {Name: "ce-source", Value: ownSource}, {Name: "ce-id", Value: f.ID},
			{Name: "ce-type", Value: e.Class}, {Name: "ce-function", Value: e.Function}}}
}

// take begins an event of the box itself; a deferred one is tried again until its time is over.
func (b *box) take(ask dispatch.Request, until time.Time, tries int) {
	f := b.fronts[0]
	call := b.s.tape.Call()
	b.own[ask.Identity] = call
	b.s.tape.Add(invariants.Record{Kind: invariants.Asked, Event: ask.Identity.String(), Type: ask.Class, Function: ask.Function, Front: f.tag(), Call: call,
		Wait: maxAge})
	began := b.w.now
	f.f.Submit(ask, func(a dispatch.Response) {
		delete(b.own, ask.Identity)
		if b.w.now-began > maxAge && b.s.troubled(b, began) { // it stood still
			b.s.ownLost(call)
		} else {
			b.s.tape.Add(invariants.Record{Kind: invariants.Answered, Event: ask.Identity.String(), Type: ask.Class, Front: f.tag(), Call: call,
				Outcome: a.Kind.String(), Digest: a.Binding.Digest})
		}
		switch {
		case a.Cause == dispatch.CauseShuttingDown && a.Kind == dispatch.Rejected:
			return
		case a.Kind == dispatch.Rejected:
			if pause, ok := schedule.NextRetry(until, b.wall(), tries, time.Duration(a.RetryAfter*float64(time.Second))); ok && b.w.now+pause.Seconds() < b.s.script.Seconds+lastTry {
				b.in(pause.Seconds(), "again "+ask.ID, func() {
					if b.life.State == appliance.Serving {
						b.take(ask, until, tries+1)
					}
				})
				return
			}
		}
		if b.store != nil {
			b.store.ScheduledRequestDone(ask.Identity)
			b.sync()
		}
	})
}
