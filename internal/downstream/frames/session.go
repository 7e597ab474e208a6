package frames

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"streamcleat/internal/dispatch"
)

// RequestHandler takes requests on behalf of a session.
type RequestHandler interface {
	// Submit is answered by Session.Respond with the same slot, which may be called before Submit returns.
	Submit(slot uint64, request dispatch.Request)
	// Cancel reports that nobody waits for the slot any more.
	Cancel(slot uint64)
}

// Limits of client connections, and what their requests may name. Times are seconds.
type Limits struct {
	MaxOpen           int                        // requests open on one connection
	FirstFrameTimeout float64                    // a new connection must have sent its first frame by then
	FrameTimeout      float64                    // a frame must be complete so long after its first byte
	IdleTimeout       float64                    // a connection without a request is closed after this
	ClassTimeout      func(class string) float64 // longest timeout of a request; 0 where the class is unknown
	HasTenant         func(name string) bool     // whether the deployment names it
	IsReady           func() bool                // whether requests may come
	MaxMemoryMB       float64                    // most that one replica may take
	MaxConcurrency    int                        // most requests that one replica may run at a time
	MaxLoadTime       float64                    // longest expected load time
	MaxExpectedWork   float64                    // longest expected work
}

// Session is one client connection. Responses are sent in any order; the stream of a request is its slot.
type Session struct {
	limits       *Limits
	framer       framer
	handler      RequestHandler
	open         map[uint32]bool // streams of open requests
	lastStream   uint32          // the highest so far: each request has one of its own
	frameStart   float64         // when the incomplete frame's first byte came
	activeAt     float64         // when the connection was last busy
	received     bool            // a complete frame came
	closed       bool            // nothing more is read
	goAwaySent   bool
	disconnected bool
	output       []byte
}

// NewSession begins a connection at the time now.
func NewSession(limits *Limits, handler RequestHandler, now float64) *Session {
	return &Session{limits: limits, handler: handler, open: map[uint32]bool{}, activeAt: now, frameStart: now}
}

// Feed takes bytes from the client.
func (s *Session) Feed(now float64, _ time.Time, data []byte) {
	if s.closed || s.disconnected {
		return
	}
	if s.framer.idle() {
		s.frameStart = now
	}
	s.framer.feed(data)
	for !s.closed && !s.disconnected {
		f, ok, err := s.framer.next()
		if err != nil {
			s.fail(err.Error())
			break
		}
		if !ok {
			break
		}
		s.received, s.activeAt, s.frameStart = true, now, now
		s.onFrame(f)
	}
	s.framer.compact()
}

// fail ends the connection with an error that belongs to no request. What is open on it is answered first.
func (s *Session) fail(reason string) {
	s.output = appendResponse(s.output, frameResponse, 0, codeFailed, nil, []byte(reason))
	s.closed = true
	s.framer = framer{} // hundreds of failed connections must not hold what they sent while they linger
}

func (s *Session) reject(stream uint32, reason string) {
	s.output = appendResponse(s.output, frameResponse, stream, codeRejected, nil, []byte(reason))
}

func (s *Session) onFrame(f frame) {
	switch f.kind {
	case frameRequest:
		s.onRequest(f)
	case frameCancel:
		if s.open[f.stream] {
			delete(s.open, f.stream)
			s.handler.Cancel(uint64(f.stream))
		}
	case frameReadinessQuery:
		code := codeSucceeded
		if !s.limits.IsReady() {
			code = codeRejected
		}
		s.output = appendResponse(s.output, frameReadiness, f.stream, code, nil, nil)
	default:
		s.fail(fmt.Sprintf("frame type %d is none that a client sends", f.kind))
	}
}

func (s *Session) onRequest(f frame) {
	switch {
	case f.stream == 0:
		s.fail("stream 0 carries no request")
		return
	case f.stream <= s.lastStream: // a response on it could be taken for that of the first
		s.fail(fmt.Sprintf("stream %d: not above %d, the last one", f.stream, s.lastStream))
		return
	}
	s.lastStream = f.stream
	if f.oversize {
		s.reject(f.stream, fmt.Sprintf("request: over %d bytes of body or of fields", MaxBody))
		return
	}
	request, err := s.limits.parseRequest(f.payload)
	switch {
	case err != nil:
		s.reject(f.stream, err.Error())
	case len(s.open) >= s.limits.MaxOpen:
		s.reject(f.stream, fmt.Sprintf("stream: %d requests are open on this connection", s.limits.MaxOpen))
	default:
		s.open[f.stream] = true
		s.handler.Submit(uint64(f.stream), request)
	}
}

// retryAfterField is the pause in milliseconds that a rejection asks for.
const retryAfterField = "holdoff"

// Respond sends the final response to a request.
func (s *Session) Respond(now float64, slot uint64, r dispatch.Response) {
	stream := uint32(slot)
	if s.disconnected || !s.open[stream] {
		return
	}
	delete(s.open, stream)
	s.activeAt = now
	switch r.Kind {
	case dispatch.Succeeded:
		s.output = appendResponse(s.output, frameResponse, stream, codeSucceeded, nil, r.Body)
	case dispatch.Rejected:
		var fields []Field
		if ms := math.Round(r.RetryAfter * 1000); ms > 0 {
			fields = []Field{{retryAfterField, strconv.FormatFloat(ms, 'f', 0, 64)}}
		}
		s.output = appendResponse(s.output, frameResponse, stream, codeRejected, fields, []byte(r.Cause.String()))
	default:
		s.output = appendResponse(s.output, frameResponse, stream, codeFailed, nil, []byte(r.Cause.String()))
	}
}

// Advance has nothing to do: responses are sent in any order.
func (s *Session) Advance(float64) {}

// Output returns what is to be sent and forgets it.
func (s *Session) Output() []byte {
	output := s.output
	s.output = nil
	return output
}

// Done reports that the connection is to be closed once all output is sent.
func (s *Session) Done() bool { return s.closed && len(s.open) == 0 }

// Idle reports whether no request is open or incomplete, and since when.
func (s *Session) Idle() (since float64, idle bool) {
	return s.activeAt, len(s.open) == 0 && s.framer.idle()
}

// Disconnected reports that the client left.
func (s *Session) Disconnected() {
	s.disconnected = true
	for _, stream := range slices.Sorted(maps.Keys(s.open)) {
		s.handler.Cancel(uint64(stream))
	}
	clear(s.open)
}

// Drain tells the client to send no more requests here. Those that cross this are still accepted.
func (s *Session) Drain() {
	if !s.goAwaySent && !s.closed {
		s.goAwaySent = true
		b, start := beginFrame(s.output, frameGoAway, 0)
		s.output = endFrame(b, start)
	}
}

// Tick applies timeouts and reports whether there is output or the connection is done: a frame that is not complete in
// time gets an error and ends the connection; a connection without a frame, or idle for too long, just ends.
func (s *Session) Tick(now float64) bool {
	noFirstFrame := !s.received && now-s.activeAt > s.limits.FirstFrameTimeout
	switch {
	case s.closed || s.disconnected:
	case !s.framer.idle() && (now-s.frameStart > s.limits.FrameTimeout || noFirstFrame):
		s.fail("frame: not whole in time")
	case !s.framer.idle() || len(s.open) > 0:
	case noFirstFrame || now-s.activeAt > s.limits.IdleTimeout:
		s.closed = true
	}
	return len(s.output) > 0 || s.Done()
}
