package dispatch

import "streamcleat/control"

// host carries out what the decisions ask for.
type host Core

func (h *host) core() *Core { return (*Core)(h) }

func (h *host) Launch(id control.EventID, wk control.WorkerID, limit float64) {
	c := h.core()
	e := c.events[id]
	c.next++
	l := &launch{job: c.next, evt: e, wk: wk, sentAt: c.now, number: e.launches}
	e.out = l
	e.launches++
	e.lastWk = wk
	c.flying[l.job] = l
	c.count.Launches++
	c.arm(limit, launchDue, l.job, nil)
	firm := e.kind.Repeat != control.Redeliverable
	if firm {
		n := Note{Kind: NoteLaunched, Answer: Answer{Identity: e.ask.Identity, EventType: e.ask.Type,
			FunctionID: e.ask.Function, Tenant: e.ask.Tenant, Binding: e.bound}, MayRun: true}
		if e.mayRun {
			n.RanAgo = c.now - e.runAt
		}
		e.noted = true
		c.out.Keep(n)
	}
	c.step(e, "launched", string(wk), c.belief(e.function()))
	var first Asker
	if len(e.askers) > 0 {
		first = e.askers[0].to
	}
	c.out.Launch(Launch{Job: l.job, Worker: wk, Function: e.ask.Function, Attempt: l.number, Limit: limit,
		Identity: e.ask.Identity, Type: e.ask.Type, Fields: e.ask.Fields, Body: e.ask.Body, Binding: e.bound, Firm: firm,
		For: first, Waited: c.now > e.began})
}

func (h *host) Defer(id control.EventID, pause float64) {
	c := h.core()
	e := c.events[id]
	a := c.describe(e, Deferred, c.why(e))
	a.Pause = pause
	// An earlier try of the same event may have run: the decisions see only this one.
	if e.mayRun && (e.kind.Repeat == control.AtMostOnce ||
		e.kind.Repeat == control.Keyed && c.now >= e.runAt+e.kind.Remembered) {
		a.Kind = DeadLettered
	}
	c.close(e, a)
}

func (h *host) DeadLetter(id control.EventID) {
	c := h.core()
	e := c.events[id]
	c.close(e, c.describe(e, DeadLettered, c.why(e)))
}

func (h *host) Hold(wk control.WorkerID, fn control.FunctionID, copies int) {
	c := h.core()
	c.next++
	c.orders[c.next] = &order{wk, fn, c.now}
	c.count.Orders++
	c.arm(c.set.OrderLimit, orderDue, c.next, nil)
	c.ordered(string(fn), string(wk), "load ordered", "")
	c.out.Load(Order{Job: c.next, Worker: wk, Function: string(fn), Copies: copies, Binding: c.bindings[string(fn)]})
}

func (h *host) Tell(message []byte) { h.core().out.Tell(message) }

func (h *host) Wake(after float64, mark uint64) { h.core().arm(after, wake, mark, nil) }

// Subscribe is not needed: the list of workers is pushed.
func (h *host) Subscribe() {}
