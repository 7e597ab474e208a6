package simulation

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/url"
	"slices"
	"strings"

	"streamcleat/internal/fakes"
	"streamcleat/internal/http1"
	"streamcleat/internal/invariants"
)

// worker is a stand-in worker as a state machine on the virtual clock: it speaks the Open Inference Protocol over the
// simulated network, loads copies from a shared store, and goes wrong on order.
type worker struct {
	proc
	s       *site
	rng     *rand.Rand
	cores   int
	speed   float64
	memory  float64
	queue   int
	copies  []*copyOf
	byName  map[string]*copyOf
	waiting []*job
	running int
	loads   int
	born    float64 // 0: long ago
	faults  map[string]float64
	started float64 // Unix seconds as the list tells them; 0: none
	listed  bool
	phase   string
	bornAt  float64 // of the newest cold start
}

type copyOf struct {
	fn       *fakes.Function
	digest   string // of the version that the copies are
	standing int
	loading  int
	busy     int
	idle     float64
	image    bool
	asked    []func(standing int) // load orders that wait
}

// job is one event at the worker.
type job struct {
	c      *copyOf
	id     string
	kind   string
	answer func(status int, fields string, body any)
	warmth string
	gone   bool // the front end closed the connection
	began  bool
	call   uint64 // the newest launch of the event by that front end
}

func (s *site) newWorker(no int, cold bool) *worker {
	kind, speed := "std", 1.0
	if no%3 == 2 {
		kind, speed = "eco", 0.7
	}
	name := fmt.Sprintf("wk-%d", no)
	k := &worker{proc: proc{w: s.w, name: name, power: true}, s: s, rng: chance(s.script.Seed, name), cores: s.script.Cores, speed: speed,
		memory: 3000, queue: 64, faults: map[string]float64{}, listed: true, phase: "serving"}
	s.kinds[name] = kind
	s.rules.Capacity[name] = float64(k.cores) * speed
	s.net.doors[name+":80"] = &door{&k.proc, k.accept}
	k.begin(cold)
	return k
}

// begin starts the process: warm means that it ran for long, though it holds no copies.
func (k *worker) begin(cold bool) {
	k.life++
	k.up, k.power, k.still = true, true, false
	k.copies, k.byName, k.waiting, k.running, k.loads = nil, map[string]*copyOf{}, nil, 0, 0
	clear(k.faults)
	for i := range k.s.functions {
		c := &copyOf{fn: &k.s.functions[i]}
		k.copies = append(k.copies, c)
		k.byName[c.fn.Name] = c
	}
	k.born, k.started = 0, 0
	if cold {
		k.born = k.w.now
		k.started = float64(k.wall().UnixNano()) / 1e9
		k.bornAt = k.w.now
	}
	k.in(0.5, "lapses", k.lapse)
}

// stop ends the process; its machine answers for it unless its power is gone.
func (k *worker) stop(power bool) {
	if !k.up {
		return
	}
	ends := k.s.net.of(k.name)
	k.end()
	for _, e := range ends {
		if power {
			e.queue, e.due, e.waiting = nil, nil, 0
			e.finish()
		} else {
			e.vanish()
		}
	}
	k.power = !power
}

func (k *worker) on(kind string) bool { return k.faults[kind] > k.w.now }

// hit is on for some of the events that meet it.
func (k *worker) hit(kind string) bool { return k.on(kind) && k.rng.IntN(3) > 0 }

func (k *worker) warmth() float64 {
	age := k.w.now - k.born
	if k.born == 0 || age >= warmWithin {
		return 1
	}
	return coldShare + (1-coldShare)*age/warmWithin
}

func (k *worker) accept(e *end) bool {
	in := http1.NewRequests(http1.Limits{Head: 1 << 16, Body: 1 << 20})
	var open []*job
	e.data = func(data []byte) {
		in.Feed(data)
		for {
			m, err := in.Next()
			if err != nil {
				e.close()
				return
			}
			if m == nil {
				return
			}
			if j := k.request(e, m); j != nil {
				open = append(open, j)
			}
		}
	}
	e.closed = func() {
		e.close()
		for _, j := range open {
			j.gone = true
			k.waiting = slices.DeleteFunc(k.waiting, func(x *job) bool { return x == j })
		}
	}
	return true
}

