package proxy

import (
	"testing"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/downstream/cloudevents"
	"streamcleat/internal/http1"
	"streamcleat/internal/units"
)

// fakeConn is a client connection without input.
type fakeConn struct {
	unsent  int
	closed  bool
	written int
}

func (c *fakeConn) Write(data []byte)         { c.written += len(data) }
func (c *fakeConn) Close()                    { c.closed = true }
func (c *fakeConn) CloseWrite()               {}
func (c *fakeConn) Unsent() int               { return c.unsent }
func (c *fakeConn) ReadAhead() ([]byte, bool) { return nil, true }
func (c *fakeConn) InputAge() units.Seconds   { return 0 }
func (c *fakeConn) RemoteAddr() string        { return "client" }

// The connection that has been idle longest is evicted, unless its last response is unsent. If there is no other, the new
// connection is rejected. Both cases are counted.
func TestEvictIdleClient_SparesUnsentResponses(t *testing.T) {
	host := &fakeHost{now: 1}
	p := New(Settings{
		MaxClients:       2,
		EvictIdleClients: true,
		Downstream:       cloudevents.Limits{Message: http1.Limits{Head: 1000}, RequestTimeout: 5, IdleTimeout: 5},
		Dispatch:         dispatch.Settings{Deployment: &control.Deployment{FrontEnds: 1}},
	}, host)
	oldest, idle := &fakeConn{unsent: 10}, &fakeConn{}
	for _, conn := range []*fakeConn{oldest, idle} {
		if p.Accept(conn) == nil {
			t.Fatal("rejected below the limit")
		}
		host.now++
	}
	newest := &fakeConn{unsent: 1}
	if p.Accept(newest) == nil || oldest.closed || !idle.closed {
		t.Errorf("connection with an unsent response closed: %v, want false; idle connection closed: %v, want true", oldest.closed, idle.closed)
	}
	if p.Accept(&fakeConn{}) != nil || oldest.closed || newest.closed {
		t.Error("connection with an unsent response evicted")
	}
	closes, unanswered := p.CloseCounts()
	if closes[CloseEvicted] != 1 || closes[RejectedFull] != 1 || unanswered != 0 {
		t.Error(closes, unanswered)
	}
}
