package cloudevents

import (
	"bytes"
	"errors"
	nethttp "net/http"
	"strings"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/downstream"
	"streamcleat/internal/http1"
	"streamcleat/internal/units"
)

// Limits configures client connections. Times are in seconds.
type Limits struct {
	Message        http1.Limits
	MaxPipelined   int                              // requests per connection that wait for their responses
	RequestTimeout units.Seconds                    // from the first byte of a request until it is complete
	IdleTimeout    units.Seconds                    // until a connection without requests is closed
	MaxUnread      int                              // bytes of responses that a client may leave unread
	ClassTimeout   func(class string) units.Seconds // maximum timeout of a request; 0 if the class is unknown
}

// Session is the state of one client connection. Responses are sent in the order of requests, as HTTP/1.1 requires.
type Session struct {
	limits       Limits
	framer       *http1.Framer
	handler      downstream.RequestHandler
	proxyName    string            // identifies this front end in Proxy-Status
	pending      []*pendingRequest // in order of arrival
	lastSlot     uint64
	requestStart units.Seconds // when the first byte of the incomplete request was received
	activeAt     units.Seconds // time of the last request or response
	closed       bool          // no more input is read
	disconnected bool
	output       bytes.Buffer
}

const (
	pathRoot   = "/"
	pathEvents = "/events"
	pathHealth = "/healthz"
)

// continueResponse asks the client to send the body.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// maxRetainedOutput is the maximum size in bytes of an output buffer that is retained for later responses.
const maxRetainedOutput = 1 << 16

// NewSession returns the session of a connection accepted at the time now.
func NewSession(limits Limits, proxyName string, handler downstream.RequestHandler, now units.Seconds) *Session {
	return &Session{limits: limits, framer: http1.NewRequestFramer(limits.Message), handler: handler, proxyName: proxyName, activeAt: now}
}

// Feed processes bytes from the client. Wall is the wall-clock time, to which an expirytime is compared.
func (s *Session) Feed(now units.Seconds, wall time.Time, data []byte) {
	if s.closed || s.disconnected {
		return
	}
	if s.framer.Idle() {
		s.requestStart = now
	}
	s.framer.Feed(data)
	s.readRequests(now, wall)
	s.Advance(now)
}

// readRequests handles the complete requests received so far.
func (s *Session) readRequests(now units.Seconds, wall time.Time) {
	for !s.closed {
		m, err := s.framer.Next()
		if err != nil {
			s.fail(err)
			return
		}
		if m == nil {
			return
		}
		if m.ExpectContinue {
			if len(s.pending) == 0 { // otherwise omitted, as RFC 9110, section 10.1.1 allows: the client sends the body anyway
				s.output.WriteString(continueResponse)
			}
			continue
		}
		s.requestStart, s.activeAt = now, now
		s.onRequest(now, wall, m)
	}
}

// fail sends an error response to a malformed request and stops reading, since the stream is out of sync.
func (s *Session) fail(err error) {
	status := nethttp.StatusBadRequest
	if protocolError, ok := errors.AsType[*http1.ProtocolError](err); ok {
		status = protocolError.Status
	}
	pending := s.addPending()
	pending.closes, s.closed = true, true
	pending.reject(requestErrorf(status, problemInvalidRequest, "%s", err))
}

// addPending appends a request that waits for its response.
func (s *Session) addPending() *pendingRequest {
	s.lastSlot++
	pending := &pendingRequest{slot: s.lastSlot}
	s.pending = append(s.pending, pending)
	return pending
}

// onRequest handles a complete request: it queues an event for submission and answers anything else right away.
func (s *Session) onRequest(now units.Seconds, wall time.Time, m *http1.Message) {
	waiting := len(s.pending)
	pending := s.addPending()
	pending.closes = m.Close
	if m.Close {
		s.closed = true
	}
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case path == pathHealth && m.Method == nethttp.MethodGet:
		pending.response = encodeResponse(nethttp.StatusOK, nil, []byte("ok\n"), m.Close)
		return
	case path != pathRoot && path != pathEvents:
		pending.reject(requestErrorf(nethttp.StatusNotFound, problemNotFound, "%.100q is neither / nor /events", path))
		return
	case m.Method != nethttp.MethodPost:
		pending.reject(requestErrorf(nethttp.StatusMethodNotAllowed, problemMethod, "method %.20q: events come by POST", m.Method),
			dispatch.Field{Name: "Allow", Value: nethttp.MethodPost})
		return
	}
	request, failure := parseRequest(m, wall)
	switch {
	case failure != nil:
		pending.reject(failure)
	case waiting >= s.limits.MaxPipelined:
		pending.reject(requestErrorf(nethttp.StatusTooManyRequests, problemPipeline,
			"over %d requests of this connection wait", s.limits.MaxPipelined),
			dispatch.Field{Name: "Retry-After", Value: "1"})
	default:
		if maxTimeout := s.limits.ClassTimeout(request.Class); request.Timeout == 0 || request.Timeout > maxTimeout {
			request.Timeout = maxTimeout
		}
		pending.request, pending.deadline = &request, now+request.Timeout
	}
}

// Output returns and clears the bytes to be sent.
func (s *Session) Output() []byte {
	if s.output.Len() == 0 {
		return nil
	}
	output := bytes.Clone(s.output.Bytes())
	s.output.Reset()
	if s.output.Cap() > maxRetainedOutput {
		s.output = bytes.Buffer{}
	}
	return output
}

// Idle reports whether no request is open or incomplete, and the time of the last activity.
func (s *Session) Idle() (since units.Seconds, idle bool) {
	return s.activeAt, s.framer.Idle() && len(s.pending) == 0
}

// Done reports whether the connection is to be closed once its output is sent.
func (s *Session) Done() bool { return s.closed && len(s.pending) == 0 }

// Disconnected handles a connection that the client closed or that failed: its open requests are cancelled.
func (s *Session) Disconnected() { s.abandon() }

// abandon cancels the pending requests of a connection on which nothing more can be sent.
func (s *Session) abandon() {
	s.disconnected = true
	for _, pending := range s.pending {
		if pending.submitted && pending.response == nil {
			s.handler.Cancel(pending.slot)
		}
	}
	s.pending = nil
}

// Drain stops reading. The connection is closed after the response to the last pending request.
func (s *Session) Drain() {
	s.closed = true
	if len(s.pending) > 0 {
		s.pending[len(s.pending)-1].closes = true
	}
}

// Tick applies timeouts and reports whether there is output or the connection is done. An overdue request is answered with
// an error that ends the connection; a connection that was idle too long is closed silently.
func (s *Session) Tick(now units.Seconds) bool {
	switch {
	case s.closed || s.disconnected:
	case !s.framer.Idle() && now-s.requestStart > s.limits.RequestTimeout:
		s.fail(requestTimedOut(float64(s.limits.RequestTimeout)))
		s.Advance(now)
	case s.framer.Idle() && len(s.pending) == 0 && now-s.activeAt > s.limits.IdleTimeout:
		s.closed = true
	}
	return s.output.Len() > 0 || s.Done()
}
