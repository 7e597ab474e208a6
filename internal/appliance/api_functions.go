package appliance

import (
	"slices"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

const millisecondsPerSecond = 1000

// FunctionStatus is a function as the servers know it.
type FunctionStatus struct {
	Name          string   `json:"name"`
	LoadedOn      []string `json:"warm"`
	LoadingOn     []string `json:"loading,omitempty"`
	Concurrency   int      `json:"lanes"`
	InFlight      int      `json:"out"`
	Waiters       int      `json:"waiting"`
	MedianLatency float64  `json:"median_ms"`
}

// functionStatuses merges what the servers know of the functions, by name.
func (a *Appliance) functionStatuses() []FunctionStatus {
	functions := []FunctionStatus{}
	index := map[string]int{}
	for _, server := range a.runningServers() {
		// A server that has stopped knows no functions.
		_ = server.DoDispatcher(func(d *dispatch.Dispatcher) {
			_, views := d.RoutingView()
			for i := range views {
				view := &views[i]
				name := string(view.ID)
				position, known := index[name]
				if !known {
					position = len(functions)
					index[name] = position
					functions = append(functions, FunctionStatus{Name: name, Concurrency: view.Concurrency, LoadedOn: []string{}})
				}
				functions[position].merge(view)
			}
		})
	}
	slices.SortFunc(functions, func(x, y FunctionStatus) int { return strings.Compare(x.Name, y.Name) })
	return functions
}

// merge adds what a server knows of the function.
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
	f.MedianLatency = max(f.MedianLatency, view.MedianLatency*millisecondsPerSecond)
}
