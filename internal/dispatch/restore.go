package dispatch

import (
	"math"

	"streamcleat/control"
)

// Restore takes what an earlier process noted, before the first event. A launch without an end may have run:
//
//   - what may run again is let run again when somebody asks for it;
//   - a keyed event is too, as long as the workers are sure to remember its first run;
//   - an at-most-once event is dead-lettered.
//
// It reports the events of the last kind, and keyed ones past their time.
func (c *Core) Restore(now float64, notes []Kept) (lost []Answer) {
	c.at(now)
	for _, n := range notes {
		left := c.set.Remember - n.Age
		kind := c.types[n.Answer.EventType]
		if left <= 0 || kind == nil {
			continue
		}
		k := &kept{id: n.Answer.Identity, answer: n.Answer, until: c.now + left, mayRun: n.MayRun, runAt: math.Inf(-1)}
		if n.Reliable {
			k.runAt = c.now - n.RanAgo
		}
		if n.Kind == NoteLaunched {
			k.answer.Kind, k.answer.Cause, k.answer.Pause = Deferred, Restarted, c.set.Deployment.MaxPause
			past := kind.Repeat == control.Keyed && (kind.Reach != control.ReachAll || c.now >= k.runAt+kind.Remembered)
			if kind.Repeat == control.AtMostOnce || past {
				k.answer.Kind, k.answer.Pause = DeadLettered, 0
				lost = append(lost, k.answer)
			}
		}
		c.remember(k)
	}
	return lost
}

// Knows is what the decisions believe of copies, with its age. started tells a worker's start in Unix seconds.
func (c *Core) Knows(started func(control.WorkerID) float64) (list []Known) {
	for _, f := range c.router.Functions() {
		for i, wk := range f.Warm {
			list = append(list, Known{Function: string(f.ID), Binding: c.bindings[string(f.ID)], Lanes: f.Lanes, Load: f.Load,
				Worker: string(wk), Started: started(wk), Age: f.Ages[i]})
		}
	}
	return
}

// Recall hands what was known to the decisions, once the workers are listed.
func (c *Core) Recall(now float64, k Known) {
	c.at(now)
	if k.Binding.ID != "" {
		c.bindings[k.Binding.ID] = k.Binding
	}
	c.router.Recall(c.now, control.Event{Function: control.FunctionID(k.Function), Lanes: k.Lanes, Load: k.Load}, control.WorkerID(k.Worker), k.Age)
}
