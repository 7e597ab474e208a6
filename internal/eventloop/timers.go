package eventloop

import "time"

// timers holds the timers of one event loop. All methods are called on the loop.
type timers struct {
	tickAt  time.Time // time of the timer that the proxy sets; zero if not set
	onTick  func()
	sweepAt time.Time // zero if not set
	onSweep func()
	delayed []delayedCall
	slowest timerDuration // slowest timer in the current iteration
}

// delayedCall is a function that is to run at a given time.
type delayedCall struct {
	at time.Time
	f  func()
}

// timerDuration is the time that the callback of a timer took.
type timerDuration struct {
	name string
	took time.Duration
}

// after schedules f to run on the event loop after the delay.
func (t *timers) after(delay time.Duration, f func()) {
	t.delayed = append(t.delayed, delayedCall{time.Now().Add(delay), f})
}

// next returns the time of the earliest timer, or the zero time if no timer is set.
func (t *timers) next() time.Time {
	next := earlier(t.tickAt, t.sweepAt)
	for i := range t.delayed {
		next = earlier(next, t.delayed[i].at)
	}
	return next
}

// earlier returns the earlier of two times. The zero time means that no time is set.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// runProxyTimers runs the timer that the proxy sets and the sweep if they are due.
func (t *timers) runProxyTimers(now time.Time) {
	if !t.tickAt.IsZero() && !now.Before(t.tickAt) {
		t.tickAt = time.Time{}
		t.measure("dispatcher", t.onTick)
	}
	if !t.sweepAt.IsZero() && !now.Before(t.sweepAt) {
		t.measure("sweep", t.onSweep)
	}
}

// runDelayed runs the delayed calls that are due. Calls that they add wait for a later iteration.
func (t *timers) runDelayed(now time.Time) {
	calls := t.delayed
	t.delayed = nil
	t.measure("retries", func() {
		for _, call := range calls {
			if now.Before(call.at) {
				t.delayed = append(t.delayed, call)
			} else {
				call.f()
			}
		}
	})
}

// measure runs the callback of a timer and records its duration if it is the slowest in the iteration.
func (t *timers) measure(name string, run func()) {
	start := time.Now()
	run()
	if took := time.Since(start); took > t.slowest.took {
		t.slowest = timerDuration{name, took}
	}
}
