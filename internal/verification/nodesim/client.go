package nodesim

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/proxy"
	"streamcleat/internal/verification/nodetest"
)

const (
	maxCancelDelay    = 0.05 // seconds
	cancelProbability = 0.2
	// repeatProbability is the probability that a request's ID is drawn from repeatedIDs or those of load commands.
	repeatProbability    = 0.4
	loadIDProbability    = 0.3 // of those IDs
	recentLoadIDs        = 3
	responseFrame        = 2
	responseCodeOffset   = 9
	codeSucceeded        = 0
	codeRejected         = 8
	frameLengthSize      = 4
	responseStreamOffset = 5
)

// repeatedIDs are the IDs that several requests have.
var repeatedIDs = []uint64{0xabcdefabcdefabcd, 0x9b1f03aa5c7e2d41, 0xffffffffffffffff, 0x000000000000000a}

// functions are the functions that requests are for.
var functions = []uint64{0x7f3a9c21e0b4d655, 0xd5336963eefba1f8, 0x00000000000000f1}

// request is an open request of a client.
type request struct {
	id        uint64
	body      string
	duplicate bool // another request with its ID was open when it was sent
}

// client is a client's connection. It implements proxy.Conn.
type client struct {
	promptConn
	simulation *simulation
	conn       *proxy.Client
	encoder    nodetest.Client
	open       map[uint32]*request // by stream
}

// newClient connects a client, which sends requests at random intervals.
func newClient(s *simulation) *client {
	c := &client{simulation: s, open: map[uint32]*request{}}
	c.conn = s.proxy.Accept(c)
	c.sendLater()
	return c
}

func (c *client) sendLater() {
	s := c.simulation
	s.After(s.upTo(2*s.settings.RequestInterval), func() {
		if !s.stopping {
			c.send()
			c.sendLater()
		}
	})
}

// send sends a request.
func (c *client) send() {
	s := c.simulation
	s.requests++
	s.report.Requests++
	r := &request{id: s.drawID(), body: fmt.Sprintf("body %d", s.requests)}
	r.duplicate = s.openIDs[r.id] > 0
	s.openIDs[r.id]++
	frame := c.encoder.Encode(nodetest.RequestSpec{
		ID: s.spell(r.id), Class: s.settings.Classes[s.random.IntN(len(s.settings.Classes))],
		Function: s.spell(functions[s.random.IntN(len(functions))]), Body: r.body,
	})
	stream := c.encoder.Stream
	c.open[stream] = r
	if s.chance(cancelProbability) {
		s.After(s.upTo(maxCancelDelay), func() { c.cancel(stream) })
	}
	s.proxy.OnClientData(c.conn, frame)
}

// drawID returns the ID of a new request: one that other requests have, one of a load command, or a new one.
func (s *simulation) drawID() uint64 {
	switch {
	case !s.chance(repeatProbability):
		return s.random.Uint64()
	case s.chance(loadIDProbability):
		return s.workers.lastLoadID + s.random.Uint64N(recentLoadIDs) | loadWireIDFlag
	}
	return repeatedIDs[s.random.IntN(len(repeatedIDs))]
}

func (c *client) cancel(stream uint32) {
	if r := c.open[stream]; r != nil {
		c.end(stream, r)
		c.simulation.report.Cancelled++
		c.simulation.proxy.OnClientData(c.conn, nodetest.CancellationOf(stream))
	}
}

func (c *client) end(stream uint32, r *request) {
	delete(c.open, stream)
	c.simulation.openIDs[r.id]--
}

// Write implements proxy.Conn. It receives the front end's frames, which are always written whole.
func (c *client) Write(data []byte) {
	for len(data) > responseCodeOffset {
		size := frameLengthSize + int(binary.BigEndian.Uint32(data))
		if data[frameLengthSize] == responseFrame {
			c.onResponse(binary.BigEndian.Uint32(data[responseStreamOffset:]), data[responseCodeOffset], data[responseCodeOffset+1:size])
		}
		data = data[size:]
	}
}

// onResponse checks a final response. Its payload consists of fields and the body.
func (c *client) onResponse(stream uint32, code byte, payload []byte) {
	s, r := c.simulation, c.open[stream]
	if r == nil {
		s.violate("response with code %d on stream %d, which has no open request", code, stream)
		return
	}
	c.end(stream, r)
	switch code {
	case codeSucceeded:
		s.report.Succeeded++
		if body := string(payload[1:]); body != r.body { // without fields
			s.violate("request %016x with %q received the response to %q", r.id, r.body, body)
		}
		if r.duplicate {
			s.violate("request %016x with %q succeeded although its ID was open", r.id, r.body)
		}
	case codeRejected:
		s.report.Rejected++
		if r.duplicate {
			s.report.RejectedDuplicates++
		}
	default:
		s.report.Failed++
		if string(payload[1:]) == dispatch.CauseDuplicate.String() { // without fields
			s.report.FailedDuplicates++
			if !s.workers.attempted[r.id] {
				s.violate("request %016x with %q failed as a duplicate of none", r.id, r.body)
			}
		}
	}
}

// checkAnswered reports the requests that have no response after their timeouts.
func (c *client) checkAnswered() {
	for _, stream := range slices.Sorted(maps.Keys(c.open)) {
		c.simulation.violate("request %016x with %q has no response", c.open[stream].id, c.open[stream].body)
	}
}

// Close implements proxy.Conn.
func (c *client) Close() { c.simulation.violate("connection of a client closed") }

// CloseWrite implements proxy.Conn.
func (c *client) CloseWrite() { c.simulation.violate("connection of a client closed for writes") }
