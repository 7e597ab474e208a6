package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"streamcleat/internal/appliance"
	"streamcleat/internal/config"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/fakes"
	"streamcleat/internal/invariants"
	"streamcleat/internal/schedule"
)

// Report is what one script came to.
type Report struct {
	Seed    uint64 `json:"seed"`
	Profile string `json:"profile"`
	invariants.Verdict
	Broke    []string       `json:"broke,omitempty"` // rules and invariants, the first of each
	Digest   string         `json:"digest"`          // of the trace
	Steps    int            `json:"steps"`
	Virtual  float64        `json:"virtual_s"`
	Real     float64        `json:"real_s"`
	Restarts int            `json:"restarts"`
	Met      map[string]int `json:"met,omitempty"` // fault kind and state that it met: times
}

// OK tells that nothing broke.
func (r *Report) OK() bool { return len(r.Broke) == 0 }

// trouble is a time in which some clients can't be promised an answer from some front ends.
type trouble struct {
	box, client int // below 0: all
	from, to    float64
}

// site is one world: boxes, workers, clients and what lies between them.
type site struct {
	w          *world
	script     *Script
	cfg        *config.Config
	net        *network
	tape       *invariants.Tape
	rules      invariants.Rules
	functions  []fakes.Function
	kinds      map[string]string
	boxes      []*box
	fronts     []*front
	workers    []*worker
	clients    []*client
	store      *store
	entries    []schedule.Entry
	list       []byte
	remembered map[string]float64 // keyed events that the workers know
	reboots    map[int]int
	minutes    map[string]bool // that boxes fired their timers for, and were told to be on disk
	troubles   []trouble
	open       map[int]*trouble // by box: since it went down
	tries      []*attempt
	byTry      map[*try]*attempt
	lost       []invariants.Record
	touched    []*front
	broke      []string
	seen       map[string]int
	met        map[string]int
	storm      float64
	hangUp     float64
	abused     bool
	closing    sync.WaitGroup
	calls      map[string]uint64 // by front end and event: the newest launch
	restarts   int
	checks     int
}

// attempt is one ask as its client saw it.
type attempt struct {
	event, front string
	boot         int
	call, ret    float64 // ret below 0: never
	outcome      string  // "" where the client does not know
}

// fault notes that something broke.
func (s *site) fault(kind, format string, args ...any) {
	if s.seen[kind]++; s.seen[kind] <= 3 {
		s.broke = append(s.broke, fmt.Sprintf("%s at %.3f: ", kind, s.w.now)+fmt.Sprintf(format, args...))
	}
}

// Play plays a script. told, which may be nil, gets the trace in words.
func Play(script *Script, told func(string)) (*Report, []invariants.Record, error) {
	began := time.Now()
	s, err := newSite(script)
	if err != nil {
		return nil, nil, err
	}
	if told != nil {
		s.w.told = func(what string) { told(fmt.Sprintf("%10.6f %s", s.w.now, what)) }
	}
	end := script.Seconds + calm
	for s.w.next(end) && len(s.broke) < 50 {
		s.check()
		if s.w.steps > mostSteps {
			s.fault("liveness", "%d steps, the last %q", s.w.steps, s.w.last)
			break
		}
	}
	s.finish()
	records := s.tape.Records()
	v := invariants.Judge(s.rules, records)
	s.repeats()
	s.closing.Wait()
	r := &Report{Seed: script.Seed, Profile: script.Profile, Verdict: v, Broke: append(v.Faults, s.broke...), Digest: s.w.digest(), Steps: s.w.steps,
		Virtual: s.w.now, Real: time.Since(began).Seconds(), Restarts: s.restarts, Met: s.met}
	r.Verdict.Faults = nil
	return r, records, nil
}

