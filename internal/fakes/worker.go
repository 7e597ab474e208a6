package fakes

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"streamcleat/internal/invariants"
)

// Spec is what a worker is. Times are seconds.
type Spec struct {
	Name         string
	Addr         string // host:port; port 0 takes a free one, which it keeps over restarts
	Kind         string
	Cores        int
	Speed        float64
	Memory       float64 // MB for copies
	Queue        int     // events that wait
	LoadsAtOnce  int
	Keep         float64 // an idle copy is let go after this
	ColdShare    float64
	WarmWithin   float64
	FallFactor   float64
	FallWindow   float64
	LoadsOnEvent bool // an event for a function that is not loaded loads it; else it is answered 404
	MeanWork     float64
	Functions    []Function
	Store        *Store
	Drops        *Memory         // repeats of keyed events
	Keyed        map[string]bool // event types whose repeats are dropped
	Tape         *invariants.Tape
	Seed         uint64
}

// Fault is what goes wrong with a worker, for a while or until it is lifted.
type Fault struct {
	Kind   string  `json:"kind"` // hang, lose, errors, slow, stall, reset, cut, late-reports, wrong-digest, liar, errors-of
	For    float64 `json:"for"`  // seconds; 0: until lifted
	Part   float64 `json:"part"` // share of the events that it meets; 0: all
	Times  float64 `json:"times"`
	Bytes  int     `json:"bytes"`  // of the answer that are sent before a cut
	Digest string  `json:"digest"` // version that fails
}

var faultKinds = map[string]bool{"hang": true, "lose": true, "errors": true, "slow": true, "stall": true,
	"reset": true, "cut": true, "late-reports": true, "wrong-digest": true, "liar": true,
	"errors-of": true}

type copies struct {
	fn       *Function
	digest   string // of the version that the copies are, "" for a function without
	standing int
	loading  int
	busy     int
	idle     time.Time
	image    bool // on disk: a load needs no fetch
	void     int  // standing copies of a release that went void, let go when they fall idle
}

type task struct {
	c      *copies
	warmth string
	start  chan string // "run", or why not
	done   bool
}

// Worker is one stand-in worker.
type Worker struct {
	spec    Spec
	mu      sync.Mutex
	rng     *rand.Rand
	byName  map[string]*copies
	order   []*copies
	waiting []*task
	running int
	loads   int
	faults  map[string]activeFault
	began   time.Time
	cold    bool
	pushes  []time.Time
	down    bool
	life    int
	stop    chan struct{}
	http    *http.Server
	addr    string
	conns   map[net.Conn]bool
	report  string
	told    time.Time
	Loads   int // begun since the first start
}

type activeFault struct {
	Fault
	until time.Time
}

// NewWorker starts a worker that has run for long: warm, and empty.
func NewWorker(spec Spec) (*Worker, error) {
	w := &Worker{spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, 0x30e4)), addr: spec.Addr}
	if w.addr == "" {
		w.addr = "127.0.0.1:0"
	}
	if err := w.open(false); err != nil {
		return nil, fmt.Errorf("worker %s: %w", spec.Name, err)
	}
	return w, nil
}

func (w *Worker) open(cold bool) error {
	var l net.Listener
	var err error
	for try := 0; try < 50; try++ { // the port may be held for moments after a crash
		if l, err = net.Listen("tcp", w.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = l.Addr().String()
	w.byName, w.order = map[string]*copies{}, nil
	for i := range w.spec.Functions {
		c := &copies{fn: &w.spec.Functions[i]}
		w.byName[c.fn.Name] = c
		w.order = append(w.order, c)
	}
	w.waiting, w.running, w.loads, w.pushes, w.down = nil, 0, 0, nil, false
	w.faults, w.conns = map[string]activeFault{}, map[net.Conn]bool{}
	w.began, w.cold, w.stop = time.Now(), cold, make(chan struct{})
	w.life++
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/models/{f}/infer", w.infer)
	mux.HandleFunc("POST /v2/models/{f}/versions/{v}/infer", w.infer)
	mux.HandleFunc("GET /v2/models/{f}/ready", w.ready)
	mux.HandleFunc("GET /v2/health/ready", func(rw http.ResponseWriter, _ *http.Request) { rw.Write([]byte("{}")) })
	mux.HandleFunc("POST /v2/repository/models/{f}/load", w.load)
	mux.HandleFunc("POST /v2/repository/models/{f}/unload", w.unload)
	mux.HandleFunc("POST /v2/repository/index", w.index)
	mux.HandleFunc("POST /standin/fault", w.fault)
	w.http = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0), ConnState: w.state}
	go w.http.Serve(l)
	go w.lapse(w.stop)
	if cold {
		w.spec.Tape.Add(invariants.Record{Kind: invariants.Born, Worker: w.spec.Name})
	}
	return nil
}

