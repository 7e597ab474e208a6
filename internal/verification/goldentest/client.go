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
	Respond(now float64, slot uint64, r dispatch.Response)
	Advance(now float64)
	Tick(now float64) bool
	Drain()
	Disconnected()
	Done() bool
	Idle() (since float64, idle bool)
	Output() []byte
}

// FakeClient plays one client connection.
type FakeClient struct {
	Session   Session
	Encode    func(verb string, words []string) []byte // what a client sends; nil for a verb of no such kind
	Show      func(data []byte) []string               // what is sent, piece by piece
	NotReady  bool                                     // what readiness queries are answered
	heldBack  []byte                                   // goes with the next bytes
	pieceSize int                                      // bytes that are fed at a time; 0: all
	done      bool                                     // as the session last said
	automatic *dispatch.Response                       // to each request within Submit; nil: none
	now       float64
	lines     []string // of the transcript, since the script's line
}

// Wall is the time of day at time 0 of every script.
var Wall = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// Submit records a request.
func (c *FakeClient) Submit(slot uint64, r dispatch.Request) {
	profile := r.StatedProfile
	c.logf("request %d taken: source=%q id=%q type=%q tenant=%q function=%q wait=%v work=%v "+
		"slots=%d memory=%v load=%v alone=%v repeat=%v fields=%s body=%s",
		slot, r.Source, r.ID, r.Class, r.Tenant, r.Function, r.Timeout, r.ExpectedWork,
		profile.Concurrency, profile.MemoryMB, profile.LoadTime, r.RejectDuplicates, r.Retried, showFields(r.Fields), showBody(r.Body))
	if c.automatic != nil {
		c.Session.Respond(c.now, slot, *c.automatic)
	}
}

// Cancel records that nobody waits for a request any more.
func (c *FakeClient) Cancel(slot uint64) { c.logf("request %d cancelled", slot) }

func (c *FakeClient) logf(format string, args ...any) {
	c.lines = append(c.lines, fmt.Sprintf(format, args...))
}

// Act carries out one line of the script.
func (c *FakeClient) Act(now float64, verb string, words []string) []string {
	c.lines, c.now = nil, now
	switch verb {
	case "always":
		response := parseResponse(words)
		c.automatic = &response
	case "answer":
		c.Session.Respond(now, uint64(Number(words[0])), parseResponse(words[1:]))
		c.Session.Advance(now)
	case "tick":
		c.logf("something to do: %v", c.Session.Tick(now))
	case "drain":
		c.Session.Drain()
	case "gone":
		c.Session.Disconnected()
	case "idle?":
		since, idle := c.Session.Idle()
		c.logf("idle: %v since %v", idle, since)
	case "readiness":
		c.NotReady = words[0] == "no"
	case "pieces":
		c.pieceSize = int(Number(words[0]))
	case "rest":
		c.send(now, nil)
	default:
		c.encode(now, verb, words)
	}
	for _, text := range c.Show(c.Session.Output()) {
		c.logf("> client %s", text)
	}
	if done := c.Session.Done(); done != c.done {
		c.done = done
		c.logf("connection ends: %v", done)
	}
	return c.lines
}

// encode sends what a client says: "+verb" holds it back to go with the next, "first=N verb" only its
// first N bytes, or with N below 0 all but the last -N; the verb "rest" sends what is left.
func (c *FakeClient) encode(now float64, verb string, words []string) {
	name, hold := strings.CutPrefix(verb, "+")
	if text, part := strings.CutPrefix(verb, "first="); part {
		data := c.Encode(words[0], words[1:])
		n := int(Number(text))
		if n < 0 {
			n += len(data)
		}
		c.send(now, data[:n])
		c.heldBack = data[n:]
		return
	}
	data := c.Encode(name, words)
	if data == nil {
		panic("no such verb: " + verb)
	}
	if hold {
		c.heldBack = append(c.heldBack, data...)
		return
	}
	c.send(now, data)
}

func (c *FakeClient) send(now float64, data []byte) {
	data = append(c.heldBack, data...)
	c.heldBack = nil
	for _, text := range c.Show(data) {
		c.logf("< client %s", text)
	}
	wall := Wall.Add(time.Duration(now * float64(time.Second)))
	inPieces(data, c.pieceSize, func(piece []byte) { c.Session.Feed(now, wall, piece) })
}

// inPieces feeds data in pieces of that size, or whole where size is 0.
func inPieces(data []byte, size int, feed func(piece []byte)) {
	if size == 0 {
		size = len(data)
	}
	for len(data) > 0 {
		n := min(size, len(data))
		feed(data[:n])
		data = data[n:]
	}
}
