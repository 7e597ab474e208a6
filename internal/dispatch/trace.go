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
	step     Step
}

func (t *traces) add(trace *Trace) {
	if len(t.ended) < tracesMost {
		t.ended = append(t.ended, trace)
		return
	}
	t.ended[t.next] = trace
	t.next = (t.next + 1) % tracesMost
}

func (c *Core) step(e *event, what, wk, detail string) {
	if !c.set.Untraced && len(e.steps) < stepsMost {
		e.steps = append(e.steps, Step{At: c.now - e.began, What: what, Worker: wk, Detail: detail})
	}
}

func (c *Core) ordered(fn, wk, what, detail string) {
	if c.set.Untraced {
		return
	}
	s := orderStep{c.now, fn, Step{What: what, Worker: wk, Detail: detail}}
	if len(c.traces.orders) < ordersMost {
		c.traces.orders = append(c.traces.orders, s)
		return
	}
	c.traces.orders[c.traces.nextO] = s
	c.traces.nextO = (c.traces.nextO + 1) % ordersMost
}

// belief says what the front end knew of a function when it decided.
func (c *Core) belief(fn string) string {
	if c.set.Untraced {
		return ""
	}
	v, known := c.router.Function(control.FunctionID(fn))
	switch {
	case !known:
		return "function not seen lately"
	case v.Ordered != "":
		return fmt.Sprintf("%d warm copies, a load under way on %s, %d of ours in flight", len(v.Warm), v.Ordered, v.Out)
	}
	return fmt.Sprintf("%d warm copies, %d of ours in flight", len(v.Warm), v.Out)
}

func (c *Core) trace(e *event) *Trace {
	return &Trace{Identity: e.ask.Identity, Type: e.ask.Type, Function: e.ask.Function, Tenant: e.ask.Tenant, Began: e.began,
		Left: e.due - c.now, Open: true, Askers: len(e.askers), Steps: e.steps,
		Answer: Answer{Launches: e.launches, Worker: string(e.lastWk), Binding: e.bound}}
}

// Explain is the way of an event, with the load orders of its function while it was open; the newest where its
// identity came more than once. id is an event's id, or source#id.
func (c *Core) Explain(id string) (Trace, bool) {
	fits := func(i Identity) bool { return i.ID == id || i.String() == id }
	var found *Trace
	for _, t := range c.Lately() {
		if fits(t.Identity) {
			found = t
		}
	}
	for _, e := range c.Open() {
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
		end = t.Began + t.Answer.After
	}
	t.Steps = slices.Clone(t.Steps)
	for _, o := range c.traces.orders {
		if (o.function == t.Function || o.function == t.Answer.Binding.ID) && o.at >= t.Began && o.at <= end {
			s := o.step
			s.At = o.at - t.Began
			t.Steps = append(t.Steps, s)
		}
	}
	slices.SortStableFunc(t.Steps, func(a, b Step) int {
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

// Lately are the events that ended last, the oldest first.
func (c *Core) Lately() []*Trace {
	t := &c.traces
	return append(slices.Clone(t.ended[t.next:]), t.ended[:t.next]...)
}

// Open are the events that are open, the oldest first.
func (c *Core) Open() []Trace {
	list := make([]Trace, 0, len(c.events))
	for _, e := range c.events {
		list = append(list, *c.trace(e))
	}
	slices.SortFunc(list, func(a, b Trace) int {
		if a.Began != b.Began {
			if a.Began < b.Began {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Identity.String(), b.Identity.String())
	})
	return list
}

// Believed shows what the decisions believe of workers and functions.
func (c *Core) Believed() ([]control.WorkerView, []control.FunctionView) {
	return c.router.Workers(), c.router.Functions()
}
