package eventloop

import "time"

const (
	// negligibleAge is the age below which input counts as new: a third of the deadline excess that the platform tolerates.
	negligibleAge = 50 * time.Millisecond
	// shortIteration is the duration below which the age of input that arrives during an iteration is ignored. Its sum with
	// the longest wait that does not count as a suspension stays within the tolerated deadline excess.
	shortIteration = 25 * time.Millisecond
)

// inputAgeEstimator computes an upper bound for the time that input has spent in the kernel before the event loop reads it.
type inputAgeEstimator struct {
	lastWaitStart   time.Time // start of the last wait for events
	lastWaitEnd     time.Time // end of the last wait for events
	earliestArrival time.Time // earliest time at which the input read now can have arrived
	// delayed reports that the loop was delayed before or during the last wait.
	delayed bool
	// waitedLong reports that the last wait, or the one before it, was long enough that input which arrived at its start
	// would be old if the process was suspended during it. A loop that waits that long is idle enough to query the kernel
	// for the arrival time.
	waitedLong, lastWaitedLong bool
}

// observeWait updates the estimate after a wait for events.
//
// Input that is read after a wait had not arrived when the kernel checked the sockets in the previous wait. If the loop has
// not been delayed since then, the input has only just arrived. After a long iteration, or after a wait that was prolonged
// because the machine was busy or suspended, it may have arrived at any time since the previous wait returned. In a
// prolonged wait the kernel may have checked the sockets at the start and the delay may have followed, so that input read
// in the next iteration may be equally old. The kernel is not queried for every socket, since that costs a system call per
// read; the interval of the sweep bounds each wait.
func (e *inputAgeEstimator) observeWait(entered, returned time.Time) {
	waited := returned.Sub(entered)
	wasDelayed := e.delayed
	e.delayed = entered.Sub(e.lastWaitEnd) >= shortIteration || waited > longestWait+schedulingMargin
	switch {
	case e.delayed:
		e.earliestArrival = e.lastWaitEnd
	case wasDelayed:
		e.earliestArrival = e.lastWaitStart
	default:
		e.earliestArrival = returned
	}
	longWait := waited >= negligibleAge
	e.waitedLong, e.lastWaitedLong = longWait || e.lastWaitedLong, longWait
	e.lastWaitStart, e.lastWaitEnd = entered, returned
}

// age returns the maximum time that the input read now may have waited, or 0 if that is negligible.
func (e *inputAgeEstimator) age() time.Duration {
	age := time.Since(e.earliestArrival)
	if e.earliestArrival.IsZero() || age < negligibleAge {
		return 0
	}
	return age
}
