package upstream

import (
	"errors"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// ErrLocalResources is wrapped by dial errors caused by a lack of local resources. Such an error says nothing about the
// worker.
var ErrLocalResources = errors.New("local resource exhausted")

// ExchangeHandler authorizes the requests that a pool sends and receives their results. OnAttemptReply and OnLoadReply may call the
// pool's SendAttempt, SendLoad and Abandon; the other methods must not call the pool.
type ExchangeHandler interface {
	// AuthorizeAttempt returns the permit to write an attempt now, or its denial.
	AuthorizeAttempt(id uint64) dispatch.SendPermit
	// AuthorizeLoad returns the permit to write a load command or query now, or its denial.
	AuthorizeLoad(id uint64) dispatch.SendPermit
	OnAttemptReply(id uint64, reply dispatch.WorkerReply)
	OnLoadReply(id uint64, outcome control.Outcome, replicas int)
	// OnDisconnected reports that the last established connection to a worker has ended, or the last one that is known to
	// reach the process at which the earlier ones were made. From then on, another process may listen at its address.
	OnDisconnected(worker control.WorkerID)
	// OnProcessUncertain reports that a connection to a worker was established beside others. It reaches another process than
	// they do if theirs has ended without closing them. OnProcessConfirmed or OnDisconnected follows. The result tells whether
	// the pool is to find out at once, with a message of its own on the earlier connections.
	OnProcessUncertain(worker control.WorkerID) (verify bool)
	// OnProcessConfirmed reports that all connections to a worker reach the same process: an earlier one has received a message
	// since the later ones were established.
	OnProcessConfirmed(worker control.WorkerID)
}

// Exchange is the state of an attempt or load command that both protocols share. It exists from the call that passes it to
// a pool until its result is reported. Each protocol embeds it in its own exchange type.
type Exchange struct {
	ID     uint64 // assigned by the dispatcher
	Worker control.WorkerID
	IsLoad bool // a load command or query, not an attempt
	Sent   bool // the worker may have received part of the request
	// Encode returns the encoded request. It is nil once the request has been written.
	Encode func(permit dispatch.SendPermit) []byte
}

func (e *Exchange) base() *Exchange { return e }

// anyExchange is a pointer to a type that embeds Exchange.
type anyExchange interface {
	comparable
	base() *Exchange
}

// Exchanges is the registry of a pool's open exchanges. The result of each is reported to the handler exactly once,
// unless the exchange is removed first. Create it with NewExchanges.
type Exchanges[E anyExchange] struct {
	handler ExchangeHandler
	open    map[uint64]E
	unsent  []unsentExchange[E] // to be reported by the next Flush
}

// unsentExchange is an exchange that ended before any of it was written.
type unsentExchange[E anyExchange] struct {
	exchange E
	outcome  control.Outcome
}

// NewExchanges returns an empty registry that reports to handler.
func NewExchanges[E anyExchange](handler ExchangeHandler) Exchanges[E] {
	return Exchanges[E]{handler: handler, open: map[uint64]E{}}
}

// Add registers an open exchange.
func (x *Exchanges[E]) Add(e E) { x.open[e.base().ID] = e }

// Get returns the open exchange with the given ID, or nil.
func (x *Exchanges[E]) Get(id uint64) E { return x.open[id] }

// GetUnsent returns the open exchange with the given ID if no part of it was sent, and nil otherwise.
func (x *Exchanges[E]) GetUnsent(id uint64) E {
	var none E
	e, open := x.open[id]
	if !open || e.base().Sent {
		return none
	}
	return e
}

// Contains reports whether e is open.
func (x *Exchanges[E]) Contains(e E) bool { return x.open[e.base().ID] == e }

// Len returns the number of open exchanges.
func (x *Exchanges[E]) Len() int { return len(x.open) }

// Remove removes an exchange without reporting a result.
func (x *Exchanges[E]) Remove(e E) { delete(x.open, e.base().ID) }

// Write writes an exchange's request to a connection if the handler permits it, and reports whether it did. Once the
// request is written, the worker may execute it. If the write is denied, the next Flush reports the exchange as not sent.
func (x *Exchanges[E]) Write(e E, transport Transport, connection ConnID) bool {
	base := e.base()
	permit := x.authorize(base)
	if !permit.Permitted() {
		x.unsent = append(x.unsent, unsentExchange[E]{e, control.NotSent})
		return false
	}
	base.Sent = true
	transport.Write(connection, base.Encode(permit))
	base.Encode = nil
	return true
}

func (x *Exchanges[E]) authorize(e *Exchange) dispatch.SendPermit {
	if e.IsLoad {
		return x.handler.AuthorizeLoad(e.ID)
	}
	return x.handler.AuthorizeAttempt(e.ID)
}

// FailUnsent marks an exchange that can't be sent. The next Flush reports it as unreachable. It is not reported at once,
// because that would call the handler from within the handler's own call to the pool.
func (x *Exchanges[E]) FailUnsent(e E) {
	x.unsent = append(x.unsent, unsentExchange[E]{e, control.Unreachable})
}

// Pending reports whether Flush has something to report.
func (x *Exchanges[E]) Pending() bool { return len(x.unsent) > 0 }

// Flush reports the exchanges that could not be sent, including those that fail during the call.
func (x *Exchanges[E]) Flush() {
	for len(x.unsent) > 0 {
		batch := x.unsent
		x.unsent = nil
		for _, unsent := range batch {
			x.Finish(unsent.exchange, dispatch.WorkerReply{Outcome: unsent.outcome}, 0)
		}
	}
}

// Finish reports the result of an exchange. For a load command, only the outcome and the number of replicas are used. It
// does nothing if the exchange is no longer open.
func (x *Exchanges[E]) Finish(e E, reply dispatch.WorkerReply, replicas int) {
	if !x.Contains(e) {
		return
	}
	x.Remove(e)
	if base := e.base(); base.IsLoad {
		x.handler.OnLoadReply(base.ID, reply.Outcome, replicas)
	} else {
		x.handler.OnAttemptReply(base.ID, reply)
	}
}

// FinishLost reports an exchange whose connection was lost: as control.ConnectionLost if any part of its request was passed
// to the kernel, because the worker may have executed it, and as control.Unreachable otherwise.
func (x *Exchanges[E]) FinishLost(e E) {
	if e.base().Sent {
		x.Finish(e, dispatch.WorkerReply{Outcome: control.ConnectionLost}, 0)
	} else {
		x.Finish(e, dispatch.WorkerReply{Outcome: control.Unreachable}, 0)
	}
}
