package appliance

import (
	"os"
	"slices"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/storage"
)

// Status is the overall status of the appliance. Times are in seconds.
type Status struct {
	Name              string             `json:"name"`
	State             string             `json:"state"`
	Reason            string             `json:"reason,omitempty"`
	ProcessID         int                `json:"process"`
	Uptime            float64            `json:"uptime_s"`
	DrainTimeLeft     float64            `json:"drain_left_s,omitempty"`
	FrontEnds         []string           `json:"front_ends"`
	Open              int                `json:"open"`
	InFlight          int                `json:"out"`
	Totals            map[string]uint64  `json:"totals"`
	Latency           map[string]float64 `json:"latency_ms"`
	Seconds           []secondCounts     `json:"seconds"` // the last minute, oldest first
	Workers           map[string]int     `json:"workers"` // number of workers, by state
	FunctionCount     int                `json:"handlers"`
	Clients           int                `json:"clients"`
	Store             *StoreStatus       `json:"store,omitempty"`
	ActiveConsole     string             `json:"writer,omitempty"` // the console that may give commands
	ActiveConsoleIdle float64            `json:"writer_idle_s,omitempty"`
	Tasks             []TaskStatus       `json:"chores"`
}

// StoreStatus is the status of the durable store.
type StoreStatus struct {
	Bytes            uint64 `json:"bytes"`
	Records          int    `json:"notes"`
	Commits          int    `json:"syncs"`
	Error            string `json:"failed,omitempty"`
	QuarantinePath   string `json:"set_aside,omitempty"`
	RecoveredRecords int    `json:"restored"`
}

// status returns the overall status.
func (a *Appliance) status() Status {
	a.mu.Lock()
	s := a.processStatus()
	store, state := a.store, a.lifecycle.State
	a.mu.Unlock()
	for _, server := range a.runningServers() {
		counts, clients, _, err := server.Counts()
		if err != nil {
			continue
		}
		s.Open += counts.Open
		s.InFlight += counts.InFlight
		s.Clients += clients
		addTotals(s.Totals, &counts)
	}
	for _, worker := range a.workerStatuses() {
		s.Workers[worker.State]++
	}
	s.FunctionCount = len(a.functionStatuses())
	if store != nil && state > Starting && state < Persisting {
		s.Store = newStoreStatus(store, a.recovered)
	}
	return s
}

// processStatus returns the part of the status that does not come from the servers. The caller must hold a.mu.
func (a *Appliance) processStatus() Status {
	s := Status{
		Name:      a.config.Name,
		State:     a.lifecycle.State.String(),
		Reason:    a.lifecycle.Reason,
		ProcessID: os.Getpid(),
		Uptime:    a.uptime(),
		FrontEnds: slices.Clone(a.addresses),
		Totals:    map[string]uint64{},
		Latency:   a.statistics.latencyQuantiles(),
		Seconds:   a.statistics.lastSeconds(),
		Workers:   map[string]int{},
	}
	if a.lifecycle.State == Draining {
		s.DrainTimeLeft = max(time.Until(a.drainDeadline).Seconds(), 0)
	}
	if a.activeConsole.name != "" && time.Since(a.activeConsole.lastCommand) < consoleTimeout {
		s.ActiveConsole = a.activeConsole.name
		s.ActiveConsoleIdle = time.Since(a.activeConsole.lastCommand).Seconds()
	}
	if a.tasks != nil {
		s.Tasks = a.tasks.Statuses(a.uptime())
	}
	return s
}

// addTotals adds one server's counters to the totals.
func addTotals(totals map[string]uint64, counts *dispatch.Counts) {
	totals["taken"] += counts.Accepted
	totals["joined"] += counts.Deduplicated
	totals["from_kept"] += counts.Replayed
	totals["handled"] += counts.Succeeded
	totals["deferred"] += counts.Rejected
	totals["dead_lettered"] += counts.Failed
	totals["launches"] += counts.Attempts
	totals["orders"] += counts.LoadCommands
	totals["abandoned"] += counts.TimedOut
	totals["hung_up"] += counts.Cancelled
}

func newStoreStatus(store *storage.Store, recovered *storage.RecoveredState) *StoreStatus {
	status := &StoreStatus{
		Bytes:            store.Size(),
		Records:          int(store.CommittedRecords.Load()),
		Commits:          int(store.CommittedBatches.Load()),
		QuarantinePath:   recovered.QuarantinePath,
		RecoveredRecords: len(recovered.Records),
	}
	if err := store.Err(); err != nil {
		status.Error = err.Error()
	}
	return status
}
