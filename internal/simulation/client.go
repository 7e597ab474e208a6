package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"

	"streamcleat/internal/http1"
	"streamcleat/internal/invariants"
)

// event is what a client wants done, over all its tries.
type event struct {
	id, kind, fn string
	no           int
	tries        int
	front        int
	first, until float64 // when it was first asked; no try begins after until
	wait         float64 // that it says it waits; 0: says nothing, and waits as long as its kind may
	twin         bool    // asked for by two programs, neither of which knows where the other asked
	leaves       float64 // hangs up so long after its ask; 0: waits
	checks       int     // repeats of what was handled, to see that the answer is the same
}

// try is one ask with its answer.
type try struct {
	evt   *event
	call  uint64
	front *front
	tag   string // of the process that it was asked of
	at    float64
	over  bool
	limit *step
	line  *line
}

// line is one connection of a client.
type line struct {
	c    *client
	e    *end // nil while it is being dialed
	to   *front
	out  []*try // in the order they were sent
	in   *http1.Framer
	shut bool
	used float64 // when it was last asked on
}

// client is a machine of tills: it sends events at random times, repeats what was deferred or lost as the event's
// kind allows, and now and then asks again for what it knows the answer of.
type client struct {
	proc
	s     *site
	rng   *rand.Rand
	zipf  *rand.Zipf
	rate  float64
	lines []*line
	no    int
	slow  float64 // bytes a second that it reads
	quit  bool
}

func (s *site) newClient(no int) *client {
	name := fmt.Sprintf("till-%d", no)
	c := &client{proc: proc{w: s.w, name: name, power: true, up: true}, s: s, rng: chance(s.script.Seed, name), rate: s.script.Rate / float64(s.script.Clients)}
	c.zipf = rand.NewZipf(c.rng, 1.2, 2, uint64(len(s.functions)-1))
	c.in(c.rng.Float64()*0.2, "begins", c.next)
	return c
}

var mix = []struct {
	kind  string
	share float64
}{{"shop-event", 0.5}, {"till-entry", 0.3}, {"price-reset", 0.2}}

func (c *client) next() {
	if c.quit {
		return
	}
	rate := c.rate * c.s.boost()
	c.in(c.rng.ExpFloat64()/rate, "next", c.next)
	c.no++
	pick, kind := c.rng.Float64(), ""
	for _, m := range mix {
		if kind = m.kind; pick < m.share {
			break
		}
		pick -= m.share
	}
	e := &event{id: fmt.Sprintf("%s-%d", c.name, c.no), kind: kind, no: c.no, fn: c.s.functions[c.zipf.Uint64()].Name,
		front: c.rng.IntN(len(c.s.fronts)), first: c.w.now, until: c.w.now + 3*maxAge}
	if c.rng.Float64() < c.s.leaving() {
		e.leaves = 0.01 + c.rng.Float64()*maxAge
	}
	if c.rng.IntN(6) == 0 {
		e.checks = 1 + c.rng.IntN(2)
	}
	e.twin = c.rng.IntN(12) == 0
	if c.rng.IntN(8) == 0 {
		e.wait = 0.4 + (maxAge-0.4)*c.rng.Float64()
	}
	c.try(e)
	if e.twin { // another program of the same machine asks for the same event
		twin := *e
		twin.wait = 0
		twin.leaves, twin.checks = 0, 0
		c.in(c.rng.Float64()*0.1, "twin", func() { c.try(&twin) })
	}
}

// try asks once.
func (c *client) try(e *event) {
	e.tries++
	f, wait := c.s.fronts[e.front], maxAge
	if e.wait > 0 {
		wait = e.wait
	}
	t := &try{evt: e, call: c.s.tape.Call(), front: f, tag: f.tag(), at: c.w.now}
	var l *line
	for _, x := range c.lines {
		if x.to == f && !x.shut && c.w.now-x.used < idleClient/2 && (e.kind != "price-reset" && e.wait == 0 || len(x.out) == 0) && (len(x.out) == 0 || x.e != nil && len(x.out) < 3 && c.rng.IntN(6) == 0) {
			l = x
			break
		}
	}
	c.s.tape.Add(invariants.Record{Kind: invariants.Asked, Event: source + "#" + e.id, Type: e.kind, Function: e.fn, Front: f.tag(), Call: t.call,
		Wait: wait})
	c.s.asked(t)
	t.limit = c.in(wait, "gives up "+e.id, func() { c.late(t) })
	if e.leaves > 0 {
		c.in(e.leaves, "leaves "+e.id, func() { c.leave(t) })
	}
	if l != nil {
		c.send(l, t)
		return
	}
	l = &line{c: c, to: f, out: []*try{t}, used: c.w.now, in: http1.NewResponses(http1.Limits{Head: 1 << 16, Body: 1 << 20})}
	t.line = l
	c.lines = append(c.lines, l)
	c.s.net.dial(&c.proc, f.addr, maxAge, func(x *end, err error) {
		switch {
		case err != nil:
			c.lost(l)
		case l.shut:
			x.close()
		default:
			l.e = x
			x.slow = c.slow
			x.c.harmed = x.c.harmed || c.slow > 0
			x.data = func(data []byte) { c.heard(l, data) }
			x.closed = func() { x.close(); c.lost(l) }
			for _, t := range l.out {
				c.write(l, t)
			}
		}
	})
}

func (c *client) send(l *line, t *try) {
	t.line, l.used = l, c.w.now
	l.out = append(l.out, t)
	if l.e != nil {
		c.write(l, t)
	}
}

const source = "/tills"

