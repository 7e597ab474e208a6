package appliance

import (
	"time"

	"streamcleat/internal/dispatch"
)

// Names of the background tasks in the admin API.
const (
	taskRollouts   = "rollouts"
	taskPreload    = "ahead"
	taskCrontab    = "crontab"
	taskKeys       = "keys"
	taskTick       = "tick"
	taskExpiry     = "expiry"
	taskCompaction = "compaction"
)

// expiryBatch is the maximum number of records examined by one call of storage.Store.Expire.
const expiryBatch = 500

// backgroundTasks returns the tasks that the configuration requires. Expiry and compaction bound the size of the state
// folder. The tick stores the loaded replicas and the service time, from which a restarted process continues.
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

// runBackgroundTasks runs slices of the tasks and advances the statistics every second, until stopped is closed.
func (a *Appliance) runBackgroundTasks(stopped <-chan struct{}) {
	ticker := time.NewTicker(backgroundTaskInterval)
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

// runTaskSlice runs one slice of the next due task, if any. Tasks run only while the appliance is serving or draining.
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

// runTask runs one slice of a task within a budget in seconds. more is true if the round needs another slice.
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

// advanceRollouts advances the rollouts and the release in progress by one step and preloads their target versions.
func (a *Appliance) advanceRollouts(deadline time.Time) error {
	if err := a.functions.advanceRollouts(a.log); err != nil {
		return err
	}
	if err := a.functions.advanceRelease(a.uptime(), a.log, a.preloadVersion, a.isVersionLoaded); err != nil {
		return err
	}
	return a.preloadRolloutTargets(deadline)
}

// saveReplicas stores the loaded replicas known to the servers. The store adds the service time.
func (a *Appliance) saveReplicas() error {
	var replicas []dispatch.ReplicaSnapshot
	for _, server := range a.runningServers() {
		replicas = append(replicas, server.ReplicaSnapshots()...)
	}
	return a.store.SaveReplicas(replicas)
}

// expireRecords deletes expired records until none is left or the budget in seconds is used up.
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

// utilization returns the number of open requests as a fraction of the configured maximum.
func (a *Appliance) utilization() float64 {
	open := 0
	for _, server := range a.runningServers() {
		if counts, _, _, err := server.Counts(); err == nil {
			open += counts.Open
		}
	}
	return float64(open) / float64(max(a.config.Limits.MaxOpenRequests*len(a.config.Listen), 1))
}
