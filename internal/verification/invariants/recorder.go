package invariants

import (
	"sync"
	"time"
)

// Recorder collects records from many goroutines in the order they were made. A nil one records nothing.
type Recorder struct {
	mu      sync.Mutex
	clock   func() float64
	records []Record
	calls   uint64
}

// NewRecorder begins a recording now, on the machine's clock.
func NewRecorder() *Recorder {
	began := time.Now()
	return NewRecorderWithClock(func() float64 { return time.Since(began).Seconds() })
}

// NewRecorderWithClock begins a recording on a clock that returns seconds since the beginning.
func NewRecorderWithClock(clock func() float64) *Recorder { return &Recorder{clock: clock} }

// Now returns the seconds since the recording began.
func (t *Recorder) Now() float64 { return t.clock() }

// Add records r with the present time.
func (t *Recorder) Add(r Record) {
	if t == nil {
		return
	}
	t.mu.Lock()
	r.At = t.Now()
	t.records = append(t.records, r)
	t.mu.Unlock()
}

// NextCallID returns a new number for one request or one attempt.
func (t *Recorder) NextCallID() uint64 {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	return t.calls
}

// Records returns a copy of all records so far.
func (t *Recorder) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Record(nil), t.records...)
}
