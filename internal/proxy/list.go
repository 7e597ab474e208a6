package proxy

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/upstream"
)

// ReadEndpointList takes the text of the worker list. A faulty one leaves the last good one in force.
func (f *Proxy) ReadEndpointList(data []byte) error {
	f.offset = f.host.Now() - float64(f.host.Wall().UnixNano())/1e9
	list, err := upstream.ParseEndpointList(data, f.offset)
	if err != nil {
		return err
	}
	f.steady(list)
	f.listed = list
	f.relist()
	return nil
}

// SetEndpointList puts a list of workers in force as it is. Their starts are on the host's clock.
func (f *Proxy) SetEndpointList(list *upstream.EndpointList) {
	f.listed = list
	f.relist()
}

// steady settles when workers started. The file tells it by a time of day, and the machines' clocks differ and are set:
// a worker started anew only where the file says another time than before, whatever the clock here does; then it did so
// after the last reading that said the old one, however long ago that time seems to be. Nothing started in the future.
func (f *Proxy) steady(list *upstream.EndpointList) {
	now := f.host.Now()
	was := make(map[control.WorkerID]int, len(list.Workers))
	if f.listed != nil {
		for i, wk := range f.listed.Workers {
			was[wk.ID] = i
		}
	}
	stated := make(map[control.WorkerID]float64, len(list.Workers))
	for i := range list.Workers {
		wk := &list.Workers[i]
		if wk.StartedAt > 0 {
			stated[wk.ID] = wk.StartedAt - f.offset
			wk.StartedAt = min(wk.StartedAt, now)
		}
		old, known := was[wk.ID]
		switch d := stated[wk.ID] - f.stated[wk.ID]; {
		case !known || f.listed.Addresses[wk.ID] != list.Addresses[wk.ID]:
		case d > -0.5 && d < 0.5:
			wk.StartedAt = f.listed.Workers[old].StartedAt
		case wk.StartedAt > 0:
			wk.StartedAt = max(wk.StartedAt, f.readAt)
		}
	}
	f.stated, f.readAt = stated, now
}

// relist puts the list in force that the file and the operators' orders make together.
func (f *Proxy) relist() {
	if f.listed == nil {
		return
	}
	list := &upstream.EndpointList{Workers: slices.Clone(f.listed.Workers), Addresses: f.listed.Addresses}
	for i := range list.Workers {
		if f.drained[list.Workers[i].ID] {
			list.Workers[i].State = control.Draining
		}
	}
	change := upstream.Diff(f.list, list)
	f.list = list
	f.pool.SetEndpoints(list)
	if len(change) > 0 {
		f.core.OnEndpointUpdate(f.host.Now(), false, change)
		f.recall()
		f.log.Info("list of workers", "workers", len(list.Workers), "changed", len(change))
	}
	f.Flush()
}

// recall hands on, with the first list, what an earlier process knew of workers that have not started anew since.
func (f *Proxy) recall() {
	known := f.set.ReplicaSnapshots
	f.set.ReplicaSnapshots = nil
	for _, k := range known {
		k.Age += f.host.Now() - f.born
		if d := f.started(control.WorkerID(k.Worker)) - k.WorkerStartedAt; d > -1 && d < 1 {
			f.core.RestoreReplica(f.host.Now(), k)
		}
	}
}

// started is a worker's start in Unix seconds as the list tells it, 0 where it tells none.
func (f *Proxy) started(id control.WorkerID) float64 { return f.stated[id] }

// ReplicaSnapshots is what this front end believes of copies.
func (f *Proxy) ReplicaSnapshots() []dispatch.ReplicaSnapshot {
	return f.core.ReplicaSnapshots(f.started)
}

// DrainWorker makes a worker drain, or returns it to what the list says, whatever the list says meanwhile. It tells whether
// the list names the worker.
func (f *Proxy) DrainWorker(id control.WorkerID, drain bool) (known bool) {
	if f.listed == nil || f.listed.Addresses[id] == "" {
		return false
	}
	if drain {
		f.drained[id] = true
	} else {
		delete(f.drained, id)
	}
	f.relist()
	return true
}

// Preload has a copy of a function loaded that will be asked for soon; it tells whether the decisions ordered one.
func (f *Proxy) Preload(eventType, fn string) (ordered bool) {
	ordered = f.core.Preload(f.host.Now(), eventType, fn)
	f.Flush()
	return ordered
}

// UnloadReplicas asks every worker that is believed to hold a function to let its idle copies go, and tells how many.
func (f *Proxy) UnloadReplicas(fn string) (asked int) {
	_, functions := f.core.RoutingView()
	for _, x := range functions {
		if string(x.ID) != fn {
			continue
		}
		for _, wk := range x.Replicas {
			f.unload--
			f.pool.SendLoad(f.host.Now(), dispatch.LoadCommand{ID: f.unload, Worker: wk, Function: fn})
			asked++
		}
	}
	f.Flush()
	return asked
}
