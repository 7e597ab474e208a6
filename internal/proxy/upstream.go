package proxy

import (
	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// maxWriteDelay is the maximum time, in seconds, between the decision to send a message and its write. If the process was
// suspended in between, the decision may be outdated: the deadline may have passed, the client may have disconnected, or the
// worker's lease may have expired.
const maxWriteDelay = 0.05

// upstreamOperation is a write to or the close of a connection to a worker.
type upstreamOperation struct {
	conn  upstream.ConnID
	data  []byte
	close bool
	// decidedAt is the time of the permit or, if the client's input was read before the permit, the time of that read.
	decidedAt units.Seconds
}

// upstreamTransport implements Transport. It queues writes and closes for Flush, so that the events they cause don't reenter
// the pool.
type upstreamTransport struct{ proxy *Proxy }

// Write implements Transport.
func (t upstreamTransport) Write(conn upstream.ConnID, data []byte) {
	p := t.proxy
	operation := upstreamOperation{conn: conn, data: data, decidedAt: p.permittedAt}
	if p.permittedAt == 0 { // the write needs no permit
		operation.decidedAt = p.host.Now()
	}
	p.permittedAt = 0
	p.upstreamOperations = append(p.upstreamOperations, operation)
}

// Close implements Transport.
func (t upstreamTransport) Close(conn upstream.ConnID) {
	t.proxy.upstreamOperations = append(t.proxy.upstreamOperations, upstreamOperation{conn: conn, close: true})
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

// exchangeHandler implements upstream.ExchangeHandler on top of the dispatcher.
type exchangeHandler struct{ proxy *Proxy }

// OnAttemptReply implements upstream.ExchangeHandler.
func (h exchangeHandler) OnAttemptReply(attempt uint64, reply dispatch.WorkerReply) {
	if reply.Outcome != control.Succeeded {
		h.proxy.log.Debug("attempt ended", "attempt", attempt, "outcome", int(reply.Outcome))
	}
	h.proxy.dispatcher.OnAttemptReply(h.proxy.host.Now(), attempt, reply)
}

// OnLoadReply implements upstream.ExchangeHandler.
func (h exchangeHandler) OnLoadReply(command uint64, outcome control.Outcome, replicas int) {
	h.proxy.dispatcher.OnLoadReply(h.proxy.host.Now(), command, outcome, replicas)
}

// OnDisconnected implements upstream.ExchangeHandler.
func (h exchangeHandler) OnDisconnected(worker control.WorkerID) {
	h.proxy.dispatcher.OnDisconnected(h.proxy.host.Now(), worker)
}

// OnProcessUncertain implements upstream.ExchangeHandler.
func (h exchangeHandler) OnProcessUncertain(worker control.WorkerID) (verify bool) {
	return h.proxy.dispatcher.OnProcessUncertain(h.proxy.host.Now(), worker)
}

// OnProcessConfirmed implements upstream.ExchangeHandler.
func (h exchangeHandler) OnProcessConfirmed(worker control.WorkerID) {
	h.proxy.dispatcher.OnProcessConfirmed(h.proxy.host.Now(), worker)
}

// AuthorizeAttempt implements upstream.ExchangeHandler.
func (h exchangeHandler) AuthorizeAttempt(id uint64) dispatch.SendPermit {
	p := h.proxy
	now := p.recordPermitTime()
	permit := p.dispatcher.AuthorizeAttempt(now, id)
	if !permit.Permitted() {
		p.permittedAt = 0
		p.log.Info("attempt not sent", "attempt", id, "cause", permit.Denial().String())
	}
	return permit
}

// AuthorizeLoad implements upstream.ExchangeHandler.
func (h exchangeHandler) AuthorizeLoad(id uint64) dispatch.SendPermit {
	p := h.proxy
	now := p.recordPermitTime()
	permit := p.dispatcher.AuthorizeLoad(now, id)
	if !permit.Permitted() {
		p.permittedAt = 0
		p.log.Info("load command not sent", "command", id, "cause", permit.Denial().String())
	}
	return permit
}

// recordPermitTime returns the current time, at which a permit is requested, and sets permittedAt for the write that follows.
// If the client's input was read before, permittedAt is the time of that read.
func (p *Proxy) recordPermitTime() units.Seconds {
	now := p.host.Now()
	p.permittedAt = now
	if p.inputReadAt > 0 {
		p.permittedAt = p.inputReadAt
	}
	return now
}

// OnDialed reports the result of a dial. It first reads the pending input of the clients whose attempts wait for the
// connection, because they may have canceled or disconnected in the meantime.
func (p *Proxy) OnDialed(id upstream.ConnID, conn Conn, err error) {
	if err == nil {
		p.upstreamConns[id] = conn
		p.inputReadAt = p.host.Now()
		p.readAheadPeriod++
		for _, attempt := range p.pool.WaitingFor(id) {
			if !p.readClientOf(attempt) && p.pool.CancelUnsent(attempt) {
				p.dispatcher.OnAttemptReply(p.host.Now(), attempt, dispatch.WorkerReply{Outcome: control.NotSent})
			}
		}
	}
	p.pool.OnDialed(p.host.Now(), id, err)
	p.inputReadAt = 0
	p.Flush()
}

// OnUpstreamData processes bytes from a worker.
func (p *Proxy) OnUpstreamData(id upstream.ConnID, data []byte) {
	if p.upstreamConns[id] == nil {
		return
	}
	p.pool.OnData(p.host.Now(), id, data)
	p.Flush()
}

// OnUpstreamClosed reports that a connection to a worker was closed or lost.
func (p *Proxy) OnUpstreamClosed(id upstream.ConnID) {
	if p.upstreamConns[id] == nil {
		return
	}
	delete(p.upstreamConns, id)
	p.pool.OnClosed(p.host.Now(), id)
	p.Flush()
}

// applyUpstreamOperation writes to or closes a connection to a worker, unless the connection has ended in the meantime.
func (p *Proxy) applyUpstreamOperation(operation upstreamOperation) {
	conn := p.upstreamConns[operation.conn]
	if conn == nil {
		return
	}
	if operation.close {
		delete(p.upstreamConns, operation.conn)
		conn.Close()
		return
	}
	if delay := p.host.Now() - operation.decidedAt; delay > maxWriteDelay {
		p.log.Warn("write to worker outdated, connection closed", "seconds", float64(delay))
		delete(p.upstreamConns, operation.conn)
		conn.Close()
		p.pool.OnClosed(p.host.Now(), operation.conn)
		return
	}
	conn.Write(operation.data)
}
