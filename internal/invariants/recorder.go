package invariants

import (
	"sync"
	"time"
)

// Tape collects records from many goroutines in the order they were made. A nil one records nothing.
type Tape struct {
	mu      sync.Mutex
	clock   func() float64
	records []Record
	calls   uint64
}

// NewTape begins a recording now, on the machine's clock.
func NewTape() *Tape {
	began := time.Now()
	return NewRecorderWithClock(func() float64 { return time.Since(began).Seconds() })
}

// NewRecorderWithClock begins a recording on a clock that returns seconds since the beginning.
func NewRecorderWithClock(clock func() float64) *Tape { return &Tape{clock: clock} }

// Now returns the seconds since the recording began.
func (t *Tape) Now() float64 { return t.clock() }

// Add records r with the present time.
func (t *Tape) Add(r Record) {
	if t == nil {
		return
	}
	t.mu.Lock()
	r.At = t.Now()
	t.records = append(t.records, r)
	t.mu.Unlock()
}

// Call returns a new number for one request or one attempt.
func (t *Tape) Call() uint64 {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	return t.calls
}

// Records returns a copy of all records so far.
func (t *Tape) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Record(nil), t.records...)
}
