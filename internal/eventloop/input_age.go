package eventloop

import "time"

// inputAgeEstimator bounds how long input may have waited in the kernel before the loop reads it.
type inputAgeEstimator struct {
	lastReturn time.Time // when the last wait for events returned
	since      time.Time // earliest possible arrival of the input that is read now
	// waitedLong reports that the last wait was so long that input which arrived at its beginning would be old if the
	// process was suspended meanwhile. A loop that waits that long has time to ask the kernel for the arrival time.
	waitedLong bool
}

// observeWait updates the estimate after a wait for events. Input that arrived before the previous wait returned was
// served in the previous iteration. If that iteration was short and the wait returned in time, the input has only just
// arrived. After a long iteration, or a wait that a busy or suspended machine delayed, it may have arrived at any time
// since the previous wait returned. The kernel is not asked for each socket, since that costs a system call per read; the
// sweep bounds each wait.
func (e *inputAgeEstimator) observeWait(entered, returned time.Time) {
	waited := returned.Sub(entered)
	lastIteration := entered.Sub(e.lastReturn)
	e.since = e.lastReturn
	if lastIteration < negligibleAge && waited <= longestWait+schedulingMargin {
		e.since = returned
	}
	e.waitedLong = waited >= negligibleAge
	e.lastReturn = returned
}

// age returns the longest time that input which is read now may have waited, or 0 if that is negligible.
func (e *inputAgeEstimator) age() time.Duration {
	age := time.Since(e.since)
	if e.since.IsZero() || age < negligibleAge {
		return 0
	}
	return age
}
