package control

// This file shows the state of a Router to consoles and traces. It decides nothing and changes nothing.

// WorkerView is what is known of one worker. Spans are in seconds.
type WorkerView struct {
	Worker
	InFlight         int     // own requests in flight
	ConcurrencyLimit float64 // own requests that it may hold
	Load             float64 // how busy it is believed to be, for its weight
	WarmUpProgress   float64 // least fraction of its capacity that it has by now
	EjectedFor       float64 // rest of its ejection, 0 while it is not ejected
	Replicas         int     // functions believed warm there
	PendingLoads     int     // load commands there without a result yet
}

// FunctionView is what is known of one function. Times are in seconds.
type FunctionView struct {
	ID            FunctionID
	Concurrency   int
	InFlight      int        // own requests in flight
	Waiters       int        // requests that wait for the pending load
	Rate          float64    // answers per second in the fleet, as far as seen
	MedianLatency float64    // 0 before the first answer
	Replicas      []WorkerID // workers believed to have a warm replica,
	ReplicaAges   []float64  // and for each the time since that was last seen
	LoadTime      float64    // usual duration of a load, 0 where it is not told
	PendingLoadOn WorkerID   // worker of the pending load, "" for none
}

// Workers shows every worker that is not gone, in the order of the dense index.
func (r *Router) Workers() []WorkerView {
	var views []WorkerView
	for _, w := range r.workers {
		if w.state != Removed {
			views = append(views, r.workerView(w))
		}
	}
	return views
}

// Functions shows every function that was requested lately, in the order of their first requests.
func (r *Router) Functions() []FunctionView {
	views := make([]FunctionView, 0, len(r.functions))
	for _, fn := range r.functions {
		views = append(views, r.functionView(fn))
	}
	return views
}

// Function shows one function; false where it was not requested lately.
func (r *Router) Function(id FunctionID) (FunctionView, bool) {
	fn := r.functionsByID[id]
	if fn == nil {
		return FunctionView{}, false
	}
	return r.functionView(fn), true
}

func (r *Router) workerView(w *worker) WorkerView {
	view := WorkerView{
		Worker: Worker{
			ID:            w.id,
			Zone:          w.zone,
			MachineType:   w.machine.machineType,
			FailureDomain: w.failureDomain,
			State:         w.state,
			Weight:        w.weight,
			StartedAt:     w.startedAt,
		},
		InFlight:         len(w.inFlight),
		ConcurrencyLimit: w.concurrencyLimit,
		Load:             r.load(w),
		WarmUpProgress:   r.warmUpProgress(w, r.now),
		EjectedFor:       max(w.ejectedUntil-r.now, 0),
	}
	for _, fn := range r.functions {
		if r.isWarm(fn.replicaOn(w)) {
			view.Replicas++
		}
		if fn.pendingLoadOn == w {
			view.PendingLoads++
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
		Rate:          fn.answerRate,
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