func newSite(script *Script) (*site, error) {
	w := newWorld()
	s := &site{w: w, script: script, net: newNetwork(w, chance(script.Seed, "network")), kinds: map[string]string{}, remembered: map[string]float64{},
		reboots: map[int]int{}, minutes: map[string]bool{}, open: map[int]*trouble{}, byTry: map[*try]*attempt{},
		calls: map[string]uint64{}, seen: map[string]int{}, met: map[string]int{}, store: &store{w: w, pace: 4, slow: 1}}
	s.tape = invariants.NewTapeOn(func() float64 { return w.now })
	s.functions = fakes.Catalogue(script.Functions, script.Work, script.Seed)
	s.rules = invariants.Rules{Effect: map[string]string{"shop-event": "redeliverable", "till-entry": "keyed", "price-reset": "at-most-once"},
		Remembered: map[string]float64{"till-entry": script.Remember}, Capacity: map[string]float64{}, WorkOf: map[string]float64{}, DrainGrace: 0.01, ColdShare: coldShare,
		WarmWithin: warmWithin, FallFactor: fallFactor, FallWindow: fallWindow, Grace: 0.001, Lag: maxAge, Apart: true}
	for _, f := range s.functions {
		s.rules.Work += f.Work / float64(len(s.functions))
		s.rules.WorkOf[f.Name] = f.Work
	}
	if script.Ration {
		s.rules.LoadWindow, s.rules.LoadFree, s.rules.LoadShare = 2, 4, 0.2
	}
	if err := s.configure(); err != nil {
		return nil, err
	}
	if err := s.crontab(); err != nil {
		return nil, err
	}
	for i := range script.Workers {
		s.workers = append(s.workers, s.newWorker(i, script.Cold))
	}
	s.write()
	for i := range script.Boxes {
		s.boxes = append(s.boxes, s.newBox(i, script.PerBox))
	}
	for _, b := range s.boxes {
		b.start()
		s.down(b)
	}
	w.in(0.3, "clients begin", func() {
		for i := range script.Clients {
			s.clients = append(s.clients, s.newClient(i))
		}
	})
	for _, f := range script.Faults {
		w.in(f.At, "fault "+f.Kind, func() { s.strike(f) })
	}
	w.in(script.Seconds, "calm", s.calm)
	return s, nil
}

func (s *site) configure() error {
	var functions []map[string]any
	for _, f := range s.functions {
		functions = append(functions, map[string]any{"match": f.Name, "lanes": f.Lanes, "memory_mb": f.Memory, "load_s": f.Fetch + f.Begin})
	}
	doc, err := json.Marshal(map[string]any{
		"event_types": []map[string]any{
			{"name": "shop-event", "target_time_s": targetTime, "max_age_s": maxAge},
			{"name": "till-entry", "target_time_s": targetTime, "max_age_s": maxAge, "repeat": "keyed", "remembered_s": s.script.Remember},
			{"name": "price-reset", "target_time_s": targetTime, "max_age_s": maxAge, "repeat": "at-most-once"}},
		"functions": functions,
		"workers":   map[string]any{"keep_warm_s": keepWarm, "load_on_event": s.script.OnEvent, "dial_s": 1, "idle_s": 3, "order_limit_s": 4},
		"rules": map[string]any{"cold_share": coldShare, "warm_within_s": warmWithin, "fall_multiple": fallFactor, "fall_window_s": fallWindow,
			"max_pause_s": 0.5, "load_window_s": s.rules.LoadWindow, "load_free": s.rules.LoadFree, "load_share": s.rules.LoadShare},
		"limits": map[string]any{"answer_margin_s": margin, "idle_s": idleClient, "remember_s": answersKept},
	})
	if err != nil {
		return err
	}
	s.cfg, err = config.Parse(doc, ".")
	return err
}

const (
	idleClient  = 5.0
	answersKept = 120.0
	mostSteps   = 4_000_000 // of one script, against a world that goes round in circles
)

func (s *site) crontab() (err error) {
	if s.script.Timers == 0 {
		return nil
	}
	var tab strings.Builder
	tab.WriteString("CRON_TZ=UTC\nMISFIRE=all\nMISFIRE_WITHIN=10m\n")
	kinds := []string{"price-reset", "shop-event", "till-entry"}
	for i := range s.script.Timers {
		fmt.Fprintf(&tab, "* * * * * %s %s tenant-%d\n", kinds[i%3], s.functions[i%len(s.functions)].Name, i)
	}
	s.entries, err = schedule.Parse(strings.NewReader(tab.String()), "sim")
	return err
}

