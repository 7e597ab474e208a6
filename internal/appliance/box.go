package appliance

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"streamcleat/internal/config"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/proxy"
	"streamcleat/internal/schedule"
	"streamcleat/internal/storage"
	"streamcleat/internal/telemetry"
)

// Appliance is one running process. It carries out what Life, Chores and the timers' plan decide.
type Appliance struct {
	cfg     *config.Config
	log     *slog.Logger
	began   time.Time
	moves   chan move
	fronts  []*eventloop.Server
	byAddr  map[string]*eventloop.Server
	addrs   []string
	store   *storage.Store
	found   *storage.RecoveredState
	teller  *telemetry.Recorder
	closers []func() error
	ready   func(addrs []string)
	hushed  func() error // closes the console's socket
	err     error

	reg functionRegistry

	mu     sync.Mutex
	life   Lifecycle
	chores *TaskScheduler
	plan   *schedule.Plan
	tab    []byte // the crontab's text
	list   []schedule.Entry
	held   map[string]bool      // timer entries that a console holds
	fired  map[string]time.Time // by entry: the last minute fired for
	hold   bool                 // no timer fires
	ended  tally
	writer writer
	until  time.Time // when the drain time is over
}

type move struct {
	h      LifecycleEvent
	reason string
}

// tally is what ended lately, for the console.
type tally struct {
	now, last second // this second and the one before
	ring      [60]second
	at        int
	latency   *hdrhistogram.Histogram // of handled events since the start, in us
}

type second struct {
	Handled      int `json:"Handled"`
	Deferred     int `json:"Deferred"`
	DeadLettered int `json:"DeadLettered"`
	Late         int `json:"Late"`
}

// choresFor are the box's background work. Compaction and expiry keep the state bounded; the tick makes a restart
// count the time of service. Functions of timers that are due soon are loaded ahead, where the decisions see fit.
func choresFor(stored, timed, keyed bool) (list []BackgroundTask) {
	list = append(list, BackgroundTask{Name: "rollouts", Interval: 0.2, Priority: 4, SliceDuration: 0.05, Urgent: true})
	if timed {
		list = append(list, BackgroundTask{Name: "ahead", Interval: 1, Priority: 4, SliceDuration: 0.05, MaxTimeShare: 0.05},
			BackgroundTask{Name: "crontab", Interval: 2, Priority: 1, SliceDuration: 0.1, MaxTimeShare: 0.02, MaxDelay: 60})
	}
	if keyed {
		list = append(list, BackgroundTask{Name: "keys", Interval: 2, Priority: 2, SliceDuration: 0.1, MaxTimeShare: 0.02, MaxDelay: 10})
	}
	if !stored {
		return list
	}
	return append(list, []BackgroundTask{
		{Name: "tick", Interval: 1, Priority: 3, SliceDuration: 0.05, Urgent: true},
		{Name: "expiry", Interval: 5, Priority: 2, SliceDuration: 0.02, MaxTimeShare: 0.05, MaxDelay: 30},
		{Name: "compaction", Interval: 600, Priority: 1, SliceDuration: 1, MaxTimeShare: 0.05, MaxDelay: 1800},
	}...)
}

const (
	expirySlice = 500 // records that one slice looks at
	aheadOrders = 20  // load orders that one slice may give
)

// Run runs a box until it is stopped; ctx ending asks it to stop in order, and hurry makes it stop now. ready is
// called with the front ends' addresses once it serves; it may be nil.
func Run(ctx context.Context, cfg *config.Config, log *slog.Logger, hurry <-chan struct{}, ready func([]string)) error {
	b := &Appliance{cfg: cfg, log: log, began: time.Now(), moves: make(chan move, 64), byAddr: map[string]*eventloop.Server{},
		held: map[string]bool{}, fired: map[string]time.Time{}, hold: true, ready: ready, found: &storage.RecoveredState{Created: true}}
	b.ended.latency = hdrhistogram.New(1, 60_000_000, 2)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-ctx.Done():
			b.move(StopRequested, "signal")
		case <-stop:
			return
		}
		select {
		case <-hurry:
			b.move(ImmediateStopRequested, "second signal")
		case <-stop:
		}
	}()
	if err := b.listen(); err != nil { // the console sees the start, and a second process stops here
		return err
	}
	go b.background(stop)
	go b.open()
	for m := range b.moves {
		b.mu.Lock()
		before := b.life.State
		acts := b.life.Handle(m.h, m.reason)
		after := b.life.State
		b.mu.Unlock()
		if before != after {
			log.Info("box", "state", after.String(), "was", before.String(), "on", m.h.String(), "reason", m.reason)
		}
		for _, a := range acts {
			if a == Exit {
				return b.err
			}
			b.act(a)
		}
	}
	return nil
}

