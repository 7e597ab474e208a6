package upstream

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// ConnID identifies a connection. IDs are not reused.
type ConnID uint64

// Transport dials a pool's connections and writes its data to them. Its methods must not call back into the pool before
// they return.
type Transport interface {
	Dial(id ConnID, addr string)
	Write(id ConnID, data []byte)
	Close(id ConnID) // the pool's OnClosed is not called
}

// Connection is the state of a connection to a worker that both protocols share. Each protocol embeds it in its own
// connection type.
type Connection struct {
	ID          ConnID
	Worker      control.WorkerID
	Established bool
	Since       units.Seconds // when the dial started; once established, when the connection was established or last became idle
}

func (c *Connection) base() *Connection { return c }

// anyConnection is a pointer to a type that embeds Connection.
type anyConnection interface {
	comparable
	base() *Connection
}

// DialTimedOut reports whether the connection has been dialing for at least timeout seconds.
func (c *Connection) DialTimedOut(now, timeout units.Seconds) bool {
	return !c.Established && now-c.Since >= timeout
}

// IdleTimedOut reports whether the connection is established and has been idle for at least timeout seconds. It must only
// be called on a connection without open exchanges.
func (c *Connection) IdleTimedOut(now, timeout units.Seconds) bool {
	return c.Established && now-c.Since >= timeout
}

// Connections is the registry of a pool's connections, including those being dialed. Create it with NewConnections.
type Connections[C anyConnection] struct {
	transport Transport
	lastID    ConnID
	byID      map[ConnID]C
	byWorker  map[control.WorkerID][]C // in the order they were dialed
}

// NewConnections returns an empty registry that dials over transport.
func NewConnections[C anyConnection](transport Transport) Connections[C] {
	return Connections[C]{transport: transport, byID: map[ConnID]C{}, byWorker: map[control.WorkerID][]C{}}
}

// Len returns the number of connections, including those being dialed.
func (r *Connections[C]) Len() int { return len(r.byID) }

// Get returns the connection with the given ID, or nil.
func (r *Connections[C]) Get(id ConnID) C { return r.byID[id] }

// Contains reports whether c is registered.
func (r *Connections[C]) Contains(c C) bool { return r.byID[c.base().ID] == c }

// IDs returns the IDs of all connections in ascending order.
func (r *Connections[C]) IDs() []ConnID { return slices.Sorted(maps.Keys(r.byID)) }

// Workers returns the workers that have connections, in ascending order.
func (r *Connections[C]) Workers() []control.WorkerID { return slices.Sorted(maps.Keys(r.byWorker)) }

// ForWorker returns a worker's connections in the order they were dialed. Dial, Close and Remove modify the slice.
func (r *Connections[C]) ForWorker(worker control.WorkerID) []C { return r.byWorker[worker] }

// Dial registers c as a new connection to worker, under a new ID, and dials addr.
func (r *Connections[C]) Dial(now units.Seconds, c C, worker control.WorkerID, addr string) {
	r.lastID++
	base := c.base()
	base.ID, base.Worker, base.Since = r.lastID, worker, now
	r.byID[base.ID] = c
	r.byWorker[worker] = append(r.byWorker[worker], c)
	r.transport.Dial(base.ID, addr)
}

// FinishDial records the result of a dial and returns its connection, which is established if err is nil. It returns nil
// if the connection was closed during the dial or the result has been recorded already.
func (r *Connections[C]) FinishDial(now units.Seconds, id ConnID, err error) C {
	var none C
	c, known := r.byID[id]
	if !known {
		if err == nil {
			r.transport.Close(id)
		}
		return none
	}
	base := c.base()
	if base.Established {
		return none
	}
	if err == nil {
		base.Established, base.Since = true, now
	}
	return c
}

// Close removes and closes a connection.
func (r *Connections[C]) Close(c C) {
	r.Remove(c)
	r.transport.Close(c.base().ID)
}

// Remove removes a connection that is already closed or whose dial failed. It does nothing if c is not registered.
func (r *Connections[C]) Remove(c C) {
	if !r.Contains(c) {
		return
	}
	base := c.base()
	delete(r.byID, base.ID)
	remaining := slices.DeleteFunc(r.byWorker[base.Worker], func(other C) bool { return other == c })
	if len(remaining) == 0 {
		delete(r.byWorker, base.Worker)
	} else {
		r.byWorker[base.Worker] = remaining
	}
}

// Check returns an error for each inconsistency in the registry. It is meant for tests.
func (r *Connections[C]) Check() error {
	var errs []error
	count := 0
	for worker, list := range r.byWorker {
		count += len(list)
		for _, c := range list {
			if c.base().Worker != worker || !r.Contains(c) {
				errs = append(errs, fmt.Errorf("worker %s: connection %d is listed for the wrong worker or not registered", worker, c.base().ID))
			}
		}
	}
	if count != len(r.byID) {
		errs = append(errs, fmt.Errorf("%d connections are listed by worker, but %d by ID", count, len(r.byID)))
	}
	return errors.Join(errs...)
}
