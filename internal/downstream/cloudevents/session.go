package cloudevents

import (
	"bytes"
	"errors"
	nethttp "net/http"
	"strings"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
)

// Limits of one client connection; times in seconds.
type Limits struct {
	Message        http1.Limits
	MaxPipelined   int                        // requests of a connection that may wait for their responses at once
	RequestTimeout float64                    // a request must be complete so long after its first byte
	IdleTimeout    float64                    // a connection without a request is closed after this
	MaxUnread      int                        // bytes of responses that a client may leave unread
	ClassTimeout   func(class string) float64 // the longest timeout of a request class; 0 where it is unknown
}

// RequestHandler takes requests on behalf of a session.
type RequestHandler interface {
	// Submit is answered by Session.Respond with the same slot, which may be called before Submit returns.
	Submit(slot uint64, request dispatch.Request)
	// Cancel reports that nobody waits for the slot any more.
	Cancel(slot uint64)
}

// pendingRequest is one request of the connection that waits for its response.
type pendingRequest struct {
	slot      uint64
	deadline  float64           // when its client stops waiting, if it is an event; else 0
	request   *dispatch.Request // an event that is still to be submitted; nil otherwise
	response  []byte            // encoded; nil until there is one
	closes    bool              // the connection closes after the response
	submitted bool
}

// reject answers the request with problem details and these fields.
func (p *pendingRequest) reject(failure *requestError, fields ...dispatch.Field) {
	p.response = encodeProblem(failure.status, failure.problem, problemDetails{Detail: failure.detail}, fields, p.closes)
}

// Session is one client connection. Responses are sent in the order of requests, as HTTP/1.1 demands.
type Session struct {
	limits       Limits
	framer       *http1.Framer
	handler      RequestHandler
	proxyName    string            // of this front end, for Proxy-Status
	pending      []*pendingRequest // in the order they came
	lastSlot     uint64
	requestStart float64 // when the incomplete request's first byte came
	activeAt     float64 // when the connection was last busy
	closed       bool    // nothing more is read
	disconnected bool
	output       bytes.Buffer
}

const (
	pathRoot   = "/"
	pathEvents = "/events"
	pathHealth = "/healthz"
)

// continueResponse asks for the body of a request.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// maxKeptOutput is the largest output buffer in bytes that a connection keeps for later responses.
const maxKeptOutput = 1 << 16

// NewSession begins a connection at the time now.
func NewSession(limits Limits, proxyName string, handler RequestHandler, now float64) *Session {
	return &Session{limits: limits, framer: http1.NewRequests(limits.Message), handler: handler, proxyName: proxyName, activeAt: now}
}

// Feed takes bytes from the client. wall is the time of day, against which an expirytime is read.
func (s *Session) Feed(now float64, wall time.Time, data []byte) {
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

func (s *Session) readRequests(now float64, wall time.Time) {
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
			if len(s.pending) == 0 { // RFC 9110 10.1.1; behind another response the client sends the body by itself
				s.output.WriteString(continueResponse)
			}
			continue
		}
		s.requestStart, s.activeAt = now, now
		s.onRequest(now, wall, m)
	}
}

// fail answers a stream that can't be read any further and ends the connection.
func (s *Session) fail(err error) {
	status := nethttp.StatusBadRequest
	if protocolError, ok := errors.AsType[*http1.ProtocolError](err); ok {
		status = protocolError.Status
	}
	pending := s.addPending()
	pending.closes, s.closed = true, true
	pending.reject(requestErrorf(status, problemInvalidRequest, "%s", err))
}

func (s *Session) addPending() *pendingRequest {
	s.lastSlot++
	pending := &pendingRequest{slot: s.lastSlot}
	s.pending = append(s.pending, pending)
	return pending
}

// onRequest takes one complete request and answers it where it is no event or can't be accepted.
func (s *Session) onRequest(now float64, wall time.Time, m *http1.Message) {
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
	request, failure := readEvent(m, wall)
	switch {
	case failure != nil:
		pending.reject(failure)
	case waiting >= s.limits.MaxPipelined:
		pending.reject(requestErrorf(nethttp.StatusTooManyRequests, problemPipeline,
			"over %d requests of this connection wait", s.limits.MaxPipelined),
			dispatch.Field{Name: "Retry-After", Value: "1"})
	default:
		if longest := s.limits.ClassTimeout(request.Class); request.Timeout == 0 || request.Timeout > longest {
			request.Timeout = longest
		}
		pending.request, pending.deadline = &request, now+request.Timeout
	}
}

