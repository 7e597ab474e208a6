package downstream

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"streamcleat/internal/dispatch"
)

// RequestHandler takes events on behalf of a session.
type RequestHandler interface {
	// Submit is answered by Session.Answer with the same slot, be it before Take returns.
	Submit(slot uint64, ask dispatch.Request)
	// Cancel tells that nobody waits for the slot any more.
	Cancel(slot uint64)
}

// KeyField names the mark by which workers know the repeat of a keyed event.
const (
	KeyField = "opkey"
	keyMost  = 256
)

// Limits of client connections, and what their requests may name. Times are seconds.
type Limits struct {
	Open     int                            // events open on one connection
	First    float64                        // a new connection must have sent its first frame by then
	Arrival  float64                        // a frame must be whole so long after its first byte
	Idle     float64                        // a connection without an event is closed after this
	MaxAge   func(eventType string) float64 // longest that a client may wait; 0 where the type is unknown
	Tenant   func(name string) bool
	Ready    func() bool // events may come
	MemoryMB float64     // most that one copy may take
	Lanes    int         // most that one copy may run at a time
	Load     float64     // longest usual time of a load
	Work     float64     // longest work that a hint may tell
}

// Session is one client connection.
type Session struct {
	limits *Limits
	in     framer
	taker  RequestHandler
	open   map[uint32]bool
	last   uint32  // highest stream so far: each request has one of its own
	began  float64 // when the half-read frame's first byte came
	quiet  float64 // when the connection was last busy
	spoke  bool    // a frame came
	closed bool    // nothing more is read
	told   bool    // it was told to send no more
	out    []byte
	gone   bool
}

// NewSession begins a connection at the time now.
func NewSession(l *Limits, taker RequestHandler, now float64) *Session {
	return &Session{limits: l, taker: taker, open: map[uint32]bool{}, quiet: now, began: now}
}

// Feed takes bytes from the client.
func (s *Session) Feed(now float64, _ time.Time, data []byte) {
	if s.closed || s.gone {
		return
	}
	if s.in.idle() {
		s.began = now
	}
	s.in.feed(data)
	for !s.closed && !s.gone {
		f, ok, err := s.in.next()
		if err != nil {
			s.fault(err.Error())
			break
		}
		if !ok {
			break
		}
		s.spoke, s.quiet, s.began = true, now, now
		s.take(now, f)
	}
	s.in.settle()
}

// fault ends the connection with an error that belongs to no request. What is open on it is answered first.
func (s *Session) fault(why string) {
	s.out = putAnswer(s.out, answer, 0, codeFailed, nil, []byte(why))
	s.closed = true
	s.in = framer{} // hundreds such must not hold what they sent while they linger
}

func (s *Session) refuse(stream uint32, why string) {
	s.out = putAnswer(s.out, answer, stream, codeRefused, nil, []byte(why))
}

func (s *Session) take(now float64, f frame) {
	switch f.kind {
	case request:
		s.request(now, f)
	case takeBack:
		if s.open[f.stream] {
			delete(s.open, f.stream)
			s.taker.Cancel(uint64(f.stream))
		}
	case askReady:
		code := byte(codeServed)
		if !s.limits.Ready() {
			code = codeRefused
		}
		s.out = putAnswer(s.out, isReady, f.stream, code, nil, nil)
	default:
		s.fault(fmt.Sprintf("frame type %d is none that a client sends", f.kind))
	}
}

func (s *Session) request(now float64, f frame) {
	switch {
	case f.stream == 0:
		s.fault("stream 0 carries no request")
		return
	case f.stream <= s.last:
		// An answer on it could be taken for that of the first.
		s.fault(fmt.Sprintf("stream %d: not above %d, the last one", f.stream, s.last))
		return
	}
	s.last = f.stream
	if f.long {
		s.refuse(f.stream, fmt.Sprintf("request: over %d bytes of body or of fields", BodyMost))
		return
	}
	ask, err := s.limits.read(f.payload)
	switch {
	case err != nil:
		s.refuse(f.stream, err.Error())
	case len(s.open) >= s.limits.Open:
		s.refuse(f.stream, fmt.Sprintf("stream: %d requests are open on this connection", s.limits.Open))
	default:
		s.open[f.stream] = true
		s.taker.Submit(uint64(f.stream), ask)
	}
}

