package control

import (
	"slices"

	"streamcleat/internal/units"
)

// function holds the router's view of one function and its replicas.
type function struct {
	id             FunctionID
	hash           uint64
	concurrency    int           // requests that one replica serves concurrently
	inFlight       int           // attempts of this front end
	loadTime       units.Seconds // expected duration of a replica load; 0 if unknown
	medianLatency  units.Seconds // running estimate; 0 before the first sample
	lastRequestAt  units.Seconds
	replicas       []replica
	responseRate   float64 // estimated responses per second across all front ends
	targetReplicas float64 // number of replicas, in rendezvous order, that share the requests

	rankedWorkers []*worker // serving workers in rendezvous order
	rankedVersion int       // endpointVersion for which rankedWorkers was computed

	pendingLoadOn     *worker       // worker of the load command whose result is pending
	loadCommandedAt   units.Seconds // time of the latest load command
	loadCommandedTo   *process      // process that it was sent to
	loadAwaitsLease   bool          // the load command is deferred until the lease of pendingLoadOn is confirmed
	loadCooldownUntil units.Seconds // while a replica is in use, no other is loaded before this time
	waiters           []*request    // requests waiting for the pending load
}

// replica holds the router's view of one function on one worker.
type replica struct {
	worker        *worker
	inFlight      int // attempts of this front end
	warm          bool
	lastSeenAt    units.Seconds // time at which the replica was last known to be loaded
	recentLatency units.Seconds // moving average; 0 before the first sample
	lastLatencyAt units.Seconds // time of the latest sample
	slowSince     units.Seconds // 0 while not slow
}

// replicaOn returns the replica on w, or nil. The pointer is invalidated when a replica is added or removed.
func (fn *function) replicaOn(w *worker) *replica {
	i := slices.IndexFunc(fn.replicas, func(rep replica) bool { return rep.worker == w })
	if i < 0 {
		return nil
	}
	return &fn.replicas[i]
}

// ensureReplica returns the replica on w, adding one that is not warm if there is none.
func (fn *function) ensureReplica(w *worker) *replica {
	if rep := fn.replicaOn(w); rep != nil {
		return rep
	}
	fn.replicas = append(fn.replicas, replica{worker: w})
	return &fn.replicas[len(fn.replicas)-1]
}

// markWarm records that the replica was loaded at seenAt.
func (rep *replica) markWarm(seenAt units.Seconds) {
	rep.warm = true
	rep.lastSeenAt = seenAt
}

// markRestarted clears the observations of the worker's previous process.
func (rep *replica) markRestarted() {
	rep.warm = false
	rep.slowSince = 0
	rep.recentLatency = 0
}

// functionOf returns the function of a request, creating it if necessary, and updates its properties from the request.
func (r *Router) functionOf(in Request) *function {
	fn := r.functionsByID[in.Function]
	if fn == nil {
		fn = &function{id: in.Function, hash: hashOf(string(in.Function)), targetReplicas: 1}
		r.functions = append(r.functions, fn)
		r.functionsByID[fn.id] = fn
		r.functionsByDigest[fn.digest()] = fn
	}
	fn.concurrency = max(in.Concurrency, 1)
	fn.loadTime = max(in.LoadTime, fn.loadTime)
	fn.lastRequestAt = r.now
	return fn
}

// removeIdleFunctions removes the functions that have had no request for idleTime and have neither an attempt nor a
// load in progress.
func (r *Router) removeIdleFunctions(idleTime units.Seconds) {
	r.functions = slices.DeleteFunc(r.functions, func(fn *function) bool {
		idle := fn.pendingLoadOn == nil && fn.inFlight == 0 && r.now-fn.lastRequestAt > idleTime
		if idle {
			delete(r.functionsByID, fn.id)
			delete(r.functionsByDigest, fn.digest())
		}
		return idle
	})
}

// clearPendingLoad clears the pending load of fn and queues its waiters for the request rules again.
func (r *Router) clearPendingLoad(fn *function) {
	fn.pendingLoadOn = nil
	r.pending = append(r.pending, fn.waiters...)
	fn.waiters = nil
}
