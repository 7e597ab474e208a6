package dispatch

import (
	"math"

	"streamcleat/control"
)

// Recover takes what an earlier process noted, before the first event. A launch without an end may have run:
//
//   - what may run again is let run again when somebody asks for it;
//   - a keyed event is too, as long as the workers are sure to remember its first run;
//   - an at-most-once event is dead-lettered.
//
// It reports the events of the last kind, and keyed ones past their time.
func (c *Dispatcher) Recover(now float64, notes []RecoveredRecord) (lost []Response) {
	c.at(now)
	for _, n := range notes {
		left := c.set.DeduplicationWindow - n.Age
		kind := c.types[n.Response.Class]
		if left <= 0 || kind == nil {
			continue
		}
		k := &kept{id: n.Response.Identity, answer: n.Response, until: c.now + left, mayRun: n.MayHaveRun, runAt: math.Inf(-1)}
		if n.Reliable {
			k.runAt = c.now - n.FirstRunAgo
		}
		if n.Kind == RecordAttemptStarted {
			k.answer.Kind, k.answer.Cause, k.answer.RetryAfter = Rejected, CauseRestarted, c.set.Deployment.MaxRetryAfter
			past := kind.Semantics == control.IdempotentByKey && (kind.DeduplicationScope != control.ScopeFleet || c.now >= k.runAt+kind.DeduplicationWindow)
			if kind.Semantics == control.AtMostOnce || past {
				k.answer.Kind, k.answer.RetryAfter = Failed, 0
				lost = append(lost, k.answer)
			}
		}
		c.remember(k)
	}
	return lost
}

// ReplicaSnapshots is what the decisions believe of copies, with its age. started tells a worker's start in Unix seconds.
func (c *Dispatcher) ReplicaSnapshots(started func(control.WorkerID) float64) (list []ReplicaSnapshot) {
	for _, f := range c.router.Functions() {
		for i, wk := range f.Replicas {
			list = append(list, ReplicaSnapshot{Function: string(f.ID), Binding: c.bindings[string(f.ID)], Concurrency: f.Concurrency, LoadTime: f.LoadTime,
				Worker: string(wk), WorkerStartedAt: started(wk), Age: f.ReplicaAges[i]})
		}
	}
	return
}

// RestoreReplica hands what was known to the decisions, once the workers are listed.
func (c *Dispatcher) RestoreReplica(now float64, k ReplicaSnapshot) {
	c.at(now)
	if k.Binding.ID != "" {
		c.bindings[k.Binding.ID] = k.Binding
	}
	c.router.RestoreReplica(c.now, control.Request{Function: control.FunctionID(k.Function), Concurrency: k.Concurrency, LoadTime: k.LoadTime}, control.WorkerID(k.Worker), k.Age)
}