// write puts the list of workers down; front ends learn of it a moment later.
func (s *site) write() {
	groups := []map[string]any{}
	for _, k := range s.workers {
		if !k.listed {
			continue
		}
		labels := map[string]string{"instance": k.name, "kind": s.kinds[k.name], "phase": k.phase}
		if k.started > 0 {
			labels["started"] = fmt.Sprintf("%.3f", k.started)
		}
		groups = append(groups, map[string]any{"targets": []string{k.name + ":80"}, "labels": labels})
	}
	data, err := json.Marshal(groups)
	if err != nil {
		panic(err)
	}
	s.list = data
	for _, b := range s.boxes {
		if b.silent || !b.up {
			continue
		}
		b.in(0.01+0.2*s.net.rng.Float64(), "sees the list", func() {
			for _, f := range b.fronts {
				if f.f != nil {
					f.read()
				}
			}
		})
	}
}

func (s *site) boost() float64   { return max(s.storm, 1) }
func (s *site) leaving() float64 { return max(s.hangUp, 0.02) }
func (s *site) abuse() bool      { return s.abused }

func sorted(m map[dispatch.Identity]uint64) []uint64 {
	list := slices.Collect(maps.Values(m))
	slices.Sort(list)
	return list
}

// down notes that a box serves nobody from now until up.
func (s *site) down(b *box) {
	if s.open[b.no] == nil {
		s.open[b.no] = &trouble{b.no, -1, s.w.now, never}
	}
}

func (s *site) up(b *box) {
	if t := s.open[b.no]; t != nil {
		t.to = s.w.now + 0.05
		s.troubles = append(s.troubles, *t)
		delete(s.open, b.no)
	}
}

// excused tells whether the client of a try could not be promised an answer: its front end or the way to it was in
// trouble meanwhile.
func (s *site) excused(t *try) bool {
	if t.line != nil && t.line.e != nil && t.line.e.c.harmed {
		return true
	}
	if s.open[t.front.b.no] != nil {
		return true
	}
	for i := len(s.troubles) - 1; i >= 0; i-- {
		x := s.troubles[i]
		if x.to >= t.at && x.from <= s.w.now && (x.box < 0 || x.box == t.front.b.no) && (x.client < 0 || s.clients[x.client] == t.line.c) {
			return true
		}
	}
	return false
}

// troubled tells whether a box was in trouble since a time.
func (s *site) troubled(b *box, since float64) bool {
	for _, x := range s.troubles {
		if x.to >= since && x.from <= s.w.now && x.box == b.no && x.client < 0 {
			return true
		}
	}
	return s.open[b.no] != nil
}

func (s *site) asked(t *try) {
	a := &attempt{event: t.evt.id, front: t.front.name, boot: t.front.b.boots, call: s.w.now, ret: -1}
	s.byTry[t] = a
	s.tries = append(s.tries, a)
}

func (s *site) answered(t *try, outcome string) {
	a := s.byTry[t]
	a.ret, a.outcome = s.w.now, outcome
	if a.boot != t.front.b.boots { // of which process it is nobody can tell
		a.outcome = ""
	}
	delete(s.byTry, t)
}

// lose notes that nobody will know how a try ended: what its front end does about it is free.
func (s *site) lose(t *try) {
	delete(s.byTry, t)
	s.lost = append(s.lost, invariants.Record{Kind: invariants.Lost, Call: t.call, Event: source + "#" + t.evt.id, Type: t.evt.kind, Front: t.tag})
}

func (s *site) unanswered(t *try) {
	if s.excused(t) {
		s.lose(t)
		return
	}
	delete(s.byTry, t) // the referee finds no answer
}

func (s *site) broken(t *try) {
	if !s.excused(t) {
		s.fault("rule 1", "%s: %s closed the connection without an answer", t.evt.id, t.front.name)
	}
	s.lose(t)
}

// left notes that a client hung up; its front end learns of it a moment later.
func (s *site) left(t *try) {
	s.w.in(0.15, "known to have left "+t.evt.id, func() {
		if s.excused(t) {
			s.lose(t)
			return
		}
		delete(s.byTry, t)
		s.tape.Add(invariants.Record{Kind: invariants.Left, Call: t.call, Event: source + "#" + t.evt.id, Type: t.evt.kind, Front: t.tag})
	})
}

