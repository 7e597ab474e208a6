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
	DialTimeout  units.Seconds // a worker whose dial takes longer is unreachable
	IdleTimeout  units.Seconds // an idle connection is closed after this
	MaxPerWorker int           // connections to one worker, including those being dialed
	Message      http1.Limits
	Via          string // the front end's name
}

// Pool is a front end's connections to workers that speak the Open Inference Protocol, with one request at a time on
// each. Its reports distinguish what was never sent from what may have been executed. It is not safe for concurrent use.
type Pool struct {
	upstream.Pool[*connection, *exchange]
	limits    Limits
	transport upstream.Transport
	addresses map[control.WorkerID]string
	draining  map[control.WorkerID]bool          // nothing new is sent to these
	idle      map[control.WorkerID][]*connection // most recently used last
	timeouts  []*connection                      // dialing or idle, in the order they became so; entries may be stale
}

// NewPool returns a pool without endpoints.
func NewPool(limits Limits, transport upstream.Transport, handler upstream.ExchangeHandler) *Pool {
	return &Pool{
		Pool:   upstream.NewPool[*connection, *exchange](transport, handler),
		limits: limits, transport: transport, addresses: map[control.WorkerID]string{},
		draining: map[control.WorkerID]bool{}, idle: map[control.WorkerID][]*connection{},
	}
}

// SetEndpoints applies a new endpoint list. Workers that are draining, removed or moved are drained: exchanges that wait
// for a dial fail as unsent, and idle connections are closed.
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

// drainWorker closes a worker's idle connections and gives up its dials. Requests already sent continue.
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

// abandonDial closes a connection that is being dialed and fails the exchange that waits for it.
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

// removeIdle makes a connection unavailable if it was idle.
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

// remove removes a connection that is already closed.
func (p *Pool) remove(c *connection) {
	p.Connections.Remove(c)
	if len(p.Connections.ForWorker(c.Worker)) == 0 {
		delete(p.idle, c.Worker)
	}
}

// queueTimeout has Tick check the timeout of a connection that is being dialed or became idle.
func (p *Pool) queueTimeout(c *connection) {
	if !c.queued {
		c.queued = true
		p.timeouts = append(p.timeouts, c)
	}
}

// Tick closes connections whose dial or idle time is over.
func (p *Pool) Tick(now units.Seconds) {
	remaining := p.timeouts[:0]
	for _, c := range p.timeouts {
		switch {
		case !p.Connections.Contains(c) || c.Established && c.exchange != nil:
			c.queued = false
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

// CloseAll closes every connection and reports open exchanges as lost, including those that wait for a dial.
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

// Check returns an error for each inconsistency in the pool. It is meant for tests.
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
