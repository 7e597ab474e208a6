// Package http is the HTTP/1.1 front: what one client connection says and is told, CloudEvents in, final answers
// out. It has no socket and no clock. netloop carries its bytes; the core gets its events.
package http

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	nethttp "net/http"
	"strconv"
	"strings"
	"time"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
)

// Limits of one client connection; times in seconds.
type Limits struct {
	Message  http1.Limits
	Pipeline int                            // requests of a connection that may wait for their answers at once
	Arrival  float64                        // a request must be whole so long after its first byte
	Idle     float64                        // a connection without a request is closed after this
	Unread   int                            // bytes of answers that a client may leave unread
	MaxAge   func(eventType string) float64 // the longest that an event of a type waits; 0 where the type is unknown
}

// RequestHandler takes events on behalf of a session.
type RequestHandler interface {
	// Submit is answered by Session.Answer with the same slot, be it before Take returns.
	Submit(slot uint64, ask dispatch.Request)
	// Cancel tells that nobody waits for the slot any more.
	Cancel(slot uint64)
}

// slot is one request of the connection, in the order they came.
type slot struct {
	no    uint64
	due   float64 // when its client stops waiting, if it is an event; else 0
	ask   *dispatch.Request
	out   []byte // the answer, once there is one
	last  bool   // the connection closes behind it
	taken bool
}

// Session is one client connection.
type Session struct {
	limits Limits
	in     *http1.Framer
	taker  RequestHandler
	name   string // of this front end, for Proxy-Status
	slots  []*slot
	no     uint64
	began  float64 // when the unfinished request's first byte came
	quiet  float64 // when the connection was last busy
	closed bool    // nothing more is read
	out    bytes.Buffer
	gone   bool
}

// NewSession begins a connection at the time now.
func NewSession(l Limits, name string, taker RequestHandler, now float64) *Session {
	return &Session{limits: l, in: http1.NewRequests(l.Message), taker: taker, name: name, quiet: now}
}

// Feed takes bytes from the client. wall is the time of day, against which an expirytime is read.
func (s *Session) Feed(now float64, wall time.Time, data []byte) {
	if s.closed || s.gone {
		return
	}
	if s.in.Idle() {
		s.began = now
	}
	s.in.Feed(data)
	s.read(now, wall)
}

func (s *Session) read(now float64, wall time.Time) {
	for !s.closed {
		m, err := s.in.Next()
		if err != nil {
			s.refuse(err)
			break
		}
		if m == nil {
			break
		}
		if m.Continue {
			if len(s.slots) == 0 { // RFC 9110 10.1.1; behind another answer the client sends the body by itself
				s.out.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
			}
			continue
		}
		s.began, s.quiet = now, now
		s.request(now, wall, m)
	}
	s.advance(now)
}

func (s *Session) refuse(err error) {
	status := 400
	var why string
	if f, ok := err.(*http1.ProtocolError); ok {
		status, why = f.Status, f.Why
	} else {
		why = err.Error()
	}
	sl := s.push()
	sl.last, s.closed = true, true
	sl.out = s.problem(status, "invalid-request", why, nil, nil, true)
}

func (s *Session) push() *slot {
	s.no++
	sl := &slot{no: s.no}
	s.slots = append(s.slots, sl)
	return sl
}

func (s *Session) request(now float64, wall time.Time, m *http1.Message) {
	waiting := len(s.slots)
	sl := s.push()
	if sl.last = m.Close; m.Close {
		s.closed = true
	}
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case path == "/healthz" && m.Method == "GET":
		sl.out = s.render(200, nil, []byte("ok\n"), sl.last)
		return
	case path != "/" && path != "/events":
		sl.out = s.problem(404, "not-found", fmt.Sprintf("%.100q is neither / nor /events", path), nil, nil, sl.last)
		return
	case m.Method != "POST":
		sl.out = s.problem(405, "method", fmt.Sprintf("method %.20q: events come by POST", m.Method),
			[]dispatch.Field{{Name: "Allow", Value: "POST"}}, nil, sl.last)
		return
	}
	ask, f := readEvent(m, wall)
	switch {
	case f != nil:
		sl.out = s.problem(f.status, f.kind, f.detail, nil, nil, sl.last)
	case waiting >= s.limits.Pipeline:
		sl.out = s.problem(429, "pipeline", fmt.Sprintf("over %d requests of this connection wait", s.limits.Pipeline),
			[]dispatch.Field{{Name: "Retry-After", Value: "1"}}, nil, sl.last)
	default:
		wait := s.limits.MaxAge(ask.Class)
		if ask.Timeout == 0 || ask.Timeout > wait {
			ask.Timeout = wait
		}
		sl.ask, sl.due = &ask, now+ask.Timeout
	}
}

