package appliance

import (
	"slices"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

const millisecondsPerSecond = 1000

// FunctionStatus is the status of a function, merged over all servers.
type FunctionStatus struct {
	Name          string   `json:"name"`
	LoadedOn      []string `json:"warm"`
	LoadingOn     []string `json:"loading,omitempty"`
	Concurrency   int      `json:"lanes"`
	InFlight      int      `json:"out"`
	Waiters       int      `json:"waiting"`
	MedianLatency float64  `json:"median_ms"`
}

// functionStatuses returns the status of every known function, sorted by name.
func (a *Appliance) functionStatuses() []FunctionStatus {
	merged := newStatusIndex[FunctionStatus]()
	for _, server := range a.runningServers() {
		inspectDispatcher(server, func(d *dispatch.Dispatcher) {
			_, views := d.RoutingView()
			for i := range views {
				view := &views[i]
				status, added := merged.entry(string(view.ID))
				if added {
					*status = FunctionStatus{Name: string(view.ID), Concurrency: view.Concurrency, LoadedOn: []string{}}
				}
				status.merge(view)
			}
		})
	}
	slices.SortFunc(merged.statuses, func(x, y FunctionStatus) int { return strings.Compare(x.Name, y.Name) })
	return merged.statuses
}

// merge adds one server's view of the function.
func (f *FunctionStatus) merge(view *control.FunctionView) {
	for _, worker := range view.Replicas {
		if !slices.Contains(f.LoadedOn, string(worker)) {
			f.LoadedOn = append(f.LoadedOn, string(worker))
		}
	}
	if loading := string(view.PendingLoadOn); loading != "" && !slices.Contains(f.LoadingOn, loading) {
		f.LoadingOn = append(f.LoadingOn, loading)
	}
	f.InFlight += view.InFlight
	f.Waiters += view.Waiters
	f.MedianLatency = float64(max(units.Seconds(f.MedianLatency), view.MedianLatency*millisecondsPerSecond))
}
