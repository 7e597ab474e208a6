package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"streamcleat/internal/config"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/fakes"
	"streamcleat/internal/invariants"
	"streamcleat/internal/proxy"
	"streamcleat/internal/schedule"
)

// Report is what one day came to.
type Report struct {
	Script string `json:"script"`
	Seed   uint64 `json:"seed"`
	invariants.Verdict
	Worst    float64            `json:"worst_2s"` // the same within the worst two seconds
	InTime   float64            `json:"in_time"`  // share of firings handled within the target time, repeats with their first try
	Firings  int                `json:"firings"`
	Joined   uint64             `json:"joined"` // askers answered by an event that another began
	Fetches  int                `json:"store_fetches"`
	Latency  map[string]float64 `json:"latency_ms"` // of handled firings
	Causes   map[string]int     `json:"causes"`     // why events ended otherwise than handled
	Seconds  float64            `json:"seconds"`
	Failures []string           `json:"failures,omitempty"` // of the rig itself
}

// OK tells that all rules held and the rig did what it was told.
func (r *Report) OK() bool { return r.Broken == 0 && len(r.Failures) == 0 }

const (
	targetTime = 0.8
	maxAge     = 2.5
	remembered = 30.0
	margin     = 0.2 // the rig's clients share the machine with all the rest
	drainGrace = 0.5
	warmWithin = 4.0
	coldShare  = 0.29
	fallFactor = 2.5
	fallWindow = 1.5
	keepWarm   = 4.0
)

type day struct {
	script    *Script
	seed      uint64
	rng       *rand.Rand
	log       *slog.Logger
	tape      *invariants.Tape
	dir       string
	functions []fakes.Function
	store     *fakes.Store
	memory    *fakes.Memory
	list      *fakes.List
	reg       *versions
	fronts    []*eventloop.Server
	addrs     []string
	rules     invariants.Rules

	mu       sync.Mutex
	workers  []*fakes.Worker
	all      []*fakes.Worker
	next     int
	failures []string
	causes   map[string]int
	latency  *hdrhistogram.Histogram
	firings  int
	inTime   int
	stretch  map[int][2]int // by two seconds: firings, and those in time

	boost   atomic.Int64 // rate in hundredths of the usual
	hot     atomic.Int64 // share of events for hot functions, in thousandths
	leaving atomic.Int64 // share of clients that hang up, in thousandths
	abuse   atomic.Bool
}

// Run plays a script. Everything it starts is ended when it returns.
func Run(ctx context.Context, s *Script, seed uint64, log *slog.Logger) (*Report, []invariants.Record, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(dir)
	d := &day{script: s, seed: seed, rng: rand.New(rand.NewPCG(seed, 0xd411)), log: log, tape: invariants.NewTape(), dir: dir,
		store: fakes.NewStore(s.Workers, s.Workers*4), memory: fakes.NewMemory(remembered), causes: map[string]int{}, stretch: map[int][2]int{},
		latency: hdrhistogram.New(1, 60_000_000, 3)}
	d.boost.Store(100)
	defer d.close()
	if err := d.open(); err != nil {
		return nil, nil, err
	}
	began := time.Now()
	d.play(ctx)
	r := &Report{Script: s.Name, Seed: seed, Firings: d.firings, Latency: map[string]float64{}, Seconds: time.Since(began).Seconds()}
	for _, f := range d.fronts {
		n, _, _, err := f.Counts()
		if err != nil {
			d.fail("front end ended by itself: %v", err)
		}
		r.Joined += n.Deduplicated + n.Replayed
		if n.Open > 0 || n.InFlight > 0 {
			d.fail("front end holds %d events and %d launches after the day", n.Open, n.InFlight)
		}
	}
	for _, f := range d.fronts {
		f.Stop(time.Second)
	}
	d.fronts = nil
	records := d.tape.Records()
	r.Verdict = invariants.Judge(d.rules, records)
	if d.firings > 0 {
		r.InTime = float64(d.inTime) / float64(d.firings)
	}
	r.Worst = 1
	for _, x := range d.stretch {
		if x[0] >= 20 {
			r.Worst = min(r.Worst, float64(x[1])/float64(x[0]))
		}
	}
	r.Fetches, r.Causes, r.Failures = d.store.Fetches, d.causes, d.failures
	for _, q := range []float64{50, 90, 99, 99.9} {
		r.Latency[fmt.Sprintf("p%g", q)] = float64(d.latency.ValueAtQuantile(q)) / 1000
	}
	r.Latency["max"] = float64(d.latency.Max()) / 1000
	return r, records, nil
}

func (d *day) fail(format string, args ...any) {
	d.mu.Lock()
	d.failures = append(d.failures, fmt.Sprintf(format, args...))
	d.mu.Unlock()
}