// advance takes events and sends answers, in order. HTTP/1.1 answers in the order of requests: an event whose
// client leaves before those ahead of it must be answered could get its answer too late however soon it is done,
// so it is taken only once the line is free. Others are taken at once.
func (s *Session) advance(now float64) {
	for progress := true; progress && !s.gone; {
		progress = false
		for len(s.slots) > 0 && s.slots[0].out != nil {
			s.out.Write(s.slots[0].out)
			last := s.slots[0].last
			s.slots = s.slots[1:]
			s.quiet = now
			progress = true
			if last {
				s.closed = true
				s.abandon()
				return
			}
		}
		ahead := 0.0
		for _, sl := range s.slots {
			if sl.ask != nil && !sl.taken {
				if sl.due < ahead {
					break
				}
				sl.taken = true
				ask := *sl.ask
				if left := sl.due - now; ask.Timeout != 0 && left <= 0 {
					ask.Timeout = -1
				} else {
					ask.Timeout = left
				}
				sl.ask = &dispatch.Request{Identity: ask.Identity}
				s.taker.Submit(sl.no, ask)
				progress = true
			}
			ahead = max(ahead, sl.due)
		}
	}
}

// Respond is the final answer to a slot.
func (s *Session) Respond(now float64, no uint64, a dispatch.Response) {
	for _, sl := range s.slots {
		if sl.no == no && sl.out == nil {
			sl.out = s.final(a, sl.last)
		}
	}
}

// Advance sends what may go out by now and takes what had to wait; it is called after answers came.
func (s *Session) Advance(now float64) { s.advance(now) }

// Output hands out what is to be sent.
func (s *Session) Output() []byte {
	if s.out.Len() == 0 {
		return nil
	}
	out := bytes.Clone(s.out.Bytes())
	s.out.Reset()
	if s.out.Cap() > 1<<16 {
		s.out = bytes.Buffer{}
	}
	return out
}

// Idle tells that no request is open or half read, and since when.
func (s *Session) Idle() (since float64, free bool) {
	return s.quiet, s.in.Idle() && len(s.slots) == 0
}

// Done tells that the connection is to be closed once all output is sent.
func (s *Session) Done() bool { return s.closed && len(s.slots) == 0 }

// Disconnected tells that the client left.
func (s *Session) Disconnected() { s.abandon() }

func (s *Session) abandon() {
	s.gone = true
	for _, sl := range s.slots {
		if sl.taken && sl.out == nil {
			s.taker.Cancel(sl.no)
		}
	}
	s.slots = nil
}

// Drain ends the connection behind the requests that wait.
func (s *Session) Drain() {
	s.closed = true
	if len(s.slots) > 0 {
		s.slots[len(s.slots)-1].last = true
	}
}

// Tick tells what time does: a request that takes too long to come in is answered and ends the connection; a
// connection that is idle too long just ends.
func (s *Session) Tick(now float64) bool {
	switch {
	case s.closed || s.gone:
	case !s.in.Idle() && now-s.began > s.limits.Arrival:
		s.refuse(&http1.ProtocolError{Status: 408, Why: fmt.Sprintf("the request was not whole after %v s", s.limits.Arrival)})
		s.advance(now)
	case s.in.Idle() && len(s.slots) == 0 && now-s.quiet > s.limits.Idle:
		s.closed = true
	}
	return s.out.Len() > 0 || s.Done()
}

