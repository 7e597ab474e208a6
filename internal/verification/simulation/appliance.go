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
	"streamcleat/internal/verification/invariants"
)

// Times of every appliance, in seconds.
const (
	syncTime          = 0.001 // of a sync of the disk
	bootTime          = 0.05  // from the start of a process to its first look at the state
	recoveryTime      = 0.01  // from the opened state to the start of the front ends
	drainTimeout      = 1.0   // for requests that are open when it is asked to stop
	pollInterval      = 0.01  // between looks whether something has ended
	closeTime         = 0.02  // of the store
	minRestartDelay   = 0.1   // from the end of a process to the next one
	tornRestartDelay  = 0.3   // from a torn write, which takes the machine with it
	powerReturn       = 0.2   // from a loss of power to its return
	taskInterval      = 0.1   // between slices of background tasks
	taskSlice         = 0.005 // that a background task is said to have taken
	expiryBatch       = 50    // records that one slice of the expiry deletes
	firstUptime       = 1e6   // of the machines' monotonic clocks
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

// applianceProcess is one process of the program on its machine: the life cycle, the store and the schedules of an
// appliance and its front ends, put together as the real appliance does, on the virtual clock.
type applianceProcess struct {
	process
	site   *site
	number int
	boots  int

	disk       *disk
	store      *storage.Store // nil while it is closed, and always where the script has no state
	syncing    bool
	lifecycle  appliance.Lifecycle
	recovered  *storage.RecoveredState
	frontEnds  []*frontEnd
	tasks      *appliance.TaskScheduler
	registry   *registry.Registry
	restartIn  float64 // seconds from an ordered stop to the next start
	ignoreList bool    // the watcher of the endpoint list misses changes

	schedules          *schedule.Plan
	lastFirings        map[string]time.Time
	schedulesSuspended bool
	scheduled          map[dispatch.Identity]uint64 // its own requests that are open: their call numbers

	// What the checks know of the state.
	acknowledged   map[dispatch.Identity]dispatch.Record // reported to the program as on disk
	acknowledgedAt map[dispatch.Identity]float64
	unacknowledged map[dispatch.Identity][]dispatch.Record // submitted, and not yet reported as on disk
	auditEntries   int                                     // reported to the program as on disk
}

func (s *site) newAppliance(number, frontEnds int) *applianceProcess {
	a := &applianceProcess{
		process: process{
			scheduler: s.scheduler, name: fmt.Sprintf("box-%d", number), powered: true,
			uptimeBase: firstUptime + uptimeDifference*float64(number),
		},
		site: s, number: number, disk: newDisk(),
		acknowledged:   map[dispatch.Identity]dispatch.Record{},
		acknowledgedAt: map[dispatch.Identity]float64{},
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
	a.running, a.powered, a.paused, a.syncing, a.schedulesSuspended = true, true, false, false, true
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

// handle hands an event to the life cycle and does what follows from it.
func (a *applianceProcess) handle(e appliance.LifecycleEvent, cause string) {
	for _, action := range a.lifecycle.Handle(e, cause) {
		a.perform(action)
	}
}

// openState opens the state, as the real appliance does first of all.
func (a *applianceProcess) openState() {
	if a.site.script.Stateless {
		a.recovered = &storage.RecoveredState{Created: true, LastFirings: map[string]time.Time{}}
		a.openRegistry(nil)
	} else {
		store, recovered, err := storage.OpenStore(stateDirectory, a.storeOptions(a.disk))
		if err != nil {
			if !a.disk.full {
				a.site.violation("state", "%s can't open its state: %v", a.name, err)
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

// timestamp is the machine's clock for the store: only a loss of power is a new boot of the machine.
func (a *applianceProcess) timestamp() storage.Timestamp {
	return storage.Timestamp{BootID: fmt.Sprintf("%s/%d", a.name, a.site.reboots[a.number]), Uptime: a.scheduler.now}
}

// perform does one action of the life cycle.
func (a *applianceProcess) perform(action appliance.Action) {
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
	case appliance.Exit:
		a.exit(false)
		a.scheduler.after(max(a.restartIn, minRestartDelay), a.name+" starts", a.startIfDown)
	}
}

// eachFrontEnd calls do for the front ends that run.
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
		a.site.violation("state", "%s did not close its state: %v", a.name, err)
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

// recover starts the front ends with what was recovered.
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
	a.tasks = appliance.NewTaskScheduler(a.scheduler.now,
		appliance.BackgroundTask{Name: taskTick, Interval: 1, Priority: 3, SliceDuration: 0.05, Urgent: true},
		appliance.BackgroundTask{Name: taskExpiry, Interval: 2, Priority: 2, SliceDuration: 0.02, MaxTimeFraction: 0.05, MaxDelay: 5},
		appliance.BackgroundTask{Name: taskCompaction, Interval: 7, Priority: 1, SliceDuration: 1, MaxTimeFraction: 0.05, MaxDelay: 10})
	a.after(taskInterval, "chores", a.runTask)
	a.handle(appliance.StateRecovered, "")
}

// runTask gives a slice to the background task that is due, as the real appliance does.
func (a *applianceProcess) runTask() {
	if a.store == nil || a.lifecycle.State >= appliance.Terminating {
		return
	}
	name, _ := a.tasks.Next(a.scheduler.now, 0)
	more := false
	err := a.withStore(func() (err error) {
		more, err = a.runTaskSlice(name)
		return err
	})
	if !a.running {
		return
	}
	a.tasks.Done(a.scheduler.now, name, taskSlice, more, err)
	a.after(taskInterval, "chores", a.runTask)
}

// runTaskSlice runs one slice of a background task. more is whether the task has more to do.
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

// withStore does something with the store. Where the machine stops within a write nothing follows.
func (a *applianceProcess) withStore(do func() error) error {
	before := a.disk.tornWrites
	err := do()
	if a.disk.tornWrites > before {
		a.crash(true, tornRestartDelay)
	}
	return err
}

// Commit implements proxy.RecordStore: the store's batch is written when the disk's turn has come.
func (a *applianceProcess) Commit(records []dispatch.Record, done func(error)) {
	a.recordsSubmitted(records)
	a.store.Commit(records, func(err error) {
		if err == nil {
			a.recordsAcknowledged(records)
		}
		done(err)
	})
	a.sync()
}

func (a *applianceProcess) sync() {
	if a.syncing {
		return
	}
	a.syncing = true
	a.after(syncTime+a.disk.syncDelay, "syncs", func() {
		a.syncing = false
		if a.store == nil { // closed meanwhile, which wrote what waited
			return
		}
		_ = a.withStore(func() error { // CommitPending reports its errors to those who committed
			a.store.CommitPending()
			return nil
		})
	})
}

// crash ends the process without any order, with its machine where that loses its power.
func (a *applianceProcess) crash(losePower bool, restartIn float64) {
	if !a.running {
		return
	}
	a.exit(losePower)
	a.scheduler.after(restartIn, a.name+" starts", a.startIfDown)
}

// exit ends the process and leaves what stays of it: connections that break, and the disk.
func (a *applianceProcess) exit(losePower bool) {
	a.site.beginOutage(a)
	ends := a.site.network.endpointsOf(a.name)
	a.terminate()
	for _, e := range ends {
		e.conn.harmed = true
		if losePower { // packets find the machine off, or up again and without the connection
			e.drop()
		} else {
			e.vanish()
		}
	}
	if losePower {
		a.powered = false
		a.site.reboots[a.number]++
		a.scheduler.after(powerReturn, a.name+" has power", func() { a.powered = true })
	}
	for _, f := range a.frontEnds {
		f.timer.cancel()
		f.proxy = nil
	}
	for _, call := range sortedCalls(a.scheduled) {
		a.site.addUnknownEnd(invariants.Record{Kind: invariants.ConnectionLost, CallID: call})
	}
	old := a.store
	a.store = nil
	a.disk.restart(losePower)
	if old != nil {
		a.site.closing.Go(func() { _ = old.Abandon() }) // gives its memory back; its disk is nobody's any more
	}
}