func (b *Appliance) move(h LifecycleEvent, reason string) {
	select {
	case b.moves <- move{h, reason}:
	default: // the box is past caring
	}
}

// fail notes the first thing that broke.
func (b *Appliance) fail(err error) {
	b.mu.Lock()
	if b.err == nil {
		b.err = err
	}
	b.mu.Unlock()
	b.move(Failed, err.Error())
}

// act carries out one act. What takes long goes on beside and comes back as a happening.
func (b *Appliance) act(a Action) {
	switch a {
	case Recover:
		go b.recover()
	case StartSchedules:
		b.mu.Lock()
		b.hold = false
		b.mu.Unlock()
		go b.fireLoop()
	case SuspendSchedules:
		b.mu.Lock()
		b.hold = true
		b.mu.Unlock()
	case StopListening:
		for _, f := range b.fronts {
			f.StopListening()
		}
	case StartDrainTimer:
		within := time.Duration(b.cfg.StopWithin * float64(time.Second))
		b.mu.Lock()
		b.until = time.Now().Add(within)
		b.mu.Unlock()
		time.AfterFunc(within, func() { b.move(DrainTimeout, "drain time over") })
		go b.awaitQuiet()
	case TerminateRequests:
		go func() {
			var ended sync.WaitGroup
			for _, f := range b.fronts {
				ended.Go(func() {
					if err := f.Stop(0); err != nil {
						b.log.Error("front end did not stop in order", "error", err)
					}
				})
			}
			ended.Wait()
			b.move(RequestsTerminated, "")
		}()
	case CloseStore:
		go func() {
			for _, c := range b.closers {
				if err := c(); err != nil {
					b.log.Error("closing", "error", err)
				}
			}
			if b.store != nil {
				if err := b.store.Close(); err != nil {
					b.log.Error("the state was not closed in order", "error", err)
				}
			}
			b.move(StoreClosed, "")
		}()
	case CloseSocket:
		b.hush()
	}
}

