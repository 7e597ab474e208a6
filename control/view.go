package control

// This file shows what a Router believes, for consoles and traces. It decides nothing and changes nothing.

// WorkerView is what is believed of one worker. Spans are seconds from now.
type WorkerView struct {
	Worker
	InFlight         int     // own events in flight
	ConcurrencyLimit float64 // own events that it may hold
	Load             float64 // how busy it is believed to be, for its size
	WarmUpProgress   float64 // least part of its capacity that it has by now
	EjectedFor       float64 // left alone for so long, 0 where it is in use
	Replicas         int     // functions believed warm there
	PendingLoads     int     // functions ordered there that have not answered
}

// FunctionView is what is believed of one function.
type FunctionView struct {
	ID            FunctionID
	Concurrency   int
	InFlight      int        // own events in flight
	Waiters       int        // events that wait for the load that is ordered
	Rate          float64    // answers a second, as far as seen
	MedianLatency float64    // of its latency, seconds; 0 before the first
	Replicas      []WorkerID // workers believed to hold a copy,
	ReplicaAges   []float64  // and for each the seconds since it was last seen to
	LoadTime      float64    // usual seconds of a load, 0 where it is not told
	PendingLoadOn WorkerID   // where a load is under way, "" for none
}

// Workers shows every worker that is not gone, in the order they were first listed.
func (r *Router) Workers() []WorkerView {
	var list []WorkerView
	for wk, id := range r.id {
		if r.phase[wk] == Gone {
			continue
		}
		v := WorkerView{Worker: Worker{ID: id, Zone: r.zone[wk], MachineType: r.kinds[r.kind[wk]], FailureDomain: r.cell[wk], State: r.phase[wk],
			Weight: r.size[wk], StartedAt: r.born[wk]}, InFlight: len(r.flying[wk]), ConcurrencyLimit: r.room[wk], Load: r.load(wk),
			WarmUpProgress: r.warmth(wk, r.now), EjectedFor: max(r.aside[wk]-r.now, 0)}
		for _, f := range r.every {
			if r.warm(f.at(wk)) {
				v.Replicas++
			}
			if f.order == wk {
				v.PendingLoads++
			}
		}
		list = append(list, v)
	}
	return list
}

// Functions shows every function that was asked for lately, in the order they first were.
func (r *Router) Functions() []FunctionView {
	list := make([]FunctionView, 0, len(r.every))
	for _, f := range r.every {
		list = append(list, r.view(f))
	}
	return list
}

// Function shows one function; false where nobody asked for it lately.
func (r *Router) Function(id FunctionID) (FunctionView, bool) {
	f := r.fns[id]
	if f == nil {
		return FunctionView{}, false
	}
	return r.view(f), true
}

func (r *Router) view(f *function) FunctionView {
	v := FunctionView{ID: f.id, Concurrency: f.lanes, InFlight: f.out, Waiters: len(f.followers), Rate: f.rate, MedianLatency: f.median, LoadTime: f.load}
	for i := range f.places {
		if p := &f.places[i]; r.warm(p) && r.phase[p.wk] != Gone {
			v.Replicas, v.ReplicaAges = append(v.Replicas, r.id[p.wk]), append(v.ReplicaAges, max(r.now-p.seen, 0))
		}
	}
	if f.order >= 0 {
		v.PendingLoadOn = r.id[f.order]
	}
	return v
}
