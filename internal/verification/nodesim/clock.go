package nodesim

import (
	"cmp"
	"slices"
	"time"

	"streamcleat/internal/units"
)

const (
	startTime = 1000 // virtual monotonic time at the start, in seconds
	// unixEpoch is the Unix time in seconds at which the virtual clock is 0.
	unixEpoch = 1_800_000_000
)

// event is a function that is due at a time. Events that are due at the same time run in the order in which they were added.
type event struct {
	at       units.Seconds
	sequence int
	run      func()
}

// compareEvents orders events by the time at which they are due.
func compareEvents(a, b event) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
}

// clock is a virtual clock with a queue of events.
type clock struct {
	now      units.Seconds
	queue    []event // in the order in which they are due
	sequence int     // of the event that was added last
}

// Now returns the virtual time in seconds.
func (c *clock) Now() units.Seconds { return c.now }

// Wall returns the wall-clock time, which runs like the virtual clock.
func (c *clock) Wall() time.Time { return time.Unix(unixEpoch, 0).Add(c.now.Duration()) }

// After runs f after a number of seconds.
func (c *clock) After(seconds units.Seconds, f func()) {
	c.sequence++
	added := event{at: c.now + seconds, sequence: c.sequence, run: f}
	position, _ := slices.BinarySearchFunc(c.queue, added, compareEvents)
	c.queue = slices.Insert(c.queue, position, added)
}

// Post runs f at the current time, after the events that are already due.
func (c *clock) Post(f func()) { c.After(0, f) }

// every runs f each interval until the simulation ends.
func (c *clock) every(interval units.Seconds, f func()) {
	f()
	c.After(interval, func() { c.every(interval, f) })
}

// runUntil runs the events that are due before end, and calls afterEach after each of them.
func (c *clock) runUntil(end units.Seconds, afterEach func()) {
	for len(c.queue) > 0 && c.queue[0].at < end {
		next := c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
		c.now = max(c.now, next.at)
		next.run()
		afterEach()
	}
	c.now = end
}
