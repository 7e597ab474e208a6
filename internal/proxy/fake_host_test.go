package proxy

import (
	"time"

	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// hostEpoch is the Unix time at which the clock of a fakeHost is 0.
const hostEpoch = 1_800_000_000

// fakeHost implements Host with clocks that the test sets.
type fakeHost struct {
	now    units.Seconds
	skew   float64 // seconds that the wall clock is ahead
	timers []fakeTimer
	dials  int
	posted []func()
}

// fakeTimer is a call of Host.After.
type fakeTimer struct {
	at units.Seconds
	f  func()
}

// fireTimers calls the functions that are due.
func (h *fakeHost) fireTimers() {
	timers := h.timers
	h.timers = nil
	for _, timer := range timers {
		if timer.at <= h.now {
			timer.f()
		} else {
			h.timers = append(h.timers, timer)
		}
	}
}

// runPosted calls the functions that were posted.
func (h *fakeHost) runPosted() {
	posted := h.posted
	h.posted = nil
	for _, f := range posted {
		f()
	}
}

// run advances the clock in steps of 50 ms and fires the timers that are due.
func (h *fakeHost) run(p *Proxy, seconds units.Seconds) {
	for end := h.now + seconds; h.now < end; h.now += 0.05 {
		h.fireTimers()
		p.Tick()
	}
}

func (h *fakeHost) Now() units.Seconds { return h.now }
func (h *fakeHost) Wall() time.Time {
	return time.Unix(hostEpoch, 0).Add((h.now + units.Seconds(h.skew)).Duration())
}
func (h *fakeHost) SetTimer(units.Seconds) {}
func (h *fakeHost) After(seconds units.Seconds, f func()) {
	h.timers = append(h.timers, fakeTimer{at: h.now + seconds, f: f})
}
func (h *fakeHost) Post(f func())                { h.posted = append(h.posted, f) }
func (h *fakeHost) Dial(upstream.ConnID, string) { h.dials++ }
func (h *fakeHost) Broadcast([]byte)             {}
