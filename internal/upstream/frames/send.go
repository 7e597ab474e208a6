package frames

import (
	"math"
	"strconv"
	"strings"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/hexid"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// loadWireIDBit is set in the wire IDs of load commands, to distinguish them from those of attempts, which are request IDs.
const loadWireIDBit = 1 << 63

const (
	millisecondsPerSecond = 1000
	// minTimeoutMilliseconds is the shortest timeout that is sent to a worker in an attempt.
	minTimeoutMilliseconds = 1
	// attemptFieldsSizeHint is the capacity reserved for the fields of an attempt.
	attemptFieldsSizeHint = 64
)

// SendAttempt sends an attempt. Its wire ID is the request ID.
func (p *Pool) SendAttempt(now units.Seconds, a dispatch.Attempt) {
	requestID, err := hexid.Parse(a.Identity.ID)
	id := uint64(requestID)
	e := &exchange{Exchange: upstream.Exchange{ID: a.ID, Worker: a.Worker}, wireID: id}
	if err != nil {
		p.Exchanges.Add(e)
		p.Exchanges.FailUnsent(e)
		return
	}
	e.Encode = func(permit dispatch.SendPermit) []byte {
		return encodeFrame(commandAttempt, id, p.attemptFields(permit, a), a.Body)
	}
	p.send(now, e)
}

// attemptFields encodes the fields of an attempt.
func (p *Pool) attemptFields(permit dispatch.SendPermit, a dispatch.Attempt) string {
	timeLeft := math.Floor(float64(permit.TimeLeft() * millisecondsPerSecond))
	milliseconds := strconv.FormatFloat(max(timeLeft, minTimeoutMilliseconds), 'f', 0, 64)
	var fields strings.Builder
	fields.Grow(attemptFieldsSizeHint)
	writeField := func(name, value string) {
		if fields.Len() > 0 {
			fields.WriteByte(',')
		}
		fields.WriteString(name)
		fields.WriteByte('=')
		fields.WriteString(value)
	}
	writeField(fieldClass, a.Class)
	writeField(fieldFunction, a.Function)
	writeField(fieldTimeout, milliseconds)
	for _, f := range a.Fields {
		if f.Name == p.limits.IdempotencyKeyField && f.Value != "" {
			writeField(fieldIdempotencyKey, f.Value)
		}
	}
	return fields.String()
}

// SendLoad sends a load command or a query. On the wire, a query is a load command for zero replicas. Any other command for
// zero replicas unloads idle replicas: it gets no reply, and is dropped if no connection to the worker is established.
func (p *Pool) SendLoad(now units.Seconds, command dispatch.LoadCommand) {
	if command.Replicas <= 0 && !command.Query {
		p.sendUnload(now, command)
		return
	}
	id := p.nextLoadWireID()
	fields := fieldFunction + "=" + command.Function + "," + fieldReplicas + "=" + strconv.Itoa(command.Replicas)
	encode := func(dispatch.SendPermit) []byte { return encodeFrame(commandLoad, id, fields, nil) }
	p.send(now, &exchange{Exchange: upstream.Exchange{ID: command.ID, Worker: command.Worker, IsLoad: true, Encode: encode}, wireID: id})
}

// nextLoadWireID returns a wire ID that no request and no other load command has.
func (p *Pool) nextLoadWireID() uint64 {
	p.lastLoadWireID++
	return p.lastLoadWireID | loadWireIDBit
}

func (p *Pool) sendUnload(now units.Seconds, command dispatch.LoadCommand) {
	c := p.connectionFor(now, command.Worker, 0)
	function, err := hexid.Parse(command.Function)
	if err == nil && c != nil && c.Established {
		p.transport.Write(c.ID, encodeFrame(commandUnload, uint64(function), "", nil))
	}
}

// send writes an exchange to a connection, or queues it until the connection's dial completes.
func (p *Pool) send(now units.Seconds, e *exchange) {
	p.Exchanges.Add(e)
	c := p.connectionFor(now, e.Worker, e.wireID)
	if c == nil {
		p.Exchanges.FailUnsent(e)
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

// write writes an exchange to its connection. If the write is denied, it removes the exchange from the connection.
func (p *Pool) write(c *connection, e *exchange) {
	if !p.Exchanges.Write(e, p.transport, c.ID) {
		delete(c.open, e.wireID)
	}
}

// WaitingFor returns the IDs of the attempts that wait for a connection's dial to complete.
func (p *Pool) WaitingFor(id upstream.ConnID) []uint64 {
	c := p.Connections.Get(id)
	if c == nil {
		return nil
	}
	var attempts []uint64
	for _, e := range c.waiting {
		if !e.IsLoad {
			attempts = append(attempts, e.ID)
		}
	}
	return attempts
}

// CancelUnsent cancels an attempt if no part of it was sent, and reports whether it did. No result is reported for a
// canceled attempt. Its connection keeps dialing, for the next exchange.
func (p *Pool) CancelUnsent(id uint64) bool {
	e := p.Exchanges.GetUnsent(id)
	if e == nil {
		return false
	}
	p.remove(e)
	return true
}

// Abandon ends an exchange without reporting a result, and cancels an attempt at the worker if it was sent. If sent bytes
// are still buffered, the connection is closed instead, so that they do not reach the worker.
func (p *Pool) Abandon(now units.Seconds, id uint64) {
	e := p.Exchanges.Get(id)
	if e == nil {
		return
	}
	p.remove(e)
	c := e.connection
	if c == nil || !p.Connections.Contains(c) {
		return
	}
	if e.Sent {
		c.ended.add(now, e.wireID)
	}
	switch {
	case e.Sent && p.transport.Unsent(c.ID) > 0:
		p.closeLost(c)
		return
	case e.Sent && !e.IsLoad:
		p.transport.Write(c.ID, encodeFrame(commandCancel, e.wireID, "", nil))
	}
	p.checkIdle(now, c)
}

// remove removes an exchange from the pool and its connection without reporting a result.
func (p *Pool) remove(e *exchange) {
	p.Exchanges.Remove(e)
	if e.connection != nil {
		e.connection.remove(e)
	}
}
