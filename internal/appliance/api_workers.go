package appliance

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// States of a worker as the console shows them.
const (
	workerServing   = "serving"
	workerWarmingUp = "cold"
	workerEjected   = "set-aside"
	workerDraining  = "draining"
)

// WorkerStatus is a worker as the servers know it.
type WorkerStatus struct {
	Name             string  `json:"name"`
	State            string  `json:"state"` // serving, cold, set-aside, draining
	DrainedByCommand bool    `json:"drained_by_order"`
	MachineType      string  `json:"kind,omitempty"`
	Zone             string  `json:"zone,omitempty"`
	InFlight         int     `json:"out"`
	Load             float64 `json:"load"`
	WarmUpProgress   float64 `json:"warmth"`
	ConcurrencyLimit float64 `json:"room"`
	Replicas         int     `json:"copies"`
	PendingLoads     int     `json:"loading"`
}

// workerStatuses merges what the servers know of the workers; each server sees only its own traffic.
func (a *Appliance) workerStatuses() []WorkerStatus {
	workers := []WorkerStatus{}
	index := map[string]int{}
	for _, server := range a.runningServers() {
		drained := server.DrainedWorkers()
		// A server that has stopped knows no workers.
		_ = server.DoDispatcher(func(d *dispatch.Dispatcher) {
			views, _ := d.RoutingView()
			for i := range views {
				view := &views[i]
				name := string(view.ID)
				position, known := index[name]
				if !known {
					position = len(workers)
					index[name] = position
					workers = append(workers, WorkerStatus{Name: name, MachineType: string(view.MachineType), Zone: string(view.Zone)})
				}
				worker := &workers[position]
				worker.merge(view)
				worker.DrainedByCommand = slices.Contains(drained, name)
			}
		})
	}
	return workers
}

// merge adds what a server knows of the worker.
func (w *WorkerStatus) merge(view *control.WorkerView) {
	switch {
	case view.State == control.Draining:
		w.State = workerDraining
	case view.EjectedFor > 0:
		w.State = workerEjected
	case w.State == "" && view.WarmUpProgress < 1:
		w.State = workerWarmingUp
	case w.State == "":
		w.State = workerServing
	}
	w.InFlight += view.InFlight
	w.ConcurrencyLimit += view.ConcurrencyLimit
	w.Load = max(w.Load, view.Load)
	w.WarmUpProgress = view.WarmUpProgress
	w.Replicas = max(w.Replicas, view.Replicas)
	w.PendingLoads += view.PendingLoads
}
