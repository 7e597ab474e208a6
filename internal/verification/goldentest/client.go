package goldentest

import (
	"fmt"
	"strings"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// Session is the front end's side of a client connection, for any protocol.
type Session interface {
	Feed(now units.Seconds, wall time.Time, data []byte)
	Respond(now units.Seconds, slot uint64, r dispatch.Response)
	Advance(now units.Seconds)
	Tick(now units.Seconds) bool
	Drain()
	Disconnected()
	Done() bool
	Idle() (since units.Seconds, idle bool)
	Output() []byte
}

// FakeClient is the client of one connection.
type FakeClient struct {
	Session   Session
	Encode    func(verb string, words []string) []byte // encodes a message of the client; nil for an unknown verb
	Format    func(data []byte) []string               // formats messages for the transcript
	NotReady  bool                                     // the response to readiness queries
	heldBack  []byte                                   // sent with the next message
	pieceSize int                                      // bytes that are fed at a time; 0: all
	done      bool                                     // as last reported by the session
	automatic *dispatch.Response                       // to each request, within Submit; may be nil
	now       units.Seconds
	lines     []string // of the transcript, for the current line of the script
}

// WallClockStart is the time of day at time 0 of every script.
var WallClockStart = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

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

// Cancel records that a request is cancelled.
func (c *FakeClient) Cancel(slot uint64) { c.logf("request %d cancelled", slot) }

func (c *FakeClient) logf(format string, args ...any) {
	c.lines = append(c.lines, fmt.Sprintf(format, args...))
}

// Act executes one line of the script.
func (c *FakeClient) Act(now units.Seconds, verb string, words []string) []string {
	c.lines, c.now = nil, now
	switch verb {
	case "always":
		response := parseResponse(words)
		c.automatic = &response
	case "answer":
		c.Session.Respond(now, uint64(ParseNumber(words[0])), parseResponse(words[1:]))
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
		c.pieceSize = int(ParseNumber(words[0]))
	case "rest":
		c.send(now, nil)
	default:
		c.sendMessage(now, verb, words)
	}
	for _, text := range c.Format(c.Session.Output()) {
		c.logf("> client %s", text)
	}
	if done := c.Session.Done(); done != c.done {
		c.done = done
		c.logf("connection ends: %v", done)
	}
	return c.lines
}

// sendMessage sends a message of the client. "+verb" holds it back and sends it with the next one. "first=N verb" sends
// only its first N bytes, or all but the last -N if N is negative; the verb "rest" sends the others.
func (c *FakeClient) sendMessage(now units.Seconds, verb string, words []string) {
	name, hold := strings.CutPrefix(verb, "+")
	if text, partial := strings.CutPrefix(verb, "first="); partial {
		data := c.Encode(words[0], words[1:])
		n := int(ParseNumber(text))
		if n < 0 {
			n += len(data)
		}
		c.send(now, data[:n])
		c.heldBack = data[n:]
		return
	}
	data := c.Encode(name, words)
	if data == nil {
		panic("unknown verb: " + verb)
	}
	if hold {
		c.heldBack = append(c.heldBack, data...)
		return
	}
	c.send(now, data)
}

func (c *FakeClient) send(now units.Seconds, data []byte) {
	data = append(c.heldBack, data...)
	c.heldBack = nil
	for _, text := range c.Format(data) {
		c.logf("< client %s", text)
	}
	wall := WallClockStart.Add(now.Duration())
	inPieces(data, c.pieceSize, func(piece []byte) { c.Session.Feed(now, wall, piece) })
}
