package upstream

import (
	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// Results receives the ends of exchanges. Its methods may call SendAttempt, SendLoad and Abandon of the pool.
type Results interface {
	OnAttemptReply(id uint64, reply dispatch.WorkerReply)
	OnLoadReply(id uint64, outcome control.Outcome, replicas int)
}

// Exchange is one attempt or load command, from the call that hands it to a pool until its end is reported. The pool
// of each protocol embeds it in its own type.
type Exchange struct {
	ID      uint64 // the dispatcher's number of the attempt or load command
	Worker  control.WorkerID
	IsLoad  bool   // a load command; an attempt otherwise
	Request []byte // encoded; nil once it was written
	Sent    bool   // bytes of it may have reached the worker
}

func (e *Exchange) exchange() *Exchange { return e }

// anyExchange is a pointer to a type that embeds Exchange.
type anyExchange interface {
	comparable
	exchange() *Exchange
}

// Write writes the request to a connection. From now on the worker may run it.
func (e *Exchange) Write(transport Transport, connection ConnID) {
	e.Sent = true
	transport.Write(connection, e.Request)
	e.Request = nil
}

// Exchanges is the registry of the exchanges that are open in one pool. Each is reported to Results once, unless it is
// removed before. The zero value is not usable; NewExchanges makes one.
type Exchanges[E anyExchange] struct {
	results Results
	open    map[uint64]E
	unsent  []E // could not be sent, reported at the next Flush
}

// NewExchanges makes an empty registry that reports to results.
func NewExchanges[E anyExchange](results Results) Exchanges[E] {
	return Exchanges[E]{results: results, open: map[uint64]E{}}
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

// FailUnsent notes an exchange that can't be sent. It is reported as unreachable at the next Flush and not from within
// the call that asked for it.
func (x *Exchanges[E]) FailUnsent(e E) { x.unsent = append(x.unsent, e) }

// Pending reports whether Flush has something to report.
func (x *Exchanges[E]) Pending() bool { return len(x.unsent) > 0 }

// Flush reports the exchanges that could not be sent, those included that fail meanwhile.
func (x *Exchanges[E]) Flush() {
	for len(x.unsent) > 0 {
		batch := x.unsent
		x.unsent = nil
		for _, e := range batch {
			x.Finish(e, dispatch.WorkerReply{Outcome: control.Unreachable}, 0)
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
		x.results.OnLoadReply(base.ID, reply.Outcome, replicas)
	} else {
		x.results.OnAttemptReply(base.ID, reply)
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
