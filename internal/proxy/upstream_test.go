package proxy

import (
	"testing"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// A message that was queued before a suspension of the process is not sent after it, because the decision to send it may be
// outdated. The connection is closed instead.
func TestUpstreamWrite_OutdatedIsNotSent(t *testing.T) {
	for delay, sent := range map[units.Seconds]bool{0.01: true, 0.2: false} {
		host := &fakeHost{now: 1}
		p := New(Settings{Dispatch: dispatch.Settings{Deployment: &control.Deployment{FrontEnds: 1}}}, host)
		conn := &fakeConn{}
		p.upstreamConns[1] = conn
		upstreamTransport{p}.Write(1, []byte("attempt"))
		host.now += delay
		p.Flush()
		if conn.written > 0 != sent || conn.closed == sent {
			t.Errorf("after %v s: %d bytes written, closed %v", delay, conn.written, conn.closed)
		}
	}
}

// suspendingPool is a pool that sends one query. The process is suspended between the permit of the query and its encoding.
type suspendingPool struct {
	UpstreamPool
	transport Transport
	handler   upstream.ExchangeHandler
	suspend   func()
}

func (p *suspendingPool) SendLoad(_ units.Seconds, command dispatch.LoadCommand) {
	if p.handler.AuthorizeLoad(command.ID).Permitted() {
		p.suspend()
		p.transport.Write(1, []byte("query"))
	}
}

func (p *suspendingPool) Pending() bool                               { return false }
func (p *suspendingPool) Flush()                                      {}
func (p *suspendingPool) OnClosed(units.Seconds, upstream.ConnID)     {}
func (p *suspendingPool) SetEndpoints(*upstream.EndpointList)         {}
func (p *suspendingPool) SendAttempt(units.Seconds, dispatch.Attempt) {}

// A write counts as decided at the time of its permit, not of its encoding. Otherwise a suspension between the two lets a
// request reach the worker with a deadline past the allowed slack, as a soak test found.
func TestUpstreamWrite_SuspensionAfterPermitIsNotSent(t *testing.T) {
	for delay, sent := range map[units.Seconds]bool{0.01: true, 0.2: false} {
		host := &fakeHost{now: 1}
		deployment := &control.Deployment{FrontEnds: 1, LoadCommandsAllowed: true, NoLoadOnMiss: true, RequestClasses: []control.RequestClass{{Name: "c", Timeout: 2}}}
		pool := &suspendingPool{suspend: func() { host.now += delay }}
		p := New(Settings{
			Dispatch: dispatch.Settings{Deployment: deployment, LoadTimeout: 5},
			NewPool: func(transport Transport, handler upstream.ExchangeHandler) UpstreamPool {
				pool.transport, pool.handler = transport, handler
				return pool
			},
		}, host)
		conn := &fakeConn{}
		p.upstreamConns[1] = conn
		p.SetEndpointList(&upstream.EndpointList{
			Workers: []control.Worker{{ID: "w", Weight: 1}}, Addresses: map[control.WorkerID]string{"w": "x:1"},
		})
		if !p.Preload("c", "f") {
			t.Fatal("no load command")
		}
		if conn.written > 0 != sent || conn.closed == sent {
			t.Errorf("suspended for %v s: %d bytes written, closed %v", delay, conn.written, conn.closed)
		}
	}
}
