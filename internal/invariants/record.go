// Package invariants judges the five rules from what passed on the sockets of clients and workers, as the stand-ins at
// both ends recorded it. It knows nothing of how the program decides and shares no code with it.
package invariants

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Kind is what happened.
type Kind string

const (
	Asked    Kind = "asked"    // a client sent an event; Wait is how long it waits
	Answered Kind = "answered" // and got an answer: Outcome
	Left     Kind = "left"     // or hung up itself, or its front end was stopped by the script
	Lost     Kind = "lost"     // or its connection closed without an answer
	Launched Kind = "launched" // an event reached a worker
	Ran      Kind = "ran"      // and had its effect there
	Ended    Kind = "ended"    // the worker's answer left, or the connection was closed by either side
	Ordered  Kind = "ordered"  // a load order reached a worker
	Told     Kind = "told"     // the list of workers said something new: Phase, Born
	Down     Kind = "down"     // a cold worker was pushed over
	Born     Kind = "born"     // a worker process started cold
)

// Outcomes as the client saw them.
const (
	Handled      = "handled"
	Deferred     = "deferred"
	DeadLettered = "dead-lettered"
	Refused      = "refused" // not taken as an event: malformed, or not wanted
)

// Record is one thing that happened. At is seconds since the recording began.
type Record struct {
	At       float64 `json:"at"`
	Kind     Kind    `json:"kind"`
	Front    string  `json:"front,omitempty"`
	Worker   string  `json:"worker,omitempty"`
	Event    string  `json:"event,omitempty"` // identity
	Type     string  `json:"type,omitempty"`  // event type
	Function string  `json:"function,omitempty"`
	Call     uint64  `json:"call,omitempty"` // one ask with its answer, or one launch with its end
	Wait     float64 `json:"wait,omitempty"`
	Outcome  string  `json:"outcome,omitempty"`
	Status   int     `json:"status,omitempty"` // 0 where a connection closed without one
	Phase    string  `json:"phase,omitempty"`
	Born     float64 `json:"born,omitempty"`
	Copies   int     `json:"copies,omitempty"`
	Digest   string  `json:"digest,omitempty"` // of the version: asked for (Launched), run (Ran), told to the client (Answered)
}

// Tape collects records from many goroutines in the order they were made.
type Tape struct {
	mu      sync.Mutex
	clock   func() float64
	records []Record
	calls   uint64
}

// NewTape begins a recording now.
func NewTape() *Tape {
	began := time.Now()
	return NewTapeOn(func() float64 { return time.Since(began).Seconds() })
}

// NewTapeOn begins a recording on a clock, in seconds since its beginning.
func NewTapeOn(clock func() float64) *Tape { return &Tape{clock: clock} }

// Now is seconds since the recording began.
func (t *Tape) Now() float64 { return t.clock() }

// Add notes a record with the present time. A nil tape notes nothing.
func (t *Tape) Add(r Record) {
	if t == nil {
		return
	}
	t.mu.Lock()
	r.At = t.Now()
	t.records = append(t.records, r)
	t.mu.Unlock()
}

// Call is a new number for one ask or launch.
func (t *Tape) Call() uint64 {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	return t.calls
}

// Records is a copy of all that was noted.
func (t *Tape) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Record(nil), t.records...)
}

// Write puts records down as JSON lines.
func Write(w io.Writer, records []Record) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for _, r := range records {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return b.Flush()
}

// Read takes records from JSON lines.
func Read(r io.Reader) ([]Record, error) {
	var records []Record
	dec := json.NewDecoder(r)
	for {
		var rec Record
		if err := dec.Decode(&rec); err == io.EOF {
			return records, nil
		} else if err != nil {
			return nil, fmt.Errorf("record %d: %w", len(records)+1, err)
		}
		records = append(records, rec)
	}
}
