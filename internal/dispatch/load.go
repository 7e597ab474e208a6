package dispatch

import (
	"strconv"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// pendingLoad is a load command without a reply.
type pendingLoad struct {
	worker   control.WorkerID
	function control.FunctionID
	sentAt   units.Seconds
}

// startLoad sends a load command to a worker.
func (d *Dispatcher) startLoad(worker control.WorkerID, function control.FunctionID, replicas int) {
	id := d.nextID()
	d.pendingLoads[id] = &pendingLoad{worker: worker, function: function, sentAt: d.now}
	d.counts.LoadCommands++
	d.armTimer(d.settings.LoadTimeout, loadDeadline, id, nil)
	d.traceLoadStep(string(function), string(worker), stepLoadStarted, "")
	d.effects.SendLoad(LoadCommand{
		ID:       id,
		Worker:   worker,
		Function: string(function),
		Replicas: replicas,
		Binding:  d.bindings[string(function)],
	})
}

// OnLoadReply processes the end of a load command. replicas is the number that the worker has loaded, 0 if it did not
// reply.
func (d *Dispatcher) OnLoadReply(now units.Seconds, id uint64, outcome control.Outcome, replicas int) {
	d.advance(now)
	load := d.pendingLoads[id]
	if load == nil {
		return
	}
	delete(d.pendingLoads, id)
	d.traceLoadStep(string(load.function), string(load.worker), stepLoadPrefix+outcomeSteps[outcome],
		strconv.Itoa(replicas)+" copies stand")
	d.router.OnLoadResult(d.now, control.LoadResult{
		Worker: load.worker, Function: load.function, Outcome: outcome, Replicas: replicas, Duration: d.now - load.sentAt,
	})
}
