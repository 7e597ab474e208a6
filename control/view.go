package control

import "streamcleat/internal/units"

// Read-only views of a Router's state, for consoles and traces.

// WorkerView is the state of one worker. Durations are in seconds.
type WorkerView struct {
	Worker
	InFlight         int           // requests of this front end in flight
	ConcurrencyLimit float64       // maximum of InFlight
	Load             float64       // estimated requests over its current capacity
	WarmUpProgress   float64       // fraction of its capacity that it has reached, as a lower bound
	EjectedFor       units.Seconds // remaining time of its ejection; 0 while not ejected
	Replicas         int           // functions believed to have a warm replica on it
	PendingLoads     int           // load commands without a result
}

// FunctionView is the state of one function. Durations are in seconds.
type FunctionView struct {
	ID            FunctionID
	Concurrency   int
	InFlight      int             // requests of this front end in flight
	Waiters       int             // requests that wait for the pending load
	ResponseRate  float64         // estimated responses per second across all front ends
	MedianLatency units.Seconds   // 0 before the first response
	Replicas      []WorkerID      // workers believed to have a warm replica
	ReplicaAges   []units.Seconds // time since each of them was last seen warm
	LoadTime      units.Seconds   // expected duration of a load; 0 if unknown
	PendingLoadOn WorkerID        // worker of the pending load; empty for none
}

// Workers returns the workers that are not removed, in slot order.
func (r *Router) Workers() []WorkerView {
	var views []WorkerView
	for _, w := range r.workers {
		if w.state != Removed {
			views = append(views, r.workerView(w))
		}
	}
	return views
}

// Functions returns the functions that are not removed as idle, in the order of their first requests.
func (r *Router) Functions() []FunctionView {
	views := make([]FunctionView, 0, len(r.functions))
	for _, fn := range r.functions {
		if !fn.removed {
			views = append(views, r.functionView(fn))
		}
	}
	return views
}

// Function returns one function, or false if it is unknown or was removed as idle.
func (r *Router) Function(id FunctionID) (FunctionView, bool) {
	fn := r.functionsByID[id]
	if fn == nil {
		return FunctionView{}, false
	}
	return r.functionView(fn), true
}

// DrainingByRejection returns the workers that count as draining because of their rejections while discovery is
// unavailable, in slot order.
func (r *Router) DrainingByRejection() []WorkerID {
	var ids []WorkerID
	for _, w := range r.workers {
		if w.state == Serving && r.hasRejected(w) {
			ids = append(ids, w.id)
		}
	}
	return ids
}

func (r *Router) workerView(w *worker) WorkerView {
	view := WorkerView{
		Worker: Worker{
			ID:            w.id,
			Zone:          w.process.group.zone,
			MachineType:   w.machine.machineType,
			FailureDomain: w.process.group.failureDomain,
			State:         w.state,
			Weight:        w.weight,
			StartedAt:     w.startedAt,
		},
		InFlight:         len(w.inFlight),
		PendingLoads:     len(w.pendingLoads),
		ConcurrencyLimit: w.concurrencyLimit,
		Load:             r.load(w),
		WarmUpProgress:   r.warmUpProgress(w, r.now),
		EjectedFor:       max(w.ejectedUntil-r.now, 0),
	}
	for _, fn := range w.functions {
		if r.isWarm(fn.replicaOn(w)) {
			view.Replicas++
		}
	}
	return view
}

func (r *Router) functionView(fn *function) FunctionView {
	view := FunctionView{
		ID:            fn.id,
		Concurrency:   fn.concurrency,
		InFlight:      fn.inFlight,
		Waiters:       len(fn.waiters),
		ResponseRate:  fn.responseRate,
		MedianLatency: fn.medianLatency,
		LoadTime:      fn.loadTime,
	}
	for i := range fn.replicas {
		rep := &fn.replicas[i]
		if r.isWarm(rep) && rep.worker.state != Removed {
			view.Replicas = append(view.Replicas, rep.worker.id)
			view.ReplicaAges = append(view.ReplicaAges, max(r.now-rep.lastSeenAt, 0))
		}
	}
	if fn.pendingLoadOn != nil {
		view.PendingLoadOn = fn.pendingLoadOn.id
	}
	return view
}