func (w *Worker) state(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s {
	case http.StateNew:
		w.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// Addr is where it is reached, also while it is down.
func (w *Worker) Addr() string { return w.addr }

// Name is its name in the list.
func (w *Worker) Name() string { return w.spec.Name }

// Began is when its process started; cold tells that it did so within the recording.
func (w *Worker) Began() (at time.Time, cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.began, w.cold
}

// Crash kills the process: connections break, copies and images are gone.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.crash()
	w.mu.Unlock()
}

func (w *Worker) crash() {
	if w.down {
		return
	}
	w.down = true
	close(w.stop)
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
	}
	go w.http.Close()
}

// Restart starts the process anew at the same address, cold.
func (w *Worker) Restart() error {
	w.Crash()
	return w.open(true)
}

// Close ends the worker.
func (w *Worker) Close() { w.Crash() }

// Inject makes something go wrong.
func (w *Worker) Inject(f Fault) error {
	if !faultKinds[f.Kind] {
		return fmt.Errorf("fault %q is not known", f.Kind)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	until := time.Now().Add(1000 * time.Hour)
	if f.For > 0 {
		until = time.Now().Add(seconds(f.For))
	}
	w.faults[f.Kind] = activeFault{f, until}
	return nil
}

// Void lets go all copies and images of functions: idle copies at once, those at work when they are done.
func (w *Worker) Void(names map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.order {
		if names[c.fn.Name] {
			c.image = false
			atWork := (c.busy + c.fn.Lanes - 1) / c.fn.Lanes
			c.void = min(atWork, c.standing)
			c.standing = c.void
		}
	}
}

func (w *Worker) active(kind string) (activeFault, bool) {
	f, ok := w.faults[kind]
	if !ok || time.Now().After(f.until) || f.Part > 0 && w.rng.Float64() >= f.Part {
		return f, false
	}
	return f, true
}

func (w *Worker) warmth() float64 {
	age := time.Since(w.began).Seconds()
	if !w.cold || age >= w.spec.WarmWithin {
		return 1
	}
	return w.spec.ColdShare + (1-w.spec.ColdShare)*age/w.spec.WarmWithin
}

// push counts what reaches a cold worker and pushes it over where that is too much.
func (w *Worker) push() bool {
	if w.warmth() >= 1 || w.spec.FallFactor == 0 {
		return false
	}
	now := time.Now()
	w.pushes = append(w.pushes, now)
	for now.Sub(w.pushes[0]) > seconds(w.spec.FallWindow) {
		w.pushes = w.pushes[1:]
	}
	can := float64(w.spec.Cores) * w.spec.Speed * w.warmth() * w.spec.FallWindow
	if float64(len(w.pushes)-2)*w.spec.MeanWork <= w.spec.FallFactor*can {
		return false
	}
	w.spec.Tape.Add(invariants.Record{Kind: invariants.Down, Worker: w.spec.Name})
	w.crash()
	return true
}

func decoded(v string) string {
	if s, err := url.PathUnescape(v); err == nil {
		return s
	}
	return v
}

func (w *Worker) infer(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	id := decoded(r.Header.Get("Ce-Source")) + "#" + decoded(r.Header.Get("Ce-Id"))
	kind := decoded(r.Header.Get("Ce-Type"))
	asked := strings.Trim(r.Header.Get("If-Match"), `"`)
	rec := invariants.Record{Worker: w.spec.Name, Event: id, Type: kind, Function: r.PathValue("f"), Front: front(r),
		Call: w.spec.Tape.Call(), Digest: asked}
	note := func(k invariants.Kind, status int) {
		rec.Kind, rec.Status = k, status
		w.spec.Tape.Add(rec)
	}
	note(invariants.Launched, 0)
	status := 0
	defer func() { note(invariants.Ended, status) }()
	if err != nil {
		abort()
	}
	gone := r.Context().Done()
	w.mu.Lock()
	if w.push() {
		w.mu.Unlock()
		abort()
	}
	for _, silent := range []string{"hang", "stall"} {
		if f, on := w.active(silent); on {
			stop := w.stop
			w.mu.Unlock()
			select {
			case <-gone:
				abort()
			case <-stop:
				abort()
			case <-time.After(time.Until(f.until)):
			}
			if silent == "hang" { // it takes events and answers none, not even when it is well again
				select {
				case <-gone:
				case <-stop:
				}
				abort()
			}
			w.mu.Lock()
		}
	}
	if _, on := w.active("reset"); on {
		w.mu.Unlock()
		sever(rw, nil)
		return
	}
	f, on := w.active("errors-of")
	on = on && f.Digest == asked
	if _, all := w.active("errors"); all || on {
		w.mu.Unlock()
		status = 500
		w.say(rw, 500, "", map[string]any{"error": "the function failed"})
		return
	}
	t, refusal := w.enqueue(r.PathValue("f"), asked)
	stop := w.stop
	w.mu.Unlock()
	if t == nil {
		status = refusal
		w.say(rw, refusal, "", map[string]any{"error": http.StatusText(refusal)})
		return
	}
	select {
	case why := <-t.start:
		if why != "run" {
			status = 404
			w.say(rw, 404, "load-failed", map[string]any{"error": "the load failed"})
			return
		}
	case <-gone:
		w.leave(t)
		abort()
	case <-stop:
		abort()
	}
	first := !w.spec.Keyed[kind] || w.spec.Drops == nil || w.spec.Drops.First(id)
	if first {
		rec.Digest = t.c.digest
		note(invariants.Ran, 0)
	}
	w.mu.Lock()
	took := t.c.fn.Work / w.spec.Speed / w.warmth() * (0.7 + 0.6*w.rng.Float64())
	if f, on := w.active("slow"); on {
		took *= max(f.Times, 1)
	}
	w.mu.Unlock()
	ended := false
	select {
	case <-time.After(seconds(took)):
		ended = true
	case <-stop:
	}
	w.mu.Lock()
	if ended {
		w.finish(t)
	}
	_, lose := w.active("lose")
	cut, cuts := w.active("cut")
	w.mu.Unlock()
	switch {
	case !ended:
		abort()
	case lose: // it ran, and nobody learns of it
		select {
		case <-gone:
		case <-stop:
		}
		abort()
	case cuts:
		sever(rw, []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 400\r\n\r\n{\"a\":1}")[:min(cut.Bytes, 70)])
	default:
		status = 200
		w.prove(rw, t.c.digest)
		answer := map[string]any{"model_name": t.c.fn.Name, "id": decoded(r.Header.Get("Ce-Id")), "outputs": []any{}}
		if !first {
			answer["parameters"] = map[string]any{"repeat": true}
		}
		if len(body) > 0 {
			answer["parameters"] = map[string]any{"bytes": len(body)}
		}
		w.say(rw, 200, t.warmth, answer)
	}
}

// prove tells which version's copy ran or stands. A liar tells another.
func (w *Worker) prove(rw http.ResponseWriter, digest string) {
	if digest == "" {
		return
	}
	w.mu.Lock()
	if _, on := w.active("liar"); on {
		digest = digest[:len(digest)-4] + "0000"
	}
	w.mu.Unlock()
	rw.Header().Set("Docker-Content-Digest", digest)
}

// find is where a version's copies are counted; other is another version of the function that stands.
func (w *Worker) find(name, digest string) (c, other *copies) {
	base := w.byName[name]
	if base == nil || digest == "" {
		return base, nil
	}
	c = w.byName[name+"@"+digest]
	if c == nil {
		c = &copies{fn: base.fn, digest: digest}
		w.byName[name+"@"+digest] = c
		w.order = append(w.order, c)
	}
	for _, o := range w.order {
		if o != c && o.fn == base.fn && o.standing > 0 {
			other = o
		}
	}
	return c, other
}

// abort breaks the connection; a handler that just returned would have answered 200.
func abort() { panic(http.ErrAbortHandler) }

func front(r *http.Request) string {
	_, name, _ := strings.Cut(r.Header.Get("Via"), " ")
	return name
}

// sever sends some bytes and breaks the connection.
func sever(rw http.ResponseWriter, some []byte) {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if len(some) > 0 {
		c.Write(some)
		c.Close()
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (w *Worker) say(rw http.ResponseWriter, status int, warmth string, v any) {
	h := rw.Header()
	h.Set("Content-Type", "application/json")
	if warmth != "" {
		h.Set("Server-Timing", warmth)
	}
	w.mu.Lock()
	if _, late := w.active("late-reports"); !late || w.report == "" {
		w.report = fmt.Sprintf("TEXT cpu_utilization=%.2f, named_metrics.running=%d, named_metrics.waiting=%d",
			float64(w.running)/float64(w.spec.Cores), w.running, len(w.waiting))
	}
	h.Set("Endpoint-Load-Metrics", w.report)
	w.mu.Unlock()
	if status == 503 {
		h.Set("Retry-After", "1")
	}
	rw.WriteHeader(status)
	json.NewEncoder(rw).Encode(v)
}

// enqueue puts an event in line, or tells the status that turns it away.
func (w *Worker) enqueue(name, digest string) (*task, int) {
	c, other := w.find(name, digest)
	if c == nil {
		return nil, 404
	}
	if c.standing+c.loading == 0 && other != nil && !w.spec.LoadsOnEvent {
		return nil, 412 // it holds another version, which must not run this
	}
	t := &task{c: c, warmth: "warm", start: make(chan string, 1)}
	if c.standing == 0 {
		t.warmth = "joined"
		if c.loading == 0 {
			if !w.spec.LoadsOnEvent {
				return nil, 404
			}
			t.warmth = "load"
			if !w.begin(c) {
				return nil, 503
			}
		}
	}
	if len(w.waiting) >= w.spec.Queue {
		return nil, 503
	}
	w.waiting = append(w.waiting, t)
	w.pump()
	return t, 0
}

func (w *Worker) leave(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range w.waiting {
		if o == t {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			return
		}
	}
	select { // it was begun in the same moment: the core does the work for nobody
	case <-t.start:
		w.finish(t)
	default:
	}
}

// pump begins what has a lane and a core, in the order they came.
func (w *Worker) pump() {
	kept := w.waiting[:0]
	for _, t := range w.waiting {
		switch {
		case t.c.standing == 0 && t.c.loading == 0:
			t.start <- "failed"
		case w.running < w.spec.Cores && t.c.busy < t.c.standing*t.c.fn.Lanes:
			t.c.busy++
			w.running++
			t.start <- "run"
		default:
			if t.c.standing > 0 && t.c.loading == 0 && t.c.busy >= t.c.standing*t.c.fn.Lanes && w.running < w.spec.Cores {
				w.begin(t.c) // all lanes taken: one more copy
			}
			kept = append(kept, t)
		}
	}
	clear(w.waiting[len(kept):])
	w.waiting = kept
}

func (w *Worker) finish(t *task) {
	t.c.busy--
	w.running--
	if t.c.void > 0 && t.c.busy <= (t.c.standing-1)*t.c.fn.Lanes {
		t.c.void--
		t.c.standing--
	}
	if t.c.busy == 0 {
		t.c.idle = time.Now()
	}
	w.pump()
}

// begin loads one more copy, in the background. It makes room by letting idle copies go, the longest idle first.
func (w *Worker) begin(c *copies) bool {
	if w.loads >= 2*w.spec.LoadsAtOnce {
		return false
	}
	for w.used()+c.fn.Memory > w.spec.Memory {
		var oldest *copies
		for _, o := range w.order {
			if o != c && o.busy == 0 && o.standing > 0 && (oldest == nil || o.idle.Before(oldest.idle)) {
				oldest = o
			}
		}
		if oldest == nil {
			return false
		}
		oldest.standing = 0
	}
	c.loading++
	w.loads++
	w.Loads++
	life, stop, image := w.life, w.stop, c.image
	go func() {
		var err error
		if !image {
			err = w.spec.Store.Fetch(c.fn.Fetch, stop)
		}
		w.mu.Lock()
		if _, on := w.active("wrong-digest"); on && c.digest != "" && err == nil {
			err = errors.New("what was fetched has another digest") // it is thrown away, and never runs
		}
		w.mu.Unlock()
		if err == nil {
			select {
			case <-time.After(seconds(c.fn.Begin)):
			case <-stop:
				err = errors.New("stopped")
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != life || w.down {
			return
		}
		c.loading--
		w.loads--
		if err == nil {
			c.standing++
			c.image = true
			c.idle = time.Now()
		}
		w.pump()
	}()
	return true
}

func (w *Worker) used() float64 {
	sum := 0.0
	for _, c := range w.order {
		sum += float64(c.standing+c.loading) * c.fn.Memory
	}
	return sum
}

// lapse lets idle copies go.
func (w *Worker) lapse(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		w.mu.Lock()
		for _, c := range w.order {
			if c.standing > 0 && c.busy == 0 && time.Since(c.idle) > seconds(w.spec.Keep) {
				c.standing = 0
			}
		}
		w.mu.Unlock()
	}
}

// load is a load order: it is answered when the copies stand, or when it is clear that they won't.
func (w *Worker) load(rw http.ResponseWriter, r *http.Request) {
	var said struct {
		Parameters struct {
			Copies int    `json:"copies"`
			Digest string `json:"digest"`
		} `json:"parameters"`
	}
	said.Parameters.Copies = 1
	json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&said)
	want := said.Parameters.Copies
	w.spec.Tape.Add(invariants.Record{Kind: invariants.Ordered, Worker: w.spec.Name, Front: front(r),
		Function: r.PathValue("f"), Copies: want})
	w.mu.Lock()
	c, _ := w.find(r.PathValue("f"), said.Parameters.Digest)
	if c == nil {
		w.mu.Unlock()
		w.say(rw, 404, "", map[string]any{"error": "no such function"})
		return
	}
	if _, on := w.active("hang"); on {
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-w.stop:
		}
		abort()
	}
	for c.standing+c.loading < want {
		if !w.begin(c) {
			w.mu.Unlock()
			w.say(rw, 503, "", map[string]any{"error": "no room"})
			return
		}
	}
	c.idle = time.Now()
	stop := w.stop
	w.mu.Unlock()
	for {
		w.mu.Lock()
		standing, loading := c.standing, c.loading
		w.mu.Unlock()
		if standing >= want || loading == 0 {
			if standing > 0 {
				w.prove(rw, c.digest)
				w.say(rw, 200, "", map[string]any{"parameters": map[string]any{"copies": standing}})
			} else {
				w.say(rw, 500, "", map[string]any{"error": "the load failed"})
			}
			return
		}
		select {
		case <-r.Context().Done():
			abort()
		case <-stop:
			abort()
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func (w *Worker) unload(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	for _, c := range w.order {
		if c.fn.Name == r.PathValue("f") && c.busy == 0 {
			c.standing = 0
		}
	}
	w.mu.Unlock()
	w.say(rw, 200, "", map[string]any{})
}

func (w *Worker) ready(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	c := w.byName[r.PathValue("f")]
	ready := c != nil && c.standing > 0
	w.mu.Unlock()
	status := 200
	if !ready {
		status = 404
	}
	w.say(rw, status, "", map[string]any{"ready": ready})
}

func (w *Worker) index(rw http.ResponseWriter, _ *http.Request) {
	list := []map[string]any{}
	w.mu.Lock()
	for _, c := range w.order {
		switch {
		case c.standing > 0:
			list = append(list, map[string]any{"name": c.fn.Name, "state": "READY"})
		case c.loading > 0:
			list = append(list, map[string]any{"name": c.fn.Name, "state": "LOADING"})
		}
	}
	w.mu.Unlock()
	w.say(rw, 200, "", list)
}

func (w *Worker) fault(rw http.ResponseWriter, r *http.Request) {
	var f Fault
	err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&f)
	if err == nil {
		err = w.Inject(f)
	}
	if err != nil {
		w.say(rw, 400, "", map[string]any{"error": err.Error()})
		return
	}
	w.say(rw, 200, "", map[string]any{})
}
