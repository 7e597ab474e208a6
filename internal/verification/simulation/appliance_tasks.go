package simulation

import (
	"streamcleat/internal/appliance"
	"streamcleat/internal/dispatch"
)

// Names of the background tasks, as in package appliance.
const (
	taskTick       = "tick"
	taskExpiry     = "expiry"
	taskCompaction = "compaction"
)

const (
	taskInterval      = 0.1   // seconds between slices of background tasks
	taskSliceDuration = 0.005 // duration of a slice in seconds, as reported to the task scheduler
	expiryBatch       = 50    // maximum number of records deleted by one slice of the expiry task
)

// startTasks starts the background tasks of a process that has recovered its state.
func (a *applianceProcess) startTasks() {
	a.tasks = appliance.NewTaskScheduler(float64(a.scheduler.now),
		appliance.BackgroundTask{Name: taskTick, Interval: 1, Priority: 3, SliceDuration: 0.05, Urgent: true},
		appliance.BackgroundTask{Name: taskExpiry, Interval: 2, Priority: 2, SliceDuration: 0.02, MaxTimeFraction: 0.05, MaxDelay: 5},
		appliance.BackgroundTask{Name: taskCompaction, Interval: 7, Priority: 1, SliceDuration: 1, MaxTimeFraction: 0.05, MaxDelay: 10})
	a.after(taskInterval, "chores", a.runTask)
}

// runTask runs one slice of the background task that is due next.
func (a *applianceProcess) runTask() {
	if a.store == nil || a.lifecycle.State >= appliance.Terminating {
		return
	}
	name, _ := a.tasks.Next(float64(a.scheduler.now), 0)
	more := false
	err := a.withStore(func() (err error) {
		more, err = a.runTaskSlice(name)
		return err
	})
	if !a.running {
		return
	}
	a.tasks.Done(float64(a.scheduler.now), name, taskSliceDuration, more, err)
	a.after(taskInterval, "chores", a.runTask)
}

// runTaskSlice runs one slice of a background task, and reports whether the task has more to do.
func (a *applianceProcess) runTaskSlice(name string) (more bool, err error) {
	switch name {
	case taskTick:
		var snapshots []dispatch.ReplicaSnapshot
		for _, f := range a.frontEnds {
			snapshots = append(snapshots, f.proxy.ReplicaSnapshots()...)
		}
		return false, a.store.SaveReplicas(snapshots)
	case taskExpiry:
		n, err := a.store.Expire(expiryBatch)
		return n == expiryBatch, err
	case taskCompaction:
		return false, a.store.Compact()
	}
	return false, nil
}
