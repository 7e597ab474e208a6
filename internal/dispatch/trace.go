package dispatch

import (
	"fmt"
	"slices"
	"strings"

	"streamcleat/control"
)

const (
	stepsMost  = 32   // steps of one event; further ones are counted in the last
	tracesMost = 2000 // events lately ended
	ordersMost = 2000 // steps of load orders
)

var results = [...]string{"handled", "failed", "timed out", "broken", "cancelled", "turned away", "unreachable", "never sent",
	"missed"}

var warmths = [...]string{"", "found it warm", "began the load", "joined a load", "the load failed"}

// traces are the ways of events lately ended and of load orders, each a ring.
type traces struct {
	ended  []*Trace
	next   int
	orders []orderStep
	nextO  int
}

type orderStep struct {
	at       float64
	function string
	step     TraceStep
}

func (t *traces) add(trace *Trace) {
	if len(t.ended) < tracesMost {
		t.ended = append(t.ended, trace)
		return
	}
	t.ended[t.next] = trace
	t.next = (t.next + 1) % tracesMost
}

func (c *Dispatcher) step(e *event, what, wk, detail string) {
	if !c.set.TracingDisabled && len(e.steps) < stepsMost {
		e.steps = append(e.steps, TraceStep{At: c.now - e.began, What: what, Worker: wk, Detail: detail})
	}
}

func (c *Dispatcher) ordered(fn, wk, what, detail string) {
	if c.set.TracingDisabled {
		return
	}
	s := orderStep{c.now, fn, TraceStep{What: what, Worker: wk, Detail: detail}}
	if len(c.traces.orders) < ordersMost {
		c.traces.orders = append(c.traces.orders, s)
		return
	}
	c.traces.orders[c.traces.nextO] = s
	c.traces.nextO = (c.traces.nextO + 1) % ordersMost
}

// belief says what the front end knew of a function when it decided.
func (c *Dispatcher) belief(fn string) string {
	if c.set.TracingDisabled {
		return ""
	}
	v, known := c.router.Function(control.FunctionID(fn))
	switch {
	case !known:
		return "function not seen lately"
	case v.PendingLoadOn != "":
		return fmt.Sprintf("%d warm copies, a load under way on %s, %d of ours in flight", len(v.Replicas), v.PendingLoadOn, v.InFlight)
	}
	return fmt.Sprintf("%d warm copies, %d of ours in flight", len(v.Replicas), v.InFlight)
}

func (c *Dispatcher) trace(e *event) *Trace {
	return &Trace{Identity: e.ask.Identity, Class: e.ask.Class, Function: e.ask.Function, Tenant: e.ask.Tenant, StartedAt: e.began,
		TimeLeft: e.due - c.now, Open: true, Waiters: len(e.askers), Steps: e.steps,
		Response: Response{Attempts: e.launches, Worker: string(e.lastWk), Binding: e.bound}}
}

// Explain is the way of an event, with the load orders of its function while it was open; the newest where its
// identity came more than once. id is an event's id, or source#id.
func (c *Dispatcher) Explain(id string) (Trace, bool) {
	fits := func(i Identity) bool { return i.ID == id || i.String() == id }
	var found *Trace
	for _, t := range c.EndedTraces() {
		if fits(t.Identity) {
			found = t
		}
	}
	for _, e := range c.OpenTraces() {
		if fits(e.Identity) {
			found = &e
		}
	}
	if found == nil {
		return Trace{}, false
	}
	t := *found
	end := c.now
	if !t.Open {
		end = t.StartedAt + t.Response.Elapsed
	}
	t.Steps = slices.Clone(t.Steps)
	for _, o := range c.traces.orders {
		if (o.function == t.Function || o.function == t.Response.Binding.ID) && o.at >= t.StartedAt && o.at <= end {
			s := o.step
			s.At = o.at - t.StartedAt
			t.Steps = append(t.Steps, s)
		}
	}
	slices.SortStableFunc(t.Steps, func(a, b TraceStep) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return t, true
}

// EndedTraces are the events that ended last, the oldest first.
func (c *Dispatcher) EndedTraces() []*Trace {
	t := &c.traces
	return append(slices.Clone(t.ended[t.next:]), t.ended[:t.next]...)
}

// OpenTraces are the events that are open, the oldest first.
func (c *Dispatcher) OpenTraces() []Trace {
	list := make([]Trace, 0, len(c.events))
	for _, e := range c.events {
		list = append(list, *c.trace(e))
	}
	slices.SortFunc(list, func(a, b Trace) int {
		if a.StartedAt != b.StartedAt {
			if a.StartedAt < b.StartedAt {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Identity.String(), b.Identity.String())
	})
	return list
}

// RoutingView shows what the decisions believe of workers and functions.
func (c *Dispatcher) RoutingView() ([]control.WorkerView, []control.FunctionView) {
	return c.router.Workers(), c.router.Functions()
}
