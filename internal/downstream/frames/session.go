package frames

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/downstream"
	"streamcleat/internal/units"
)

// Limits configures client connections and bounds the values in their requests. Times are in seconds.
type Limits struct {
	MaxOpen           int                              // open requests per connection
	FirstFrameTimeout units.Seconds                    // until the first frame of a new connection is complete
	FrameTimeout      units.Seconds                    // from the first byte of a frame until it is complete
	IdleTimeout       units.Seconds                    // until a connection without open requests is closed
	ClassTimeout      func(class string) units.Seconds // maximum timeout of a request; 0 if the class is unknown
	HasTenant         func(name string) bool           // whether the deployment has the tenant
	IsReady           func() bool                      // whether the front end is ready for requests
	MaxMemoryMB       float64                          // maximum memory of a replica
	MaxConcurrency    int                              // maximum concurrency of a replica
	MaxLoadTime       units.Seconds                    // maximum load time of a replica
	MaxExpectedWork   units.Seconds                    // maximum expected work of a request
}

// Session is the protocol state of one client connection. Responses are sent in the order in which they become available.
// The slot of a request is its stream number.
type Session struct {
	limits        *Limits
	framer        framer
	handler       downstream.RequestHandler
	openStreams   map[uint32]bool   // streams with an open request
	received      []receivedRequest // requests that are passed on at the end of Feed
	lastStream    uint32            // highest stream number used; stream numbers are not reused
	frameStart    units.Seconds     // when the first byte of the incomplete frame was received
	lastActivity  units.Seconds     // time of the last complete frame or response
	frameReceived bool              // a complete frame was received
	readClosed    bool              // no more input is read
	goAwaySent    bool
	disconnected  bool
	output        []byte
}

// receivedRequest is a request that will be passed on once all frames that arrived with it have been read: if its cancellation is
// among them, it never is.
type receivedRequest struct {
	stream  uint32
	request dispatch.Request
}

// NewSession returns the session of a connection that was accepted at time now.
func NewSession(limits *Limits, handler downstream.RequestHandler, now units.Seconds) *Session {
	return &Session{limits: limits, handler: handler, openStreams: map[uint32]bool{}, lastActivity: now, frameStart: now}
}

// Feed processes bytes from the client.
func (s *Session) Feed(now units.Seconds, _ time.Time, data []byte) {
	if s.readClosed || s.disconnected {
		return
	}
	if s.framer.idle() {
		s.frameStart = now
	}
	s.framer.feed(data)
	for !s.readClosed && !s.disconnected {
		f, ok, err := s.framer.next()
		if err != nil {
			s.fail(err.Error())
			break
		}
		if !ok {
			break
		}
		s.frameReceived, s.lastActivity, s.frameStart = true, now, now
		s.onFrame(f)
	}
	s.framer.compact()
	s.submitReceived()
}

// submitReceived passes on the requests that were received and not cancelled.
func (s *Session) submitReceived() {
	received := s.received
	s.received = nil
	for i := range received {
		if stream := received[i].stream; s.openStreams[stream] {
			s.handler.Submit(uint64(stream), received[i].request)
		}
	}
}

// isReceived reports whether the request on a stream was received and not yet passed on.
func (s *Session) isReceived(stream uint32) bool {
	return len(s.received) > 0 && stream >= s.received[0].stream
}

// fail sends a connection error and stops reading. The connection is closed once its open requests have been responded to.
func (s *Session) fail(reason string) {
	s.output = appendResponse(s.output, frameResponse, 0, codeFailed, nil, []byte(reason))
	s.readClosed = true
	s.framer = framer{} // release the buffer, since the connection stays open until its open requests are complete
}

// reject rejects the request on a stream.
func (s *Session) reject(stream uint32, reason string) {
	s.output = appendResponse(s.output, frameResponse, stream, codeRejected, nil, []byte(reason))
}

