package openinference

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
	"streamcleat/internal/upstream"
)

// Limits of the connections to workers; times in seconds.
type Limits struct {
	DialTimeout  float64 // a connection that is not established by then counts as unreachable
	IdleTimeout  float64 // an idle connection is closed after this
	MaxPerWorker int     // connections to one worker, those being dialed included
	Message      http1.Limits
	Via          string // the front end's name
}

// httpExchange is one request over HTTP/1.1.
type httpExchange struct {
	upstream.Exchange
	digest     string          // that a load command asks for
	connection *httpConnection // that carries it or is being dialed for it; nil where there is none
}

// httpConnection carries one request at a time.
type httpConnection struct {
	upstream.Connection
	exchange *httpExchange // under way, or waiting for the dial
	timed    bool          // stands in Pool.timed
	framer   *http1.Framer // of the responses
}

// Pool is the state of one front end's connections to workers that speak the Open Inference Protocol: one request at a
// time on each. It tells apart what was never sent from what may have run. It is not safe for use by two goroutines.
type Pool struct {
	limits      Limits
	transport   upstream.Transport
	addresses   map[control.WorkerID]string
	detached    map[control.WorkerID]bool // draining or gone: nothing that is not sent yet goes there
	connections upstream.Connections[*httpConnection]
	idle        map[control.WorkerID][]*httpConnection // newest last
	exchanges   upstream.Exchanges[*httpExchange]
	timed       []*httpConnection // being dialed or idle, in the order they became so; entries may be stale
}

// NewPool makes a pool without workers.
func NewPool(limits Limits, transport upstream.Transport, results upstream.ExchangeHandler) *Pool {
	return &Pool{
		limits: limits, transport: transport, addresses: map[control.WorkerID]string{},
		detached: map[control.WorkerID]bool{}, connections: upstream.NewConnections[*httpConnection](transport),
		idle: map[control.WorkerID][]*httpConnection{}, exchanges: upstream.NewExchanges[*httpExchange](results),
	}
}

// Len is how many connections are open or being dialed.
func (p *Pool) Len() int { return p.connections.Len() }

// SetEndpoints takes a new endpoint list. Exchanges that wait for a connection to a worker that drains, left or moved
// fail as unsent; the worker's idle connections are closed.
func (p *Pool) SetEndpoints(list *upstream.EndpointList) {
	for _, worker := range slices.Sorted(maps.Keys(p.addresses)) {
		if list.Addresses[worker] != p.addresses[worker] {
			p.detachWorker(worker)
			delete(p.detached, worker)
		}
	}
	p.addresses = list.Addresses
	for _, worker := range list.Workers {
		if worker.State == control.Serving {
			delete(p.detached, worker.ID)
		} else if !p.detached[worker.ID] {
			p.detached[worker.ID] = true
			p.detachWorker(worker.ID)
		}
	}
}

// detachWorker closes a worker's idle connections and gives up its dials. Requests that were sent run on.
func (p *Pool) detachWorker(worker control.WorkerID) {
	for _, c := range p.idle[worker] {
		p.close(c)
	}
	delete(p.idle, worker)
	for _, c := range slices.Clone(p.connections.Of(worker)) {
		if !c.Established {
			p.giveUpDial(c)
		}
	}
}

func (p *Pool) giveUpDial(c *httpConnection) {
	p.close(c)
	if c.exchange != nil {
		p.exchanges.FailUnsent(c.exchange)
	}
}

// SendAttempt sends an attempt over an idle connection or a new one.
func (p *Pool) SendAttempt(now float64, a dispatch.Attempt) {
	addr := p.addresses[a.Worker]
	encode := func(permit dispatch.SendPermit) []byte { return InferRequest(addr, p.limits.Via, permit, a) }
	p.send(now, &httpExchange{Exchange: upstream.Exchange{ID: a.ID, Worker: a.Worker, Encode: encode}})
}

