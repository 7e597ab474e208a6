package goldentest

import (
	"fmt"
	"strings"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// Session is the front end's side of a client connection, independent of the protocol.
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

// FakeClient drives a Session as its client, and records the effects for the transcript.
type FakeClient struct {
	Session           Session
	Encode            func(verb string, args []string) []byte // encodes a client message; returns nil for an unknown verb
	Format            func(data []byte) []string              // formats messages for the transcript
	NotReady          bool                                    // response to readiness queries; set by the verb "readiness"
	pending           []byte                                  // data that was held back, sent before the next message
	chunkSize         int                                     // bytes passed to Session.Feed at a time; 0: all
	done              bool                                    // last result of Session.Done
	automaticResponse *dispatch.Response                      // sent by Submit to each request; may be nil
	now               units.Seconds
	lines             []string // transcript lines of the current script line
}

// WallClockStart is the wall-clock time at time 0 of every script.
var WallClockStart = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// Submit records a request, and sends the automatic response if the script has set one.
func (c *FakeClient) Submit(slot uint64, r dispatch.Request) {
	profile := r.StatedProfile
	c.logf("request %d taken: source=%q id=%q type=%q tenant=%q function=%q wait=%v work=%v "+
		"slots=%d memory=%v load=%v alone=%v repeat=%v fields=%s body=%s",
		slot, r.Source, r.ID, r.Class, r.Tenant, r.Function, r.Timeout, r.ExpectedWork,
		profile.Concurrency, profile.MemoryMB, profile.LoadTime, r.RejectDuplicates, r.Retried, formatFields(r.Fields), formatBody(r.Body))
	if c.automaticResponse != nil {
		c.Session.Respond(c.now, slot, *c.automaticResponse)
	}
}

// Cancel records the cancellation of a request.
func (c *FakeClient) Cancel(slot uint64) { c.logf("request %d cancelled", slot) }

func (c *FakeClient) logf(format string, args ...any) {
	c.lines = append(c.lines, fmt.Sprintf(format, args...))
}

// Act implements Actor.
func (c *FakeClient) Act(now units.Seconds, verb string, args []string) []string {
	c.lines, c.now = nil, now
	switch verb {
	case "always":
		response := parseResponse(args)
		c.automaticResponse = &response
	case "answer":
		c.Session.Respond(now, uint64(ParseNumber(args[0])), parseResponse(args[1:]))
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
		c.NotReady = args[0] == "no"
	case "pieces":
		c.chunkSize = int(ParseNumber(args[0]))
	case "rest":
		c.send(now, nil)
	default:
		c.sendMessage(now, verb, args)
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

// sendMessage encodes a client message and passes it to the session. "+verb" holds the message back until the next one is
// sent. "first=N verb" sends only the first N bytes, or all but the last -N bytes if N is negative; the verb "rest" sends
// the remaining bytes.
func (c *FakeClient) sendMessage(now units.Seconds, verb string, args []string) {
	name, holdBack := strings.CutPrefix(verb, "+")
	if text, partial := strings.CutPrefix(verb, "first="); partial {
		data := c.Encode(args[0], args[1:])
		n := int(ParseNumber(text))
		if n < 0 {
			n += len(data)
		}
		c.send(now, data[:n])
		c.pending = data[n:]
		return
	}
	data := c.Encode(name, args)
	if data == nil {
		panic("unknown verb: " + verb)
	}
	if holdBack {
		c.pending = append(c.pending, data...)
		return
	}
	c.send(now, data)
}

func (c *FakeClient) send(now units.Seconds, data []byte) {
	data = append(c.pending, data...)
	c.pending = nil
	for _, text := range c.Format(data) {
		c.logf("< client %s", text)
	}
	wall := WallClockStart.Add(now.Duration())
	forEachChunk(data, c.chunkSize, func(chunk []byte) { c.Session.Feed(now, wall, chunk) })
}