func (s *site) ownLost(call uint64) {
	s.lost = append(s.lost, invariants.Record{Kind: invariants.Lost, Call: call})
}

// check looks at every front end that did something in the last step.
func (s *site) check() {
	for _, f := range s.touched {
		f.touched = false
		if f.f == nil || f.b.still {
			continue
		}
		s.checks++
		if err := f.f.Check(s.checks%32 == 0); err != nil {
			s.fault("invariant", "%s: %v", f.name, err)
		}
		if f.b.life.State == appliance.Serving && s.open[f.b.no] != nil {
			s.up(f.b)
		}
	}
	s.touched = s.touched[:0]
}

func (f *front) touch() {
	if !f.touched {
		f.touched = true
		f.b.s.touched = append(f.b.s.touched, f)
	}
}

// calm ends every fault: from here on all is well, and everything that was begun must end.
func (s *site) calm() {
	clear(s.net.cuts)
	clear(s.net.lag)
	s.net.loss, s.net.doubled, s.net.buffer = 0, 0, 64<<10
	s.storm, s.hangUp, s.abused = 0, 0, false
	s.store.until, s.store.stopped = 0, 0
	for _, k := range s.workers {
		clear(k.faults)
		if k.still {
			k.resume()
		}
		if k.listed && !k.up {
			k.begin(true)
		}
		k.phase = "serving"
	}
	s.write()
	for _, c := range s.clients {
		c.quit, c.slow = true, 0
		for _, l := range c.lines {
			if l.e != nil {
				l.e.slow = 0
			}
		}
	}
	for _, b := range s.boxes {
		b.silent = false
		b.disk.slow, b.disk.lying = 0, false
		full := b.disk.full
		b.disk.full = false
		if b.still {
			b.resume()
		}
		if full || b.store != nil && b.store.Err() != nil { // an operator sees that the state can't be written
			b.again = 0.1
			s.stop(b)
		}
	}
	s.w.in(calm-1, "clients hang up", func() {
		for _, c := range s.clients {
			c.hang()
		}
	})
}

// finish looks at what is left when all is over.
func (s *site) finish() {
	for _, r := range s.lost {
		s.tape.Add(r)
	}
	for _, b := range s.boxes {
		if !b.up || b.life.State != appliance.Serving {
			s.fault("liveness", "%s does not serve at the end: %s", b.name, b.life.State)
			continue
		}
		for _, f := range b.fronts {
			n := f.f.Dispatcher().Counts()
			clients, backends := f.f.Connections()
			if n.Open > 0 || n.InFlight > 0 || n.PendingLoads > 0 || f.f.Dispatcher().Waiters() > 0 {
				s.fault("liveness", "%s holds %d events, %d launches, %d load orders at the end", f.name, n.Open, n.InFlight, n.PendingLoads)
			}
			if clients > 0 || backends > 0 {
				s.fault("leak", "%s holds %d connections of clients and %d to workers at the end, of %s", f.name, clients, backends, s.net.names(b.name))
			}
			if !f.f.RecordsStored() {
				s.fault("liveness", "%s waits for its disk at the end", f.name)
			}
		}
		s.compare(b)
	}
	for _, b := range s.boxes {
		if b.store != nil {
			b.store.Drop()
		}
	}
}

// stop asks a box to stop in order.
func (s *site) stop(b *box) {
	if b.up && !b.still {
		s.down(b)
		s.restarts++
		b.move(appliance.StopRequested, "script")
	}
}

