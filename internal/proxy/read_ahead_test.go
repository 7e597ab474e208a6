package proxy

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/downstream"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// Inputs of a letterSession, one byte each.
const (
	requestLetter = 'r' // a request
	cancelLetter  = 'c' // the cancellation of the last request
	paddingLetter = '.' // nothing
)

// letterSession is a session whose input consists of letters.
type letterSession struct {
	handler  downstream.RequestHandler
	lastSlot uint64
	open     map[uint64]bool
	activity units.Seconds
	timeout  units.Seconds // of an idle connection
	done     bool
}

func (s *letterSession) Feed(now units.Seconds, _ time.Time, data []byte) {
	s.activity = now
	for _, letter := range data {
		switch {
		case s.done: // input after the end is discarded
		case letter == requestLetter:
			s.lastSlot++
			s.open[s.lastSlot] = true
			s.handler.Submit(s.lastSlot, dispatch.Request{Class: "c", Function: "f", Identity: dispatch.Identity{ID: strconv.FormatUint(s.lastSlot, 10)}})
		case letter == cancelLetter:
			delete(s.open, s.lastSlot)
			s.handler.Cancel(s.lastSlot)
		}
	}
}

func (s *letterSession) Respond(_ units.Seconds, slot uint64, _ dispatch.Response) {
	delete(s.open, slot)
}
func (s *letterSession) Advance(units.Seconds)       {}
func (s *letterSession) Output() []byte              { return nil }
func (s *letterSession) Done() bool                  { return s.done && len(s.open) == 0 }
func (s *letterSession) Drain()                      {}
func (s *letterSession) Idle() (units.Seconds, bool) { return s.activity, len(s.open) == 0 }

func (s *letterSession) Tick(now units.Seconds) bool {
	s.done = s.done || s.TimedOut(now)
	return s.Done()
}

func (s *letterSession) TimedOut(now units.Seconds) bool {
	return len(s.open) == 0 && now-s.activity > s.timeout
}

func (s *letterSession) IsNew() bool { return s.lastSlot == 0 }

func (s *letterSession) Disconnected() {
	for slot := range s.lastSlot {
		s.handler.Cancel(slot + 1)
	}
}

// sendingPool is a pool that counts the attempts sent.
type sendingPool struct {
	UpstreamPool
	sent int
}

func (p *sendingPool) SendAttempt(units.Seconds, dispatch.Attempt) { p.sent++ }
func (p *sendingPool) CancelUnsent(uint64) bool                    { return false }
func (p *sendingPool) Abandon(units.Seconds, uint64)               {}
func (p *sendingPool) SetEndpoints(*upstream.EndpointList)         {}
func (p *sendingPool) Tick(units.Seconds)                          {}
func (p *sendingPool) Pending() bool                               { return false }
func (p *sendingPool) Flush()                                      {}

// inputConn is a client connection with input that the host has not passed on. After it, more is read without end if endless is
// set, and the client closes the connection if closing is set.
type inputConn struct {
	fakeConn
	input   [][]byte
	endless []byte
	closing bool
	reads   int
	ended   bool // our side was closed
}

func (c *inputConn) CloseWrite() { c.ended = true }

func (c *inputConn) ReadAhead() ([]byte, bool) {
	c.reads++
	switch {
	case len(c.input) > 0:
		next := c.input[0]
		c.input = c.input[1:]
		return next, true
	case c.endless != nil:
		return c.endless, true
	}
	return nil, !c.closing
}

// newReadAheadProxy returns a proxy with one worker and letterSessions.
func newReadAheadProxy(idleTimeout units.Seconds) (*Proxy, *fakeHost, *sendingPool) {
	host, pool := &fakeHost{now: 1}, &sendingPool{}
	p := New(Settings{
		MaxClients: 10,
		Dispatch: dispatch.Settings{
			Deployment: &control.Deployment{
				FrontEnds: 1, MaxAttempts: 4, RequestClasses: []control.RequestClass{{Name: "c", Timeout: 2, LatencyObjective: 1}},
			},
			MaxOpen: 1000, CancelAbandoned: true, TracingDisabled: true,
		},
		NewPool: func(Transport, upstream.ExchangeHandler) UpstreamPool { return pool },
		NewSession: func(handler downstream.RequestHandler, now units.Seconds) Session {
			return &letterSession{handler: handler, open: map[uint64]bool{}, activity: now, timeout: idleTimeout}
		},
	}, host)
	p.SetEndpointList(&upstream.EndpointList{
		Workers: []control.Worker{{ID: "w", Weight: 1}}, Addresses: map[control.WorkerID]string{"w": "x:1"},
	})
	return p, host, pool
}

