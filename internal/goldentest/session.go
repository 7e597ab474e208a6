package goldentest

import (
	"fmt"
	"strings"
	"time"

	"streamcleat/internal/dispatch"
)

// Session is the client side of a protocol.
type Session interface {
	Feed(now float64, wall time.Time, data []byte)
	Respond(now float64, slot uint64, a dispatch.Response)
	Advance(now float64)
	Tick(now float64) bool
	Drain()
	Disconnected()
	Done() bool
	Idle() (since float64, free bool)
	Output() []byte
}

// Client plays one client connection.
type Client struct {
	Session Session
	Encode  func(verb string, words []string) []byte // what a client sends; nil for a verb of no such kind
	Show    func(data []byte) []string               // what goes over the wire, piece by piece
	Closed  bool                                     // not ready: what readiness asks are told
	held    []byte                                   // waits for the next bytes to go with them
	piece   int                                      // bytes that are fed at a time; 0: all
	ended   bool
	always  *dispatch.Response // to each request as it is taken
	now     float64
	log     []string
}

// Wall is the time of day at time 0 of every script.
var Wall = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// Submit notes a request that the session took.
func (c *Client) Submit(slot uint64, a dispatch.Request) {
	c.note("request %d taken: source=%q id=%q type=%q tenant=%q function=%q wait=%v work=%v slots=%d memory=%v load=%v alone=%v repeat=%v fields=%s body=%s",
		slot, a.Source, a.ID, a.Class, a.Tenant, a.Function, a.Timeout, a.ExpectedWork, a.StatedProfile.Concurrency, a.StatedProfile.MemoryMB, a.StatedProfile.LoadTime, a.RejectDuplicates, a.Retried,
		fields(a.Fields), clip(a.Body))
	if c.always != nil {
		c.Session.Respond(c.now, slot, *c.always)
	}
}

// Cancel notes that nobody waits for a request any more.
func (c *Client) Cancel(slot uint64) { c.note("request %d cancelled", slot) }

func (c *Client) note(format string, args ...any) {
	c.log = append(c.log, fmt.Sprintf(format, args...))
}

func fields(list []dispatch.Field) string {
	var parts []string
	for _, f := range list {
		parts = append(parts, fmt.Sprintf("%q", f.Name+": "+f.Value))
	}
	return "[" + strings.Join(parts, " ") + "]"
}

func clip(b []byte) string {
	if len(b) > 200 {
		return fmt.Sprintf("%q... %d bytes", b[:20], len(b))
	}
	return fmt.Sprintf("%q", b)
}

// Act carries out one line.
func (c *Client) Act(now float64, verb string, words []string) []string {
	c.log, c.now = nil, now
	switch verb {
	case "always":
		a := answer(words)
		c.always = &a
	case "answer":
		c.Session.Respond(now, uint64(Number(words[0])), answer(words[1:]))
		c.Session.Advance(now)
	case "tick":
		c.note("something to do: %v", c.Session.Tick(now))
	case "drain":
		c.Session.Drain()
	case "gone":
		c.Session.Disconnected()
	case "idle?":
		since, free := c.Session.Idle()
		c.note("idle: %v since %v", free, since)
	case "readiness":
		c.Closed = words[0] == "no"
	case "pieces":
		c.piece = int(Number(words[0]))
	case "rest":
		c.send(now, nil)
	default:
		c.encode(now, verb, words)
	}
	for _, text := range c.Show(c.Session.Output()) {
		c.note("> client %s", text)
	}
	if done := c.Session.Done(); done != c.ended {
		c.ended = done
		c.note("connection ends: %v", done)
	}
	return c.log
}

// encode sends what a client says: "+verb" holds it back to go with the next, "first=N verb" only its
// first N bytes, or with N below 0 all but the last -N; the verb "rest" sends what is left.
func (c *Client) encode(now float64, verb string, words []string) {
	name, hold := strings.CutPrefix(verb, "+")
	if text, part := strings.CutPrefix(verb, "first="); part {
		data := c.Encode(words[0], words[1:])
		n := int(Number(text))
		if n < 0 {
			n += len(data)
		}
		c.send(now, data[:n])
		c.held = data[n:]
		return
	}
	data := c.Encode(name, words)
	if data == nil {
		panic("no such verb: " + verb)
	}
	if hold {
		c.held = append(c.held, data...)
		return
	}
	c.send(now, data)
}

func (c *Client) send(now float64, data []byte) {
	data = append(c.held, data...)
	c.held = nil
	for _, text := range c.Show(data) {
		c.note("< client %s", text)
	}
	wall := Wall.Add(time.Duration(now * float64(time.Second)))
	for len(data) > 0 {
		n := len(data)
		if c.piece > 0 {
			n = min(n, c.piece)
		}
		c.Session.Feed(now, wall, data[:n])
		data = data[n:]
	}
}

var outcomes = map[string]dispatch.ResponseKind{"served": dispatch.Succeeded, "deferred": dispatch.Rejected, "failed": dispatch.Failed}

// answer reads "served|deferred|failed [cause=...] [pause=...] ...". Causes go by the words that clients are told.
func answer(words []string) dispatch.Response {
	o := Options(words[1:])
	kind, ok := outcomes[words[0]]
	if !ok {
		panic(words[0])
	}
	a := dispatch.Response{Kind: kind, Worker: o["worker"], Replayed: o["repeat"] != "", Class: o["type"], Function: o["function"],
		Body: []byte(o["body"]), Identity: dispatch.Identity{Source: o["source"], ID: o["id"]}}
	if o["cause"] != "" {
		a.Cause = cause(o["cause"])
	}
	if o["pause"] != "" {
		a.RetryAfter = Number(o["pause"])
	}
	if o["after"] != "" {
		a.Elapsed = Number(o["after"])
	}
	if o["attempts"] != "" {
		a.Attempts = int(Number(o["attempts"]))
	}
	if o["found"] != "" {
		a.Start = warmth(o["found"])
	}
	if o["version"] != "" {
		a.Binding = dispatch.Binding{ID: "f@" + o["digest"], Function: "f", Version: o["version"], Digest: o["digest"]}
	}
	if name, value, ok := strings.Cut(o["field"], ": "); ok {
		a.Fields = []dispatch.Field{{Name: name, Value: value}}
	}
	return a
}

func cause(word string) dispatch.Cause {
	for c := dispatch.CauseAnswered; c <= dispatch.CauseDuplicate; c++ {
		if c.String() == word {
			return c
		}
	}
	panic("no such cause: " + word)
}
