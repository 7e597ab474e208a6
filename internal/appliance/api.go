package appliance

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/schedule"
)

// writer is the console that gives orders now; others are told of it.
type writer struct {
	name string
	at   time.Time
	seen time.Time
}

const writerFor = 15 * time.Second // a console that gave no order for so long gives way to another

// Status is the box at a glance.
type Status struct {
	Name       string             `json:"name"`
	State      string             `json:"state"`
	Reason     string             `json:"reason,omitempty"`
	Process    int                `json:"process"`
	Uptime     float64            `json:"uptime_s"`
	DrainLeft  float64            `json:"drain_left_s,omitempty"`
	FrontEnds  []string           `json:"front_ends"`
	Open       int                `json:"open"`
	Out        int                `json:"out"`
	Totals     map[string]uint64  `json:"totals"`
	Latency    map[string]float64 `json:"latency_ms"`
	Seconds    []second           `json:"seconds"` // the last minute, the oldest first
	Workers    map[string]int     `json:"workers"`
	Handlers   int                `json:"handlers"`
	Clients    int                `json:"clients"`
	Store      *StoreView         `json:"store,omitempty"`
	Writer     string             `json:"writer,omitempty"`
	WriterIdle float64            `json:"writer_idle_s,omitempty"`
	Tasks      []TaskView         `json:"chores"`
}

// StoreView is the durable state at a glance.
type StoreView struct {
	Bytes    uint64 `json:"bytes"`
	Notes    int    `json:"notes"`
	Syncs    int    `json:"syncs"`
	Failed   string `json:"failed,omitempty"`
	SetAside string `json:"set_aside,omitempty"`
	Restored int    `json:"restored"`
}

// Worker is one worker as the front ends believe it to be.
type Worker struct {
	Name    string  `json:"name"`
	State   string  `json:"state"` // serving, cold, set-aside, draining
	Ordered bool    `json:"drained_by_order"`
	Kind    string  `json:"kind,omitempty"`
	Zone    string  `json:"zone,omitempty"`
	Out     int     `json:"out"`
	Load    float64 `json:"load"`
	Warmth  float64 `json:"warmth"`
	Room    float64 `json:"room"`
	Copies  int     `json:"copies"`
	Loading int     `json:"loading"`
}

// FunctionStatus is one function as the front ends believe it to be.
type FunctionStatus struct {
	Name    string   `json:"name"`
	Warm    []string `json:"warm"`
	Loading []string `json:"loading,omitempty"`
	Lanes   int      `json:"lanes"`
	Out     int      `json:"out"`
	Waiting int      `json:"waiting"`
	Median  float64  `json:"median_ms"`
}

// RequestStatus is one event, open or lately ended.
type RequestStatus struct {
	ID       string               `json:"id"`
	Source   string               `json:"source"`
	Type     string               `json:"type"`
	Function string               `json:"function"`
	Tenant   string               `json:"tenant,omitempty"`
	Open     bool                 `json:"open"`
	Outcome  string               `json:"outcome,omitempty"`
	Cause    string               `json:"cause,omitempty"`
	Worker   string               `json:"worker,omitempty"`
	Launches int                  `json:"launches"`
	Ago      float64              `json:"ago_s"`            // since it came in
	Took     float64              `json:"took_s,omitempty"` // to its end
	Left     float64              `json:"left_s,omitempty"` // of its client's time
	Steps    []dispatch.TraceStep `json:"steps,omitempty"`
	Front    string               `json:"front_end"`
}

// Timer is one entry of the crontab.
type Timer struct {
	Entry string     `json:"entry"`
	Spec  string     `json:"spec"`
	Zone  string     `json:"zone"`
	Held  bool       `json:"held"`
	Last  *time.Time `json:"last,omitempty"`
	Next  *time.Time `json:"next,omitempty"`
}

