package openinference

import (
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// SendAttempt sends an attempt.
func (p *Pool) SendAttempt(now units.Seconds, a dispatch.Attempt) {
	addr := p.addresses[a.Worker]
	encode := func(permit dispatch.SendPermit) []byte { return InferRequest(addr, p.limits.Via, permit, a) }
	p.send(now, &exchange{Exchange: upstream.Exchange{ID: a.ID, Worker: a.Worker, Encode: encode}})
}

// SendLoad sends a load command. Queries fail as unsent: the protocol defines no response that identifies a draining
// worker, and endpoint lists from a file have no leases.
func (p *Pool) SendLoad(now units.Seconds, command dispatch.LoadCommand) {
	if command.Query {
		e := &exchange{Exchange: upstream.Exchange{ID: command.ID, Worker: command.Worker, IsLoad: true}}
		p.Exchanges.Add(e)
		p.Exchanges.FailUnsent(e)
		return
	}
	addr := p.addresses[command.Worker]
	encode := func(dispatch.SendPermit) []byte { return LoadRequest(addr, p.limits.Via, command) }
	p.send(now, &exchange{
		Exchange: upstream.Exchange{ID: command.ID, Worker: command.Worker, IsLoad: true, Encode: encode},
		digest:   command.Binding.Digest,
	})
}

// send writes an exchange to the most recently used idle connection, or dials a new connection for it.
func (p *Pool) send(now units.Seconds, e *exchange) {
	p.Exchanges.Add(e)
	addr := p.addresses[e.Worker]
	if addr == "" || p.draining[e.Worker] {
		p.Exchanges.FailUnsent(e)
		return
	}
	if idle := p.idle[e.Worker]; len(idle) > 0 {
		c := idle[len(idle)-1]
		p.idle[e.Worker] = idle[:len(idle)-1]
		p.write(now, c, e)
		return
	}
	if len(p.Connections.ForWorker(e.Worker)) >= p.limits.MaxPerWorker {
		p.Exchanges.FailUnsent(e)
		return
	}
	c := &connection{exchange: e, framer: http1.NewResponseFramer(p.limits.Message)}
	e.connection = c
	p.queueTimeout(c)
	p.Connections.Dial(now, c, e.Worker, addr)
}

// write writes an exchange to a connection without one. The connection becomes idle if the write is denied.
func (p *Pool) write(now units.Seconds, c *connection, e *exchange) {
	if !p.Exchanges.Write(e, p.transport, c.ID) {
		c.exchange, e.connection = nil, nil
		p.setIdle(now, c)
		return
	}
	c.exchange, e.connection = e, c
}

// WaitingFor returns the ID of the attempt that waits for the dial of a connection, if there is one.
func (p *Pool) WaitingFor(id upstream.ConnID) []uint64 {
	c := p.Connections.Get(id)
	if c == nil || c.Established || c.exchange == nil || c.exchange.IsLoad {
		return nil
	}
	return []uint64{c.exchange.ID}
}

// CancelUnsent cancels an attempt of which nothing was sent, without reporting an outcome, and returns true. It returns
// false for other attempts. The dial continues, so that a later exchange can use the connection.
func (p *Pool) CancelUnsent(id uint64) bool {
	e := p.Exchanges.GetUnsent(id)
	if e == nil {
		return false
	}
	p.Exchanges.Remove(e)
	if e.connection != nil {
		e.connection.exchange = nil
	}
	return true
}

// Abandon ends an attempt without reporting an outcome. If the attempt was sent, its connection is closed, which cancels it
// at the worker.
func (p *Pool) Abandon(_ units.Seconds, id uint64) {
	e := p.Exchanges.Get(id)
	if e == nil {
		return
	}
	p.Exchanges.Remove(e)
	c := e.connection
	switch {
	case c == nil:
	case !c.Established: // the dial continues, so that a later exchange can use the connection
		c.exchange = nil
	default:
		p.close(c)
	}
}
