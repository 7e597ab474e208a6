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

// Guards against new clients that are rejected, and served ones that lose their connection, while connections with unfinished first
// messages fill the limit.
func TestEvictIdleClient_PrefersUnfinishedFirstMessages(t *testing.T) {
	endless := &inputConn{endless: []byte{paddingLetter}}
	for name, c := range map[string]struct {
		conns   []*inputConn // in the order in which they are accepted
		first   []string     // what each sends at once
		evicted int          // index; -1: none
	}{
		"served one is older":              {[]*inputConn{{}, {}}, []string{"rc", "."}, 1},
		"served ones only":                 {[]*inputConn{{}, {}}, []string{"rc", "rc"}, 0},
		"oldest unfinished":                {[]*inputConn{{}, {}}, []string{".", "."}, 0},
		"unfinished one has sent more":     {[]*inputConn{{input: [][]byte{{requestLetter}}}, {}}, []string{".", "."}, 1},
		"requests are open":                {[]*inputConn{{}, {}}, []string{"r", "r"}, -1},
		"one goes on sending, one is idle": {[]*inputConn{endless, {}}, []string{"r", "rc"}, 1},
	} {
		p, host, _ := newReadAheadProxy(10)
		p.settings.EvictIdleClients, p.settings.MaxClients = true, len(c.conns)
		for i, conn := range c.conns {
			p.OnClientData(p.Accept(conn), []byte(c.first[i]))
			host.now++
		}
		accepted := p.Accept(&inputConn{}) != nil
		if accepted != (c.evicted >= 0) {
			t.Errorf("%s: accepted %v", name, accepted)
		}
		for i, conn := range c.conns {
			if conn.closed != (i == c.evicted) {
				t.Errorf("%s: connection %d closed %v", name, i, conn.closed)
			}
		}
	}
}

// Guards against connections that are accepted only to be closed, which loses the requests that were already sent on them.
func TestHasRoom_OnlyIfAConnectionCanBeAccepted(t *testing.T) {
	for name, c := range map[string]struct {
		first             []string // what each connection sends at once
		maxClients, extra int
		want              bool
	}{
		"below the limit":        {[]string{"r"}, 2, 0, true},
		"one can be evicted":     {[]string{"r", "rc"}, 2, 0, true},
		"all have open requests": {[]string{"r", "r"}, 2, 0, false},
		"beyond the limit":       {[]string{"r", "r"}, 2, 1, true},
		"all beyond are taken":   {[]string{"r", "r", ""}, 2, 1, false},
	} {
		p, _, _ := newReadAheadProxy(10)
		p.settings.EvictIdleClients, p.settings.MaxClients, p.settings.OverflowClients = true, c.maxClients, c.extra
		for _, input := range c.first {
			p.OnClientData(p.Accept(&inputConn{}), []byte(input))
		}
		if got := p.HasRoom(); got != c.want {
			t.Errorf("%s: has room: %v", name, got)
		}
		if accepted := p.Accept(&inputConn{}) != nil; accepted != c.want {
			t.Errorf("%s: accepted: %v", name, accepted)
		}
	}
}