func (d *day) close() {
	for _, f := range d.fronts {
		f.Stop(0)
	}
	for _, w := range d.all {
		w.Close()
	}
}

func (d *day) worker(cold bool) (*fakes.Worker, error) {
	d.mu.Lock()
	no := d.next
	d.next++
	d.mu.Unlock()
	kind, speed := "std", 1.0
	if no%3 == 2 {
		kind, speed = "eco", 0.7
	}
	mean := 0.0
	for _, f := range d.functions {
		mean += f.Work / float64(len(d.functions))
	}
	name := fmt.Sprintf("wk-%02d", no)
	w, err := fakes.NewWorker(fakes.Spec{Name: name, Kind: kind, Cores: d.script.Cores, Speed: speed, Memory: 8000,
		Queue: 64, LoadsAtOnce: 4, Keep: keepWarm + 0.5, ColdShare: coldShare, WarmWithin: warmWithin, FallFactor: fallFactor,
		FallWindow: fallWindow, LoadsOnEvent: d.script.OnEvent, MeanWork: mean, Functions: d.functions, Store: d.store,
		Drops: d.memory, Keyed: map[string]bool{"till-entry": true}, Tape: d.tape, Seed: d.seed + uint64(no)})
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rules.Capacity[name] = float64(d.script.Cores) * speed
	d.rules.Work = mean
	d.all = append(d.all, w)
	if cold {
		return w, w.Restart()
	}
	return w, nil
}

func (d *day) open() error {
	s := d.script
	// Some functions are asked for by nobody until they turn hot.
	d.functions = fakes.Catalogue(s.Functions+3, s.Work, d.seed)
	d.rules = invariants.Rules{Effect: map[string]string{"shop-event": "redeliverable", "till-entry": "keyed",
		"price-reset": "at-most-once"}, Remembered: map[string]float64{"till-entry": remembered}, Capacity: map[string]float64{},
		DrainGrace: drainGrace, ColdShare: coldShare, WarmWithin: warmWithin, FallFactor: fallFactor, FallWindow: fallWindow,
		LoadWindow: s.Ration[0], LoadFree: s.Ration[1], LoadShare: s.Ration[2], Grace: 0.1}
	for range s.Workers {
		w, err := d.worker(s.Cold)
		if err != nil {
			return err
		}
		d.workers = append(d.workers, w)
	}
	path := filepath.Join(d.dir, "workers.json")
	var err error
	if d.list, err = fakes.NewList(path, d.tape, d.workers); err != nil {
		return err
	}
	return d.openFronts(path)
}

func (d *day) openFronts(path string) error {
	s := d.script
	peers, err := freeUDP(s.FrontEnds)
	if err != nil {
		return err
	}
	var functions []map[string]any
	for _, f := range d.functions {
		functions = append(functions, map[string]any{"match": f.Name, "lanes": f.Lanes, "memory_mb": f.Memory,
			"load_s": f.Fetch + f.Begin})
	}
	doc, err := json.Marshal(map[string]any{
		"name": "front", "listen": []string{"127.0.0.1:0"},
		"event_types": []map[string]any{
			{"name": "shop-event", "target_time_s": targetTime, "max_age_s": maxAge},
			{"name": "till-entry", "target_time_s": targetTime, "max_age_s": maxAge, "repeat": "keyed", "remembered_s": remembered},
			{"name": "price-reset", "target_time_s": targetTime, "max_age_s": maxAge, "repeat": "at-most-once"}},
		"functions": functions,
		"workers":   map[string]any{"keep_warm_s": keepWarm, "load_on_event": s.OnEvent},
		"rules": map[string]any{"cold_share": coldShare, "warm_within_s": warmWithin, "fall_multiple": fallFactor,
			"fall_window_s": fallWindow, "max_pause_s": 0.5, "load_window_s": s.Ration[0], "load_free": s.Ration[1],
			"load_share": s.Ration[2]},
		"limits": map[string]any{"answer_margin_s": margin},
	})
	if err != nil {
		return err
	}
	c, err := config.Parse(doc, d.dir)
	if err != nil {
		return err
	}
	if s.Versions {
		if d.reg, err = newVersions(d.functions, s.FrontEnds); err != nil {
			return err
		}
	}
	for i := range s.FrontEnds {
		core := c.Dispatch(d.seed*1000003 + uint64(i))
		core.Deployment.FrontEnds, core.Deployment.GossipAllowed = s.FrontEnds, s.FrontEnds > 1
		if d.reg != nil {
			core.ResolveVersion, core.VersionAllowed = d.reg.bind(i, c.Function), d.reg.mayRun(i)
		}
		name := fmt.Sprintf("front-%d", i)
		set := eventloop.Settings{Listen: c.Listen[0], WorkersFile: path, Settings: proxy.Settings{Name: name, Cluster: "drill", Dispatch: core,
			Upstream: c.Upstream(name), Downstream: c.Downstream(), MaxClients: c.Limits.Connections, Log: d.log, OnRequestEnd: func(a dispatch.Response, _ *dispatch.Trace) {
				if a.Kind != dispatch.Succeeded {
					d.mu.Lock()
					d.causes[a.Cause.String()]++
					d.mu.Unlock()
				}
			}}}
		if s.FrontEnds > 1 {
			set.PeerListen = peers[i]
			for k, p := range peers {
				if k != i {
					set.Peers = append(set.Peers, p)
				}
			}
		}
		f, err := eventloop.Start(set)
		if err != nil {
			return err
		}
		d.fronts = append(d.fronts, f)
		d.addrs = append(d.addrs, f.Addr())
	}
	return nil
}

