package eventloop

import (
	"testing"
	"time"

	"streamcleat/internal/syscalls"
	"streamcleat/internal/units"
)

// If the event loop is delayed between two checks of its sockets, the input that arrived in between must not count as new,
// also if the delay came after a wait had collected its events.
func TestObserveWait_BoundsAgeOfInput(t *testing.T) {
	type wait struct {
		iteration, wait time.Duration // duration of the iteration before the wait, and of the wait
	}
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		waits         []wait
		minAge        time.Duration
		queriesKernel bool // the kernel is queried for the arrival time
		isNegligible  bool
	}{
		"prompt":                              {[]wait{{ms, 5 * ms}, {ms, 5 * ms}}, 0, false, true},
		"idle":                                {[]wait{{ms, 5 * ms}, {ms, 90 * ms}}, 0, true, true},
		"after idle":                          {[]wait{{ms, 90 * ms}, {ms, 5 * ms}}, 0, true, true},
		"held up in the iteration":            {[]wait{{ms, 5 * ms}, {200 * ms, 5 * ms}}, 200 * ms, false, false},
		"held up in the wait":                 {[]wait{{ms, 5 * ms}, {ms, 250 * ms}}, 250 * ms, true, false},
		"held up after the events were ready": {[]wait{{ms, 5 * ms}, {ms, 250 * ms}, {ms, 0}}, 250 * ms, true, false},
		"second iteration after it":           {[]wait{{ms, 250 * ms}, {ms, 5 * ms}, {ms, 5 * ms}}, 0, false, true},
		"busy iterations, long wait":          {[]wait{{ms, 5 * ms}, {30 * ms, 110 * ms}}, 140 * ms, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			total := time.Duration(0)
			for _, w := range c.waits {
				total += w.iteration + w.wait
			}
			now := time.Now().Add(-total)
			e := inputAgeEstimator{lastWaitStart: now, lastWaitEnd: now}
			for _, w := range c.waits {
				entered := now.Add(w.iteration)
				now = entered.Add(w.wait)
				e.observeWait(entered, now)
			}
			age := e.age()
			if age < c.minAge || c.isNegligible != (age == 0) || e.waitedLong != c.queriesKernel {
				t.Errorf("age %v, want at least %v, negligible: %v; kernel queried: %v, want %v",
					age, c.minAge, c.isNegligible, e.waitedLong, c.queriesKernel)
			}
		})
	}
}

// suspendingKernel simulates a suspension of the process at the end of the system call that returns the arrival time.
type suspendingKernel struct {
	syscalls.Linux
	suspension time.Duration
}

func (k suspendingKernel) LastReceived(int) (time.Duration, error) {
	time.Sleep(k.suspension)
	return 0, nil
}

// The process may be suspended as the system call for the arrival time returns, since signals are delivered there. The input
// age must include the time of the suspension.
func TestInputAge_IncludesSuspensionInSystemCall(t *testing.T) {
	const suspension = 80 * time.Millisecond
	now := time.Now()
	loop := &reactor{inputAge: inputAgeEstimator{lastWaitStart: now, lastWaitEnd: now, earliestArrival: now, waitedLong: true}}
	server := &Server{reactor: loop, kernel: suspendingKernel{suspension: suspension}}
	c := &connection{server: server, registration: &registration{}}
	if age := c.InputAge(); age < units.Seconds(suspension.Seconds()) {
		t.Errorf("age %v, want at least the suspension of %v", age, suspension)
	}
}
