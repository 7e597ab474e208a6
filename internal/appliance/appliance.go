package appliance

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"streamcleat/internal/config"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/schedule"
	"streamcleat/internal/storage"
	"streamcleat/internal/telemetry"
)

const (
	eventQueueCapacity  = 64                    // lifecycle events that may wait; later ones are dropped
	drainPollInterval   = 10 * time.Millisecond // between looks at the open requests during a drain
	backgroundTaskPause = 100 * time.Millisecond
)

// Appliance is one running process. It carries out what Lifecycle, TaskScheduler and the schedules' plan decide.
type Appliance struct {
	config    *config.Config
	log       *slog.Logger
	startedAt time.Time
	events    chan postedEvent
	onReady   func(addresses []string) // called when the appliance serves; may be nil

	// What follows is set once during the start.
	store        *storage.Store // nil without a state folder
	recovered    *storage.RecoveredState
	recorder     *telemetry.Recorder
	closers      []func() error // close the exporters at the end
	closeConsole func() error   // nil without a console

	functions functionRegistry

	mu                 sync.Mutex // guards what follows
	err                error      // the first failure; Run returns it
	lifecycle          Lifecycle
	drainDeadline      time.Time
	servers            []*eventloop.Server
	serverByAddress    map[string]*eventloop.Server
	addresses          []string
	tasks              *TaskScheduler // nil until the store is open
	statistics         requestStatistics
	activeConsole      consoleSession
	plan               *schedule.Plan
	crontab            []byte // text of the crontab in force
	entries            []schedule.Entry
	suspended          map[string]bool      // by entry: a console has suspended it
	lastFirings        map[string]time.Time // by entry: the last minute for which it fired
	schedulesSuspended bool                 // no entry fires
}

// postedEvent is a lifecycle event with its reason.
type postedEvent struct {
	event  LifecycleEvent
	reason string
}

// Run runs an appliance until it has stopped. The end of ctx asks for an orderly stop, and immediateStop for one that
// does not wait for open requests. Once the appliance serves, onReady is called with the addresses of its front ends;
// it may be nil.
func Run(ctx context.Context, cfg *config.Config, log *slog.Logger, immediateStop <-chan struct{}, onReady func([]string)) error {
	a := newAppliance(cfg, log, onReady)
	stopped := make(chan struct{})
	defer close(stopped)
	go a.watchStopRequests(ctx, immediateStop, stopped)
	// The console shows the start, and a second process on the same socket ends here.
	if err := a.openConsoleSocket(); err != nil {
		return err
	}
	go a.runBackgroundTasks(stopped)
	go a.openStore()
	return a.handleEvents()
}

func newAppliance(cfg *config.Config, log *slog.Logger, onReady func([]string)) *Appliance {
	return &Appliance{
		config:             cfg,
		log:                log,
		startedAt:          time.Now(),
		events:             make(chan postedEvent, eventQueueCapacity),
		onReady:            onReady,
		recovered:          &storage.RecoveredState{Created: true},
		serverByAddress:    map[string]*eventloop.Server{},
		statistics:         newRequestStatistics(),
		suspended:          map[string]bool{},
		lastFirings:        map[string]time.Time{},
		schedulesSuspended: true,
	}
}

// watchStopRequests turns the end of ctx and immediateStop into lifecycle events.
func (a *Appliance) watchStopRequests(ctx context.Context, immediateStop, stopped <-chan struct{}) {
	select {
	case <-ctx.Done():
		a.post(StopRequested, "signal")
	case <-stopped:
		return
	}
	select {
	case <-immediateStop:
		a.post(ImmediateStopRequested, "second signal")
	case <-stopped:
	}
}

// handleEvents runs the lifecycle until it exits.
func (a *Appliance) handleEvents() error {
	for posted := range a.events {
		a.mu.Lock()
		before := a.lifecycle.State
		actions := a.lifecycle.Handle(posted.event, posted.reason)
		after := a.lifecycle.State
		a.mu.Unlock()
		if before != after {
			a.log.Info("lifecycle transition", "state", after.String(), "previous", before.String(),
				"event", posted.event.String(), "reason", posted.reason)
		}
		for _, action := range actions {
			if action == Exit {
				return a.firstError()
			}
			a.execute(action)
		}
	}
	return nil
}

// post hands an event to the lifecycle. It drops the event when the queue is full, as after the end.
func (a *Appliance) post(event LifecycleEvent, reason string) {
	select {
	case a.events <- postedEvent{event, reason}:
	default:
	}
}

// fail records the first failure and reports it to the lifecycle.
func (a *Appliance) fail(err error) {
	a.mu.Lock()
	if a.err == nil {
		a.err = err
	}
	a.mu.Unlock()
	a.post(Failed, err.Error())
}

func (a *Appliance) firstError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err
}

// execute carries out one action. What takes long runs in a goroutine, whose end is reported as a lifecycle event.
func (a *Appliance) execute(action Action) {
	switch action {
	case Recover:
		go a.recoverState()
	case StartSchedules:
		a.setSchedulesSuspended(false)
		go a.runSchedules()
	case SuspendSchedules:
		a.setSchedulesSuspended(true)
	case StopListening:
		for _, server := range a.servers {
			_ = server.StopListening() // fails only for a server whose loop has ended, which does not listen
		}
	case StartDrainTimer:
		a.startDrainTimer()
	case TerminateRequests:
		go a.terminateRequests()
	case CloseStore:
		go a.closeStore()
	case CloseSocket:
		a.closeConsoleSocket()
	}
}

func (a *Appliance) setSchedulesSuspended(suspended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.schedulesSuspended = suspended
}

// startDrainTimer reports when the drain time is over, or all requests have ended.
func (a *Appliance) startDrainTimer() {
	drainTime := seconds(a.config.DrainTime)
	a.mu.Lock()
	a.drainDeadline = time.Now().Add(drainTime)
	a.mu.Unlock()
	time.AfterFunc(drainTime, func() { a.post(DrainTimeout, "drain time over") })
	go a.awaitDrained()
}

// awaitDrained reports when no server has an open request.
func (a *Appliance) awaitDrained() {
	for {
		drained := true
		for _, server := range a.servers {
			counts, _, _, err := server.Counts()
			drained = drained && (err != nil || counts.Open == 0)
		}
		if drained {
			a.post(RequestsDrained, "")
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// terminateRequests stops the servers, which answer what is open at once.
func (a *Appliance) terminateRequests() {
	var stopping sync.WaitGroup
	for _, server := range a.servers {
		stopping.Go(func() {
			if err := server.Stop(0); err != nil {
				a.log.Error("front end did not stop in order", "error", err)
			}
		})
	}
	stopping.Wait()
	a.post(RequestsTerminated, "")
}

// closeStore closes the exporters and the store.
func (a *Appliance) closeStore() {
	for _, closeExporter := range a.closers {
		if err := closeExporter(); err != nil {
			a.log.Error("closing", "error", err)
		}
	}
	if a.store != nil {
		if err := a.store.Close(); err != nil {
			a.log.Error("the state was not closed in order", "error", err)
		}
	}
	a.post(StoreClosed, "")
}

// uptime returns the seconds since the start.
func (a *Appliance) uptime() float64 { return time.Since(a.startedAt).Seconds() }

// state returns the state of the lifecycle.
func (a *Appliance) state() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lifecycle.State
}

// runningServers returns a copy of the list of servers.
func (a *Appliance) runningServers() []*eventloop.Server {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*eventloop.Server(nil), a.servers...)
}

// seconds converts a number of seconds of the configuration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