func (s *Session) onFrame(f frame) {
	switch f.kind {
	case frameRequest:
		s.onRequest(f)
	case frameCancel:
		if s.openStreams[f.stream] {
			delete(s.openStreams, f.stream)
			if !s.isReceived(f.stream) {
				s.handler.Cancel(uint64(f.stream))
			}
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
	case f.stream <= s.lastStream: // the client could confuse its response with that of an earlier request
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
	case len(s.openStreams) >= s.limits.MaxOpen:
		s.reject(f.stream, fmt.Sprintf("stream: %d requests are open on this connection", s.limits.MaxOpen))
	default:
		s.openStreams[f.stream] = true
		s.received = append(s.received, receivedRequest{f.stream, request})
	}
}

// Respond sends the final response to a request.
func (s *Session) Respond(now units.Seconds, slot uint64, r dispatch.Response) {
	stream := uint32(slot)
	if s.disconnected || !s.openStreams[stream] {
		return
	}
	delete(s.openStreams, stream)
	s.lastActivity = now
	s.output = appendFinalResponse(s.output, stream, &r)
}

// Advance does nothing, since Respond sends each response immediately.
func (s *Session) Advance(units.Seconds) {}

// Output returns the bytes to be sent and clears them.
func (s *Session) Output() []byte {
	output := s.output
	s.output = nil
	return output
}

// Done reports whether the connection is to be closed once its output is sent.
func (s *Session) Done() bool { return s.readClosed && len(s.openStreams) == 0 }

// Idle reports whether no request is open and no frame incomplete, and the time of the last activity.
func (s *Session) Idle() (since units.Seconds, idle bool) {
	return s.lastActivity, len(s.openStreams) == 0 && s.framer.idle()
}

// IsNew reports whether no frame has been received completely.
func (s *Session) IsNew() bool { return !s.frameReceived }

// Disconnected cancels the open requests of a connection that the client closed or that failed.
func (s *Session) Disconnected() {
	s.disconnected = true
	for _, stream := range slices.Sorted(maps.Keys(s.openStreams)) {
		s.handler.Cancel(uint64(stream))
	}
	clear(s.openStreams)
}

// Drain sends a go-away frame. Requests are still accepted, since the client may have sent them before it received the
// frame.
func (s *Session) Drain() {
	if !s.goAwaySent && !s.readClosed {
		s.goAwaySent = true
		b, start := beginFrame(s.output, frameGoAway, 0)
		s.output = endFrame(b, start)
	}
}

// Tick applies the timeouts and reports whether there is output to send or the connection is done. If a frame is not
// complete in time, it sends a connection error and stops reading. A connection without a first frame in time, or idle for
// too long, is closed without an error.
func (s *Session) Tick(now units.Seconds) bool {
	switch {
	case s.frameTimedOut(now):
		s.fail("frame: not whole in time")
	case s.idleTimedOut(now):
		s.readClosed = true
	}
	return len(s.output) > 0 || s.Done()
}

// TimedOut reports whether a timeout has passed that Tick applies.
func (s *Session) TimedOut(now units.Seconds) bool {
	return s.frameTimedOut(now) || s.idleTimedOut(now)
}

// frameTimedOut reports whether an incomplete frame was not completed in time.
func (s *Session) frameTimedOut(now units.Seconds) bool {
	if s.readClosed || s.disconnected || s.framer.idle() {
		return false
	}
	return now-s.frameStart > s.limits.FrameTimeout || s.lacksFirstFrame(now)
}

// idleTimedOut reports whether the connection, on which nothing is open, was idle for too long.
func (s *Session) idleTimedOut(now units.Seconds) bool {
	if s.readClosed || s.disconnected || !s.framer.idle() || len(s.openStreams) > 0 {
		return false
	}
	return now-s.lastActivity > s.limits.IdleTimeout || s.lacksFirstFrame(now)
}

// lacksFirstFrame reports whether no frame was completed within FirstFrameTimeout.
func (s *Session) lacksFirstFrame(now units.Seconds) bool {
	return !s.frameReceived && now-s.lastActivity > s.limits.FirstFrameTimeout
}
