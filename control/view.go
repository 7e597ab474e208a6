package control

// This file shows what a Router believes, for consoles and traces. It decides nothing and changes nothing.

// WorkerView is what is believed of one worker. Spans are seconds from now.
type WorkerView struct {
	Worker
	Out     int     // own events in flight
	Room    float64 // own events that it may hold
	Load    float64 // how busy it is believed to be, for its size
	Warmth  float64 // least part of its capacity that it has by now
	Aside   float64 // left alone for so long, 0 where it is in use
	Copies  int     // functions believed warm there
	Loading int     // functions ordered there that have not answered
}

// FunctionView is what is believed of one function.
type FunctionView struct {
	ID      FunctionID
	Lanes   int
	Out     int        // own events in flight
	Waiting int        // events that wait for the load that is ordered
	Rate    float64    // answers a second, as far as seen
	Median  float64    // of its latency, seconds; 0 before the first
	Warm    []WorkerID // workers believed to hold a copy,
	Ages    []float64  // and for each the seconds since it was last seen to
	Load    float64    // usual seconds of a load, 0 where it is not told
	Ordered WorkerID   // where a load is under way, "" for none
}

// Workers shows every worker that is not gone, in the order they were first listed.
func (r *Router) Workers() []WorkerView {
	var list []WorkerView
	for wk, id := range r.id {
		if r.phase[wk] == Gone {
			continue
		}
		v := WorkerView{Worker: Worker{ID: id, Zone: r.zone[wk], Kind: r.kinds[r.kind[wk]], Cell: r.cell[wk], Phase: r.phase[wk],
			Size: r.size[wk], Born: r.born[wk]}, Out: len(r.flying[wk]), Room: r.room[wk], Load: r.load(wk),
			Warmth: r.warmth(wk, r.now), Aside: max(r.aside[wk]-r.now, 0)}
		for _, f := range r.every {
			if r.warm(f.at(wk)) {
				v.Copies++
			}
			if f.order == wk {
				v.Loading++
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
	v := FunctionView{ID: f.id, Lanes: f.lanes, Out: f.out, Waiting: len(f.followers), Rate: f.rate, Median: f.median, Load: f.load}
	for i := range f.places {
		if p := &f.places[i]; r.warm(p) && r.phase[p.wk] != Gone {
			v.Warm, v.Ages = append(v.Warm, r.id[p.wk]), append(v.Ages, max(r.now-p.seen, 0))
		}
	}
	if f.order >= 0 {
		v.Ordered = r.id[f.order]
	}
	return v
}
