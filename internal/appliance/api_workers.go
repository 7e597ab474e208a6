package appliance

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// States of a worker in the admin API.
const (
	workerServing   = "serving"
	workerWarmingUp = "cold"
	workerEjected   = "set-aside"
	workerDraining  = "draining"
)

// WorkerStatus is the status of a worker, merged over all servers.
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

// workerStatuses returns the status of every known worker. It merges the views of all servers, because each server sees
// only its own traffic.
func (a *Appliance) workerStatuses() []WorkerStatus {
	merged := newStatusIndex[WorkerStatus]()
	for _, server := range a.runningServers() {
		drained := server.DrainedWorkers()
		inspectDispatcher(server, func(d *dispatch.Dispatcher) {
			views, _ := d.RoutingView()
			for i := range views {
				view := &views[i]
				name := string(view.ID)
				status, added := merged.entry(name)
				if added {
					*status = WorkerStatus{Name: name, MachineType: string(view.MachineType), Zone: string(view.Zone)}
				}
				status.merge(view)
				status.DrainedByCommand = slices.Contains(drained, name)
			}
		})
	}
	return merged.statuses
}

// merge adds one server's view of the worker.
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