func (b *Appliance) awaitQuiet() {
	for {
		quiet := true
		for _, f := range b.fronts {
			n, _, _, err := f.Counts()
			quiet = quiet && (err != nil || n.Open == 0)
		}
		if quiet {
			b.move(RequestsDrained, "")
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// open opens the state folder.
func (b *Appliance) open() {
	if b.cfg.State != nil {
		var err error
		b.store, b.found, err = storage.OpenStore(b.cfg.Path(b.cfg.State.Dir),
			storage.Options{Retention: b.cfg.Limits.Remember, Log: b.log})
		if err != nil {
			b.fail(err)
			return
		}
		b.log.Info("state", "events", len(b.found.Records), "own", len(b.found.ScheduledRequests), "clean", b.found.CleanShutdown, "fresh", b.found.Created,
			"set_aside", b.found.QuarantinePath)
		if err := b.store.SaveConfig(b.cfg.Document()); err != nil {
			b.fail(err)
			return
		}
	}
	if err := b.reg.open(b.store, b.found.AuditTrail); err != nil {
		b.fail(err)
		return
	}
	if h := b.cfg.Registry; h != nil {
		if err := b.reg.rekey(b.cfg.Path(h.Keys), b.log); err != nil {
			b.fail(err)
			return
		}
	}
	b.mu.Lock()
	b.chores = NewTaskScheduler(b.seconds(), choresFor(b.store != nil, b.cfg.Timers != nil, b.cfg.Registry != nil)...)
	b.mu.Unlock()
	b.move(StoreOpened, "")
}

func (b *Appliance) seconds() float64 { return time.Since(b.began).Seconds() }

// recover starts the front ends with what was kept, and begins again what the box itself had open.
func (b *Appliance) recover() {
	if err := b.startTelling(); err != nil {
		b.fail(err)
		return
	}
	if err := b.startFronts(); err != nil {
		b.fail(err)
		return
	}
	if b.cfg.Timers != nil {
		if err := b.planTimers(); err != nil {
			b.fail(err)
			return
		}
	}
	for _, o := range b.found.ScheduledRequests {
		b.log.Info("begun again after a restart", "event", o.Request.Identity.String(), "due", o.Due)
		b.take(o.Request, o.Deadline, 1)
	}
	if b.ready != nil {
		b.ready(b.addrs)
	}
	b.move(StateRecovered, "")
}

func (b *Appliance) startTelling() error {
	set := telemetry.Settings{Gauges: b.gauges, LatencyObjective: func(t string) float64 {
		for _, e := range b.cfg.RequestClasses {
			if e.Name == t {
				return e.LatencyObjective
			}
		}
		return 0
	}}
	if t := b.cfg.Traces; t != nil {
		f, err := telemetry.SpanFile(b.cfg.Path(t.File))
		if err != nil {
			return err
		}
		set.Spans, set.Share = f, t.Share
		b.closers = append(b.closers, func() error { return errors.Join(b.teller.Close(), f.Close()) })
	}
	var err error
	if b.teller, err = telemetry.New(set); err != nil {
		return err
	}
	if b.cfg.Metrics != nil {
		server := &http.Server{Addr: b.cfg.Metrics.Listen, Handler: b.teller.Handler(), ReadHeaderTimeout: 5 * time.Second}
		l, err := listenTCP(server.Addr)
		if err != nil {
			return fmt.Errorf("metrics: %w", err)
		}
		go server.Serve(l)
		b.closers = append(b.closers, server.Close)
	}
	return nil
}

func (b *Appliance) startFronts() error {
	c := b.cfg
	if c.Workers.File == "" {
		b.log.Warn("no list of workers is configured (workers.file): every event will be deferred")
	}
	for i, addr := range c.Listen {
		name := c.Name
		if len(c.Listen) > 1 {
			name = fmt.Sprintf("%s-%d", c.Name, i)
		}
		core := c.Dispatch(rand.Uint64())
		core.ResolveVersion, core.VersionAllowed = b.bind, b.reg.mayRun
		set := eventloop.Settings{Listen: addr, WorkersFile: c.Path(c.Workers.File), Settings: proxy.Settings{Name: name, Dispatch: core,
			Upstream: c.Upstream(name), Downstream: c.Downstream(), MaxClients: c.Limits.Connections, Log: b.log, Recovered: b.found.Records, ReplicaSnapshots: b.found.Replicas,
			OnRequestEnd: b.note, RecordTimeout: c.Limits.Margin / 2}}
		if b.store != nil {
			set.RecordStore = b.store
		}
		if p := c.Peers; p != nil {
			set.PeerListen, set.Cluster, set.Peers = p.Listen[i], p.Cluster, append(set.Peers, p.Others...)
			for k, other := range p.Listen {
				if k != i {
					set.Peers = append(set.Peers, other)
				}
			}
		}
		f, err := eventloop.Start(set)
		if err != nil {
			return err
		}
		b.mu.Lock()
		b.fronts, b.addrs = append(b.fronts, f), append(b.addrs, f.Addr())
		b.byAddr[f.Addr()] = f
		b.mu.Unlock()
	}
	for _, a := range b.fronts[0].Lost() {
		b.log.Error("dead-lettered at the restart: it may have run and must not run again", "event", a.Identity.String(),
			"type", a.Class, "function", a.Function)
	}
	return nil
}

func (b *Appliance) planTimers() error {
	for k, v := range b.found.LastFirings {
		b.fired[k] = v
	}
	return b.rereadTimers()
}

// rereadTimers plans by the crontab if it differs from the last one. A faulty one leaves the last in force.
func (b *Appliance) rereadTimers() error {
	path := b.cfg.Path(b.cfg.Timers.Crontab)
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("crontab: %w", err)
	}
	if b.plan != nil && bytes.Equal(data, b.tab) {
		return nil
	}
	list, err := schedule.Parse(bytes.NewReader(data), path)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plan != nil {
		b.log.Info("the crontab changed", "entries", len(list), "were", len(b.list))
	}
	// An entry that is new plans from now; one that stays goes on from its last minute.
	b.tab, b.list = data, list
	b.plan = schedule.Resume(list, b.fired, time.Now())
	return nil
}

// loadVersion has every front end order a copy of a version, where the decisions see fit.
func (b *Appliance) loadVersion(ref string) error {
	for _, f := range b.serving() {
		if _, err := f.Preload("", ref); err != nil {
			return err
		}
	}
	return nil
}

// stands tells whether every front end believes that a copy of a version stands.
func (b *Appliance) stands(id string) bool {
	all := true
	for _, f := range b.serving() {
		one := false
		err := f.DoDispatcher(func(c *dispatch.Dispatcher) {
			_, functions := c.RoutingView()
			for _, x := range functions {
				one = one || string(x.ID) == id && len(x.Replicas) > 0
			}
		})
		all = all && one && err == nil
	}
	return all
}

// prepare has copies of versions that a rollout is going to loaded ahead, within the ration, so that the first event
// of the new version does not wait for its load. The old copies stay until nobody asks for them.
func (b *Appliance) prepare(until time.Time) error {
	orders := 0
	for _, v := range b.reg.coming() {
		for _, f := range b.serving() {
			ordered, err := f.Preload("", v)
			if err != nil {
				return err
			}
			if ordered {
				orders++
			}
			if orders >= aheadOrders || time.Now().After(until) {
				return nil
			}
		}
	}
	return nil
}

// loadAhead has functions loaded whose timers are due before a loaded copy would lapse again.
func (b *Appliance) loadAhead(until time.Time) error {
	b.mu.Lock()
	list, held := b.list, maps.Clone(b.held)
	b.mu.Unlock()
	span := time.Duration(b.cfg.Workers.KeepWarm / 2 * float64(time.Second))
	orders := 0
	for _, f := range schedule.DueWithin(list, time.Now(), span) {
		if held[f.Entry.Key()] {
			continue
		}
		ordered, err := b.byAddr[schedule.RendezvousOrder(b.addrs, f.ID)[0]].Preload(f.Entry.Class, f.Entry.Function)
		if err != nil {
			return err
		}
		if ordered {
			orders++
		}
		if orders >= aheadOrders || time.Now().After(until) {
			break
		}
	}
	return nil
}

// take begins an event of the box itself at the front end that a timer client of the same crontab would ask. A
// deferred one is tried again until its time is over.
func (b *Appliance) take(ask dispatch.Request, until time.Time, tries int) {
	front := b.byAddr[schedule.RendezvousOrder(b.addrs, ask.ID)[0]]
	err := front.Submit(ask, func(a dispatch.Response) {
		switch {
		case a.Cause == dispatch.CauseShuttingDown && a.Kind == dispatch.Rejected: // it goes on at the restart
			return
		case a.Kind == dispatch.Rejected:
			pause, again := schedule.NextRetry(until, time.Now(), tries, time.Duration(a.RetryAfter*float64(time.Second)))
			if again {
				time.AfterFunc(pause, func() { b.take(ask, until, tries+1) })
				return
			}
		}
		if a.Kind != dispatch.Succeeded {
			b.log.Error("a timer's event was not handled", "event", ask.Identity.String(), "outcome", a.Kind.String(), "cause",
				a.Cause.String(), "tries", tries)
		}
		if b.store != nil {
			b.store.ScheduledRequestDone(ask.Identity)
		}
	})
	if err != nil {
		b.log.Warn("not begun", "event", ask.Identity.String(), "error", err)
	}
}

// fireLoop fires what is due. A firing is on disk before its event begins: a restart neither loses a minute nor
// fires it twice.
func (b *Appliance) fireLoop() {
	if b.cfg.Timers == nil {
		return
	}
	for {
		b.mu.Lock()
		stopped, plan := b.hold, b.plan
		var due []schedule.Firing
		if !stopped {
			due = plan.Due(time.Now())
		}
		var fire []schedule.Firing
		for _, f := range due {
			if b.held[f.Entry.Key()] {
				b.log.Info("not fired: the entry is held", "event", f.ID)
				continue
			}
			fire = append(fire, f)
		}
		next, any := plan.Next()
		b.mu.Unlock()
		if stopped {
			return
		}
		if len(fire) > 0 {
			if err := b.fire(fire); err != nil {
				b.log.Error("timers were not noted and do not fire", "firings", len(fire), "error", err)
			}
		}
		pause := time.Second // the clock may be set meanwhile, and the box stopped
		if any {
			pause = min(max(time.Until(next), time.Millisecond), pause)
		}
		time.Sleep(pause)
	}
}

func (b *Appliance) source() string {
	if b.cfg.Timers != nil && b.cfg.Timers.Source != "" {
		return b.cfg.Timers.Source
	}
	return "/timers/" + b.cfg.Name
}

func (b *Appliance) fire(list []schedule.Firing) error {
	var notes []storage.Firing
	for _, f := range list {
		notes = append(notes, storage.Firing{Entry: f.Entry.Key(), Due: f.Due, Deadline: f.Deadline(), Request: ask(b.source(), f)})
	}
	if b.store != nil {
		if err := b.store.RecordFirings(notes); err != nil {
			return err
		}
	}
	b.mu.Lock()
	for _, n := range notes {
		b.fired[n.Entry] = n.Due
	}
	b.mu.Unlock()
	for _, n := range notes {
		b.take(n.Request, n.Deadline, 1)
	}
	return nil
}

func ask(source string, f schedule.Firing) dispatch.Request {
	e := f.Entry
	fields := []dispatch.Field{{Name: "ce-specversion", Value: "1.0"}, {Name: "ce-source", Value: source},
		{Name: "ce-id", Value: f.ID}, {Name: "ce-type", Value: e.Class}, {Name: "ce-time", Value: f.Due.UTC().Format(time.RFC3339)},
		{Name: "ce-function", Value: e.Function}}
	if e.Tenant != "" {
		fields = append(fields, dispatch.Field{Name: "ce-tenant", Value: e.Tenant})
	}
	if len(e.Data) > 0 {
		fields = append(fields, dispatch.Field{Name: "Content-Type", Value: "application/json"})
	}
	return dispatch.Request{Identity: dispatch.Identity{Source: source, ID: f.ID}, Class: e.Class, Tenant: e.Tenant,
		Function: e.Function, Timeout: e.Timeout.Seconds(), Fields: fields, Body: e.Data}
}

// note takes each ended event, on its front end's loop.
func (b *Appliance) note(a dispatch.Response, t *dispatch.Trace) {
	b.teller.OnRequestEnd(a, t)
	b.reg.seen(a)
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &b.ended.now
	switch a.Kind {
	case dispatch.Succeeded:
		s.Handled++
		b.ended.latency.RecordValue(max(int64(a.Elapsed*1e6), 1))
	case dispatch.Rejected:
		s.Deferred++
	case dispatch.Failed:
		s.DeadLettered++
	}
}

// background gives slices to chores and turns the figures of each second over.
func (b *Appliance) background(stop chan struct{}) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	turned := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		if time.Since(turned) >= time.Second {
			turned = turned.Add(time.Second)
			b.mu.Lock()
			b.ended.last = b.ended.now
			b.ended.ring[b.ended.at%len(b.ended.ring)] = b.ended.now
			b.ended.at++
			b.ended.now = second{}
			b.mu.Unlock()
		}
		b.slice()
	}
}

