package eventloop

import (
	"errors"
	"log/slog"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/proxy"
	"streamcleat/internal/syscalls"
)

const (
	// maxEventsPerTurn is how many sockets are served before posted functions and timers get their turn.
	maxEventsPerTurn = 128
	// slowTurn is the time that a turn of the loop must not take: a client may have left for so long before anything is
	// noticed.
	slowTurn = 100 * time.Millisecond
	// retryPause is the time after which a call is made again that failed for want of a resource of this machine.
	retryPause = 10 * time.Millisecond
	// longestWait is the longest wait for sockets of a loop that serves.
	longestWait = time.Duration(proxy.SweepEvery * float64(time.Second))
	// schedulingMargin is by how much a call may take longer than it needs on a machine that is not held up.
	schedulingMargin = 20 * time.Millisecond
	// negligibleAge is the time unread that is not counted: a third of the slack that the platform allows.
	negligibleAge = 50 * time.Millisecond
)

// eventHandler takes the events of one registered descriptor.
type eventHandler interface {
	onEvents(events uint32)
}

// registration is a descriptor's place among the watched ones. Its id is never used again, so that an event of a
// descriptor that was closed meanwhile is never taken for one of its successor's.
type registration struct {
	id       uint64
	fd       int
	interest uint32 // events that epoll reports; 0: only errors
	added    bool   // epoll knows it
	handler  eventHandler
}

// reactor waits for sockets, timers and posted functions and runs what they call for, all on one goroutine.
type reactor struct {
	kernel   syscalls.Kernel
	log      *slog.Logger
	counters *counters
	epoll    int
	wakeup   int // eventfd

	lastID        uint64
	registrations map[uint64]*registration
	unregistered  map[uint64]*registration // epoll could not take them or their interest yet, see retryRegistrations
	retryAt       time.Time                // of these; zero: there are none
	retries       []delayedCall

	lastReturn time.Time // of the wait for sockets
	inputSince time.Time // since when input may have waited, see noteWait
	// blockedLong tells that the last wait was so long that what came at its beginning counts as old, should the process
	// have been stopped in it. A loop that waits for long has time to ask the kernel when it came.
	blockedLong bool

	tickAt  time.Time // of the front end's own timer; zero: not set
	onTick  func()
	sweepAt time.Time
	onSweep func()

	slowestTimer slowestTimer // of the present turn

	mu       sync.Mutex // of what follows, which other goroutines use
	posted   []func()
	awake    bool // a wake-up is under way, or the loop will look at posted by itself
	ended    bool
	stopping bool // of the loop's goroutine only
}

// delayedCall is a function that runs on the loop at a time.
type delayedCall struct {
	at time.Time
	f  func()
}

// newReactor makes a loop that runs nothing yet.
func newReactor(kernel syscalls.Kernel, log *slog.Logger, counters *counters) (*reactor, error) {
	r := &reactor{
		kernel: kernel, log: log, counters: counters, registrations: map[uint64]*registration{},
		unregistered: map[uint64]*registration{},
	}
	var err error
	if r.epoll, err = kernel.EpollCreate(); err != nil {
		return nil, err
	}
	if r.wakeup, err = kernel.EventFD(); err != nil {
		return nil, errors.Join(err, kernel.Close(r.epoll))
	}
	// Edge-triggered: the counter is never read, each write to it is one event.
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLET}
	if err := kernel.EpollControl(r.epoll, unix.EPOLL_CTL_ADD, r.wakeup, &event); err != nil {
		return nil, errors.Join(err, kernel.Close(r.wakeup), kernel.Close(r.epoll))
	}
	return r, nil
}

// run serves until stop is called on the loop, or waiting fails. It closes nothing.
func (r *reactor) run() error {
	events := make([]unix.EpollEvent, maxEventsPerTurn)
	var entered time.Time // the wait; zero: it has returned
	for !r.stopping {
		now := time.Now()
		if entered.IsZero() {
			entered = now
		}
		n, err := r.kernel.EpollWait(r.epoll, events, r.waitTime(now))
		if err != nil && !errors.Is(err, unix.EINTR) {
			return err
		}
		if err == nil { // an interrupted wait tells nothing of the sockets, and goes on
			r.noteWait(entered, time.Now())
			entered = time.Time{}
		}
		r.mu.Lock()
		r.awake = true // what is posted during the turn is looked at after it
		r.mu.Unlock()
		r.turn(events[:max(n, 0)])
	}
	return nil
}

