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
	eventQueueCapacity     = 64                     // queued lifecycle events; further ones are dropped
	backgroundTaskInterval = 100 * time.Millisecond // between slices of background tasks
)

// Appliance is the runtime of one process. It does the I/O for the decisions of Lifecycle, TaskScheduler and
// schedule.Plan, which do none.
type Appliance struct {
	config    *config.Config
	log       *slog.Logger
	startedAt time.Time
	events    chan postedEvent         // read by handleEvents
	onReady   func(addresses []string) // called once the appliance serves; may be nil

	// Set during startup and not changed afterwards.
	store        *storage.Store // nil if no state folder is configured
	recovered    *storage.RecoveredState
	recorder     *telemetry.Recorder
	closers      []func() error // close the telemetry exporters
	closeConsole func() error   // nil if no console is configured

	functions functionRegistry

	mu              sync.Mutex // guards the fields below
	err             error      // the first failure; Run returns it
	lifecycle       Lifecycle
	drainDeadline   time.Time
	servers         []*eventloop.Server
	serverByAddress map[string]*eventloop.Server
	addresses       []string
	tasks           *TaskScheduler // nil until the store is open
	statistics      requestStatistics
	activeConsole   consoleSession
	plan            *schedule.Plan
	crontab         []byte // text of the crontab in effect
	entries         []schedule.Entry
	suspended       map[string]bool      // entries suspended by a console, by key
	lastFirings     map[string]time.Time // scheduled time of each entry's last firing, by key
	stopSchedules   context.CancelFunc   // ends the schedules; nil until they were started
}

// postedEvent is a queued lifecycle event with its reason.
type postedEvent struct {
	event  LifecycleEvent
	reason string
}

// Run runs an appliance until it has stopped. Canceling ctx starts a graceful shutdown; closing immediateStop after
// that ends the wait for open requests. Once the appliance serves, Run calls onReady, if not nil, with the addresses of
// its front ends.
func Run(ctx context.Context, cfg *config.Config, log *slog.Logger, immediateStop <-chan struct{}, onReady func([]string)) error {
	a := newAppliance(cfg, log, onReady)
	stopped := make(chan struct{})
	defer close(stopped)
	go a.watchStopRequests(ctx, immediateStop, stopped)
	// The socket is opened first: the console can follow the startup, and a second process on the same socket fails here.
	if err := a.openConsoleSocket(); err != nil {
		return err
	}
	go a.runBackgroundTasks(stopped)
	go a.openStore()
	return a.handleEvents()
}

func newAppliance(cfg *config.Config, log *slog.Logger, onReady func([]string)) *Appliance {
	return &Appliance{
		config:          cfg,
		log:             log,
		startedAt:       time.Now(),
		events:          make(chan postedEvent, eventQueueCapacity),
		onReady:         onReady,
		recovered:       &storage.RecoveredState{Created: true},
		serverByAddress: map[string]*eventloop.Server{},
		statistics:      newRequestStatistics(),
		suspended:       map[string]bool{},
		lastFirings:     map[string]time.Time{},
	}
}

// watchStopRequests posts lifecycle events for the end of ctx and for immediateStop.
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

// handleEvents applies lifecycle events and executes their actions until the Exit action.
func (a *Appliance) handleEvents() error {
	for posted := range a.events {
		a.mu.Lock()
		before := a.lifecycle.State
		actions := a.lifecycle.Handle(posted.event, posted.reason)
		after := a.lifecycle.State
		a.mu.Unlock()
		if before != after {
			a.log.Info("lifecycle transition", "state", after, "previous", before,
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

// post queues an event for the lifecycle. It drops the event if the queue is full, as it can be after Exit, when nothing
// reads it.
func (a *Appliance) post(event LifecycleEvent, reason string) {
	select {
	case a.events <- postedEvent{event, reason}:
	default:
	}
}

// fail records the first error for Run and posts Failed.
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

// execute carries out one action. Long-running actions run in a goroutine and post a lifecycle event when they end.
func (a *Appliance) execute(action Action) {
	switch action {
	case Recover:
		go a.recoverState()
	case StartSchedules:
		go a.runSchedules(a.resumeSchedules())
	case SuspendSchedules:
		a.suspendSchedules()
	case StopListening:
		for _, server := range a.servers {
			_ = server.StopListening() // fails only if the event loop has ended, and with it the listener
		}
	case StartDrainTimer:
		a.startDrainTimer()
	case TerminateRequests:
		go a.terminateRequests()
	case CloseStore:
		go a.closeStore()
	case CloseSocket:
		a.closeConsoleSocket()
	case Exit: // handleEvents returns
	}
}

// resumeSchedules returns a context in which the schedules run until suspendSchedules.
func (a *Appliance) resumeSchedules() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopSchedules = cancel
	return ctx
}

// suspendSchedules ends the context of the schedules, if they run. No entry fires afterwards.
func (a *Appliance) suspendSchedules() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopSchedules != nil {
		a.stopSchedules()
	}
}

// uptime returns the seconds since the process started. It is the clock of the background tasks.
func (a *Appliance) uptime() float64 { return time.Since(a.startedAt).Seconds() }

// state returns the lifecycle state.
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

// seconds converts a number of seconds, the unit of the configuration, to a Duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
