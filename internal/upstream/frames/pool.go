package frames

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/upstream"
)

// Limits of the connections to workers; times in seconds.
type Limits struct {
	DialTimeout         float64 // a connection that is not established by then counts as unreachable
	IdleTimeout         float64 // an idle connection is closed after this
	MaxTotal            int     // connections to all workers, those being dialed included
	MaxPerWorker        int     // connections to one worker, while there are enough for all
	MaxStreams          int     // exchanges that one connection carries at a time
	IdempotencyKeyField string  // field of an attempt that holds the key by which workers know repeats
}

// Transport carries the bytes of a pool. It must not call back into the pool before a method returns.
type Transport interface {
	upstream.Transport
	Unsent(c upstream.ConnID) int // bytes that were written and have not left
}

// endpoint is what the endpoint list states of one worker.
type endpoint struct {
	address   string
	serving   bool
	startedAt float64
}

// Pool is the state of one front end's connections, each with several exchanges at a time. It tells apart what was never
// sent, what is proven not to have run and what may have run. It is not safe for use by two goroutines.
type Pool struct {
	limits         Limits
	transport      Transport
	endpoints      map[control.WorkerID]endpoint
	connections    upstream.Connections[*connection]
	exchanges      upstream.Exchanges[*exchange]
	lastLoadWireID uint64 // without loadWireIDBit
}

// loadWireIDBit keeps the wire ids of load commands apart from those of attempts, which are the requests' own.
const loadWireIDBit = 1 << 63

const (
	millisecondsPerSecond = 1000
	// minTimeoutMilliseconds is the least time that an attempt states to its worker.
	minTimeoutMilliseconds = 1
)

// NewPool makes a pool without workers.
func NewPool(limits Limits, transport Transport, results upstream.ExchangeHandler) *Pool {
	return &Pool{
		limits: limits, transport: transport, endpoints: map[control.WorkerID]endpoint{},
		connections: upstream.NewConnections[*connection](transport), exchanges: upstream.NewExchanges[*exchange](results),
	}
}

// Len is how many connections are open or being dialed.
func (p *Pool) Len() int { return p.connections.Len() }

// SetEndpoints takes a new endpoint list. Exchanges that wait for a connection to a worker that drains, is gone or
// restarted fail as unsent; its connections are closed, those with exchanges once these have ended. Connections belong
// to a worker and not to its address, which another may take.
func (p *Pool) SetEndpoints(list *upstream.EndpointList) {
	endpoints := make(map[control.WorkerID]endpoint, len(list.Workers))
	for _, worker := range list.Workers {
		endpoints[worker.ID] = endpoint{
			address: list.Addresses[worker.ID], serving: worker.State == control.Serving,
			startedAt: worker.StartedAt,
		}
	}
	for _, id := range p.connections.Workers() {
		if next := endpoints[id]; !next.serving || next != p.endpoints[id] {
			p.detachWorker(id)
		}
	}
	p.endpoints = endpoints
}

func (p *Pool) detachWorker(worker control.WorkerID) {
	for _, c := range slices.Clone(p.connections.Of(worker)) {
		c.detached = true
		for _, e := range c.takeWaiting() {
			delete(c.open, e.wireID)
			p.exchanges.FailUnsent(e)
		}
		switch {
		case len(c.open) == 0:
			p.connections.Close(c)
		case c.Established && p.transport.Unsent(c.ID) > 0: // what is in our buffer must not leave any more
			p.connections.Close(c)
			p.failAll(c)
		}
	}
}

// SendAttempt sends an attempt. Its wire id is the request's own id.
func (p *Pool) SendAttempt(now float64, a dispatch.Attempt) {
	id, err := strconv.ParseUint(a.Identity.ID, 16, 64)
	e := &exchange{Exchange: upstream.Exchange{ID: a.ID, Worker: a.Worker}, wireID: id}
	if err != nil {
		p.exchanges.Add(e)
		p.exchanges.FailUnsent(e)
		return
	}
	e.Encode = func(permit dispatch.SendPermit) []byte {
		return encodeFrame(commandAttempt, id, p.attemptFields(permit, a), a.Body)
	}
	p.send(now, e)
}

func (p *Pool) attemptFields(permit dispatch.SendPermit, a dispatch.Attempt) string {
	timeLeft := math.Floor(permit.TimeLeft() * millisecondsPerSecond)
	milliseconds := strconv.FormatFloat(max(timeLeft, minTimeoutMilliseconds), 'f', 0, 64)
	fields := fieldClass + "=" + a.Class + "," + fieldFunction + "=" + a.Function + "," + fieldTimeout + "=" + milliseconds
	var fieldsSb124 strings.Builder
	for _, f := range a.Fields {
		if f.Name == p.limits.IdempotencyKeyField && f.Value != "" {
			fieldsSb124.WriteString("," + fieldIdempotencyKey + "=" + f.Value)
		}
	}
	fields += fieldsSb124.String()
	return fields
}

