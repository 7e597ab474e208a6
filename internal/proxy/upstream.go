package proxy

import (
	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/upstream"
)

// operation is something that the pool asked to be done on a connection to a worker.
type operation struct {
	conn  upstream.ConnID
	data  []byte
	close bool
}

// upstreamTransport carries the pool's bytes. Writes and closes wait for Flush, until the pool's call is over.
type upstreamTransport struct{ proxy *Proxy }

// Write implements Transport.
func (t upstreamTransport) Write(conn upstream.ConnID, data []byte) {
	t.proxy.operations = append(t.proxy.operations, operation{conn: conn, data: data})
}

// Close implements Transport.
func (t upstreamTransport) Close(conn upstream.ConnID) {
	t.proxy.operations = append(t.proxy.operations, operation{conn: conn, close: true})
}

// Unsent implements Transport.
func (t upstreamTransport) Unsent(conn upstream.ConnID) int {
	if c := t.proxy.upstreamConns[conn]; c != nil {
		return c.Unsent()
	}
	return 0
}

// Dial implements Transport.
func (t upstreamTransport) Dial(conn upstream.ConnID, addr string) { t.proxy.host.Dial(conn, addr) }

// exchangeHandler hands what workers replied to the dispatcher.
type exchangeHandler struct{ proxy *Proxy }

// OnAttemptReply implements upstream.Results.
func (r exchangeHandler) OnAttemptReply(attempt uint64, reply dispatch.WorkerReply) {
	if reply.Outcome != control.Succeeded {
		r.proxy.log.Debug("attempt ended", "attempt", attempt, "outcome", int(reply.Outcome))
	}
	r.proxy.dispatcher.OnAttemptReply(r.proxy.host.Now(), attempt, reply)
}

// OnLoadReply implements upstream.Results.
func (r exchangeHandler) OnLoadReply(command uint64, outcome control.Outcome, replicas int) {
	r.proxy.dispatcher.OnLoadReply(r.proxy.host.Now(), command, outcome, replicas)
}

// AuthorizeAttempt implements upstream.ExchangeHandler.
func (r exchangeHandler) AuthorizeAttempt(id uint64) dispatch.SendPermit {
	p := r.proxy
	permit := p.dispatcher.AuthorizeAttempt(p.host.Now(), id)
	if !permit.Permitted() {
		p.log.Info("attempt not sent", "attempt", id, "cause", permit.Denial().String())
	}
	return permit
}

// AuthorizeLoad implements upstream.ExchangeHandler.
func (r exchangeHandler) AuthorizeLoad() dispatch.SendPermit {
	return r.proxy.dispatcher.AuthorizeLoad(r.proxy.host.Now())
}

// OnDialed tells how a dial ended: with a connection or an error. What the clients of the attempts that waited for it
// have sent is read first: they may have left meanwhile.
func (p *Proxy) OnDialed(id upstream.ConnID, conn Conn, err error) {
	if err == nil {
		p.upstreamConns[id] = conn
		for _, attempt := range p.pool.WaitingFor(id) {
			p.readClientOf(attempt)
		}
	}
	p.pool.OnDialed(p.host.Now(), id, err)
	p.Flush()
}

// OnUpstreamData takes bytes from a worker.
func (p *Proxy) OnUpstreamData(id upstream.ConnID, data []byte) {
	if p.upstreamConns[id] == nil {
		return
	}
	p.pool.OnData(p.host.Now(), id, data)
	p.Flush()
}

// OnUpstreamClosed tells that a connection to a worker closed or broke.
func (p *Proxy) OnUpstreamClosed(id upstream.ConnID) {
	if p.upstreamConns[id] == nil {
		return
	}
	delete(p.upstreamConns, id)
	p.pool.OnClosed(p.host.Now(), id)
	p.Flush()
}

// applyOperation writes to or closes a connection to a worker, unless it has ended meanwhile.
func (p *Proxy) applyOperation(o operation) {
	conn := p.upstreamConns[o.conn]
	if conn == nil {
		return
	}
	if o.close {
		delete(p.upstreamConns, o.conn)
		conn.Close()
		return
	}
	conn.Write(o.data)
}