// Command is what a console asks for.
type Command struct {
	Order   string `json:"order"` // drain, return, hold, fire, unload, stop
	Target  string `json:"target,omitempty"`
	Now     bool   `json:"now,omitempty"`     // stop: do not wait for open events
	Release bool   `json:"release,omitempty"` // hold: let the entry fire again
	Console string `json:"console"`           // who asks
}

// listen opens the console's socket. One that is left over from a killed process is removed; one that answers means
// that the box runs already.
func (b *Appliance) listen() error {
	c := b.cfg.Console
	if c == nil {
		return nil
	}
	path := b.cfg.Path(c.Socket)
	if conn, err := net.DialTimeout("unix", path, time.Second); err == nil {
		conn.Close()
		return fmt.Errorf("console socket %s: another box answers there", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return fmt.Errorf("console socket %s: something else stands there", path)
		}
		os.Remove(path)
	}
	mode := os.FileMode(0o600)
	if c.Mode != "" {
		v, err := strconv.ParseUint(c.Mode, 8, 32)
		if err != nil {
			return fmt.Errorf("console mode %q: %w", c.Mode, err)
		}
		mode = os.FileMode(v)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("console socket: %w", err)
	}
	if err := os.Chmod(path, mode); err != nil {
		l.Close()
		return fmt.Errorf("console socket: %w", err)
	}
	server := &http.Server{Handler: b.api(), ReadHeaderTimeout: 5 * time.Second}
	go server.Serve(l)
	b.hushed = server.Close
	return nil
}

func (b *Appliance) hush() {
	if b.hushed != nil {
		b.hushed()
	}
}

func listenTCP(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (b *Appliance) api() http.Handler {
	mux := http.NewServeMux()
	get := func(path string, f func(r *http.Request) (any, error)) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			v, err := f(r)
			reply(w, v, err)
		})
	}
	get("/v1/status", func(*http.Request) (any, error) { return b.status(), nil })
	get("/v1/workers", func(*http.Request) (any, error) { return b.workers(), nil })
	get("/v1/handlers", func(*http.Request) (any, error) { return b.handlers(), nil })
	get("/v1/registry", func(*http.Request) (any, error) { return b.reg.list(), nil })
	get("/v1/trail", func(*http.Request) (any, error) { return b.reg.trail(), nil })
	mux.HandleFunc("POST /v1/registry", func(w http.ResponseWriter, r *http.Request) {
		var c Change
		d := json.NewDecoder(io.LimitReader(r.Body, 1<<20))
		d.DisallowUnknownFields()
		if err := d.Decode(&c); err != nil {
			reply(w, nil, refusal{http.StatusBadRequest, "change: " + err.Error()})
			return
		}
		b.mu.Lock()
		state := b.life.State
		b.mu.Unlock()
		if state != Serving {
			reply(w, nil, fmt.Errorf("no change of the registry while the box is %s", state))
			return
		}
		said, err := b.reg.change(c)
		if err == nil {
			b.log.Info("handlers", "said", said, "who", c.Actor)
		}
		reply(w, map[string]string{"said": said}, err)
	})
	get("/v1/timers", func(*http.Request) (any, error) { return b.timers(), nil })
	get("/v1/events", func(r *http.Request) (any, error) {
		most := 100
		if v := r.URL.Query().Get("most"); v != "" {
			n, err := strconv.Atoi(v)
			if err != nil || n < 1 {
				return nil, refusal{http.StatusBadRequest, fmt.Sprintf("most=%s is not a number above 0", v)}
			}
			most = n
		}
		return b.events(most), nil
	})
	get("/v1/explain", func(r *http.Request) (any, error) { return b.explain(r.URL.Query().Get("id")) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		if t := b.telling(); t != nil {
			t.ServeHTTP(w, r)
		}
	})
	mux.HandleFunc("POST /v1/orders", func(w http.ResponseWriter, r *http.Request) {
		var o Command
		d := json.NewDecoder(io.LimitReader(r.Body, 1<<16))
		d.DisallowUnknownFields()
		if err := d.Decode(&o); err != nil {
			reply(w, nil, refusal{http.StatusBadRequest, "order: " + err.Error()})
			return
		}
		said, err := b.order(o)
		reply(w, map[string]string{"said": said}, err)
	})
	return mux
}