// play runs the clients and the troubles until the day ends and everyone has an answer.
func (d *day) play(ctx context.Context) {
	s := d.script
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.Seconds*float64(time.Second)))
	defer cancel()
	var clients, troubles sync.WaitGroup
	clients.Add(1)
	go func() { defer clients.Done(); d.steady(ctx) }()
	for i := range s.Clients {
		clients.Add(1)
		go func() { defer clients.Done(); d.timers(ctx, i) }()
	}
	for i, t := range s.Troubles {
		troubles.Add(1)
		rng := rand.New(rand.NewPCG(d.seed, uint64(i)+77))
		go func() {
			defer troubles.Done()
			if d.sleep(ctx, t.At) {
				if err := d.trouble(ctx, t, rng); err != nil {
					d.fail("trouble %d, %s: %v", i, t.Kind, err)
				}
			}
		}()
	}
	clients.Wait()
	troubles.Wait()
}

func (d *day) sleep(ctx context.Context, s float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(s * float64(time.Second))):
		return true
	}
}

// client is a CloudEvents client whose tries the tape records.
func (d *day) client(source string, repeats int) *schedule.Client {
	return &schedule.Client{Source: source, FrontEnds: d.addrs, HTTP: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}}, DefaultTimeout: time.Duration(maxAge * float64(time.Second)),
		MaxRetries: repeats, AtMostOnce: map[string]bool{"price-reset": true},
		OnAttempt: func(f schedule.Firing, front string, left time.Duration) func(int, string, error) {
			r := invariants.Record{Kind: invariants.Asked, Event: source + "#" + f.ID, Type: f.Entry.Class, Function: f.Entry.Function,
				Front: d.front(front), Call: d.tape.Call(), Wait: left.Seconds()}
			d.tape.Add(r)
			return func(status int, digest string, err error) {
				r.Status = status
				if status == 200 {
					r.Digest = digest
				}
				switch {
				case status == 0 && errors.Is(err, context.Canceled):
					r.Kind = invariants.Left
				case status == 0 && errors.Is(err, context.DeadlineExceeded):
					return // nobody answered in time: the referee finds no answer
				case status == 0:
					r.Kind = invariants.Answered
					r.Outcome = invariants.Refused
					d.fail("%s: %v", r.Event, err)
				default:
					r.Kind, r.Outcome = invariants.Answered, outcome(status)
				}
				d.tape.Add(r)
			}
		}}
}

func (d *day) front(addr string) string {
	for i, a := range d.addrs {
		if a == addr {
			return fmt.Sprintf("front-%d", i)
		}
	}
	return addr
}

func outcome(status int) string {
	switch status {
	case 200:
		return invariants.Handled
	case 503, 429:
		return invariants.Deferred
	case 502, 504:
		return invariants.DeadLettered
	}
	return invariants.Refused
}

func (d *day) ended(o schedule.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.firings++
	slot := int(d.tape.Now()-o.Latency.Seconds()) / 2
	x := d.stretch[slot]
	x[0]++
	if o.Status == 200 && o.Latency.Seconds() <= targetTime {
		x[1]++
	}
	d.stretch[slot] = x
	if o.Status == 200 {
		d.latency.RecordValue(max(o.Latency.Microseconds(), 1))
		if o.Latency.Seconds() <= targetTime {
			d.inTime++
		}
	}
	if outcome(o.Status) == invariants.Refused && o.Status != 0 {
		d.failures = append(d.failures, fmt.Sprintf("%s: status %d", o.ID, o.Status))
	}
}

