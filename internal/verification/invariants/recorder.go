package invariants

import (
	"sync"
	"time"
)

// Recorder collects records. It is safe for concurrent use. A nil Recorder records nothing.
type Recorder struct {
	mu      sync.Mutex
	clock   func() float64
	records []Record
	calls   uint64
}

// NewRecorder returns a Recorder that uses the system clock. Its recording begins now.
func NewRecorder() *Recorder {
	startedAt := time.Now()
	return NewRecorderWithClock(func() float64 { return time.Since(startedAt).Seconds() })
}

// NewRecorderWithClock returns a Recorder that uses the given clock, which returns seconds since the recording began.
func NewRecorderWithClock(clock func() float64) *Recorder { return &Recorder{clock: clock} }

// Now returns the seconds since the recording began.
func (r *Recorder) Now() float64 { return r.clock() }

// Add sets the time of a record to now and adds it to the recording.
func (r *Recorder) Add(record Record) {
	if r == nil {
		return
	}
	r.mu.Lock()
	record.At = r.Now()
	r.records = append(r.records, record)
	r.mu.Unlock()
}

// NextCallID returns a new identifier for a request or an attempt, or 0 if the Recorder is nil.
func (r *Recorder) NextCallID() uint64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	return r.calls
}

// Records returns a copy of the records.
func (r *Recorder) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Record(nil), r.records...)
}
