package frames

import (
	"errors"
	"fmt"
	"slices"

	"streamcleat/control"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// Limits configures a pool. Times are in seconds.
type Limits struct {
	DialTimeout         units.Seconds // a dial that takes longer fails, and its exchanges are unreachable
	IdleTimeout         units.Seconds // a connection that is idle for this long is closed
	MaxTotal            int           // connections to all workers, including those being dialed
	MaxPerWorker        int           // connections to one worker, exceeded only if none of them can carry another exchange
	MaxStreams          int           // concurrent exchanges per connection
	IdempotencyKeyField string        // name of the attempt's field that holds the idempotency key
}

// Transport dials a pool's connections and writes its data to them. Its methods must not call back into the pool before
// they return.
type Transport interface {
	upstream.Transport
	Unsent(id upstream.ConnID) int // number of bytes written that are still buffered
}

// endpoint holds the properties of a worker in the endpoint list.
type endpoint struct {
	address   string
	serving   bool
	startedAt units.Seconds
}

// Pool manages a front end's connections to workers, each of which carries several concurrent exchanges. Its results
// distinguish exchanges that were never sent, those that were certainly not executed and those that may have been. It is
// not safe for concurrent use.
type Pool struct {
	upstream.Pool[*connection, *exchange]
	limits         Limits
	transport      Transport
	handler        upstream.ExchangeHandler
	endpoints      map[control.WorkerID]endpoint
	uncertain      map[control.WorkerID]bool // workers with a connection whose process was not verified yet
	lastLoadWireID uint64                    // without loadWireIDBit
}

// NewPool returns a pool without endpoints.
func NewPool(limits Limits, transport Transport, handler upstream.ExchangeHandler) *Pool {
	return &Pool{
		Pool:   upstream.NewPool[*connection, *exchange](transport, handler),
		limits: limits, transport: transport, handler: handler,
		endpoints: map[control.WorkerID]endpoint{}, uncertain: map[control.WorkerID]bool{},
	}
}

// SetEndpoints applies a new endpoint list. The connections to workers that are draining, were removed, changed their
// address or restarted are drained: exchanges that wait for a dial fail as unsent, and connections are closed once the
// exchanges on them have ended. Connections belong to a worker and not to its address, which another worker may take over.
func (p *Pool) SetEndpoints(list *upstream.EndpointList) {
	endpoints := make(map[control.WorkerID]endpoint, len(list.Workers))
	for _, worker := range list.Workers {
		endpoints[worker.ID] = endpoint{
			address: list.Addresses[worker.ID], serving: worker.State == control.Serving,
			startedAt: worker.StartedAt,
		}
	}
	for _, id := range p.Connections.Workers() {
		if next := endpoints[id]; !next.serving || next != p.endpoints[id] {
			p.drainWorker(id)
		}
	}
	p.endpoints = endpoints
}

// drainWorker drains a worker's existing connections.
func (p *Pool) drainWorker(worker control.WorkerID) {
	delete(p.uncertain, worker)
	for _, c := range slices.Clone(p.Connections.ForWorker(worker)) {
		c.draining = true
		for _, e := range c.takeWaiting() {
			delete(c.open, e.wireID)
			p.Exchanges.FailUnsent(e)
		}
		switch {
		case len(c.open) == 0:
			p.Connections.Close(c)
		case c.Established && p.transport.Unsent(c.ID) > 0: // the buffered bytes must not be sent
			p.closeLost(c)
		}
	}
}

// closeLost closes a connection and reports the exchanges open on it as lost, or as unreachable if they were not sent.
func (p *Pool) closeLost(c *connection) {
	p.Connections.Close(c)
	p.reportDisconnection(c)
	p.failOpen(c)
}

// failOpen reports the exchanges open on a connection that has ended as lost, or as unreachable if they were not sent.
func (p *Pool) failOpen(c *connection) {
	for _, e := range c.takeOpen() {
		p.Exchanges.FinishLost(e)
	}
}

// checkIdle starts the idle time of a connection without open exchanges, or closes it if it is draining.
func (p *Pool) checkIdle(now units.Seconds, c *connection) {
	if len(c.open) > 0 {
		return
	}
	c.Since = now
	if c.draining {
		p.Connections.Close(c)
	}
}

// Tick closes connections whose dial or idle timeout has expired.
func (p *Pool) Tick(now units.Seconds) {
	for _, id := range p.Connections.IDs() {
		c := p.Connections.Get(id)
		switch {
		case c == nil:
		case c.DialTimedOut(now, p.limits.DialTimeout):
			p.closeLost(c)
		case len(c.open) == 0 && c.IdleTimedOut(now, p.limits.IdleTimeout):
			p.Connections.Close(c)
			p.reportDisconnection(c)
		}
	}
}

// CloseAll closes every connection and reports open exchanges as lost, or as unreachable if they were not sent.
func (p *Pool) CloseAll(_ units.Seconds) {
	for _, id := range p.Connections.IDs() {
		if c := p.Connections.Get(id); c != nil {
			p.closeLost(c)
		}
	}
}

// Check returns an error for each inconsistency in the pool. It is meant for tests.
func (p *Pool) Check() error {
	errs := []error{p.Connections.Check()}
	for _, worker := range p.Connections.Workers() {
		for _, c := range p.Connections.ForWorker(worker) {
			for id, e := range c.open {
				if e.wireID != id || e.connection != c || !p.Exchanges.Contains(e) {
					errs = append(errs, fmt.Errorf("worker %s: exchange %d is listed under the wrong connection or wire ID, or is not open", worker, e.ID))
				}
			}
		}
	}
	return errors.Join(errs...)
}
