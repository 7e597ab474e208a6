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
	MaxPipelined   int                              // pending requests per connection
	RequestTimeout units.Seconds                    // from the first byte of a request until it is complete
	IdleTimeout    units.Seconds                    // until a connection without pending requests is closed
	MaxUnread      int                              // bytes of responses that a client may leave unread
	ClassTimeout   func(class string) units.Seconds // maximum timeout of a request; 0 if the class is unknown
}

// Session is the protocol state of one client connection. Responses are sent in the order of their requests, as HTTP/1.1
// requires.
type Session struct {
	limits       Limits
	framer       *http1.Framer
	handler      downstream.RequestHandler
	proxyName    string            // identifies this front end in Proxy-Status
	pending      []*pendingRequest // in order of arrival
	lastSlot     uint64
	requestStart units.Seconds // when the first byte of the incomplete request was received
	lastActivity units.Seconds // time of the last complete request or response
	readClosed   bool          // no more input is read
	disconnected bool
	output       bytes.Buffer
}

const (
	pathRoot   = "/"
	pathEvents = "/events"
	pathHealth = "/healthz"
)

// continueResponse tells the client to send the body of a request with Expect: 100-continue.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// maxWaitingFactor is the number of requests on a connection, as a multiple of MaxPipelined, after which no more are read.
const maxWaitingFactor = 2

// maxRetainedOutput is the maximum capacity in bytes of an output buffer that is reused for later responses.
const maxRetainedOutput = 1 << 16

// NewSession returns the session of a connection that was accepted at time now.
func NewSession(limits Limits, proxyName string, handler downstream.RequestHandler, now units.Seconds) *Session {
	return &Session{
		limits: limits, framer: http1.NewRequestFramer(limits.Message), handler: handler, proxyName: proxyName, lastActivity: now,
	}
}

// Feed processes bytes from the client. An expirytime attribute is compared with wallTime, the wall-clock time.
func (s *Session) Feed(now units.Seconds, wallTime time.Time, data []byte) {
	if s.readClosed || s.disconnected {
		return
	}
	if s.framer.Idle() {
		s.requestStart = now
	}
	s.framer.Feed(data)
	s.readRequests(now, wallTime)
	s.Advance(now)
}

// readRequests handles the complete requests received so far.
func (s *Session) readRequests(now units.Seconds, wallTime time.Time) {
	for !s.readClosed {
		m, err := s.framer.Next()
		if err != nil {
			s.fail(err)
			return
		}
		if m == nil {
			return
		}
		if m.ExpectContinue {
			if len(s.pending) == 0 { // otherwise omitted, as RFC 9110, section 10.1.1 allows: clients send the body anyway
				s.output.WriteString(continueResponse)
			}
			continue
		}
		s.requestStart, s.lastActivity = now, now
		s.onRequest(now, wallTime, m)
	}
}

// fail sends an error response to a malformed or incomplete request and stops reading, since the start of the next request
// is unknown.
func (s *Session) fail(err error) {
	status := nethttp.StatusBadRequest
	if protocolError, ok := errors.AsType[*http1.ProtocolError](err); ok {
		status = protocolError.Status
	}
	pending := s.addPending()
	pending.closeAfter, s.readClosed = true, true
	pending.reject(requestErrorf(status, problemInvalidRequest, "%s", err))
}

// addPending appends a new pending request.
func (s *Session) addPending() *pendingRequest {
	s.lastSlot++
	pending := &pendingRequest{slot: s.lastSlot}
	s.pending = append(s.pending, pending)
	return pending
}

// onRequest handles a complete request. It queues an event for submission and sets the response to any other request
// immediately.
func (s *Session) onRequest(now units.Seconds, wallTime time.Time, m *http1.Message) {
	waiting := len(s.pending)
	pending := s.addPending()
	if m.Close || waiting >= maxWaitingFactor*s.limits.MaxPipelined {
		pending.closeAfter, s.readClosed = true, true
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
	request, requestErr := parseRequest(m, wallTime)
	switch {
	case requestErr != nil:
		pending.reject(requestErr)
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

// Output returns the bytes to be sent and clears them.
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

// IsNew reports whether no request has been received completely.
func (s *Session) IsNew() bool { return s.lastSlot == 0 }

// Idle reports whether no request is pending or incomplete, and the time of the last activity.
func (s *Session) Idle() (since units.Seconds, idle bool) {
	return s.lastActivity, s.framer.Idle() && len(s.pending) == 0
}

// Done reports whether the connection is to be closed once its output is sent.
func (s *Session) Done() bool { return s.readClosed && len(s.pending) == 0 }

// Disconnected cancels the open requests of a connection that the client closed or that failed.
func (s *Session) Disconnected() { s.abandon() }

// abandon cancels the pending requests of a connection on which no more responses can be sent.
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
	s.readClosed = true
	if len(s.pending) > 0 {
		s.pending[len(s.pending)-1].closeAfter = true
	}
}

// Tick applies the timeouts and reports whether there is output to send or the connection is done. If a request is not
// complete in time, it sends an error response, after which the connection is closed. A connection that was idle for too
// long is closed without a response.
func (s *Session) Tick(now units.Seconds) bool {
	switch {
	case !s.TimedOut(now):
	case s.framer.Idle():
		s.readClosed = true
	default:
		s.fail(newRequestTimeoutError(float64(s.limits.RequestTimeout)))
		s.Advance(now)
	}
	return s.output.Len() > 0 || s.Done()
}

// TimedOut reports whether a request was not completed in time, or the connection was idle for too long.
func (s *Session) TimedOut(now units.Seconds) bool {
	switch {
	case s.readClosed || s.disconnected:
		return false
	case s.framer.Idle():
		return len(s.pending) == 0 && now-s.lastActivity > s.limits.IdleTimeout
	default:
		return now-s.requestStart > s.limits.RequestTimeout
	}
}
