package dispatch

import (
	"strconv"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// pendingLoad is a load command or a query without a reply.
type pendingLoad struct {
	worker   control.WorkerID
	function control.FunctionID
	sentAt   units.Seconds // of a query: when it was written; of a load command: when it was decided

	// The fields below are set for queries only.
	isQuery   bool
	replicas  int // number that the worker is told to keep loaded
	isWritten bool
	timeout   units.Seconds // counted from the write
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

// startQuery asks a worker how many replicas it has loaded, and tells it to keep a number of them loaded. The query's
// timeout starts when it is written, because the dial that it may wait for has a timeout of its own.
func (d *Dispatcher) startQuery(worker control.WorkerID, function control.FunctionID, replicas int, timeout units.Seconds) {
	id := d.nextID()
	d.pendingLoads[id] = &pendingLoad{worker: worker, function: function, sentAt: d.now, isQuery: true, replicas: replicas, timeout: timeout}
	d.counts.Queries++
	d.armTimer(timeout, loadDeadline, id, nil)
	d.effects.SendLoad(LoadCommand{
		ID: id, Worker: worker, Function: string(function), Replicas: replicas, Query: true, Binding: d.bindings[string(function)],
	})
}

// OnLoadReply processes the end of a load command or query. replicas is the number that the worker has loaded, 0 if it did
// not reply.
func (d *Dispatcher) OnLoadReply(now units.Seconds, id uint64, outcome control.Outcome, replicas int) {
	d.advance(now)
	load := d.pendingLoads[id]
	if load == nil {
		return
	}
	delete(d.pendingLoads, id)
	if load.isQuery {
		d.router.OnQueryResult(d.now, control.QueryResult{
			Worker: load.worker, Function: load.function, Commanded: load.replicas, Outcome: outcome, Replicas: replicas,
			Latency: d.now - load.sentAt,
		})
		return
	}
	d.traceLoadStep(string(load.function), string(load.worker), stepLoadPrefix+outcomeSteps[outcome],
		strconv.Itoa(replicas)+" copies stand")
	d.router.OnLoadResult(d.now, control.LoadResult{
		Worker: load.worker, Function: load.function, Outcome: outcome, Replicas: replicas, Duration: d.now - load.sentAt,
	})
}

// queryTimeLeft returns the time left until a query times out. It is 0 for a load command, whose timer needs no rearming.
func (l *pendingLoad) queryTimeLeft(now units.Seconds) units.Seconds {
	switch {
	case !l.isQuery:
		return 0
	case !l.isWritten:
		return l.timeout
	default:
		return l.sentAt + l.timeout - now
	}
}
