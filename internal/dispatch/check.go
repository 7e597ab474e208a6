package dispatch

import (
	"errors"
	"fmt"
)

// Waiters is how many askers wait for an answer.
func (c *Dispatcher) Waiters() int { return len(c.asking) }

// Check tells of state that contradicts itself; it is for tests and the simulation. Where full is set it also counts
// what is kept, which takes time by its number.
func (c *Dispatcher) Check(full bool) error {
	var errs []error
	fault := func(format string, args ...any) { errs = append(errs, fmt.Errorf("core: "+format, args...)) }
	askers, out := 0, 0
	for id, e := range c.events {
		switch {
		case e.id != id:
			fault("event %s is kept as %s", e.id, id)
		case c.open[e.ask.Identity] == nil:
			fault("event %s is open and not found by its identity", e.ask.Identity)
		case e.ended && e.out == nil:
			fault("event %s has ended and is open", e.ask.Identity)
		case !e.ended && len(e.askers) == 0:
			fault("event %s is open and nobody asks for it", e.ask.Identity)
		case !e.ended && c.now > e.due+c.set.ResponseMargin:
			fault("event %s is open %.3f s past its time", e.ask.Identity, c.now-e.due)
		}
		if e.out != nil {
			out++
			if c.flying[e.out.job] != e.out || e.out.evt != e {
				fault("event %s has a launch out that is not known", e.ask.Identity)
			}
		}
		for _, a := range e.askers {
			askers++
			if c.asking[a.to] != e {
				fault("asker %d of event %s is not known", a.to, e.ask.Identity)
			}
			if c.now > a.due+c.set.ResponseMargin {
				fault("asker %d of event %s waits %.3f s past its time", a.to, e.ask.Identity, c.now-a.due)
			}
		}
	}
	if askers != len(c.asking) {
		fault("%d askers are known, %d belong to open events", len(c.asking), askers)
	}
	if out != len(c.flying) {
		fault("%d launches are out, %d of open events", len(c.flying), out)
	}
	if len(c.open) != len(c.events) {
		fault("%d events are open, %d identities", len(c.events), len(c.open))
	}
	due := map[uint64]bool{}
	for _, t := range c.clock {
		if t.kind == launchDue || t.kind == orderDue {
			due[t.key] = true
		}
	}
	for job := range c.flying {
		if !due[job] {
			fault("launch %d is out without a limit", job)
		}
	}
	for job := range c.orders {
		if !due[job] {
			fault("load order %d is out without a limit", job)
		}
	}
	if !full {
		return errors.Join(errs...)
	}
	weight := 0
	for id, k := range c.kept {
		if k.id != id || k.gone {
			fault("the answer of %s is kept for %s", k.id, id)
		}
		if !k.bare {
			weight += k.size()
		}
	}
	if weight != c.weight || c.weight > c.set.MaxCachedBytes {
		fault("kept answers hold %d bytes, %d are counted, %d allowed", weight, c.weight, c.set.MaxCachedBytes)
	}
	if len(c.events) > c.set.MaxOpen {
		fault("%d events are open, %d allowed", len(c.events), c.set.MaxOpen)
	}
	return errors.Join(errs...)
}

// StoredRecords are the events of which a restart must know that they ran, or how they ended: what was noted as this process
// has it now.
func (c *Dispatcher) StoredRecords() map[Identity]Record {
	list := map[Identity]Record{}
	for id, k := range c.kept {
		if k.until > c.now && !k.bare {
			n := Record{Kind: RecordRequestEnded, Response: k.answer, MayHaveRun: k.mayRun}
			if k.answer.Cause == CauseRestarted { // it is on disk as the launch that an earlier process noted
				n.Kind = RecordAttemptStarted
			}
			list[id] = n
		}
	}
	for _, e := range c.events {
		if e.noted {
			list[e.ask.Identity] = Record{Kind: RecordAttemptStarted, Response: c.describe(e, Rejected, CauseAnswered), MayHaveRun: true}
		}
	}
	return list
}