func (b *Appliance) telling() http.Handler {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.teller == nil || b.life.State < Serving {
		return nil
	}
	return b.teller.Handler()
}

// refusal is an answer to a console that its request can't be done.
type refusal struct {
	status int
	why    string
}

func (r refusal) Error() string { return r.why }

func reply(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		status := http.StatusConflict
		var r refusal
		if errors.As(err, &r) {
			status = r.status
		}
		w.WriteHeader(status)
		v = map[string]string{"error": err.Error()}
	}
	json.NewEncoder(w).Encode(v)
}

// order carries out what a console asks for: one console at a time, the others are told which.
func (b *Appliance) order(o Command) (string, error) {
	if o.Console == "" {
		o.Console = "unnamed"
	}
	b.mu.Lock()
	now := time.Now()
	if b.writer.name != "" && b.writer.name != o.Console && now.Sub(b.writer.seen) < writerFor {
		held := b.writer.name
		b.mu.Unlock()
		return "", fmt.Errorf("console %s gives orders now; it gives way %v after its last", held, writerFor)
	}
	if err := b.life.Allows(o.Order); err != nil {
		b.mu.Unlock()
		return "", err
	}
	if b.writer.name != o.Console {
		b.writer = writer{name: o.Console, at: now}
	}
	b.writer.seen = now
	b.mu.Unlock()
	b.log.Info("order", "order", o.Order, "target", o.Target, "console", o.Console, "now", o.Now)
	switch o.Order {
	case "stop":
		if o.Now {
			b.move(ImmediateStopRequested, "console "+o.Console)
			return "the box answers what is open and stops", nil
		}
		b.move(StopRequested, "console "+o.Console)
		return fmt.Sprintf("the box drains for up to %v s and stops", b.cfg.StopWithin), nil
	case "drain", "return":
		known := false
		for _, f := range b.serving() {
			k, err := f.DrainWorker(control.WorkerID(o.Target), o.Order == "drain")
			if err != nil {
				return "", err
			}
			known = known || k
		}
		if !known {
			return "", refusal{http.StatusNotFound, fmt.Sprintf("worker %q is not in the list", o.Target)}
		}
		left := 0
		for _, w := range b.workers() {
			if w.State == "serving" || w.State == "cold" || w.State == "set-aside" {
				left++
			}
		}
		if o.Order == "drain" && left == 0 {
			return fmt.Sprintf("worker %s drains; it was the last one, and every event is deferred now", o.Target), nil
		}
		return fmt.Sprintf("worker %s: %s", o.Target, map[string]string{"drain": "drains", "return": "is as the list says"}[o.Order]), nil
	case "unload":
		asked := 0
		for _, f := range b.serving() {
			n, err := f.UnloadReplicas(o.Target)
			if err != nil {
				return "", err
			}
			asked += n
		}
		if asked == 0 {
			return "", refusal{http.StatusNotFound, fmt.Sprintf("no copy of %q is known of", o.Target)}
		}
		return fmt.Sprintf("%d workers were asked to let idle copies of %s go", asked, o.Target), nil
	}
	return b.timerOrder(o)
}

func (b *Appliance) timerOrder(o Command) (string, error) {
	b.mu.Lock()
	var entry *schedule.Entry
	var names []string
	for i := range b.list {
		if key := b.list[i].Key(); key == o.Target || strings.Contains(key, o.Target) && o.Target != "" {
			entry = &b.list[i]
			names = append(names, key)
			if key == o.Target {
				names = names[:1]
				break
			}
		}
	}
	if len(names) != 1 {
		b.mu.Unlock()
		if len(names) > 1 {
			return "", refusal{http.StatusBadRequest, fmt.Sprintf("%q fits %d timer entries, %s and others", o.Target, len(names), names[0])}
		}
		return "", refusal{http.StatusNotFound, fmt.Sprintf("no timer entry fits %q", o.Target)}
	}
	key := entry.Key()
	if o.Order == "hold" {
		b.held[key] = !o.Release
		b.mu.Unlock()
		if o.Release {
			return "entry " + key + " fires again", nil
		}
		return "entry " + key + " is held", nil
	}
	b.mu.Unlock()
	due := time.Now().Truncate(time.Minute)
	f := schedule.Firing{Entry: entry, Due: due, ID: schedule.FiringID(entry, due)}
	if err := b.fire([]schedule.Firing{f}); err != nil {
		return "", err
	}
	return "fired " + f.ID, nil
}

