package gateway

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