// SendLoad sends a load command likewise.
func (p *Pool) SendLoad(now float64, command dispatch.LoadCommand) {
	addr := p.addresses[command.Worker]
	encode := func(dispatch.SendPermit) []byte { return LoadRequest(addr, p.limits.Via, command) }
	p.send(now, &httpExchange{
		Exchange: upstream.Exchange{ID: command.ID, Worker: command.Worker, IsLoad: true, Encode: encode},
		digest:   command.Binding.Digest,
	})
}

func (p *Pool) send(now float64, e *httpExchange) {
	p.exchanges.Add(e)
	addr := p.addresses[e.Worker]
	if addr == "" || p.detached[e.Worker] {
		p.exchanges.FailUnsent(e)
		return
	}
	if idle := p.idle[e.Worker]; len(idle) > 0 {
		c := idle[len(idle)-1]
		p.idle[e.Worker] = idle[:len(idle)-1]
		p.write(now, c, e)
		return
	}
	if len(p.connections.Of(e.Worker)) >= p.limits.MaxPerWorker {
		p.exchanges.FailUnsent(e)
		return
	}
	c := &httpConnection{exchange: e, framer: http1.NewResponses(p.limits.Message)}
	e.connection = c
	p.startTimer(c)
	p.connections.Dial(now, c, e.Worker, addr)
}

// write writes an exchange to a connection that has none, or leaves the connection idle where that must not leave now.
func (p *Pool) write(now float64, c *httpConnection, e *httpExchange) {
	if !p.exchanges.Write(e, p.transport, c.ID) {
		c.exchange, e.connection = nil, nil
		p.setIdle(now, c)
		return
	}
	c.exchange, e.connection = e, c
}

// WaitingFor is the attempt that waits for the dial of a connection, if one does.
func (p *Pool) WaitingFor(id upstream.ConnID) []uint64 {
	c := p.connections.Get(id)
	if c == nil || c.Established || c.exchange == nil || c.exchange.IsLoad {
		return nil
	}
	return []uint64{c.exchange.ID}
}

// Pending reports whether Flush has something to report.
func (p *Pool) Pending() bool { return p.exchanges.Pending() }

// Flush reports the exchanges that could not be sent.
func (p *Pool) Flush() { p.exchanges.Flush() }

// OnDialed takes the end of a dial.
func (p *Pool) OnDialed(now float64, id upstream.ConnID, err error) {
	c := p.connections.Dialed(now, id, err)
	switch {
	case c == nil:
	case err != nil:
		p.remove(c)
		if c.exchange != nil {
			p.exchanges.FinishLost(c.exchange)
		}
	case c.exchange == nil:
		p.setIdle(now, c)
	default:
		p.write(now, c, c.exchange)
	}
}

// CancelUnsent takes back an attempt of which nothing was sent; it returns false where something may have been. Its
// dial goes on for the next exchange.
func (p *Pool) CancelUnsent(id uint64) bool {
	e := p.exchanges.Get(id)
	if e == nil || e.Sent {
		return false
	}
	p.exchanges.Remove(e)
	if e.connection != nil {
		e.connection.exchange = nil
	}
	return true
}

// Abandon gives up an attempt without a report. Its connection is closed, which tells the worker that nobody waits.
func (p *Pool) Abandon(_ float64, id uint64) {
	e := p.exchanges.Get(id)
	if e == nil {
		return
	}
	p.exchanges.Remove(e)
	c := e.connection
	switch {
	case c == nil:
	case !c.Established: // the dial goes on for the next exchange
		c.exchange = nil
	default:
		p.close(c)
	}
}

// OnData takes bytes from a worker.
func (p *Pool) OnData(now float64, id upstream.ConnID, data []byte) {
	c := p.connections.Get(id)
	if c == nil || !c.Established {
		return
	}
	if c.exchange == nil { // unsolicited bytes would pass for the next response
		p.removeIdle(c)
		p.close(c)
		return
	}
	c.framer.Feed(data)
	message, err := c.framer.Next()
	if message == nil && err == nil {
		return
	}
	p.finish(now, c, message, err)
}

