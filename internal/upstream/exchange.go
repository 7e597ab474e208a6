package upstream

import (
	"errors"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// ErrLocalResources is wrapped by dial errors caused by a lack of local resources. Such an error is no evidence about the worker.
var ErrLocalResources = errors.New("local resource exhausted")

// ExchangeHandler authorizes what a pool sends and receives the results. OnAttemptReply and OnLoadReply may call the
// pool's SendAttempt, SendLoad and Abandon; the other methods must not call the pool.
type ExchangeHandler interface {
	// AuthorizeAttempt returns the permit to write an attempt now, or its denial.
	AuthorizeAttempt(id uint64) dispatch.SendPermit
	// AuthorizeLoad returns the permit to write a load command or query now, or its denial.
	AuthorizeLoad(id uint64) dispatch.SendPermit
	OnAttemptReply(id uint64, reply dispatch.WorkerReply)
	OnLoadReply(id uint64, outcome control.Outcome, replicas int)
	// OnDisconnected reports that the last established connection to a worker has ended. Another process may answer at its
	// address from then on.
	OnDisconnected(worker control.WorkerID)
}

// Exchange is the part of an attempt or load command that both protocols share, from the call that hands it to a pool
// until its result is reported. Each protocol embeds it in its own type.
type Exchange struct {
	ID     uint64 // assigned by the dispatcher
	Worker control.WorkerID
	IsLoad bool // load command or query rather than attempt
	Sent   bool // the worker may have received some of it
	// Encode returns the encoded request. It is nil once the request was written.
	Encode func(permit dispatch.SendPermit) []byte
}

func (e *Exchange) base() *Exchange { return e }

// anyExchange is a pointer to a type that embeds Exchange.
type anyExchange interface {
	comparable
	base() *Exchange
}

// Exchanges is the registry of a pool's open exchanges. Each is reported to the handler exactly once unless it is removed
// first. Use NewExchanges to create one.
type Exchanges[E anyExchange] struct {
	handler ExchangeHandler
	open    map[uint64]E
	unsent  []unsentExchange[E] // reported by the next Flush
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

// GetUnsent returns the open exchange with the given ID if none of it was sent, and nil otherwise.
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

// Remove removes an exchange without reporting it.
func (x *Exchanges[E]) Remove(e E) { delete(x.open, e.base().ID) }

// Write writes an exchange's request to a connection if the handler permits it, and reports whether it did. Once written,
// the worker may execute it. A request that was denied is reported as not sent by the next Flush.
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

// FailUnsent marks an exchange that can't be sent. The next Flush reports it as unreachable; reporting it right away would
// call the handler back from within its own call.
func (x *Exchanges[E]) FailUnsent(e E) {
	x.unsent = append(x.unsent, unsentExchange[E]{e, control.Unreachable})
}

// Pending reports whether Flush has something to report.
func (x *Exchanges[E]) Pending() bool { return len(x.unsent) > 0 }

// Flush reports the exchanges that could not be sent, including those that fail while it runs.
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

// FinishLost reports an exchange whose connection was lost: as lost if any of its request was handed to the kernel, since
// the worker may have executed it, and as unreachable otherwise.
func (x *Exchanges[E]) FinishLost(e E) {
	if e.base().Sent {
		x.Finish(e, dispatch.WorkerReply{Outcome: control.ConnectionLost}, 0)
	} else {
		x.Finish(e, dispatch.WorkerReply{Outcome: control.Unreachable}, 0)
	}
}