func (c *client) write(l *line, t *try) {
	e := t.evt
	body, prefer := fmt.Sprintf(`{"count":%d}`, e.no), ""
	if e.wait > 0 { // what is left of it when it is sent
		prefer = fmt.Sprintf("Prefer: wait=%.3f\r\n", max(t.at+e.wait-c.w.now, 0))
	}
	l.e.write(fmt.Appendf(nil, "POST /events HTTP/1.1\r\nHost: f\r\nce-specversion: 1.0\r\nce-source: %s\r\nce-id: %s\r\nce-type: %s\r\n"+
		"ce-function: %s\r\nce-tenant: shop\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", source, e.id, e.kind, e.fn, prefer, len(body), body))
}

func (c *client) heard(l *line, data []byte) {
	l.in.Feed(data)
	for {
		m, err := l.in.Next()
		if err != nil {
			c.s.fault("client", "%s can't read an answer of %s: %v", c.name, l.to.name, err)
			l.e.close()
			c.lost(l)
			return
		}
		if m == nil {
			return
		}
		if len(l.out) == 0 {
			c.s.fault("client", "%s got an answer that it did not ask for, status %d", c.name, m.Status)
			return
		}
		t := l.out[0]
		l.out = l.out[1:]
		c.answered(t, m)
		if m.Close {
			l.e.close()
			c.lost(l)
			return
		}
	}
}

var outcomes = map[int]string{200: invariants.Handled, 503: invariants.Deferred, 429: invariants.Deferred, 502: invariants.DeadLettered, 504: invariants.DeadLettered}

func (c *client) answered(t *try, m *http1.Message) {
	t.limit.drop()
	if t.over {
		return
	}
	t.over = true
	out, known := outcomes[m.Status]
	if !known {
		out = invariants.Refused
		c.s.fault("client", "%s: status %d: %s", t.evt.id, m.Status, m.Body)
	}
	c.s.tape.Add(invariants.Record{Kind: invariants.Answered, Event: source + "#" + t.evt.id, Type: t.evt.kind, Front: t.tag, Call: t.call,
		Status: m.Status, Outcome: out, Digest: m.Header.Get("Docker-Content-Digest")})
	c.s.answered(t, out)
	e := t.evt
	switch {
	case out == invariants.Deferred:
		pause, err := strconv.ParseFloat(m.Header.Get("Retry-After"), 64)
		if err != nil {
			c.s.fault("client", "%s: deferred without a time to come back", e.id)
		}
		if m.Status == 503 && !c.s.abuse() {
			c.retry(e, pause+c.rng.Float64()*0.2, true)
		} else if c.s.abuse() {
			c.retry(e, 0.01, true)
		}
	case e.checks > 0 && out != invariants.Refused:
		e.checks--
		c.retry(e, 0.05+c.rng.Float64(), false)
	}
}

// retry asks for an event once more. One that must not run twice stays with its front end, which knows it.
func (c *client) retry(e *event, pause float64, move bool) {
	if c.w.now+pause > e.until || e.tries >= 6 || c.quit && c.w.now+pause > c.s.script.Seconds+lastTry {
		return
	}
	if move && e.kind != "price-reset" && !(e.twin && e.kind == "till-entry") && len(c.s.fronts) > 1 && c.rng.IntN(3) == 0 {
		// Front ends share nothing: one that never heard of the event can't know when workers forget it.
		if known := e.first + c.s.script.Remember - maxAge; e.kind == "till-entry" {
			if c.w.now+pause >= known {
				return
			}
			e.until = min(e.until, known)
		}
		e.front = (e.front + 1) % len(c.s.fronts)
	}
	c.in(pause, "asks again for "+e.id, func() { c.try(e) })
}

// late is when a client's time is up without an answer.
func (c *client) late(t *try) {
	if t.over {
		return
	}
	t.over = true
	c.s.unanswered(t)
	c.drop(t, true)
}

// leave is when a client hangs up.
func (c *client) leave(t *try) {
	if t.over {
		return
	}
	t.over = true
	t.limit.drop()
	c.s.left(t)
	c.drop(t, false)
}

// drop closes the connection that a try waited on; what else waited there is asked for again.
func (c *client) drop(t *try, again bool) {
	l := t.line
	if l.shut {
		return
	}
	c.quitLine(l, 0.05, true)
	if again {
		c.retry(t.evt, 0.05, true)
	}
}

// quitLine closes a connection by this client's own doing; what waited on it is asked for again after a pause.
func (c *client) quitLine(l *line, pause float64, move bool) {
	for _, x := range l.out {
		if !x.over {
			x.over = true
			x.limit.drop()
			c.s.left(x)
			c.retry(x.evt, pause, move)
		}
	}
	if l.e != nil {
		l.e.close()
	}
	c.lost(l)
}

// lost ends a connection.
func (c *client) lost(l *line) {
	if l.shut {
		return
	}
	l.shut = true
	for i, x := range c.lines {
		if x == l {
			c.lines = append(c.lines[:i], c.lines[i+1:]...)
			break
		}
	}
	for _, t := range l.out {
		if t.over {
			continue
		}
		t.over = true
		t.limit.drop()
		c.s.broken(t)
		c.retry(t.evt, 0.02+c.rng.Float64()*0.3, true)
	}
	l.out = nil
}

// stampede drops all connections; what waited on them is asked for again.
func (c *client) stampede() {
	for _, l := range append([]*line(nil), c.lines...) {
		c.quitLine(l, 0.01, false)
	}
}

// hang closes the connections that nothing waits on.
func (c *client) hang() {
	for _, l := range append([]*line(nil), c.lines...) {
		if len(l.out) == 0 && l.e != nil {
			c.quitLine(l, 0, false)
		}
	}
}

var never = math.Inf(1)