// noteWait notes since when what the sockets hold now may have been there. What came before the last wait returned was
// served in the last turn. After a short turn nothing old can be there, and a wait that returned in time returns with what
// had just come. After a long turn, or where the wait was held up by a busy or stopped machine, what it returns with may
// have come at any time since the one before it. The sweep bounds each wait.
func (r *reactor) noteWait(entered, returned time.Time) {
	blocked := returned.Sub(entered)
	lastTurn := entered.Sub(r.lastReturn)
	r.inputSince = r.lastReturn
	if lastTurn < negligibleAge && blocked <= longestWait+schedulingMargin {
		r.inputSince = returned
	}
	r.blockedLong = blocked >= negligibleAge
	r.lastReturn = returned
}

// inputAge is the longest time for which input that is read now may have waited to be read; 0 where it is of no
// consequence.
func (r *reactor) inputAge() time.Duration {
	age := time.Since(r.inputSince)
	if r.inputSince.IsZero() || age < negligibleAge {
		return 0
	}
	return age
}

// turn serves the sockets that have events, the timers that are due, and the functions that were posted by now.
// Functions that are posted meanwhile wait for the next turn, so that they never hold up the sockets.
func (r *reactor) turn(events []unix.EpollEvent) {
	began := time.Now()
	for i := range events {
		if id := eventID(&events[i]); id != 0 {
			if registered := r.registrations[id]; registered != nil {
				registered.handler.onEvents(events[i].Events)
			}
		}
	}
	served := time.Now()
	ran := r.runPosted()
	r.slowestTimer = slowestTimer{}
	r.runTimers(time.Now())
	if took := time.Since(began); took > slowTurn {
		r.counters.slowTurns.Add(1)
		r.log.Warn("a turn of the event loop took long", "seconds", took.Seconds(), "sockets", len(events),
			"sockets_seconds", served.Sub(began).Seconds(), "posted", ran, "timer", r.slowestTimer.name,
			"timer_seconds", r.slowestTimer.took.Seconds())
	}
}

// eventID is the registration's id in an event; 0 is the wake-up's.
func eventID(event *unix.EpollEvent) uint64 {
	return uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<32
}

// waitTime is for how many milliseconds the loop may wait for sockets; -1 is for ever.
func (r *reactor) waitTime(now time.Time) int {
	r.mu.Lock()
	pending := len(r.posted) > 0
	r.awake = pending
	r.mu.Unlock()
	if pending || r.stopping {
		return 0
	}
	next := r.nextTimer()
	if next.IsZero() {
		return -1
	}
	// Rounded up: a timer that fires early finds nothing due and spins until it is.
	return max(int(math.Ceil(float64(next.Sub(now))/float64(time.Millisecond))), 0)
}

// nextTimer is the earliest time at which something is due; zero where nothing is.
func (r *reactor) nextTimer() (next time.Time) {
	earlier := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	earlier(r.tickAt)
	earlier(r.sweepAt)
	earlier(r.retryAt)
	for i := range r.retries {
		earlier(r.retries[i].at)
	}
	return next
}

// runTimers runs what is due.
func (r *reactor) runTimers(now time.Time) {
	if !r.tickAt.IsZero() && !now.Before(r.tickAt) {
		r.tickAt = time.Time{}
		r.runTimer("dispatcher", r.onTick)
	}
	if !r.sweepAt.IsZero() && !now.Before(r.sweepAt) {
		r.runTimer("sweep", r.onSweep)
	}
	if !r.retryAt.IsZero() && !now.Before(r.retryAt) {
		r.retryRegistrations()
	}
	r.runTimer("retries", func() { r.runRetries(now) })
}

// slowestTimer is the timer of a turn that took longest.
type slowestTimer struct {
	name string
	took time.Duration
}

