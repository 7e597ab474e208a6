package proxy

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/upstream"
)

// ReadList takes the text of the worker list. A faulty one leaves the last good one in force.
func (f *Front) ReadList(data []byte) error {
	f.offset = f.host.Now() - float64(f.host.Wall().UnixNano())/1e9
	list, err := upstream.ReadList(data, f.offset)
	if err != nil {
		return err
	}
	f.steady(list)
	f.listed = list
	f.relist()
	return nil
}

// TakeList puts a list of workers in force as it is. Their starts are on the host's clock.
func (f *Front) TakeList(list *upstream.Listed) {
	f.listed = list
	f.relist()
}

// steady settles when workers started. The file tells it by a time of day, and the machines' clocks differ and are set:
// a worker started anew only where the file says another time than before, whatever the clock here does; then it did so
// after the last reading that said the old one, however long ago that time seems to be. Nothing started in the future.
func (f *Front) steady(list *upstream.Listed) {
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
		if wk.Born > 0 {
			stated[wk.ID] = wk.Born - f.offset
			wk.Born = min(wk.Born, now)
		}
		old, known := was[wk.ID]
		switch d := stated[wk.ID] - f.stated[wk.ID]; {
		case !known || f.listed.Address[wk.ID] != list.Address[wk.ID]:
		case d > -0.5 && d < 0.5:
			wk.Born = f.listed.Workers[old].Born
		case wk.Born > 0:
			wk.Born = max(wk.Born, f.readAt)
		}
	}
	f.stated, f.readAt = stated, now
}

// relist puts the list in force that the file and the operators' orders make together.
func (f *Front) relist() {
	if f.listed == nil {
		return
	}
	list := &upstream.Listed{Workers: slices.Clone(f.listed.Workers), Address: f.listed.Address}
	for i := range list.Workers {
		if f.drained[list.Workers[i].ID] {
			list.Workers[i].Phase = control.Draining
		}
	}
	change := upstream.Change(f.list, list)
	f.list = list
	f.pool.List(list)
	if len(change) > 0 {
		f.core.Workers(f.host.Now(), false, change)
		f.recall()
		f.log.Info("list of workers", "workers", len(list.Workers), "changed", len(change))
	}
	f.Settle()
}

// recall hands on, with the first list, what an earlier process knew of workers that have not started anew since.
func (f *Front) recall() {
	known := f.set.Known
	f.set.Known = nil
	for _, k := range known {
		k.Age += f.host.Now() - f.born
		if d := f.started(control.WorkerID(k.Worker)) - k.Started; d > -1 && d < 1 {
			f.core.Recall(f.host.Now(), k)
		}
	}
}

// started is a worker's start in Unix seconds as the list tells it, 0 where it tells none.
func (f *Front) started(id control.WorkerID) float64 { return f.stated[id] }

// Knows is what this front end believes of copies.
func (f *Front) Knows() []dispatch.Known { return f.core.Knows(f.started) }

// Drain makes a worker drain, or returns it to what the list says, whatever the list says meanwhile. It tells whether
// the list names the worker.
func (f *Front) Drain(id control.WorkerID, drain bool) (known bool) {
	if f.listed == nil || f.listed.Address[id] == "" {
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

// Ahead has a copy of a function loaded that will be asked for soon; it tells whether the decisions ordered one.
func (f *Front) Ahead(eventType, fn string) (ordered bool) {
	ordered = f.core.Ahead(f.host.Now(), eventType, fn)
	f.Settle()
	return ordered
}

// Unload asks every worker that is believed to hold a function to let its idle copies go, and tells how many.
func (f *Front) Unload(fn string) (asked int) {
	_, functions := f.core.Believed()
	for _, x := range functions {
		if string(x.ID) != fn {
			continue
		}
		for _, wk := range x.Warm {
			f.unload--
			f.pool.Load(f.host.Now(), dispatch.Order{Job: f.unload, Worker: wk, Function: fn})
			asked++
		}
	}
	f.Settle()
	return asked
}
