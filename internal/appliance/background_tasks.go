package appliance

import (
	"time"

	"streamcleat/internal/dispatch"
)

// Names of the background tasks. The console shows them.
const (
	taskRollouts   = "rollouts"
	taskPreload    = "ahead"
	taskCrontab    = "crontab"
	taskKeys       = "keys"
	taskTick       = "tick"
	taskExpiry     = "expiry"
	taskCompaction = "compaction"
)

// expiryBatch is how many records one call of Expire examines.
const expiryBatch = 500

// backgroundTasks returns the tasks that the configuration asks for. Expiry and compaction keep the state folder
// bounded; the tick stores the service time and the known replicas for a restart.
func (a *Appliance) backgroundTasks() []BackgroundTask {
	tasks := []BackgroundTask{
		{Name: taskRollouts, Interval: 0.2, Priority: 4, SliceDuration: 0.05, Urgent: true},
	}
	if a.config.Schedules != nil {
		tasks = append(tasks,
			BackgroundTask{Name: taskPreload, Interval: 1, Priority: 4, SliceDuration: 0.05, MaxTimeFraction: 0.05},
			BackgroundTask{Name: taskCrontab, Interval: 2, Priority: 1, SliceDuration: 0.1, MaxTimeFraction: 0.02, MaxDelay: 60})
	}
	if a.config.Registry != nil {
		tasks = append(tasks,
			BackgroundTask{Name: taskKeys, Interval: 2, Priority: 2, SliceDuration: 0.1, MaxTimeFraction: 0.02, MaxDelay: 10})
	}
	if a.store != nil {
		tasks = append(tasks,
			BackgroundTask{Name: taskTick, Interval: 1, Priority: 3, SliceDuration: 0.05, Urgent: true},
			BackgroundTask{Name: taskExpiry, Interval: 5, Priority: 2, SliceDuration: 0.02, MaxTimeFraction: 0.05, MaxDelay: 30},
			BackgroundTask{Name: taskCompaction, Interval: 600, Priority: 1, SliceDuration: 1, MaxTimeFraction: 0.05, MaxDelay: 1800})
	}
	return tasks
}

// runBackgroundTasks gives slices to the tasks and ends each second of the statistics, until stopped is closed.
func (a *Appliance) runBackgroundTasks(stopped <-chan struct{}) {
	ticker := time.NewTicker(backgroundTaskPause)
	defer ticker.Stop()
	secondStart := time.Now()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.C:
		}
		if time.Since(secondStart) >= time.Second {
			secondStart = secondStart.Add(time.Second)
			a.mu.Lock()
			a.statistics.endSecond()
			a.mu.Unlock()
		}
		a.runTaskSlice()
	}
}

// runTaskSlice runs one slice of the task that is next, if the appliance serves and one is due.
func (a *Appliance) runTaskSlice() {
	a.mu.Lock()
	ready := a.tasks != nil && a.lifecycle.State >= Serving && a.lifecycle.State < Terminating
	a.mu.Unlock()
	if !ready {
		return
	}
	utilization := a.utilization()
	a.mu.Lock()
	name, budget := a.tasks.Next(a.uptime(), utilization)
	a.mu.Unlock()
	if name == "" {
		return
	}
	start := time.Now()
	more, err := a.runTask(name, start, budget)
	a.mu.Lock()
	a.tasks.Done(a.uptime(), name, time.Since(start).Seconds(), more, err)
	a.mu.Unlock()
}

// runTask runs one slice of a task within a budget of seconds. It reports whether the round needs another slice.
func (a *Appliance) runTask(name string, start time.Time, budget float64) (more bool, err error) {
	deadline := start.Add(seconds(budget))
	switch name {
	case taskPreload:
		return false, a.preloadScheduled(deadline)
	case taskCrontab:
		return false, a.reloadCrontab()
	case taskKeys:
		return false, a.functions.reloadKeys(a.config.Path(a.config.Registry.Keys), a.log)
	case taskRollouts:
		return false, a.advanceRollouts(deadline)
	case taskTick:
		return false, a.saveReplicas()
	case taskExpiry:
		return a.expireRecords(start, budget)
	case taskCompaction:
		return false, a.store.Compact()
	}
	return false, nil
}

// advanceRollouts takes rollouts and the release under way a step on and has their versions loaded.
func (a *Appliance) advanceRollouts(deadline time.Time) error {
	if err := a.functions.advanceRollouts(a.log); err != nil {
		return err
	}
	if err := a.functions.advanceRelease(a.uptime(), a.log, a.preloadVersion, a.isVersionLoaded); err != nil {
		return err
	}
	return a.preloadRolloutTargets(deadline)
}

// saveReplicas stores the replicas that the servers know, and with them the service time.
func (a *Appliance) saveReplicas() error {
	var replicas []dispatch.ReplicaSnapshot
	for _, server := range a.runningServers() {
		replicas = append(replicas, server.ReplicaSnapshots()...)
	}
	return a.store.SaveReplicas(replicas)
}

// expireRecords deletes expired records until none is due or the budget is used up.
func (a *Appliance) expireRecords(start time.Time, budget float64) (more bool, err error) {
	for time.Since(start).Seconds() < budget {
		examined, err := a.store.Expire(expiryBatch)
		if err != nil || examined < expiryBatch {
			return more, err
		}
		more = true
	}
	return more, nil
}

// utilization returns the share of the configured open requests that are open now.
func (a *Appliance) utilization() float64 {
	open := 0
	for _, server := range a.runningServers() {
		if counts, _, _, err := server.Counts(); err == nil {
			open += counts.Open
		}
	}
	return float64(open) / float64(max(a.config.Limits.MaxOpenRequests*len(a.config.Listen), 1))
}
