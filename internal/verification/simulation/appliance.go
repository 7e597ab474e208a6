package simulation

import (
	"fmt"
	"maps"
	"time"

	"streamcleat/internal/appliance"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/registry"
	"streamcleat/internal/schedule"
	"streamcleat/internal/storage"
	"streamcleat/internal/units"
	"streamcleat/internal/verification/invariants"
)

// Times of every appliance, in seconds.
const (
	syncTime          = 0.001 // of a sync of the disk
	bootTime          = 0.05  // from the start of a process until it opens the state
	recoveryTime      = 0.01  // from the opened state to the start of the front ends
	drainTimeout      = 1.0   // for open requests at a graceful stop
	pollInterval      = 0.01  // between checks whether something has ended
	closeTime         = 0.02  // of the store
	minRestartDelay   = 0.1   // from the end of a process to the next one
	tornRestartDelay  = 0.3   // from a torn write, which stops the machine
	powerLossDuration = 0.2   // from a loss of power to its return
	taskInterval      = 0.1   // between slices of background tasks
	taskSliceDuration = 0.005 // reported duration of a slice
	expiryBatch       = 50    // records that one slice of the expiry task deletes
	baseUptime        = 1e6   // of the machines' monotonic clocks
	uptimeDifference  = 1000  // between two machines
	stateDirectory    = "state"
	baseAppliancePort = 8080
)

// Background tasks, as the appliance names them.
const (
	taskTick       = "tick"
	taskExpiry     = "expiry"
	taskCompaction = "compaction"
)

// applianceProcess is one process of the program on its machine: lifecycle, store, schedules and front ends of an
// appliance, wired like appliance.Appliance, but on the virtual clock.
type applianceProcess struct {
	process
	site   *site
	number int
	boots  int

	disk        *disk
	store       *storage.Store // nil while it is closed, and always if the script is stateless
	syncPending bool
	lifecycle   appliance.Lifecycle
	recovered   *storage.RecoveredState
	frontEnds   []*frontEnd
	tasks       *appliance.TaskScheduler
	registry    *registry.Registry
	restartIn   float64 // seconds from a graceful stop to the next start
	ignoreList  bool    // it misses changes of the endpoint list

	schedules          *schedule.Plan
	lastFirings        map[string]time.Time
	schedulesSuspended bool
	scheduled          map[dispatch.Identity]uint64 // call IDs of its open scheduled requests

	// State of the checks of the stored records.
	acknowledged   map[dispatch.Identity]dispatch.Record // reported to the program as on disk
	acknowledgedAt map[dispatch.Identity]units.Seconds
	unacknowledged map[dispatch.Identity][]dispatch.Record // submitted, and not yet reported as on disk
	auditEntries   int                                     // reported to the program as on disk
}

func (s *site) newAppliance(number, frontEnds int) *applianceProcess {
	a := &applianceProcess{
		process: process{
			scheduler: s.scheduler, name: fmt.Sprintf("box-%d", number), powered: true,
			uptimeBase: baseUptime + uptimeDifference*float64(number),
		},
		site: s, number: number, disk: newDisk(),
		acknowledged:   map[dispatch.Identity]dispatch.Record{},
		acknowledgedAt: map[dispatch.Identity]units.Seconds{},
		unacknowledged: map[dispatch.Identity][]dispatch.Record{},
	}
	for i := range frontEnds {
		f := &frontEnd{appliance: a, name: fmt.Sprintf("front-%d", len(s.frontEnds)), number: len(s.frontEnds)}
		f.addr = fmt.Sprintf("%s:%d", a.name, baseAppliancePort+i)
		a.frontEnds = append(a.frontEnds, f)
		s.frontEnds = append(s.frontEnds, f)
		s.network.listeners[f.addr] = &listener{&a.process, f.accept}
	}
	return a
}

// start starts the process.
func (a *applianceProcess) start() {
	a.lifecycle = appliance.Lifecycle{}
	a.incarnation++
	a.running, a.powered, a.suspended, a.syncPending, a.schedulesSuspended = true, true, false, false, true
	a.boots++
	a.schedules = nil
	a.after(bootTime, "opens the state", a.openState)
}