// Guards against attempts for clients that have left with input unread, however much it is, and against a flush that lasts as long
// as a client sends.
func TestFlush_SendsOnceInputIsRead(t *testing.T) {
	padding := bytes.Repeat([]byte{paddingLetter}, 10<<10)
	lots := make([][]byte, 200)
	for i := range lots {
		lots[i] = padding
	}
	for name, c := range map[string]struct {
		conn  *inputConn
		turns int // of the event loop
		sent  int
	}{
		"no more input":              {&inputConn{}, 1, 1},
		"some input":                 {&inputConn{input: lots[:1]}, 1, 1},
		"more input than in a turn":  {&inputConn{input: lots[:10]}, 1, 0},
		"after the turns it takes":   {&inputConn{input: lots[:10]}, 10, 1},
		"closed behind much input":   {&inputConn{input: lots, closing: true}, 200, 0},
		"endless input":              {&inputConn{endless: padding}, 100, 0},
		"endless small writes":       {&inputConn{endless: append([]byte{cancelLetter, requestLetter}, padding[:100]...)}, 20, 0},
		"closed":                     {&inputConn{closing: true}, 1, 0},
		"cancelled in what is left":  {&inputConn{input: [][]byte{{cancelLetter}}}, 1, 0},
		"cancelled behind much more": {&inputConn{input: append(lots[:50:50], []byte{cancelLetter})}, 60, 0},
	} {
		p, host, pool := newReadAheadProxy(10)
		client := p.Accept(c.conn)
		p.OnClientData(client, []byte{requestLetter})
		for range c.turns - 1 {
			host.runPosted()
		}
		if pool.sent != c.sent {
			t.Errorf("%s: %d attempts sent, want %d", name, pool.sent, c.sent)
		}
		if size := len(c.conn.endless); size > 0 && c.conn.reads > c.turns*(maxReadAheadBytes/size+1) {
			t.Errorf("%s: %d reads of %d bytes in %d turns", name, c.conn.reads, size, c.turns)
		}
	}
}

// Guards against a connection that is closed with requests on it that were sent but not read, because the event loop was held up for
// longer than a timeout, or because the front end shuts down.
func TestSweep_ReadsBeforeItCloses(t *testing.T) {
	const idleTimeout = 5
	padding := bytes.Repeat([]byte{paddingLetter}, 10<<10)
	sweep := (*Proxy).Sweep
	for name, c := range map[string]struct {
		conn  *inputConn
		end   func(*Proxy)
		ended bool // our side is closed
		sent  int  // attempts
	}{
		"idle":                           {&inputConn{}, sweep, true, 0},
		"idle, a request is unread":      {&inputConn{input: [][]byte{{requestLetter}}}, sweep, false, 1},
		"idle, much input is unread":     {&inputConn{endless: padding}, sweep, false, 0},
		"idle, the client has left":      {&inputConn{closing: true}, sweep, false, 0},
		"shutdown":                       {&inputConn{}, (*Proxy).CloseClients, true, 0},
		"shutdown, a request is unread":  {&inputConn{input: [][]byte{{requestLetter}}}, (*Proxy).CloseClients, false, 1},
		"shutdown, much input is unread": {&inputConn{endless: padding}, (*Proxy).CloseClients, false, 0},
	} {
		p, host, pool := newReadAheadProxy(idleTimeout)
		p.OnClientData(p.Accept(c.conn), []byte{paddingLetter})
		host.now += idleTimeout + 1
		c.end(p)
		if c.conn.ended != c.ended || pool.sent != c.sent {
			t.Errorf("%s: our side closed %v, %d attempts, want %v, %d", name, c.conn.ended, pool.sent, c.ended, c.sent)
		}
	}
}

// Guards against a connection beyond the limit that is closed with a request on it that was not read.
func TestSweep_ReadsBeforeItClosesOverflow(t *testing.T) {
	for name, c := range map[string]struct {
		conn          *inputConn
		closed, ended bool
	}{
		"silent":              {&inputConn{}, true, false},
		"a request is unread": {&inputConn{input: [][]byte{{requestLetter}}}, false, true},
	} {
		p, host, _ := newReadAheadProxy(10)
		p.settings.MaxClients, p.settings.OverflowClients = 0, 1
		if p.Accept(c.conn) == nil {
			t.Fatal("not accepted beyond the limit")
		}
		host.now += overflowTimeout + 1
		p.Sweep()
		if c.conn.closed != c.closed || c.conn.ended != c.ended {
			t.Errorf("%s: closed %v, our side closed after the response %v, want %v, %v", name, c.conn.closed, c.conn.ended, c.closed, c.ended)
		}
	}
}