// runTimer runs a timer and notes how long it took.
func (r *reactor) runTimer(name string, run func()) {
	began := time.Now()
	run()
	if took := time.Since(began); took > r.slowestTimer.took {
		r.slowestTimer = slowestTimer{name, took}
	}
}

// runRetries runs the delayed calls that are due; those that they add wait for a later turn.
func (r *reactor) runRetries(now time.Time) {
	calls := r.retries
	r.retries = nil
	for _, call := range calls {
		if now.Before(call.at) {
			r.retries = append(r.retries, call)
		} else {
			call.f()
		}
	}
}

// after runs f on the loop once a pause is over. It is called on the loop.
func (r *reactor) after(pause time.Duration, f func()) {
	r.retries = append(r.retries, delayedCall{time.Now().Add(pause), f})
}

// post runs f on the loop, soon; any goroutine may call it. An error tells that the loop has ended.
func (r *reactor) post(f func()) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return ErrLoopEnded
	}
	r.posted = append(r.posted, f)
	if !r.awake {
		r.awake = true
		r.wake()
	}
	return nil
}

// wake ends the loop's waiting.
func (r *reactor) wake() {
	for errors.Is(r.kernel.Wake(r.wakeup), unix.EINTR) {
		continue
	}
}

// runPosted runs the functions that were posted by now and tells how many there were.
func (r *reactor) runPosted() int {
	r.mu.Lock()
	posted := r.posted
	r.posted = nil
	r.mu.Unlock()
	for _, f := range posted {
		f()
	}
	return len(posted)
}

// stop ends run after the present turn. It is called on the loop.
func (r *reactor) stop() { r.stopping = true }

// end refuses further functions and drops those that were posted and did not run.
func (r *reactor) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.posted = true, nil
}

// close gives the loop's own descriptors back.
func (r *reactor) close() {
	_ = r.kernel.Close(r.wakeup) // nothing is lost with them
	_ = r.kernel.Close(r.epoll)
}

// register watches a descriptor for events. Where epoll can't take it now it is taken later.
func (r *reactor) register(fd int, interest uint32, handler eventHandler) *registration {
	r.lastID++
	registered := &registration{id: r.lastID, fd: fd, interest: interest, handler: handler}
	r.registrations[registered.id] = registered
	r.apply(registered)
	return registered
}

// watch changes the events that a descriptor is watched for.
func (r *reactor) watch(registered *registration, interest uint32) {
	if registered.interest != interest {
		registered.interest = interest
		r.apply(registered)
	}
}

// apply tells epoll what a descriptor is watched for.
func (r *reactor) apply(registered *registration) {
	operation := unix.EPOLL_CTL_MOD
	if !registered.added {
		operation = unix.EPOLL_CTL_ADD
	}
	event := unix.EpollEvent{Events: registered.interest, Fd: int32(uint32(registered.id)), Pad: int32(uint32(registered.id >> 32))}
	if err := r.kernel.EpollControl(r.epoll, operation, registered.fd, &event); err != nil {
		r.counters.registrationFailures.Add(1)
		r.log.Warn("socket can't be watched; tried again", "error", err)
		r.unregistered[registered.id] = registered
		r.retryAt = time.Now().Add(retryPause)
		return
	}
	registered.added = true
}

// retryRegistrations tells epoll what it could not take before.
func (r *reactor) retryRegistrations() {
	waiting := r.unregistered
	r.unregistered, r.retryAt = map[uint64]*registration{}, time.Time{}
	for _, registered := range waiting { // their order is of no consequence
		r.apply(registered)
	}
}

// unregister forgets a descriptor and closes it; it gets no further events.
func (r *reactor) unregister(registered *registration) {
	delete(r.registrations, registered.id)
	delete(r.unregistered, registered.id)
	if registered.added { // a close alone does not do it where the socket has another descriptor
		_ = r.kernel.EpollControl(r.epoll, unix.EPOLL_CTL_DEL, registered.fd, nil)
	}
	_ = r.kernel.Close(registered.fd) // it is free in any case
}
