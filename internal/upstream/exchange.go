package upstream

import (
	"errors"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// ErrLocal is wrapped by the error of a dial that failed because this machine lacked a resource: it says nothing of the
// worker.
var ErrLocal = errors.New("this machine lacks a resource")

// ExchangeHandler authorizes what a pool sends and receives how it ended. OnAttemptReply and OnLoadReply may call
// SendAttempt, SendLoad and Abandon of the pool; the other methods must not call the pool.
type ExchangeHandler interface {
	// AuthorizeAttempt decides whether an attempt may be written now.
	AuthorizeAttempt(id uint64) dispatch.SendPermit
	// AuthorizeLoad decides whether a load command may be written now.
	AuthorizeLoad() dispatch.SendPermit
	OnAttemptReply(id uint64, reply dispatch.WorkerReply)
	OnLoadReply(id uint64, outcome control.Outcome, replicas int)
}

// Exchange is one attempt or load command, from the call that hands it to a pool until its end is reported. The pool
// of each protocol embeds it in its own type.
type Exchange struct {
	ID     uint64 // the dispatcher's number of the attempt or load command
	Worker control.WorkerID
	IsLoad bool // a load command; an attempt otherwise
	Sent   bool // bytes of it may have reached the worker
	// Encode makes the request's bytes; nil once it was written.
	Encode func(permit dispatch.SendPermit) []byte
}

func (e *Exchange) exchange() *Exchange { return e }

// anyExchange is a pointer to a type that embeds Exchange.
type anyExchange interface {
	comparable
	exchange() *Exchange
}

// Exchanges is the registry of the exchanges that are open in one pool. Each is reported to the handler once, unless it is
// removed before. The zero value is not usable; NewExchanges makes one.
type Exchanges[E anyExchange] struct {
	handler ExchangeHandler
	open    map[uint64]E
	unsent  []unsentExchange[E] // could not be sent, reported at the next Flush
}

// unsentExchange is an exchange that ended before anything of it was written.
type unsentExchange[E anyExchange] struct {
	exchange E
	outcome  control.Outcome
}

// NewExchanges makes an empty registry that reports to handler.
func NewExchanges[E anyExchange](handler ExchangeHandler) Exchanges[E] {
	return Exchanges[E]{handler: handler, open: map[uint64]E{}}
}

// Add opens an exchange.
func (x *Exchanges[E]) Add(e E) { x.open[e.exchange().ID] = e }

// Get is the open exchange of that number, or nil.
func (x *Exchanges[E]) Get(id uint64) E { return x.open[id] }

// Has reports whether e itself is open.
func (x *Exchanges[E]) Has(e E) bool { return x.open[e.exchange().ID] == e }

// Len is the number of open exchanges.
func (x *Exchanges[E]) Len() int { return len(x.open) }

// Remove drops an exchange without a report.
func (x *Exchanges[E]) Remove(e E) { delete(x.open, e.exchange().ID) }

// Write writes a request to a connection if it may still be sent; from then on the worker may run it. Where it may not,
// it returns false, and the exchange is reported as not sent at the next Flush.
func (x *Exchanges[E]) Write(e E, transport Transport, connection ConnID) bool {
	base := e.exchange()
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
		return x.handler.AuthorizeLoad()
	}
	return x.handler.AuthorizeAttempt(e.ID)
}

// FailUnsent notes an exchange that can't be sent. It is reported as unreachable at the next Flush and not from within
// the call that asked for it.
func (x *Exchanges[E]) FailUnsent(e E) {
	x.unsent = append(x.unsent, unsentExchange[E]{e, control.Unreachable})
}

// Pending reports whether Flush has something to report.
func (x *Exchanges[E]) Pending() bool { return len(x.unsent) > 0 }

// Flush reports the exchanges that could not be sent, those included that fail meanwhile.
func (x *Exchanges[E]) Flush() {
	for len(x.unsent) > 0 {
		batch := x.unsent
		x.unsent = nil
		for _, unsent := range batch {
			x.Finish(unsent.exchange, dispatch.WorkerReply{Outcome: unsent.outcome}, 0)
		}
	}
}

// Finish reports the end of an exchange; of a load command only the outcome and the number of replicas. It does
// nothing where the exchange is not open any more.
func (x *Exchanges[E]) Finish(e E, reply dispatch.WorkerReply, replicas int) {
	if !x.Has(e) {
		return
	}
	x.Remove(e)
	if base := e.exchange(); base.IsLoad {
		x.handler.OnLoadReply(base.ID, reply.Outcome, replicas)
	} else {
		x.handler.OnAttemptReply(base.ID, reply)
	}
}

// FinishLost reports the end of an exchange whose connection is lost. A request of which bytes were handed to the
// kernel may have run, whether or not a reply began.
func (x *Exchanges[E]) FinishLost(e E) {
	if e.exchange().Sent {
		x.Finish(e, dispatch.WorkerReply{Outcome: control.ConnectionLost}, 0)
	} else {
		x.Finish(e, dispatch.WorkerReply{Outcome: control.Unreachable}, 0)
	}
}