// SendLoad sends a load command. One for no replicas unloads idle ones: it is not answered, and it is dropped where no
// connection is established.
func (p *Pool) SendLoad(now float64, command dispatch.LoadCommand) {
	if command.Replicas <= 0 {
		p.sendUnload(now, command)
		return
	}
	p.lastLoadWireID++
	id := p.lastLoadWireID | loadWireIDBit
	fields := fieldFunction + "=" + command.Function + "," + fieldReplicas + "=" + strconv.Itoa(command.Replicas)
	encode := func(dispatch.SendPermit) []byte { return encodeFrame(commandLoad, id, fields, nil) }
	p.send(now, &exchange{Exchange: upstream.Exchange{ID: command.ID, Worker: command.Worker, IsLoad: true, Encode: encode}, wireID: id})
}

func (p *Pool) sendUnload(now float64, command dispatch.LoadCommand) {
	c := p.pick(now, command.Worker, 0)
	function, err := strconv.ParseUint(command.Function, 16, 64)
	if err == nil && c != nil && c.Established {
		p.transport.Write(c.ID, encodeFrame(commandUnload, function, "", nil))
	}
}

func (p *Pool) send(now float64, e *exchange) {
	p.exchanges.Add(e)
	c := p.pick(now, e.Worker, e.wireID)
	if c == nil {
		p.exchanges.FailUnsent(e)
		return
	}
	e.connection = c
	c.open[e.wireID] = e
	if !c.Established {
		c.waiting = append(c.waiting, e)
		return
	}
	p.write(c, e)
}

// write writes an exchange to its connection, or takes it off where it must not leave now.
func (p *Pool) write(c *connection, e *exchange) {
	if !p.exchanges.Write(e, p.transport, c.ID) {
		delete(c.open, e.wireID)
	}
}

// WaitingFor are the attempts that wait for the dial of a connection.
func (p *Pool) WaitingFor(id upstream.ConnID) (attempts []uint64) {
	c := p.connections.Get(id)
	if c == nil {
		return nil
	}
	for _, e := range c.waiting {
		if !e.IsLoad {
			attempts = append(attempts, e.ID)
		}
	}
	return attempts
}

// pick returns the connection for one more exchange: an idle one; otherwise a new one while the worker may have more, so
// that a reset harms few; otherwise the one with the fewest exchanges. It returns nil where there is none.
func (p *Pool) pick(now float64, worker control.WorkerID, id uint64) *connection {
	if !p.endpoints[worker].serving {
		return nil
	}
	var best *connection
	count := 0
	for _, c := range p.connections.Of(worker) {
		if c.detached {
			continue
		}
		count++
		if !c.canCarry(id, p.limits.MaxStreams) || c.Established && p.transport.Unsent(c.ID) > 0 {
			continue
		}
		if best == nil || len(c.open) < len(best.open) {
			best = c
		}
	}
	suffices := best != nil && (len(best.open) == 0 || count >= p.limits.MaxPerWorker)
	if suffices || p.connections.Len() >= p.limits.MaxTotal {
		return best
	}
	c := &connection{open: map[uint64]*exchange{}}
	p.connections.Dial(now, c, worker, p.endpoints[worker].address)
	return c
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
	case errors.Is(err, upstream.ErrLocal):
		p.connections.Remove(c)
		p.failLocally(c)
	case err != nil:
		p.connections.Remove(c)
		p.failAll(c)
	default:
		for _, e := range c.takeWaiting() {
			p.write(c, e)
		}
		p.settle(now, c)
	}
}

// settle notes that a connection is idle, if no exchange is open on it, and closes it where it is detached.
func (p *Pool) settle(now float64, c *connection) {
	if len(c.open) > 0 {
		return
	}
	c.Since = now
	if c.detached {
		p.connections.Close(c)
	}
}

// failAll ends what was open on a connection that is lost.
func (p *Pool) failAll(c *connection) {
	for _, e := range c.takeOpen() {
		p.exchanges.FinishLost(e)
	}
}

// failLocally ends what waited for a dial that this machine could not make. Attempts were not sent, which says nothing of
// the worker and its replicas; a load command counts as one that can't reach it, so that another worker is asked.
func (p *Pool) failLocally(c *connection) {
	for _, e := range c.takeOpen() {
		if e.IsLoad {
			p.exchanges.FinishLost(e)
		} else {
			p.exchanges.Finish(e, dispatch.WorkerReply{Outcome: control.NotSent}, 0)
		}
	}
}