// read turns a request's payload into an event; an error names the field that is at fault.
func (l *Limits) read(payload []byte) (ask dispatch.Request, err error) {
	fields, body, err := readFields(payload)
	if err != nil {
		return ask, fmt.Errorf("request: %w", err)
	}
	if len(body) > BodyMost {
		return ask, fmt.Errorf("body: over %d bytes", BodyMost)
	}
	for _, f := range fields {
		switch f.Name {
		case "kind":
			ask.Class = f.Value
		case "req":
			ask.ID = f.Value
		case "timeout":
			ask.Timeout, err = number(f.Name, f.Value, 1e-3)
		case "owner":
			ask.Tenant = f.Value
		case "subject":
			ask.Function = f.Value
		case "ms":
			ask.ExpectedWork, err = number(f.Name, f.Value, 1e-3)
		case "more":
			ask.StatedProfile, err = l.stated(f.Value)
		case KeyField: // workers know repeats by it, so it goes on as it is
			if len(f.Value) > keyMost || strings.ContainsFunc(f.Value, func(c rune) bool { return c <= ' ' || c > '~' || c == ',' || c == '=' }) {
				err = fmt.Errorf("%s: %.40q is not a key of up to %d characters without comma, equals sign and spaces", f.Name, f.Value, keyMost)
			}
			ask.Fields = []dispatch.Field{{Name: f.Name, Value: f.Value}}
		}
		if err != nil {
			return ask, err
		}
	}
	age := l.MaxAge(ask.Class)
	switch {
	case !hex16(ask.ID):
		err = fmt.Errorf("req: %.40q is not 16 hex digits", ask.ID)
	case age <= 0:
		err = fmt.Errorf("kind: the deployment names no %.40q", ask.Class)
	case !l.Tenant(ask.Tenant):
		err = fmt.Errorf("owner: the deployment names no %.40q", ask.Tenant)
	case !hex16(ask.Function):
		err = fmt.Errorf("subject: %.40q is not 16 hex digits", ask.Function)
	case ask.Timeout <= 0 || ask.Timeout > age*1.001:
		err = fmt.Errorf("timeout: %v s is not above 0 and up to %v", ask.Timeout, age)
	case ask.ExpectedWork < 0 || ask.ExpectedWork > l.Work:
		err = fmt.Errorf("ms: %v s is not from 0 to %v", ask.ExpectedWork, l.Work)
	}
	ask.StatedProfile.Concurrency = max(ask.StatedProfile.Concurrency, 1)
	ask.RejectDuplicates = true
	ask.Body = bytes.Clone(body)
	return ask, err
}

func (l *Limits) stated(text string) (f dispatch.FunctionProfile, err error) {
	for text != "" && err == nil {
		var pair string
		pair, text, _ = strings.Cut(text, ";")
		name, value, _ := strings.Cut(pair, ":")
		v := 0.0
		switch name {
		case "memory_mb":
			v, err = bounded(pair, value, l.MemoryMB)
			f.MemoryMB = v
		case "lanes":
			if v, err = bounded(pair, value, float64(l.Lanes)); err == nil && v != math.Floor(v) {
				err = fmt.Errorf("more: %.60q: not a whole number", pair)
			}
			f.Concurrency = int(v)
		case "load_ms":
			v, err = bounded(pair, value, l.Load*1000)
			f.LoadTime = v / 1000
		}
	}
	return f, err
}

func bounded(pair, value string, most float64) (float64, error) {
	v, err := number("more: "+pair, value, 1)
	if err == nil && (v <= 0 || v > most) {
		err = fmt.Errorf("more: %.60q: not above 0 and up to %v", pair, most)
	}
	return v, err
}

func number(field, text string, unit float64) (float64, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, fmt.Errorf("%.60s: %.40q is not a number", field, text)
	}
	return v * unit, nil
}

func hex16(s string) bool {
	for i := range len(s) {
		if c := s[i] | 0x20; (s[i] < '0' || s[i] > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == 16
}

// Respond is the final answer to a request.
func (s *Session) Respond(now float64, slot uint64, a dispatch.Response) {
	stream := uint32(slot)
	if s.gone || !s.open[stream] {
		return
	}
	delete(s.open, stream)
	s.quiet = now
	switch a.Kind {
	case dispatch.Succeeded:
		s.out = putAnswer(s.out, answer, stream, codeServed, nil, a.Body)
	case dispatch.Rejected:
		var fields []Field
		if ms := math.Round(a.RetryAfter * 1000); ms > 0 {
			fields = []Field{{"holdoff", strconv.FormatFloat(ms, 'f', 0, 64)}}
		}
		s.out = putAnswer(s.out, answer, stream, codeRefused, fields, []byte(a.Cause.String()))
	default:
		s.out = putAnswer(s.out, answer, stream, codeFailed, nil, []byte(a.Cause.String()))
	}
}

// Advance has nothing to do: answers leave in any order.
func (s *Session) Advance(float64) {}

// Output hands out what is to be sent.
func (s *Session) Output() []byte {
	out := s.out
	s.out = nil
	return out
}

// Done tells that the connection is to be closed once all output is sent.
func (s *Session) Done() bool { return s.closed && len(s.open) == 0 }

// Idle tells that no request is open or half read, and since when.
func (s *Session) Idle() (since float64, free bool) {
	return s.quiet, len(s.open) == 0 && s.in.idle()
}

// Disconnected tells that the client left.
func (s *Session) Disconnected() {
	s.gone = true
	for _, stream := range slices.Sorted(maps.Keys(s.open)) {
		s.taker.Cancel(uint64(stream))
	}
	clear(s.open)
}

// Drain tells the client to send no more requests here. Those that cross this are still taken.
func (s *Session) Drain() {
	if !s.told && !s.closed {
		s.told = true
		b, at := putFrame(s.out, noMore, 0)
		s.out = endFrame(b, at)
	}
}

// Tick tells what time does: a frame that never ends gets an error and ends the connection; one that says nothing,
// or nothing more, just ends.
func (s *Session) Tick(now float64) bool {
	switch {
	case s.closed || s.gone:
	case !s.in.idle() && (now-s.began > s.limits.Arrival || !s.spoke && now-s.quiet > s.limits.First):
		s.fault("frame: not whole in time")
	case !s.in.idle() || len(s.open) > 0:
	case !s.spoke && now-s.quiet > s.limits.First, now-s.quiet > s.limits.Idle:
		s.closed = true
	}
	return len(s.out) > 0 || s.Done()
}