// request takes one request; an event is returned, so that a closed connection takes it out of the line.
func (k *worker) request(e *end, m *http1.Message) *job {
	parts := strings.Split(strings.Trim(m.Target, "/"), "/")
	for i := range parts {
		if v, err := url.PathUnescape(parts[i]); err == nil {
			parts[i] = v
		}
	}
	answer := func(status int, fields string, body any) {
		text, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		report := fmt.Sprintf("TEXT named_metrics.running=%d, named_metrics.waiting=%d", k.running, len(k.waiting))
		out := fmt.Appendf(nil, "HTTP/1.1 %d x\r\nContent-Length: %d\r\nContent-Type: application/json\r\nEndpoint-Load-Metrics: %s\r\n%s\r\n%s",
			status, len(text), report, fields, text)
		if k.hit("cut-answers") && status == 200 {
			e.write(out[:k.rng.IntN(len(out))])
			e.close()
			return
		}
		e.write(out)
	}
	refuse := func(status int, why string) { answer(status, "", map[string]any{"error": why}) }
	switch {
	case len(parts) >= 4 && parts[0] == "v2" && parts[1] == "models" && parts[len(parts)-1] == "infer":
		id := m.Header.Get("Ce-Source") + "#" + m.Header.Get("Ce-Id")
		_, via, _ := strings.Cut(m.Header.Get("Via"), " ")
		j := &job{id: id, kind: m.Header.Get("Ce-Type"), answer: answer, warmth: "warm", call: k.s.calls[via+" "+id]}
		k.infer(j, parts[2], strings.Trim(m.Header.Get("If-Match"), `"`), e, refuse)
		return j
	case len(parts) == 5 && parts[1] == "repository" && parts[4] == "load":
		var said struct {
			Parameters struct {
				Copies int    `json:"copies"`
				Digest string `json:"digest"`
			} `json:"parameters"`
		}
		json.Unmarshal(m.Body, &said)
		k.order(k.find(parts[3], said.Parameters.Digest), max(said.Parameters.Copies, 1), answer, refuse)
	case len(parts) == 5 && parts[1] == "repository" && parts[4] == "unload":
		if c := k.byName[parts[3]]; c != nil && c.busy == 0 {
			c.standing = 0
		}
		answer(200, "", map[string]any{})
	default:
		refuse(404, "no such thing")
	}
	return nil
}

// find is where the copies of a version are counted; nil for a function that is not known.
func (k *worker) find(fn, digest string) *copyOf {
	c := k.byName[fn]
	if c == nil || digest == "" {
		return c
	}
	v := k.byName[fn+"@"+digest]
	if v == nil {
		v = &copyOf{fn: c.fn, digest: digest}
		k.copies = append(k.copies, v)
		k.byName[fn+"@"+digest] = v
	}
	return v
}

func proof(c *copyOf) string {
	if c.digest == "" {
		return ""
	}
	return "Docker-Content-Digest: " + c.digest + "\r\n"
}

func (k *worker) infer(j *job, fn, digest string, e *end, refuse func(int, string)) {
	switch {
	case k.hit("hang"):
		return
	case k.hit("reset-answers"):
		e.vanish()
		return
	case k.hit("errors"):
		refuse(500, "the function failed")
		return
	case k.hit("turn-away"):
		refuse(503, "full")
		return
	}
	c := k.find(fn, digest)
	if c == nil {
		refuse(404, "no such function")
		return
	}
	j.c = c
	if c.standing == 0 {
		j.warmth = "joined"
		if c.loading == 0 {
			if j.warmth = "load"; !k.s.script.OnEvent {
				refuse(404, "not loaded")
				return
			} else if !k.load(c) {
				refuse(503, "no room")
				return
			}
		}
	}
	if len(k.waiting) >= k.queue {
		refuse(503, "full")
		return
	}
	k.waiting = append(k.waiting, j)
	k.pump()
}

// pump begins what has a lane and a core, in the order they came.
func (k *worker) pump() {
	var kept []*job
	line := k.waiting
	k.waiting = nil
	for _, j := range line {
		c := j.c
		switch {
		case c.standing == 0 && c.loading == 0:
			j.answer(404, "Server-Timing: load-failed\r\n", map[string]any{"error": "the load failed"})
		case k.running < k.cores && c.busy < c.standing*c.fn.Lanes:
			k.run(j)
		default:
			if c.standing > 0 && c.loading == 0 && c.busy >= c.standing*c.fn.Lanes && k.running < k.cores {
				k.load(c)
			}
			kept = append(kept, j)
		}
	}
	k.waiting = append(kept, k.waiting...)
}