func (a *applianceProcess) startIfDown() {
	if !a.running {
		a.start()
	}
}

func (a *applianceProcess) isServing() bool { return a.lifecycle.State == appliance.Serving }

// handle passes an event to the lifecycle and executes its actions.
func (a *applianceProcess) handle(e appliance.LifecycleEvent, cause string) {
	for _, action := range a.lifecycle.Handle(e, cause) {
		a.execute(action)
	}
}

// openState opens the state and checks what was recovered.
func (a *applianceProcess) openState() {
	if a.site.script.Stateless {
		a.recovered = &storage.RecoveredState{Created: true, LastFirings: map[string]time.Time{}}
		a.openRegistry(nil)
	} else {
		store, recovered, err := storage.OpenStore(stateDirectory, a.storeOptions(a.disk))
		if err != nil {
			if !a.disk.full {
				a.site.violation("state", "%s: failed to open the state: %v", a.name, err)
			}
			a.handle(appliance.Failed, "state")
			return
		}
		a.store, a.recovered = store, recovered
		a.site.checkRecoveredRecords(a, recovered)
		a.site.checkRecoveredSchedules(a, recovered)
		a.openRegistry(recovered.AuditTrail)
	}
	a.scheduled = map[dispatch.Identity]uint64{}
	a.handle(appliance.StoreOpened, "")
}

func (a *applianceProcess) storeOptions(d *disk) storage.Options {
	return storage.Options{FS: d.view(), Retention: responseRetention, Synchronous: true, Clock: a.timestamp}
}

// timestamp returns the machine's clock for the store. Only a power loss reboots the machine.
func (a *applianceProcess) timestamp() storage.Timestamp {
	return storage.Timestamp{BootID: fmt.Sprintf("%s/%d", a.name, a.site.reboots[a.number]), Uptime: float64(a.scheduler.now)}
}

// execute executes an action of the lifecycle.
func (a *applianceProcess) execute(action appliance.Action) {
	switch action {
	case appliance.Recover:
		a.after(recoveryTime, "recovers", a.recover)
	case appliance.StartSchedules:
		a.schedulesSuspended = false
		a.fireSchedules()
	case appliance.SuspendSchedules:
		a.schedulesSuspended = true
	case appliance.StopListening:
		a.eachFrontEnd(func(f *frontEnd) { f.proxy.StopListening() })
	case appliance.StartDrainTimer:
		a.after(drainTimeout, "drain time", func() { a.handle(appliance.DrainTimeout, "") })
		a.awaitDrained()
	case appliance.TerminateRequests:
		a.eachFrontEnd(func(f *frontEnd) { f.proxy.Terminate() })
		a.awaitRecordsStored()
	case appliance.CloseStore:
		a.eachFrontEnd(func(f *frontEnd) { f.proxy.CloseUpstream() })
		a.closeStore()
		a.after(closeTime, "written", func() { a.handle(appliance.StoreClosed, "") })
	case appliance.CloseSocket: // the simulation has no console
	case appliance.Exit:
		a.exit(processExit)
		a.scheduler.after(units.Seconds(max(a.restartIn, minRestartDelay)), a.name+" starts", a.startIfDown)
	}
}

// eachFrontEnd calls do for the running front ends.
func (a *applianceProcess) eachFrontEnd(do func(*frontEnd)) {
	for _, f := range a.frontEnds {
		if f.proxy != nil {
			do(f)
		}
	}
}

func (a *applianceProcess) closeStore() {
	if a.store == nil {
		return
	}
	if err := a.store.Close(); err != nil && !a.disk.full && a.store.Err() == nil {
		a.site.violation("state", "%s: failed to close the state: %v", a.name, err)
	}
	a.store = nil
}

// awaitDrained waits until no request is open.
func (a *applianceProcess) awaitDrained() {
	open := 0
	a.eachFrontEnd(func(f *frontEnd) { open += f.proxy.Dispatcher().Counts().Open })
	if open == 0 {
		a.handle(appliance.RequestsDrained, "")
	} else if a.lifecycle.State == appliance.Draining {
		a.after(pollInterval, "drains", a.awaitDrained)
	}
}

