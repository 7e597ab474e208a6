package control

import "slices"

// This file holds the list of workers: their dense index, the lookups by id and digest, and the reuse of
// slots. Slots are used again so that the list does not grow with each worker that comes and goes.

// addWorker makes the state of a worker that is not in the index.
func (r *Router) addWorker(id WorkerID) *worker {
	w := r.freeWorker()
	if w == nil {
		w = &worker{index: len(r.workers)}
		r.workers = append(r.workers, w)
	}
	r.removeFromIndex(w)
	w.id = id
	w.hash = hashOf(string(id))
	w.state = Serving
	w.lastAnswerAt = 0
	w.limitDecreasedAt = 0
	w.reportedLoad = -1
	w.relativeLatency = 0
	w.resetLimits(r.initialLimit())
	r.workersByID[id] = w
	r.workersByDigest[w.digest()] = w
	return w
}

// updateWorker takes an entry of an endpoint update.
func (r *Router) updateWorker(w *worker, endpoint Worker, added bool) {
	w.state = endpoint.State
	if w.state == Removed {
		return
	}
	if added || endpoint.StartedAt != w.startedAt {
		r.resetRestarted(w)
	}
	w.zone = endpoint.Zone
	w.machine = r.machineStatsOf(endpoint.MachineType)
	w.failureDomain = endpoint.FailureDomain
	w.weight = max(endpoint.Weight, minWorkerWeight)
	w.startedAt = endpoint.StartedAt
}

// resetRestarted forgets what does not hold for a new process: its replicas, limits and ejection.
func (r *Router) resetRestarted(w *worker) {
	for _, fn := range r.functions {
		if rep := fn.replicaOn(w); rep != nil {
			rep.markRestarted()
		}
	}
	w.resetLimits(r.initialLimit())
	w.slowStartCredits = r.random.fraction()
}

// removeFromIndex drops the lookups and the replicas of the worker that had the slot.
func (r *Router) removeFromIndex(w *worker) {
	delete(r.workersByID, w.id)
	if r.workersByDigest[w.digest()] == w {
		delete(r.workersByDigest, w.digest())
	}
	for _, fn := range r.functions {
		fn.replicas = slices.DeleteFunc(fn.replicas, func(rep replica) bool { return rep.worker == w })
	}
}

// freeWorker returns the first worker that is gone and that no request or load refers to, or nil.
func (r *Router) freeWorker() *worker {
	used := make([]bool, len(r.workers)+1)
	for _, req := range r.requests {
		used[slotOf(req.worker)] = true
		used[slotOf(req.firstRunOn)] = true
	}
	for _, fn := range r.functions {
		used[slotOf(fn.pendingLoadOn)] = true
	}
	for _, w := range r.workers {
		if w.state == Removed && !used[w.index] {
			return w
		}
	}
	return nil
}

// slotOf is the slot that a reference keeps in use; one to no worker keeps the first.
func slotOf(w *worker) int {
	if w == nil {
		return 0
	}
	return w.index
}

// machineStatsOf returns the figures of a machine type.
func (r *Router) machineStatsOf(machineType MachineType) *machineStats {
	for _, machine := range r.machines {
		if machine.machineType == machineType {
			return machine
		}
	}
	machine := &machineStats{machineType: machineType}
	r.machines = append(r.machines, machine)
	return machine
}