func (k *worker) run(j *job) {
	j.began = true
	j.c.busy++
	k.running++
	first := true
	if k.s.rules.Effect[j.kind] == "keyed" {
		at, known := k.s.remembered[j.id]
		first = !known || k.w.now-at > k.s.script.Remember
		if first {
			k.s.remembered[j.id] = k.w.now
		}
	}
	if first {
		k.s.tape.Add(invariants.Record{Kind: invariants.Ran, Worker: k.name, Event: j.id, Type: j.kind, Function: j.c.fn.Name, Digest: j.c.digest, Call: j.call})
	}
	took := j.c.fn.Work / k.speed / k.warmth() * (0.7 + 0.6*k.rng.Float64())
	if k.on("slow") {
		took *= 6
	}
	k.in(took, "ends "+j.id, func() {
		j.c.busy--
		k.running--
		if j.c.busy == 0 {
			j.c.idle = k.w.now
		}
		if !j.gone && !k.hit("lose") {
			body := map[string]any{"model_name": j.c.fn.Name, "id": j.id, "outputs": []any{}}
			if !first {
				body["parameters"] = map[string]any{"repeat": true}
			}
			j.answer(200, "Server-Timing: "+j.warmth+"\r\n"+proof(j.c), body)
		}
		k.pump()
	})
}

// load begins one more copy. It makes room by letting idle copies go, the longest idle first.
func (k *worker) load(c *copyOf) bool {
	if k.loads >= 4 {
		return false
	}
	for k.used()+c.fn.Memory > k.memory {
		var oldest *copyOf
		for _, o := range k.copies {
			if o != c && o.busy == 0 && o.standing > 0 && (oldest == nil || o.idle < oldest.idle) {
				oldest = o
			}
		}
		if oldest == nil {
			return false
		}
		oldest.standing = 0
	}
	c.loading++
	k.loads++
	fetch, ok := 0.0, true
	if !c.image {
		fetch, ok = k.s.store.fetch(c.fn.Fetch)
	}
	k.in(fetch, "fetched "+c.fn.Name, func() {
		if !c.image {
			k.s.store.out--
		}
		begin := c.fn.Begin
		if !ok {
			begin = 0
		}
		k.in(begin, "stands "+c.fn.Name, func() {
			c.loading--
			k.loads--
			if ok {
				c.standing++
				c.image, c.idle = true, k.w.now
			}
			asked := c.asked
			c.asked = nil
			for _, f := range asked {
				f(c.standing)
			}
			k.pump()
		})
	})
	return true
}

func (k *worker) used() (sum float64) {
	for _, c := range k.copies {
		sum += float64(c.standing+c.loading) * c.fn.Memory
	}
	return
}

func (k *worker) order(c *copyOf, copies int, answer func(int, string, any), refuse func(int, string)) {
	switch {
	case c == nil:
		refuse(404, "no such function")
		return
	case k.on("hang"):
		return
	}
	for c.standing+c.loading < copies {
		if !k.load(c) {
			refuse(503, "no room")
			return
		}
	}
	c.idle = k.w.now
	var tell func(int)
	tell = func(standing int) {
		switch {
		case standing >= copies || c.loading == 0 && standing > 0:
			answer(200, proof(c), map[string]any{"parameters": map[string]any{"copies": standing}})
		case c.loading == 0:
			refuse(500, "the load failed")
		default:
			c.asked = append(c.asked, tell)
		}
	}
	tell(c.standing)
}

// lapse lets idle copies go.
func (k *worker) lapse() {
	for _, c := range k.copies {
		if c.standing > 0 && c.busy == 0 && k.w.now-c.idle > keepWarm+0.5 {
			c.standing = 0
		}
	}
	k.in(0.1, "lapses", k.lapse)
}

// void lets go every image and every copy, as a release of all functions does.
func (k *worker) void() {
	for _, c := range k.copies {
		c.image = false
		if c.busy == 0 {
			c.standing = 0
		}
	}
}

// store is the function store that all workers share.
type store struct {
	w       *world
	pace    int // fetches at once without slowing down
	out     int
	slow    float64
	until   float64 // while it is slow
	stopped float64 // until then it turns fetches away
}

func (s *store) fetch(base float64) (seconds float64, ok bool) {
	s.out++
	if s.w.now < s.stopped {
		return 0.01, false
	}
	seconds = base * max(float64(s.out)/float64(s.pace), 1)
	if s.w.now < s.until {
		seconds *= s.slow
	}
	return seconds, true
}