func (s *Session) render(status int, fields []dispatch.Field, body []byte, last bool) []byte {
	var b bytes.Buffer
	b.Grow(160 + len(body))
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, nethttp.StatusText(status), len(body))
	for _, f := range fields {
		b.WriteString(f.Name)
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// problem is an answer with problem details (RFC 9457).
func (s *Session) problem(status int, kind, detail string, fields []dispatch.Field, more map[string]any, last bool) []byte {
	details := map[string]any{"type": "urn:streamcleat:problem:" + kind, "title": nethttp.StatusText(status),
		"status": status, "detail": detail}
	for k, v := range more {
		details[k] = v
	}
	body, _ := json.Marshal(details)
	return s.render(status, append([]dispatch.Field{{Name: "Content-Type", Value: "application/problem+json"}}, fields...),
		append(body, '\n'), last)
}

var warmths = map[control.StartType]string{control.WarmStart: "warm", control.ColdStart: "load",
	control.JoinedColdStart: "joined"}

// proxyErrors are the error types of RFC 9209 2.3 for the causes that have one.
var proxyErrors = map[dispatch.Cause]string{
	dispatch.CauseDeadlineExceeded: "http_response_timeout", dispatch.CauseConnectionLost: "connection_terminated",
	dispatch.CauseWorkerUnreachable: "destination_unavailable", dispatch.CauseWorkerFull: "connection_limit_reached",
	dispatch.CauseNoCapacity: "destination_unavailable", dispatch.CauseWorkerFailed: "http_protocol_error",
	dispatch.CauseLoadFailed: "destination_not_found",
}

// final writes a final answer: 200 handled; 503 with Retry-After deferred; 502 or 504 dead-lettered.
func (s *Session) final(a dispatch.Response, last bool) []byte {
	timing := fmt.Sprintf("total;dur=%.1f", a.Elapsed*1000)
	if w, ok := warmths[a.Start]; ok && a.Kind == dispatch.Succeeded {
		timing = w + ", " + timing
	}
	fields := []dispatch.Field{{Name: "Server-Timing", Value: timing}}
	if b := a.Binding; b.ID != "" { // which version it was, whatever became of it
		fields[0].Value = fmt.Sprintf("%s, version;desc=%q", timing, b.Version)
		fields = append(fields, dispatch.Field{Name: "Docker-Content-Digest", Value: b.Digest})
	}
	if a.Replayed {
		fields = append(fields, dispatch.Field{Name: "Idempotent-Replayed", Value: "true"})
	}
	if a.Kind == dispatch.Succeeded {
		return s.render(200, append(fields, a.Fields...), a.Body, last)
	}
	status := fmt.Sprintf("%s; details=%q", s.name, a.Cause)
	if e := proxyErrors[a.Cause]; e != "" {
		status = fmt.Sprintf("%s; error=%s; details=%q", s.name, e, a.Cause)
	}
	fields = append(fields, dispatch.Field{Name: "Proxy-Status", Value: status})
	more := map[string]any{"cause": a.Cause.String(), "outcome": a.Kind.String(), "launches": a.Attempts,
		"event": map[string]string{"source": a.Identity.Source, "id": a.Identity.ID}}
	if a.Worker != "" {
		more["worker"] = a.Worker
	}
	code, detail := 502, "The event was given up; nothing is promised of what it did."
	switch {
	case a.Kind == dispatch.Rejected:
		code, detail = 503, "The event was not handled; sending it again is harmless."
		more["retry-after"] = a.RetryAfter
		fields = append(fields, dispatch.Field{Name: "Retry-After", Value: strconv.Itoa(int(math.Ceil(a.RetryAfter)))})
	case a.Cause == dispatch.CauseDeadlineExceeded:
		code = 504
	case a.Cause == dispatch.CauseNoVersion:
		code, detail = 422, fmt.Sprintf("The reference %.100q names no version that may run events of type %.100q.", a.Function, a.Class)
	case a.Cause == dispatch.CauseUnknownClass: // never taken: the sender's fault
		code, detail = 422, fmt.Sprintf("The configuration names no event type %.100q.", a.Class)
	}
	return s.problem(code, a.Kind.String(), detail, fields, more, last)
}