// steady is the door counters and tills: events at random times, of the types by the mix, for functions of uneven
// popularity.
func (d *day) steady(ctx context.Context) {
	s := d.script
	rng := rand.New(rand.NewPCG(d.seed, 0x57ea))
	zipf := rand.NewZipf(rng, 1.2, 3, uint64(s.Functions-1))
	c := d.client("/tills", s.Repeats)
	var out sync.WaitGroup
	defer out.Wait()
	types := []string{"shop-event", "till-entry", "price-reset"}
	for no := 0; s.Rate > 0; no++ {
		rate := s.Rate * float64(d.boost.Load()) / 100
		if !d.sleep(ctx, rng.ExpFloat64()/rate) {
			return
		}
		pick, kind := rng.Float64(), types[0]
		for _, t := range types {
			if kind = t; pick < s.Mix[t] {
				break
			}
			pick -= s.Mix[t]
		}
		fn := d.functions[zipf.Uint64()].Name
		if rng.Int64N(1000) < d.hot.Load() {
			fn = d.functions[s.Functions+rng.IntN(3)].Name
		}
		e := &schedule.Entry{Class: kind, Function: fn, Tenant: []string{"kitaboshi-wear", "minato-shoes"}[rng.IntN(2)],
			Data: []byte(`{"count":1}`)}
		f := schedule.Firing{Entry: e, Due: time.Now(), ID: fmt.Sprintf("e-%d", no)}
		leave := rng.Int64N(1000) < d.leaving.Load()
		after := time.Duration(rng.Int64N(int64(60 * time.Millisecond)))
		out.Add(1)
		go func() {
			defer out.Done()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if leave {
				time.AfterFunc(after, cancel)
			}
			o := c.Fire(ctx, f)
			for d.abuse.Load() && o.Status == 503 && o.Latency.Seconds() < maxAge { // it comes back at once, as another event
				again := f
				again.ID += "+"
				f = again
				o = c.Fire(ctx, again)
			}
			if !leave {
				d.ended(o)
			}
		}()
	}
	<-ctx.Done()
}

// timers is one timer client; all of them have the same crontab, so every minute is fired by each of them.
func (d *day) timers(ctx context.Context, no int) {
	s := d.script
	rng := rand.New(rand.NewPCG(d.seed, 0x71e5))
	var tab strings.Builder
	tab.WriteString("CRON_TZ=UTC\n")
	types := []string{"shop-event", "till-entry", "price-reset"}
	for i := range s.Timers {
		fmt.Fprintf(&tab, "* * * * * %s %s kitaboshi-wear %%{\"entry\":%d}\n", types[rng.IntN(3)], d.functions[i%s.Functions].Name, i)
	}
	// The clock of the timers is so set that midnight comes when the script says.
	midnight := s.Seconds + 10
	for _, t := range s.Troubles {
		if t.Kind == "midnight" {
			midnight = t.At
			for i := range int(t.Times) {
				fmt.Fprintf(&tab, "0 0 * * * %s %s minato-shoes %%{\"reset\":%d}\n", types[rng.IntN(3)], d.functions[i%s.Functions].Name, i)
			}
		}
	}
	entries, err := schedule.Parse(strings.NewReader(unique(tab.String())), "drill")
	if err != nil {
		d.fail("crontab: %v", err)
		return
	}
	// One client runs ahead of the other by anything up to a second.
	lag := []float64{0, rng.Float64(), 0, 1}[no%4]
	base := time.Date(2026, 12, 24, 0, 0, 0, 0, time.UTC)
	began := time.Now()
	clock := func() time.Time {
		minutes := (time.Since(began).Seconds() - lag - midnight) / s.Minute
		return base.Add(time.Duration(minutes * float64(time.Minute)))
	}
	until := func(t time.Time) time.Duration { return time.Duration(float64(t.Sub(clock())) / 60 * s.Minute) }
	if s.Ahead > 0 && no == 0 {
		go d.ahead(ctx, entries, clock)
	}
	c := d.client("/timers/drill", s.Repeats)
	plan := schedule.NewPlan(entries, clock())
	c.OnResult = d.ended
	c.Run(ctx, plan, clock, until)
}

// ahead has functions loaded whose timers are due soon, as the box does.
func (d *day) ahead(ctx context.Context, entries []schedule.Entry, clock func() time.Time) {
	span := time.Duration(d.script.Ahead / d.script.Minute * float64(time.Minute))
	for d.sleep(ctx, 0.1) {
		for _, f := range schedule.DueWithin(entries, clock(), span) {
			front := schedule.RendezvousOrder(d.addrs, f.ID)[0]
			for i, a := range d.addrs {
				if a == front {
					if _, err := d.fronts[i].Preload(f.Entry.Class, f.Entry.Function); err != nil {
						return
					}
				}
			}
		}
	}
}

// unique drops lines that stand twice, as entries of a crontab may not.
func unique(tab string) string {
	seen := map[string]bool{}
	var out strings.Builder
	for _, line := range strings.SplitAfter(tab, "\n") {
		key, _, _ := strings.Cut(line, "%")
		if !seen[key] {
			out.WriteString(line)
		}
		seen[key] = true
	}
	return out.String()
}