// awaitRecordsStored waits until the records of the front ends are on disk.
func (a *applianceProcess) awaitRecordsStored() {
	for _, f := range a.frontEnds {
		if f.proxy != nil && !f.proxy.RecordsStored() {
			a.after(pollInterval, "writes", a.awaitRecordsStored)
			return
		}
	}
	a.handle(appliance.RequestsTerminated, "")
}

// recover starts the front ends and the schedules with the recovered state.
func (a *applianceProcess) recover() {
	for _, f := range a.frontEnds {
		f.start()
	}
	if a.site.script.Timers > 0 {
		a.lastFirings = maps.Clone(a.recovered.LastFirings)
		if a.lastFirings == nil {
			a.lastFirings = map[string]time.Time{}
		}
		a.schedules = schedule.Resume(a.site.crontab, a.lastFirings, a.wallClock())
	}
	for _, request := range a.recovered.ScheduledRequests {
		a.submitScheduled(request.Request, request.Deadline, 1)
	}
	a.tasks = appliance.NewTaskScheduler(float64(a.scheduler.now),
		appliance.BackgroundTask{Name: taskTick, Interval: 1, Priority: 3, SliceDuration: 0.05, Urgent: true},
		appliance.BackgroundTask{Name: taskExpiry, Interval: 2, Priority: 2, SliceDuration: 0.02, MaxTimeFraction: 0.05, MaxDelay: 5},
		appliance.BackgroundTask{Name: taskCompaction, Interval: 7, Priority: 1, SliceDuration: 1, MaxTimeFraction: 0.05, MaxDelay: 10})
	a.after(taskInterval, "chores", a.runTask)
	a.handle(appliance.StateRecovered, "")
}

// runTask runs a slice of the background task that is due.
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

// withStore calls do, which uses the store, and crashes the machine if a write was torn.
func (a *applianceProcess) withStore(do func() error) error {
	before := a.disk.tornWrites
	err := do()
	if a.disk.tornWrites > before {
		a.crash(powerLoss, tornRestartDelay)
	}
	return err
}

// Commit implements proxy.RecordStore. The store writes its batch at the next sync of the disk.
func (a *applianceProcess) Commit(records []dispatch.Record, done func(error)) {
	a.addUnacknowledged(records)
	a.store.Commit(records, func(err error) {
		if err == nil {
			a.acknowledge(records)
		}
		done(err)
	})
	a.sync()
}

func (a *applianceProcess) sync() {
	if a.syncPending {
		return
	}
	a.syncPending = true
	a.after(syncTime+a.disk.syncDelay, "syncs", func() {
		a.syncPending = false
		if a.store == nil { // it was closed, which wrote the batch
			return
		}
		_ = a.withStore(func() error { // Step reports errors to the callers of Commit
			a.store.CommitPending()
			return nil
		})
	})
}

// crash ends the process at once, or its machine by a power loss.
func (a *applianceProcess) crash(kind exitKind, restartIn float64) {
	if !a.running {
		return
	}
	a.exit(kind)
	a.scheduler.after(units.Seconds(restartIn), a.name+" starts", a.startIfDown)
}

// exit ends the process, breaks its connections, and prepares the disk for the next one.
func (a *applianceProcess) exit(kind exitKind) {
	a.site.beginOutage(a)
	ends := a.site.network.endpointsOf(a.name)
	a.terminate()
	for _, e := range ends {
		e.conn.faulty = true
		if kind == powerLoss { // the machine is off, or up again without the connection
			e.dropSilently()
		} else {
			e.resetByKernel()
		}
	}
	if kind == powerLoss {
		a.powered = false
		a.site.reboots[a.number]++
		a.scheduler.after(powerLossDuration, a.name+" has power", func() { a.powered = true })
	}
	for _, f := range a.frontEnds {
		f.timer.cancel()
		f.proxy = nil
	}
	for _, call := range sortedCalls(a.scheduled) {
		a.site.addUnknownOutcome(invariants.Record{Kind: invariants.ConnectionLost, CallID: call})
	}
	old := a.store
	a.store = nil
	a.disk.restart(kind)
	if old != nil {
		a.site.abandonedStores.Go(func() { _ = old.Abandon() }) // releases its memory; its disk is not used any more
	}
}