func (b *Appliance) status() Status {
	b.mu.Lock()
	s := Status{Name: b.cfg.Name, State: b.life.State.String(), Reason: b.life.Reason, Process: os.Getpid(), Uptime: b.seconds(),
		FrontEnds: slices.Clone(b.addrs), Totals: map[string]uint64{}, Latency: map[string]float64{}, Workers: map[string]int{}}
	if b.life.State == Draining {
		s.DrainLeft = max(time.Until(b.until).Seconds(), 0)
	}
	ring := b.ended
	for i := range min(ring.at, len(ring.ring)) {
		s.Seconds = append(s.Seconds, ring.ring[(ring.at-min(ring.at, len(ring.ring))+i)%len(ring.ring)])
	}
	for _, q := range []float64{50, 90, 99} {
		s.Latency[fmt.Sprintf("p%g", q)] = float64(b.ended.latency.ValueAtQuantile(q)) / 1000
	}
	if b.writer.name != "" && time.Since(b.writer.seen) < writerFor {
		s.Writer, s.WriterIdle = b.writer.name, time.Since(b.writer.seen).Seconds()
	}
	if b.chores != nil {
		s.Tasks = b.chores.View(b.seconds())
	}
	store, state := b.store, b.life.State
	b.mu.Unlock()
	for _, f := range b.serving() {
		n, clients, _, err := f.Counts()
		if err != nil {
			continue
		}
		s.Open, s.Out, s.Clients = s.Open+n.Open, s.Out+n.InFlight, s.Clients+clients
		for name, v := range map[string]uint64{"taken": n.Accepted, "joined": n.Deduplicated, "from_kept": n.Replayed, "handled": n.Succeeded,
			"deferred": n.Rejected, "dead_lettered": n.Failed, "launches": n.Attempts, "orders": n.LoadCommands,
			"abandoned": n.TimedOut, "hung_up": n.Cancelled} {
			s.Totals[name] += v
		}
	}
	for _, w := range b.workers() {
		s.Workers[w.State]++
	}
	s.Handlers = len(b.handlers())
	if store != nil && state > Starting && state < Persisting {
		v := &StoreView{Bytes: store.Size(), Notes: int(store.Records.Load()), Syncs: int(store.Syncs.Load()), SetAside: b.found.QuarantinePath, Restored: len(b.found.Records)}
		if err := store.Err(); err != nil {
			v.Failed = err.Error()
		}
		s.Store = v
	}
	return s
}

// workers puts together what the front ends believe; each sees only its own traffic.
func (b *Appliance) workers() []Worker {
	list := []Worker{}
	at := map[string]int{}
	for _, f := range b.serving() {
		ordered := f.DrainedWorkers()
		f.DoDispatcher(func(c *dispatch.Dispatcher) {
			views, _ := c.RoutingView()
			for _, v := range views {
				i, known := at[string(v.ID)]
				if !known {
					i = len(list)
					at[string(v.ID)] = i
					list = append(list, Worker{Name: string(v.ID), Kind: string(v.MachineType), Zone: string(v.Zone)})
				}
				w := &list[i]
				switch {
				case v.State == control.Draining:
					w.State = "draining"
				case v.EjectedFor > 0:
					w.State = "set-aside"
				case w.State == "":
					w.State = "serving"
					if v.WarmUpProgress < 1 {
						w.State = "cold"
					}
				}
				w.Ordered = slices.Contains(ordered, w.Name)
				w.Out, w.Room, w.Load = w.Out+v.InFlight, w.Room+v.ConcurrencyLimit, max(w.Load, v.Load)
				w.Warmth, w.Copies, w.Loading = v.WarmUpProgress, max(w.Copies, v.Replicas), w.Loading+v.PendingLoads
			}
		})
	}
	return list
}

