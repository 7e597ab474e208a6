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

// Parameters of every appliance. Times are in seconds.
const (
	syncTime          = 0.001 // duration of a disk sync
	bootTime          = 0.05  // from the start of a process until it opens the store
	recoveryTime      = 0.01  // from the opening of the store to the start of the front ends
	drainTimeout      = 1.0   // for open requests during graceful shutdown
	pollInterval      = 0.01  // between checks whether requests are drained or records are stored
	closeTime         = 0.02  // duration of closing the store
	minRestartDelay   = 0.1   // minimum time from the exit of a process to its restart
	tornRestartDelay  = 0.3   // from a torn write, which stops the machine, to the restart
	powerLossDuration = 0.2   // from a power loss to the return of power
	baseUptime        = 1e6   // of the monotonic clock of the first machine at the start
	uptimeDifference  = 1000  // between the monotonic clocks of consecutive machines
	stateDirectory    = "state"
	baseAppliancePort = 8080
)

// applianceProcess is an appliance with its machine: the disk, and the lifecycle, store, schedules and front ends of the
// current process. It connects the components like appliance.Appliance, but on the virtual clock.
type applianceProcess struct {
	process
	site   *site
	number int
	boots  int

	disk        *disk
	store       *storage.Store // nil while closed, and always nil if the script is stateless
	syncPending bool
	lifecycle   appliance.Lifecycle
	recovered   *storage.RecoveredState
	frontEnds   []*frontEnd
	tasks       *appliance.TaskScheduler
	registry    *registry.Registry
	restartIn   float64 // seconds from the end of a graceful shutdown to the restart
	ignoreList  bool    // changes of the endpoint list are not noticed

	schedules          *schedule.Plan
	lastFirings        map[string]time.Time
	schedulesSuspended bool
	scheduled          map[dispatch.Identity]uint64 // call IDs of open scheduled requests

	// Expected contents of the store, for the checks after recovery.
	acknowledged   map[dispatch.Identity]dispatch.Record // commit to disk was confirmed to the program
	acknowledgedAt map[dispatch.Identity]units.Seconds
	unacknowledged map[dispatch.Identity][]dispatch.Record // submitted for commit, not yet confirmed
	auditEntries   int                                     // number of entries whose write was confirmed to the program
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

// start starts a new process, which opens the store after bootTime.
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

// handle passes an event to the lifecycle and executes the resulting actions.
func (a *applianceProcess) handle(e appliance.LifecycleEvent, cause string) {
	for _, action := range a.lifecycle.Handle(e, cause) {
		a.execute(action)
	}
}

// openState opens the store and checks the recovered state.
func (a *applianceProcess) openState() {
	if a.site.script.Stateless {
		a.recovered = &storage.RecoveredState{Created: true, LastFirings: map[string]time.Time{}}
		a.openRegistry(nil)
	} else {
		store, recovered, err := storage.OpenStore(stateDirectory, a.storeOptions(a.disk))
		if err != nil {
			if !a.disk.isFull() {
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
	case appliance.CloseSocket: // the console is not simulated
	case appliance.Exit:
		a.exit(processExit)
		a.scheduler.after(units.Seconds(max(a.restartIn, minRestartDelay)), a.name+" starts", a.startIfDown)
	}
}

// eachFrontEnd calls do for each running front end.
func (a *applianceProcess) eachFrontEnd(do func(*frontEnd)) {
	for _, f := range a.frontEnds {
		if f.proxy != nil {
			do(f)
		}
	}
}

// awaitDrained polls until no request is open, or draining has ended.
func (a *applianceProcess) awaitDrained() {
	open := 0
	a.eachFrontEnd(func(f *frontEnd) { open += f.proxy.Dispatcher().Counts().Open })
	if open == 0 {
		a.handle(appliance.RequestsDrained, "")
	} else if a.lifecycle.State == appliance.Draining {
		a.after(pollInterval, "drains", a.awaitDrained)
	}
}

// recover starts the front ends, schedules and background tasks with the recovered state, and resubmits the scheduled
// requests that were not completed.
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
	a.startTasks()
	a.handle(appliance.StateRecovered, "")
}

// crash terminates the process without a graceful shutdown, with its machine in case of a power loss, and schedules the
// restart.
func (a *applianceProcess) crash(kind exitKind, restartIn float64) {
	if !a.running {
		return
	}
	a.exit(kind)
	a.scheduler.after(units.Seconds(restartIn), a.name+" starts", a.startIfDown)
}

// exit ends the process and its connections, and prepares the disk for the next process.
func (a *applianceProcess) exit(kind exitKind) {
	a.site.beginOutage(a)
	ends := a.site.network.endpointsOf(a.name)
	a.terminate()
	for _, e := range ends {
		e.conn.faulty = true
		if kind == powerLoss { // the machine is off, or has restarted without the connection
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
		a.site.abandonedStores.Go(func() { _ = old.Abandon() }) // releases its memory; its view of the disk is no longer used
	}
}