// CancelUnsent takes back an attempt of which nothing was sent; it returns false where something may have been. Its
// dial goes on for the next exchange.
func (p *Pool) CancelUnsent(id uint64) bool {
	e := p.exchanges.Get(id)
	if e == nil || e.Sent {
		return false
	}
	p.remove(e)
	return true
}

// remove drops an exchange without a report.
func (p *Pool) remove(e *exchange) {
	p.exchanges.Remove(e)
	if e.connection != nil {
		e.connection.remove(e)
	}
}

// Abandon gives up an attempt without a report and tells the worker that nobody waits. Where a part of it is still in the
// transport's buffer, its connection is closed instead, so that the part does not leave.
func (p *Pool) Abandon(now float64, id uint64) {
	e := p.exchanges.Get(id)
	if e == nil {
		return
	}
	p.remove(e)
	c := e.connection
	switch {
	case c == nil || !p.connections.Has(c):
		return
	case e.Sent && p.transport.Unsent(c.ID) > 0:
		p.connections.Close(c)
		p.failAll(c)
		return
	case e.Sent && !e.IsLoad:
		p.transport.Write(c.ID, encodeFrame(commandCancel, e.wireID, "", nil))
	}
	p.settle(now, c)
}

// OnData takes bytes from a worker.
func (p *Pool) OnData(now float64, id upstream.ConnID, data []byte) {
	c := p.connections.Get(id)
	if c == nil || !c.Established {
		return
	}
	c.framer.feed(data)
	for p.connections.Has(c) {
		r, ok, err := c.framer.next()
		if err != nil { // nothing that follows can be read, so what is open is lost
			p.connections.Close(c)
			p.failAll(c)
			return
		}
		if !ok {
			break
		}
		p.onReply(now, c, r)
	}
	c.framer.compact()
}

var outcomes = map[replyCode]control.Outcome{
	replySucceeded: control.Succeeded, replyReplicaMissing: control.ReplicaMissing,
	replyRejected: control.Rejected, replyFailed: control.Failed, replyNotSent: control.NotSent,
}

var startTypes = map[string]control.StartType{
	"hit": control.WarmStart, "spawn": control.ColdStart,
	"pending": control.JoinedColdStart, "spawn_failed": control.StartFailed,
}

// onReply takes one complete reply. One with an id that is not open is ignored: it is late, a duplicate or unsolicited.
func (p *Pool) onReply(now float64, c *connection, r reply) {
	e := c.open[r.id]
	outcome, known := outcomes[r.code]
	if e == nil || !known {
		return
	}
	delete(c.open, r.id)
	c.recent.add(r.id)
	if e.IsLoad {
		p.exchanges.Finish(e, dispatch.WorkerReply{Outcome: outcome}, fieldCount(r.fields, fieldReplicas))
	} else {
		result := dispatch.WorkerReply{Outcome: outcome, Start: startTypes[fieldValue(r.fields, fieldStart)]}
		if r.code == replySucceeded {
			result.Body = slices.Clone(r.body)
		}
		p.exchanges.Finish(e, result, 0)
	}
	if p.connections.Has(c) {
		p.settle(now, c)
	}
}

// OnClosed takes the end of a connection that the worker closed or that broke. An incomplete reply is discarded.
func (p *Pool) OnClosed(_ float64, id upstream.ConnID) {
	if c := p.connections.Get(id); c != nil {
		p.connections.Remove(c)
		p.failAll(c)
	}
}

// Tick closes connections that have been idle too long and gives up slow dials.
func (p *Pool) Tick(now float64) {
	for _, id := range p.connections.IDs() {
		c := p.connections.Get(id)
		switch {
		case c == nil:
		case c.DialTimedOut(now, p.limits.DialTimeout):
			p.connections.Close(c)
			p.failAll(c)
		case len(c.open) == 0 && c.IdleTimedOut(now, p.limits.IdleTimeout):
			p.connections.Close(c)
		}
	}
}

// CloseAll closes every connection; what is open on them is reported as lost, or as unreachable where it was not sent.
func (p *Pool) CloseAll(_ float64) {
	for _, id := range p.connections.IDs() {
		if c := p.connections.Get(id); c != nil {
			p.connections.Close(c)
			p.failAll(c)
		}
	}
}

// Check reports state that contradicts itself; it is for tests.
func (p *Pool) Check() error {
	errs := []error{p.connections.Check()}
	for _, worker := range p.connections.Workers() {
		for _, c := range p.connections.Of(worker) {
			for id, e := range c.open {
				if e.wireID != id || e.connection != c || !p.exchanges.Has(e) {
					errs = append(errs, fmt.Errorf("worker %s: exchange %d is out of place", worker, e.ID))
				}
			}
		}
	}
	return errors.Join(errs...)
}