// finish ends the exchange of a connection by its response, or by an error where that can't be read.
func (p *Pool) finish(now float64, c *httpConnection, message *http1.Message, err error) {
	e := c.exchange
	c.exchange = nil
	if err != nil || message.Close || !c.framer.Idle() || p.detached[c.Worker] {
		p.close(c)
	} else {
		p.setIdle(now, c)
	}
	switch {
	case err != nil: // the worker may have run the request
		p.exchanges.FinishLost(e)
	case e.IsLoad:
		outcome, replicas := ParseLoadResponse(message, e.digest)
		p.exchanges.Finish(e, dispatch.WorkerReply{Outcome: outcome}, replicas)
	default:
		p.exchanges.Finish(e, ParseInferResponse(message), 0)
	}
}

// OnClosed takes the end of a connection that the worker closed or that broke.
func (p *Pool) OnClosed(now float64, id upstream.ConnID) {
	c := p.connections.Get(id)
	if c == nil {
		return
	}
	e := c.exchange
	if message, err := c.framer.End(); e != nil && err == nil && message != nil {
		p.finish(now, c, message, nil)
		return
	}
	p.removeIdle(c)
	p.remove(c)
	if e != nil {
		p.exchanges.FinishLost(e)
	}
}

func (p *Pool) setIdle(now float64, c *httpConnection) {
	c.Since = now
	p.idle[c.Worker] = append(p.idle[c.Worker], c)
	p.startTimer(c)
}

func (p *Pool) removeIdle(c *httpConnection) {
	list := p.idle[c.Worker]
	if i := slices.Index(list, c); i >= 0 {
		p.idle[c.Worker] = slices.Delete(list, i, i+1)
	}
}

func (p *Pool) close(c *httpConnection) {
	p.remove(c)
	p.transport.Close(c.ID)
}

func (p *Pool) remove(c *httpConnection) {
	p.connections.Remove(c)
	if len(p.connections.Of(c.Worker)) == 0 {
		delete(p.idle, c.Worker)
	}
}

// startTimer has Tick look at a connection that is being dialed or became idle.
func (p *Pool) startTimer(c *httpConnection) {
	if !c.timed {
		c.timed = true
		p.timed = append(p.timed, c)
	}
}

// Tick closes connections that have been idle too long and gives up slow dials.
func (p *Pool) Tick(now float64) {
	kept := p.timed[:0]
	for _, c := range p.timed {
		switch {
		case !p.connections.Has(c) || c.Established && c.exchange != nil:
			c.timed = false
		case c.DialTimedOut(now, p.limits.DialTimeout):
			p.giveUpDial(c)
		case c.IdleTimedOut(now, p.limits.IdleTimeout):
			p.removeIdle(c)
			p.close(c)
		default:
			kept = append(kept, c)
		}
	}
	clear(p.timed[len(kept):])
	p.timed = kept
}

// CloseAll closes every connection. What is open on them, those being dialed included, is reported as lost.
func (p *Pool) CloseAll(_ float64) {
	for _, id := range p.connections.IDs() {
		c := p.connections.Get(id)
		if c == nil {
			continue
		}
		p.close(c)
		if c.exchange != nil {
			p.exchanges.Finish(c.exchange, dispatch.WorkerReply{Outcome: control.ConnectionLost}, 0)
		}
	}
}

// Check reports state that contradicts itself; it is for tests.
func (p *Pool) Check() error {
	errs := []error{p.connections.Check()}
	for worker, list := range p.idle {
		for _, c := range list {
			if c.exchange != nil || !c.Established || !p.connections.Has(c) {
				errs = append(errs, fmt.Errorf("worker %s: connection %d is listed as idle and is not", worker, c.ID))
			}
		}
	}
	return errors.Join(errs...)
}
