package control

import "slices"

// The endpoint index holds the workers in slots, with lookups by ID and digest. Slots are reused so that the state
// does not grow with every worker that is added and removed.

// addWorker adds an endpoint that is not yet in the index, in a reusable slot or a new one.
func (r *Router) addWorker(endpoint Worker) *worker {
	w := r.reusableWorker()
	if w == nil {
		w = &worker{index: len(r.workers)}
		r.workers = append(r.workers, w)
	}
	r.clearSlot(w)
	w.id = endpoint.ID
	w.hash = hashOf(string(endpoint.ID))
	w.state = endpoint.State
	w.lastResponseAt = 0
	w.limitDecreasedAt = 0
	w.reportedLoad = -1
	w.relativeLatency = 0
	w.lease = workerLease{}
	w.process, w.certainProcess = r.newListedProcess(endpoint), nil
	w.resetLimits(r.initialLimitPerFrontEnd())
	r.workersByID[w.id] = w
	r.workersByDigest[w.digest()] = w
	if w.state != Removed {
		r.resetProcess(w)
		r.setEndpoint(w, endpoint)
	}
	return w
}

// updateWorker applies an update of an endpoint that is in the index.
func (r *Router) updateWorker(w *worker, endpoint Worker) {
	if !w.isSameProcess(endpoint) {
		w.process, w.certainProcess = r.newListedProcess(endpoint), nil
		w.process.assumedAt, w.process.hasPredecessor = r.now, true
	}
	if w.state = endpoint.State; w.state == Removed {
		return
	}
	if endpoint.StartedAt != w.startedAt {
		r.resetProcess(w)
	}
	r.setEndpoint(w, endpoint)
}

// isSameProcess reports whether messages sent after an update of w reach the same process as before. Hosts close the connections to
// a worker that drains.
func (w *worker) isSameProcess(endpoint Worker) bool {
	isSameAddress := w.address == endpoint.Address && w.startedAt == endpoint.StartedAt
	return isSameAddress && w.state == endpoint.State && w.process.group == groupOf(endpoint)
}

func (r *Router) setEndpoint(w *worker, endpoint Worker) {
	w.machine = r.machineStatsOf(endpoint.MachineType)
	w.weight = max(endpoint.Weight, minWorkerWeight)
	w.startedAt, w.address = endpoint.StartedAt, endpoint.Address
}

// resetProcess resets what does not apply to a new process: replicas, limits and ejection. Slow start credits begin
// at a random fraction, so that front ends do not use their first credits at the same time.
func (r *Router) resetProcess(w *worker) {
	for _, fn := range w.functions {
		fn.replicaOn(w).markRestarted()
	}
	w.slowFunctions = nil
	w.resetLimits(r.initialLimitPerFrontEnd())
	w.lease.reset()
	w.grantedCredits = r.random.fraction()
}

// clearSlot removes the lookups and replicas of the previous worker in a slot.
func (r *Router) clearSlot(w *worker) {
	delete(r.workersByID, w.id)
	if r.workersByDigest[w.digest()] == w {
		delete(r.workersByDigest, w.digest())
	}
	for _, fn := range w.functions {
		fn.replicas = slices.DeleteFunc(fn.replicas, func(rep replica) bool { return rep.worker == w })
	}
	w.functions, w.slowFunctions = nil, nil
}

// reusableWorker returns the first removed worker that no request, load or query refers to, or nil.
func (r *Router) reusableWorker() *worker {
	used := make([]bool, len(r.workers)+1)
	for _, req := range r.requests {
		used[slotIndexOf(req.worker)] = true
	}
	if len(r.functions) > 0 {
		used[slotIndexOf(nil)] = true // functions without a pending load
	}
	for _, w := range r.workers {
		isReferenced := used[w.index] || len(w.pendingLoads) > 0 || w.lease.isReferenced()
		if w.state == Removed && !isReferenced {
			return w
		}
	}
	return nil
}

// slotIndexOf returns the slot that a reference to w keeps in use. A nil reference counts for the first slot.
func slotIndexOf(w *worker) int {
	if w == nil {
		return 0
	}
	return w.index
}

// machineStatsOf returns the statistics of a machine type, creating them if necessary.
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