// busy is the share of its room that the box uses for traffic.
func (b *Appliance) busy() float64 {
	open := 0
	for _, f := range b.serving() {
		if n, _, _, err := f.Counts(); err == nil {
			open += n.Open
		}
	}
	return float64(open) / float64(max(b.cfg.Limits.Open*len(b.cfg.Listen), 1))
}

func (b *Appliance) serving() []*eventloop.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*eventloop.Server(nil), b.fronts...)
}

func (b *Appliance) slice() {
	b.mu.Lock()
	ready := b.chores != nil && b.life.State >= Serving && b.life.State < Terminating
	b.mu.Unlock()
	if !ready {
		return
	}
	busy := b.busy()
	b.mu.Lock()
	name, budget := b.chores.Next(b.seconds(), busy)
	b.mu.Unlock()
	if name == "" {
		return
	}
	at := time.Now()
	more := false
	var err error
	switch name {
	case "ahead":
		err = b.loadAhead(at.Add(time.Duration(budget * float64(time.Second))))
	case "crontab":
		err = b.rereadTimers()
	case "keys":
		err = b.reg.rekey(b.cfg.Path(b.cfg.Registry.Keys), b.log)
	case "rollouts":
		if err = b.reg.judge(b.log); err == nil {
			err = b.reg.step(b.seconds(), b.log, b.loadVersion, b.stands)
		}
		if err == nil {
			err = b.prepare(at.Add(time.Duration(budget * float64(time.Second))))
		}
	case "tick":
		var known []dispatch.ReplicaSnapshot
		for _, f := range b.serving() {
			known = append(known, f.ReplicaSnapshots()...)
		}
		err = b.store.SaveReplicas(known)
	case "expiry":
		for time.Since(at).Seconds() < budget {
			n := 0
			if n, err = b.store.Expire(expirySlice); err != nil || n < expirySlice {
				break
			}
			more = true
		}
	case "compaction":
		err = b.store.Compact()
	}
	b.mu.Lock()
	b.chores.Done(b.seconds(), name, time.Since(at).Seconds(), more, err)
	b.mu.Unlock()
}

func (b *Appliance) gauges() map[string]float64 {
	g := map[string]float64{}
	for _, f := range b.serving() {
		n, clients, backends, err := f.Counts()
		if err != nil {
			continue
		}
		g["open_events"] += float64(n.Open)
		g["launches_out"] += float64(n.InFlight)
		g["answers_kept"] += float64(n.Cached)
		g["answers_kept_bytes"] += float64(n.CachedBytes)
		g["client_connections"] += float64(clients)
		g["worker_connections"] += float64(backends)
	}
	if b.store != nil {
		g["state_bytes"] = float64(b.store.Size())
	}
	return g
}

func netNow() float64 { return eventloop.Now() }
