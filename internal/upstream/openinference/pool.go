package openinference

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"streamcleat/control"
	"streamcleat/internal/http1"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// Limits configures the connections to workers. Times are in seconds.
type Limits struct {
	DialTimeout  units.Seconds // until a dial is aborted and the worker considered unreachable
	IdleTimeout  units.Seconds // until an idle connection is closed
	MaxPerWorker int           // maximum connections to one worker, including those being dialed
	Message      http1.Limits
	Via          string // the front end's name in the Via field
}

// Pool manages a front end's connections to workers that speak the Open Inference Protocol, with one request at a time on
// each connection. The outcomes that it reports distinguish exchanges that were never sent from those that a worker may
// have executed. It is not safe for concurrent use.
type Pool struct {
	upstream.Pool[*connection, *exchange]
	limits    Limits
	transport upstream.Transport
	addresses map[control.WorkerID]string
	draining  map[control.WorkerID]bool          // workers to which no new exchange is sent
	idle      map[control.WorkerID][]*connection // most recently used last
	timeouts  []*connection                      // dialing or idle, in the order in which they were added; entries may be stale
}

// NewPool returns a pool with an empty endpoint list.
func NewPool(limits Limits, transport upstream.Transport, handler upstream.ExchangeHandler) *Pool {
	return &Pool{
		Pool:   upstream.NewPool[*connection, *exchange](transport, handler),
		limits: limits, transport: transport, addresses: map[control.WorkerID]string{},
		draining: map[control.WorkerID]bool{}, idle: map[control.WorkerID][]*connection{},
	}
}

// SetEndpoints applies a new endpoint list. A worker that is draining or removed, or whose address changed, is drained:
// exchanges that wait for a dial fail as unsent, and idle connections are closed.
func (p *Pool) SetEndpoints(list *upstream.EndpointList) {
	for _, worker := range slices.Sorted(maps.Keys(p.addresses)) {
		if list.Addresses[worker] != p.addresses[worker] {
			p.drainWorker(worker)
			delete(p.draining, worker)
		}
	}
	p.addresses = list.Addresses
	for _, worker := range list.Workers {
		if worker.State == control.Serving {
			delete(p.draining, worker.ID)
		} else if !p.draining[worker.ID] {
			p.draining[worker.ID] = true
			p.drainWorker(worker.ID)
		}
	}
}

// drainWorker closes a worker's idle connections and aborts its dials. Requests in flight continue.
func (p *Pool) drainWorker(worker control.WorkerID) {
	for _, c := range p.idle[worker] {
		p.close(c)
	}
	delete(p.idle, worker)
	for _, c := range slices.Clone(p.Connections.ForWorker(worker)) {
		if !c.Established {
			p.abandonDial(c)
		}
	}
}

// abandonDial closes a connection that is being dialed and fails the exchange that waits for the dial.
func (p *Pool) abandonDial(c *connection) {
	p.close(c)
	if c.exchange != nil {
		p.Exchanges.FailUnsent(c.exchange)
	}
}

// setIdle makes an established connection available to the next exchange.
func (p *Pool) setIdle(now units.Seconds, c *connection) {
	c.Since = now
	p.idle[c.Worker] = append(p.idle[c.Worker], c)
	p.queueTimeout(c)
}

// removeIdle removes a connection from the idle list if it is listed.
func (p *Pool) removeIdle(c *connection) {
	list := p.idle[c.Worker]
	if i := slices.Index(list, c); i >= 0 {
		p.idle[c.Worker] = slices.Delete(list, i, i+1)
	}
}

// close closes a connection that is not idle, or whose worker's idle list is being removed.
func (p *Pool) close(c *connection) {
	p.remove(c)
	p.transport.Close(c.ID)
}

// remove removes a closed connection from the pool.
func (p *Pool) remove(c *connection) {
	p.Connections.Remove(c)
	if len(p.Connections.ForWorker(c.Worker)) == 0 {
		delete(p.idle, c.Worker)
	}
}

// queueTimeout adds a connection that is being dialed or became idle to those whose timeouts Tick checks.
func (p *Pool) queueTimeout(c *connection) {
	if !c.inTimeouts {
		c.inTimeouts = true
		p.timeouts = append(p.timeouts, c)
	}
}

// Tick closes connections whose dial or idle timeout has expired.
func (p *Pool) Tick(now units.Seconds) {
	remaining := p.timeouts[:0]
	for _, c := range p.timeouts {
		switch {
		case !p.Connections.Contains(c) || c.Established && c.exchange != nil:
			c.inTimeouts = false
		case c.DialTimedOut(now, p.limits.DialTimeout):
			p.abandonDial(c)
		case c.IdleTimedOut(now, p.limits.IdleTimeout):
			p.removeIdle(c)
			p.close(c)
		default:
			remaining = append(remaining, c)
		}
	}
	clear(p.timeouts[len(remaining):])
	p.timeouts = remaining
}

// CloseAll closes every connection and reports its exchange: as lost if it was written, as unreachable if it waits for the
// dial.
func (p *Pool) CloseAll(_ units.Seconds) {
	for _, id := range p.Connections.IDs() {
		c := p.Connections.Get(id)
		if c == nil {
			continue
		}
		p.close(c)
		if c.exchange != nil {
			p.Exchanges.FinishLost(c.exchange)
		}
	}
}

// Check returns an error that describes every inconsistency in the pool. It is meant for tests.
func (p *Pool) Check() error {
	errs := []error{p.Connections.Check()}
	for worker, list := range p.idle {
		for _, c := range list {
			if c.exchange != nil || !c.Established || !p.Connections.Contains(c) {
				errs = append(errs, fmt.Errorf("worker %s: connection %d is listed as idle but is not", worker, c.ID))
			}
		}
	}
	return errors.Join(errs...)
}