// Advance sends the responses whose turn it is and submits the events that need not wait any more. It is called after
// Respond.
func (s *Session) Advance(now float64) {
	for progress := true; progress && !s.disconnected; {
		sent := s.sendResponses(now)
		submitted := s.submitEvents(now)
		progress = sent || submitted
	}
}

// sendResponses sends responses in the order of their requests, up to the first that is missing.
func (s *Session) sendResponses(now float64) (sent bool) {
	for len(s.pending) > 0 && s.pending[0].response != nil {
		first := s.pending[0]
		s.output.Write(first.response)
		s.pending = s.pending[1:]
		s.activeAt = now
		sent = true
		if first.closes {
			s.closed = true
			s.abandon()
		}
	}
	return sent
}

// submitEvents submits events in order. Responses are sent in the order of requests: an event whose client leaves before
// those ahead of it must be answered could get its response too late however soon it is done, so it is held back until
// they are answered. Others are submitted at once.
func (s *Session) submitEvents(now float64) (submitted bool) {
	latestAhead := 0.0 // latest deadline of the requests ahead
	for _, pending := range s.pending {
		if pending.request != nil {
			if pending.deadline < latestAhead {
				break
			}
			s.submit(now, pending)
			submitted = true
		}
		latestAhead = max(latestAhead, pending.deadline)
	}
	return submitted
}

func (s *Session) submit(now float64, pending *pendingRequest) {
	request := pending.request
	pending.request, pending.submitted = nil, true
	left := pending.deadline - now
	if request.Timeout != 0 && left <= 0 {
		left = expired
	}
	request.Timeout = left
	s.handler.Submit(pending.slot, *request)
}

// Respond takes the final response to a request; Advance sends it.
func (s *Session) Respond(_ float64, slot uint64, r dispatch.Response) {
	for _, pending := range s.pending {
		if pending.slot == slot && pending.response == nil {
			pending.response = encodeFinal(&r, s.proxyName, pending.closes)
		}
	}
}

// Output returns what is to be sent and forgets it.
func (s *Session) Output() []byte {
	if s.output.Len() == 0 {
		return nil
	}
	output := bytes.Clone(s.output.Bytes())
	s.output.Reset()
	if s.output.Cap() > maxKeptOutput {
		s.output = bytes.Buffer{}
	}
	return output
}

// Idle reports whether no request is open or incomplete, and since when.
func (s *Session) Idle() (since float64, idle bool) {
	return s.activeAt, s.framer.Idle() && len(s.pending) == 0
}

// Done reports that the connection is to be closed once all output is sent.
func (s *Session) Done() bool { return s.closed && len(s.pending) == 0 }

// Disconnected reports that the client left.
func (s *Session) Disconnected() { s.abandon() }

// abandon cancels what is open, since nothing more is sent.
func (s *Session) abandon() {
	s.disconnected = true
	for _, pending := range s.pending {
		if pending.submitted && pending.response == nil {
			s.handler.Cancel(pending.slot)
		}
	}
	s.pending = nil
}

// Drain ends the connection after the requests that wait.
func (s *Session) Drain() {
	s.closed = true
	if len(s.pending) > 0 {
		s.pending[len(s.pending)-1].closes = true
	}
}

// Tick applies timeouts and reports whether there is output or the connection is done: a request that takes too long to
// come in is answered and ends the connection; a connection that is idle too long just ends.
func (s *Session) Tick(now float64) bool {
	switch {
	case s.closed || s.disconnected:
	case !s.framer.Idle() && now-s.requestStart > s.limits.RequestTimeout:
		s.fail(requestTimedOut(s.limits.RequestTimeout))
		s.Advance(now)
	case s.framer.Idle() && len(s.pending) == 0 && now-s.activeAt > s.limits.IdleTimeout:
		s.closed = true
	}
	return s.output.Len() > 0 || s.Done()
}