// strike carries a fault out.
func (s *site) strike(f Fault) {
	b, k := s.boxes[f.Box], s.workers[f.Worker]
	s.meet(f, b)
	for0 := func(what string, undo func()) { s.w.in(f.For, what, undo) }
	cut := func(from, to string) {
		key := [2]string{from, to}
		s.net.cuts[key]++
		for0("heals "+from+" "+to, func() {
			if s.net.cuts[key] > 0 {
				s.net.cuts[key]--
			}
		})
	}
	bad := func(box, client int) {
		s.troubles = append(s.troubles, trouble{box, client, s.w.now, s.w.now + f.For + 0.3})
	}
	client := fmt.Sprintf("till-%d", f.Client)
	switch f.Kind {
	case "delay-worker", "delay-client":
		other := k.name
		if f.Kind == "delay-client" {
			other = client
		}
		keys := [][2]string{{b.name, other}, {other, b.name}}
		for _, key := range keys {
			s.net.lag[key] = f.Size
		}
		for0("no delay", func() {
			for _, key := range keys {
				delete(s.net.lag, key)
			}
		})
	case "cut-worker":
		cut(b.name, k.name)
		cut(k.name, b.name)
	case "cut-to-worker":
		cut(b.name, k.name)
	case "cut-from-worker":
		cut(k.name, b.name)
	case "cut-client":
		cut(b.name, client)
		cut(client, b.name)
		bad(f.Box, f.Client)
	case "cut-peers":
		for _, o := range s.boxes {
			if o != b {
				cut(b.name, o.name)
				cut(o.name, b.name)
			}
		}
	case "half-picture":
		for i, k := range s.workers {
			x := s.boxes[(f.Box+i)%len(s.boxes)]
			cut(x.name, k.name)
			cut(k.name, x.name)
		}
	case "lossy":
		s.net.loss, s.net.doubled = f.Size, f.Size/2
		for0("no loss", func() { s.net.loss, s.net.doubled = 0, 0 })
	case "reset-worker":
		for i, e := range s.net.between(b.name, k.name) {
			if i%2 == 0 {
				e.harm(f.Bytes)
			} else {
				e.other().harm(f.Bytes)
			}
		}
	case "reset-client":
		for i, e := range s.net.between(b.name, client) {
			if i%2 == 0 {
				e.harm(f.Bytes)
			} else {
				e.other().harm(f.Bytes)
			}
		}
	case "half-open-worker", "half-open-client":
		other := k.name
		if f.Kind == "half-open-client" {
			other = client
		}
		for _, e := range s.net.between(b.name, other) {
			e.c.harmed = true
			e.c.silence()
		}
	case "slow-client":
		if f.Client < len(s.clients) {
			c := s.clients[f.Client]
			c.slow = max(f.Size, 1)
			for _, l := range c.lines {
				if l.e != nil {
					l.e.slow = c.slow
					l.e.c.harmed = true
				}
			}
			s.troubles = append(s.troubles, trouble{-1, f.Client, s.w.now, s.w.now + f.For + maxAge}) // its connections stay slow
			for0("reads again", func() { c.slow = 0 })
		}
	case "small-buffer":
		s.net.buffer = f.Bytes
		for0("buffers as usual", func() { s.net.buffer = 64 << 10 })
	case "disk-slow":
		b.disk.slow = f.Size
		for0("disk as usual", func() { b.disk.slow = 0 })
	case "disk-full":
		b.disk.full = true
		for0("room on the disk", func() {
			if !b.disk.full {
				return
			}
			b.disk.full = false
			if b.store != nil && b.store.Err() != nil {
				b.again = 0.1
				s.stop(b)
			}
		})
	case "lying-disk":
		b.disk.lying = true
		for0("disk is honest", func() { b.disk.lying = false })
	case "torn":
		if b.store != nil {
			b.disk.tear = f.Bytes
		}
	case "kill", "power":
		if b.up {
			s.down(b)
			s.restarts++
			b.crash(f.Kind == "power", f.Size)
		}
	case "stop":
		b.again = f.Size
		s.stop(b)
	case "stall":
		if b.up && !b.still {
			bad(f.Box, -1)
			b.stall(f.For)
		}
	case "clock":
		b.skew += f.Size
	case "crash", "worker-power":
		k.stop(f.Kind == "worker-power")
		s.w.in(f.Size, k.name+" starts", func() { s.begin(k) })
	case "restart":
		k.stop(false)
		s.begin(k)
	case "stall-worker":
		k.stall(f.For)
	case "hang", "lose", "errors", "turn-away", "slow", "reset-answers", "cut-answers":
		k.faults[f.Kind] = max(k.faults[f.Kind], s.w.now+f.For)
	case "drain", "drain-then-crash", "crash-then-drain":
		s.drain(f, k)
	case "leave":
		if up := s.listed(); up > 1 && k.listed {
			k.listed = false
			s.write()
			s.w.in(0.5, k.name+" ends", func() { k.stop(false) })
		}
	case "join":
		if len(s.workers) < 500 {
			s.workers = append(s.workers, s.newWorker(len(s.workers), true))
			s.write()
		}
	case "list-late":
		b.silent = true
		for0("list as usual", func() { b.silent = false })
	case "store-slow":
		s.store.slow, s.store.until = f.Size, s.w.now+f.For
	case "store-stop":
		s.store.stopped = s.w.now + f.For
	case "flush":
		for _, k := range s.workers {
			if k.up {
				k.void()
			}
		}
	case "alias", "release", "back-and-forth":
		if !s.script.Versions || !b.up || b.still || b.life.State != appliance.Serving {
			return
		}
		no, to := f.Worker*7+f.Client, int(f.Size)
		switch f.Kind {
		case "alias":
			b.turn(no, to)
		case "release":
			for i := range s.functions {
				if b.up {
					b.turn(i, to)
				}
			}
		case "back-and-forth":
			b.turn(no, 1)
			b.in(f.Size, "takes the alias back", func() { b.turn(no, 0) })
		}
	case "forgetful":
		clear(s.remembered)
	case "storm":
		s.storm = f.Size
		for0("usual rate", func() { s.storm = 0 })
	case "hang-up":
		s.hangUp = f.Size
		for0("clients wait", func() { s.hangUp = 0 })
	case "abuse":
		s.abused = true
		for0("no abuse", func() { s.abused = false })
	case "stampede":
		for _, c := range s.clients {
			c.stampede()
		}
	}
}

