package eventloop

import (
	"errors"
	"log/slog"
	"math"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/proxy"
	"streamcleat/internal/syscalls"
)

const (
	// maxEventsPerPoll is the maximum number of descriptors that one wait reports. If more had events, the age of their input would
	// be underestimated.
	maxEventsPerPoll = 4096
	// slowIteration is the duration above which an iteration is logged: the loop may detect a client's disconnection late by
	// that time.
	slowIteration = 100 * time.Millisecond
	// retryDelay is the delay before a call that failed for lack of a local resource is retried.
	retryDelay = 10 * time.Millisecond
	// socketBudget is the time after which the remaining socket events of an iteration wait for the next one, so that tasks and
	// timers are run meanwhile. taskBudget is the same for tasks.
	socketBudget = 10 * time.Millisecond
	taskBudget   = 10 * time.Millisecond
	// longestWait is the maximum duration of a wait for events while the server runs.
	longestWait = time.Duration(proxy.SweepInterval * float64(time.Second))
	// schedulingMargin is the scheduling delay that is normal on a machine that is not overloaded.
	schedulingMargin = 20 * time.Millisecond
)

// reactor is an event loop: it handles socket events, tasks and timers on one goroutine. All fields except tasks are used
// on that goroutine only.
type reactor struct {
	log      *slog.Logger
	counters *counters
	poller   *poller
	timers   timers
	tasks    taskQueue
	inputAge inputAgeEstimator
	stalls   stallWatch
	stopping bool
	// completePolls counts the waits that reported all descriptors which had events.
	completePolls uint64
}

// newReactor returns a reactor that is not running yet.
func newReactor(kernel syscalls.Kernel, log *slog.Logger, counters *counters) (*reactor, error) {
	poller, err := newPoller(kernel, log, counters)
	if err != nil {
		return nil, err
	}
	return &reactor{log: log, counters: counters, poller: poller, tasks: taskQueue{wakeLoop: poller.wake}, stalls: stallWatch{log: log}}, nil
}

// run runs the event loop until stop is called or the wait for events fails. It closes no descriptors.
func (r *reactor) run() error {
	events := make([]unix.EpollEvent, maxEventsPerPoll)
	var remaining []unix.EpollEvent // of the last wait
	var entered time.Time           // start of the wait in progress; zero if there is none
	for !r.stopping {
		if len(remaining) > 0 {
			remaining = r.iterate(remaining)
			continue
		}
		now := time.Now()
		if entered.IsZero() {
			entered = now
		}
		n, err := r.poller.wait(events, r.waitTimeout(now))
		if err != nil && !errors.Is(err, unix.EINTR) {
			return err
		}
		if err == nil { // an interrupted wait has not checked the sockets, so it counts as still in progress
			r.inputAge.observeWait(entered, time.Now())
			entered = time.Time{}
			r.countPoll(n, len(events))
		}
		r.tasks.endWait()
		remaining = r.iterate(events[:max(n, 0)])
	}
	return nil
}

// countPoll counts a wait that reported a number of descriptors and could have reported up to a limit.
func (r *reactor) countPoll(reported, limit int) {
	if reported < limit {
		r.completePolls++
	}
}

// iterate handles the events, then the tasks that are queued, then the timers that are due. Tasks that are posted while
// tasks run wait for the next iteration, so that they cannot starve the sockets. It returns the events that remain when
// socketBudget has passed.
func (r *reactor) iterate(events []unix.EpollEvent) (remaining []unix.EpollEvent) {
	start := time.Now()
	r.stalls.begin(start)
	defer r.stalls.end()
	remaining = r.poller.dispatch(events, start.Add(socketBudget))
	dispatched := time.Now()
	tasksRun := r.tasks.run(dispatched.Add(taskBudget))
	r.timers.slowest = timerDuration{}
	now := time.Now()
	r.timers.runProxyTimers(now)
	r.poller.retryOutdated(now)
	r.timers.runDelayed(now)
	if took := time.Since(start); took > slowIteration {
		r.counters.slowIterations.Add(1)
		slowest := r.timers.slowest
		r.log.Warn("event loop iteration slow", "seconds", took.Seconds(), "sockets", len(events)-len(remaining),
			"sockets_seconds", dispatched.Sub(start).Seconds(), "posted", tasksRun, "timer", slowest.name,
			"timer_seconds", slowest.took.Seconds())
	}
	return remaining
}

// waitTimeout returns the timeout of the next wait in milliseconds; -1 means no limit.
func (r *reactor) waitTimeout(now time.Time) int {
	if r.tasks.prepareWait() || r.stopping {
		return 0
	}
	next := earlier(r.timers.next(), r.poller.retryAt)
	if next.IsZero() {
		return -1
	}
	// Rounded up: if the wait ended before the timer is due, the loop would spin until then.
	return max(int(math.Ceil(float64(next.Sub(now))/float64(time.Millisecond))), 0)
}

// stop makes run return after the current iteration. It is called on the loop.
func (r *reactor) stop() { r.stopping = true }
