package upstream

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"streamcleat/control"
)

// ConnID is the number of one connection; it is never used again.
type ConnID uint64

// Transport carries the bytes of a pool. It must not call back into the pool before a method returns.
type Transport interface {
	Dial(c ConnID, addr string)
	Write(c ConnID, data []byte)
	Close(c ConnID) // OnClosed does not follow
}

// Connection is what connections to workers have in common. The pool of each protocol embeds it in its own type.
type Connection struct {
	ID          ConnID
	Worker      control.WorkerID
	Established bool
	Since       float64 // when the dial began, or when the connection was established or became idle
}

func (c *Connection) connection() *Connection { return c }

// anyConnection is a pointer to a type that embeds Connection.
type anyConnection interface {
	comparable
	connection() *Connection
}

// DialTimedOut reports whether the connection is still being dialed after timeout seconds.
func (c *Connection) DialTimedOut(now, timeout float64) bool {
	return !c.Established && now-c.Since >= timeout
}

// IdleTimedOut reports whether an established connection, which must be idle, has been so for timeout seconds.
func (c *Connection) IdleTimedOut(now, timeout float64) bool {
	return c.Established && now-c.Since >= timeout
}

// Connections is the registry of the connections of one pool, those being dialed included. The zero value is not
// usable; NewConnections makes one.
type Connections[C anyConnection] struct {
	transport Transport
	lastID    ConnID
	byID      map[ConnID]C
	byWorker  map[control.WorkerID][]C // in the order they were dialed
}

// NewConnections makes an empty registry over transport.
func NewConnections[C anyConnection](transport Transport) Connections[C] {
	return Connections[C]{transport: transport, byID: map[ConnID]C{}, byWorker: map[control.WorkerID][]C{}}
}

// Len is the number of connections, those being dialed included.
func (r *Connections[C]) Len() int { return len(r.byID) }

// Get is the connection of that number, or nil.
func (r *Connections[C]) Get(id ConnID) C { return r.byID[id] }

// Has reports whether c itself is registered.
func (r *Connections[C]) Has(c C) bool { return r.byID[c.connection().ID] == c }

// IDs are the numbers of all connections in ascending order.
func (r *Connections[C]) IDs() []ConnID { return slices.Sorted(maps.Keys(r.byID)) }

// Workers are the workers that have connections, in ascending order.
func (r *Connections[C]) Workers() []control.WorkerID { return slices.Sorted(maps.Keys(r.byWorker)) }

// Of are a worker's connections in the order they were dialed. Dial, Close and Remove change the slice.
func (r *Connections[C]) Of(worker control.WorkerID) []C { return r.byWorker[worker] }

// Dial numbers and registers a new connection to a worker and dials it.
func (r *Connections[C]) Dial(now float64, c C, worker control.WorkerID, addr string) {
	r.lastID++
	base := c.connection()
	base.ID, base.Worker, base.Since = r.lastID, worker, now
	r.byID[base.ID] = c
	r.byWorker[worker] = append(r.byWorker[worker], c)
	r.transport.Dial(base.ID, addr)
}

// Dialed takes the end of a dial and returns its connection, which is established where err is nil. It returns nil
// where there is nothing to do: the dial was given up meanwhile, or its end was reported before.
func (r *Connections[C]) Dialed(now float64, id ConnID, err error) C {
	var none C
	c, known := r.byID[id]
	if !known {
		if err == nil {
			r.transport.Close(id)
		}
		return none
	}
	base := c.connection()
	if base.Established {
		return none
	}
	if err == nil {
		base.Established, base.Since = true, now
	}
	return c
}

// Close removes a connection and closes it.
func (r *Connections[C]) Close(c C) {
	r.Remove(c)
	r.transport.Close(c.connection().ID)
}

// Remove drops a connection that is closed already.
func (r *Connections[C]) Remove(c C) {
	if !r.Has(c) {
		return
	}
	base := c.connection()
	delete(r.byID, base.ID)
	rest := slices.DeleteFunc(r.byWorker[base.Worker], func(other C) bool { return other == c })
	if len(rest) == 0 {
		delete(r.byWorker, base.Worker)
	} else {
		r.byWorker[base.Worker] = rest
	}
}

// Check reports state that contradicts itself; it is for tests.
func (r *Connections[C]) Check() error {
	var errs []error
	count := 0
	for worker, list := range r.byWorker {
		count += len(list)
		for _, c := range list {
			if c.connection().Worker != worker || !r.Has(c) {
				errs = append(errs, fmt.Errorf("worker %s: connection %d is out of place", worker, c.connection().ID))
			}
		}
	}
	if count != len(r.byID) {
		errs = append(errs, fmt.Errorf("%d connections of workers, %d known", count, len(r.byID)))
	}
	return errors.Join(errs...)
}