func (s *site) listed() (n int) {
	for _, k := range s.workers {
		if k.listed {
			n++
		}
	}
	return
}

// begin starts a worker anew, cold, and tells the list.
func (s *site) begin(k *worker) {
	if k.up || !k.listed {
		return
	}
	k.begin(true)
	s.write()
}

// drain tells that a worker drains, alone or with the end of its process before or after the notice; then it serves
// again, under the same name and address.
func (s *site) drain(f Fault, k *worker) {
	notice := func() {
		k.phase = "draining"
		s.write()
	}
	end := func() { k.stop(false) }
	switch f.Kind {
	case "drain":
		notice()
	case "drain-then-crash":
		notice()
		s.w.in(f.Size, k.name+" ends", end)
	case "crash-then-drain":
		end()
		s.w.in(f.Size, k.name+" drains", notice)
	}
	s.w.in(max(f.For, f.Size+0.01), k.name+" serves again", func() {
		k.phase = "serving"
		if !k.up && k.listed {
			k.begin(true)
		}
		s.write()
	})
}

// meet notes in which states a fault finds the front ends it may concern.
func (s *site) meet(f Fault, b *box) {
	note := func(state string) { s.met[f.Kind+" "+state]++ }
	for _, x := range s.boxes {
		if slices.ContainsFunc(kinds, func(k kind) bool { return k.name == f.Kind && strings.HasPrefix(k.strike, "box") }) && x != b {
			continue
		}
		switch {
		case !x.up:
			note("down")
			continue
		case x.still:
			note("stalled")
		}
		if x.life.State != appliance.Serving {
			note(x.life.State.String())
		}
		if x.syncing {
			note("writing")
		}
		for _, y := range x.fronts {
			if y.f == nil {
				continue
			}
			n := y.f.Dispatcher().Counts()
			for state, is := range map[string]bool{"idle": n.Open == 0, "event open": n.Open > 0, "launch out": n.InFlight > 0, "load out": n.PendingLoads > 0,
				"waits for disk": !y.f.RecordsStored()} {
				if is {
					note(state)
				}
			}
		}
	}
}

// States are the states that coverage tells apart, in the order of a table.
func States() []string {
	return []string{"idle", "event open", "launch out", "load out", "waits for disk", "writing", "starting", "recovering", "draining", "finishing", "stalled", "down"}
}
