package control

import (
	"cmp"
	"slices"

	"streamcleat/internal/units"
)

// maxUnusedFunctions is the number of functions that are remembered although nothing is open for them and no replica of them is
// believed to be loaded.
const maxUnusedFunctions = 1024

// function holds the router's view of one function and its replicas.
type function struct {
	id             FunctionID
	sequence       uint64 // order of the first requests
	hash           uint64
	openRequests   int  // requests that are open or have an attempt in flight
	queuedAsUnused bool // is in Router.unused
	removed        bool
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
	w.functions = append(w.functions, fn)
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
		r.lastFunction++
		fn = &function{id: in.Function, sequence: r.lastFunction, hash: hashOf(string(in.Function)), targetReplicas: 1}
		r.functions = append(r.functions, fn)
		r.functionsByID[fn.id] = fn
		r.functionsByDigest[fn.digest()] = fn
	}
	fn.concurrency = max(in.Concurrency, 1)
	fn.loadTime = max(in.LoadTime, fn.loadTime)
	if latest := r.latestFunction; latest == nil || r.now > latest.lastRequestAt || fn.sequence < latest.sequence {
		r.latestFunction = fn
	}
	fn.lastRequestAt = r.now
	return fn
}

// closeRequest removes a request that is finished and has no attempt in flight.
func (r *Router) closeRequest(req *request) {
	delete(r.requests, req.ID)
	req.function.openRequests--
	r.queueIfUnused(req.function)
}

// isInUse reports whether a request for fn is open or has an attempt in flight, or a load of it is pending.
func (fn *function) isInUse() bool { return fn.openRequests > 0 || fn.pendingLoadOn != nil }

// isUnused reports whether nothing is open for fn and no replica of it is believed to be loaded.
func (r *Router) isUnused(fn *function) bool {
	return !fn.isInUse() && !slices.ContainsFunc(fn.replicas, func(rep replica) bool { return r.isWarm(&rep) })
}

// queueIfUnused queues an unused function for removal, and removes the functions beyond maxUnusedFunctions that were queued first and
// are still unused. A client that names ever new functions thus takes a bounded amount of memory.
func (r *Router) queueIfUnused(fn *function) {
	if fn.queuedAsUnused || fn.removed || !r.isUnused(fn) {
		return
	}
	fn.queuedAsUnused = true
	fn.rankedWorkers, fn.rankedVersion = nil, 0
	r.unused = append(r.unused, fn)
	for len(r.unused) > maxUnusedFunctions {
		oldest := r.unused[0]
		r.unused = r.unused[1:]
		oldest.queuedAsUnused = false
		if r.isUnused(oldest) {
			r.removeFunction(oldest)
		}
	}
}

// removeFunction removes fn from the lookups. The next tick removes it from Router.functions.
func (r *Router) removeFunction(fn *function) {
	if fn.removed {
		return
	}
	fn.removed = true
	delete(r.functionsByID, fn.id)
	if r.functionsByDigest[fn.digest()] == fn {
		delete(r.functionsByDigest, fn.digest())
	}
	for i := range fn.replicas {
		w := fn.replicas[i].worker
		w.functions = without(w.functions, fn)
		w.slowFunctions = without(w.slowFunctions, fn)
	}
}

// without removes fn from functions.
func without(functions []*function, fn *function) []*function {
	if i := slices.Index(functions, fn); i >= 0 {
		return slices.Delete(functions, i, i+1)
	}
	return functions
}

// removeIdleFunctions removes the functions that have had no request for idleTime and are not in use, and queues those that are unused.
func (r *Router) removeIdleFunctions(idleTime units.Seconds) {
	for _, fn := range r.functions {
		if !fn.isInUse() && r.now-fn.lastRequestAt > idleTime {
			r.removeFunction(fn)
		}
		r.queueIfUnused(fn)
	}
	isRemoved := func(fn *function) bool { return fn.removed }
	r.functions = slices.DeleteFunc(r.functions, isRemoved)
	r.unused = slices.DeleteFunc(r.unused, isRemoved)
	if latest := r.latestFunction; latest != nil && r.now-latest.lastRequestAt > idleTime {
		r.latestFunction = nil
	}
}

// setPendingLoad records that a load of fn on w is pending.
func (r *Router) setPendingLoad(fn *function, w *worker) {
	fn.pendingLoadOn = w
	i, _ := slices.BinarySearchFunc(w.pendingLoads, fn, bySequence)
	w.pendingLoads = slices.Insert(w.pendingLoads, i, fn)
}

// bySequence compares functions by the order of their first requests.
func bySequence(a, b *function) int { return cmp.Compare(a.sequence, b.sequence) }

// clearPendingLoad clears the pending load of fn and queues its waiters for the request rules again.
func (r *Router) clearPendingLoad(fn *function) {
	w := fn.pendingLoadOn
	w.pendingLoads = without(w.pendingLoads, fn)
	fn.pendingLoadOn = nil
	r.pending = append(r.pending, fn.waiters...)
	fn.waiters = nil
	r.queueIfUnused(fn)
}