func (b *Appliance) handlers() []FunctionStatus {
	list := []FunctionStatus{}
	at := map[string]int{}
	for _, f := range b.serving() {
		f.DoDispatcher(func(c *dispatch.Dispatcher) {
			_, views := c.RoutingView()
			for _, v := range views {
				i, known := at[string(v.ID)]
				if !known {
					i = len(list)
					at[string(v.ID)] = i
					list = append(list, FunctionStatus{Name: string(v.ID), Lanes: v.Concurrency, Warm: []string{}})
				}
				h := &list[i]
				for _, wk := range v.Replicas {
					if !slices.Contains(h.Warm, string(wk)) {
						h.Warm = append(h.Warm, string(wk))
					}
				}
				if v.PendingLoadOn != "" && !slices.Contains(h.Loading, string(v.PendingLoadOn)) {
					h.Loading = append(h.Loading, string(v.PendingLoadOn))
				}
				h.Out, h.Waiting = h.Out+v.InFlight, h.Waiting+v.Waiters
				h.Median = max(h.Median, v.MedianLatency*1000)
			}
		})
	}
	slices.SortFunc(list, func(a, b FunctionStatus) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (b *Appliance) events(most int) []RequestStatus {
	var list []RequestStatus
	for _, f := range b.serving() {
		f.DoDispatcher(func(c *dispatch.Dispatcher) {
			for _, t := range c.OpenTraces() {
				list = append(list, shown(&t, f.Addr()))
			}
			for _, t := range c.EndedTraces() {
				list = append(list, shown(t, f.Addr()))
			}
		})
	}
	slices.SortStableFunc(list, func(a, b RequestStatus) int {
		switch {
		case a.Open != b.Open && a.Open:
			return -1
		case a.Open != b.Open:
			return 1
		case a.Ago < b.Ago:
			return -1
		case a.Ago > b.Ago:
			return 1
		}
		return 0
	})
	return append([]RequestStatus{}, list[:min(len(list), most)]...)
}

func (b *Appliance) explain(id string) (any, error) {
	for _, f := range b.serving() {
		var t dispatch.Trace
		found := false
		f.DoDispatcher(func(c *dispatch.Dispatcher) { t, found = c.Explain(id) })
		if found {
			e := shown(&t, f.Addr())
			e.Steps = t.Steps
			return e, nil
		}
	}
	return nil, refusal{http.StatusNotFound, fmt.Sprintf("no event %q is open or ended lately", id)}
}

func shown(t *dispatch.Trace, front string) RequestStatus {
	now := netNow()
	e := RequestStatus{ID: t.Identity.ID, Source: t.Identity.Source, Type: t.Class, Function: t.Function, Tenant: t.Tenant, Open: t.Open,
		Ago: now - t.StartedAt, Front: front}
	a := t.Response
	e.Worker, e.Launches = a.Worker, a.Attempts
	if t.Open {
		e.Left = t.TimeLeft
		return e
	}
	e.Outcome, e.Cause, e.Took = a.Kind.String(), a.Cause.String(), a.Elapsed
	return e
}

func (b *Appliance) timers() []Timer {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []Timer{}
	for i := range b.list {
		e := &b.list[i]
		t := Timer{Entry: e.Key(), Spec: e.Spec, Zone: e.Zone.String(), Held: b.held[e.Key()]}
		if last, ok := b.fired[e.Key()]; ok {
			t.Last = &last
		}
		if next := e.Next(time.Now()); !next.IsZero() {
			t.Next = &next
		}
		list = append(list, t)
	}
	return list
}
