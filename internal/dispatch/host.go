package dispatch

import "streamcleat/control"

// host carries out what the decisions ask for.
type host Dispatcher

func (h *host) core() *Dispatcher { return (*Dispatcher)(h) }

func (h *host) StartAttempt(id control.RequestID, wk control.WorkerID, limit float64) {
	c := h.core()
	e := c.events[id]
	c.next++
	l := &launch{job: c.next, evt: e, wk: wk, sentAt: c.now, number: e.launches}
	e.out = l
	e.launches++
	e.lastWk = wk
	c.flying[l.job] = l
	c.count.Attempts++
	c.arm(limit, launchDue, l.job, nil)
	firm := e.kind.Semantics != control.Idempotent
	if firm {
		n := Record{Kind: RecordAttemptStarted, Response: Response{Identity: e.ask.Identity, Class: e.ask.Class,
			Function: e.ask.Function, Tenant: e.ask.Tenant, Binding: e.bound}, MayHaveRun: true}
		if e.mayRun {
			n.FirstRunAgo = c.now - e.runAt
		}
		e.noted = true
		c.out.Store(n)
	}
	c.step(e, "launched", string(wk), c.belief(e.function()))
	var first WaiterID
	if len(e.askers) > 0 {
		first = e.askers[0].to
	}
	c.out.SendAttempt(Attempt{ID: l.job, Worker: wk, Function: e.ask.Function, Number: l.number, Timeout: limit,
		Identity: e.ask.Identity, Class: e.ask.Class, Fields: e.ask.Fields, Body: e.ask.Body, Binding: e.bound, AwaitsRecord: firm,
		Waiter: first, Delayed: c.now > e.began})
}

func (h *host) Reject(id control.RequestID, pause float64) {
	c := h.core()
	e := c.events[id]
	a := c.describe(e, Rejected, c.why(e))
	a.RetryAfter = pause
	// An earlier try of the same event may have run: the decisions see only this one.
	if e.mayRun && (e.kind.Semantics == control.AtMostOnce ||
		e.kind.Semantics == control.IdempotentByKey && c.now >= e.runAt+e.kind.DeduplicationWindow) {
		a.Kind = Failed
	}
	c.close(e, a)
}

func (h *host) Fail(id control.RequestID) {
	c := h.core()
	e := c.events[id]
	c.close(e, c.describe(e, Failed, c.why(e)))
}

func (h *host) LoadReplicas(wk control.WorkerID, fn control.FunctionID, copies int) {
	c := h.core()
	c.next++
	c.orders[c.next] = &order{wk, fn, c.now}
	c.count.LoadCommands++
	c.arm(c.set.LoadTimeout, orderDue, c.next, nil)
	c.ordered(string(fn), string(wk), "load ordered", "")
	c.out.SendLoad(LoadCommand{ID: c.next, Worker: wk, Function: string(fn), Replicas: copies, Binding: c.bindings[string(fn)]})
}

func (h *host) Broadcast(message []byte) { h.core().out.Broadcast(message) }

func (h *host) SetTimer(after float64, mark uint64) { h.core().arm(after, wake, mark, nil) }

// Subscribe is not needed: the list of workers is pushed.
func (h *host) Subscribe() {}
