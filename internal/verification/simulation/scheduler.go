package simulation

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
	"math/rand/v2"

	"streamcleat/internal/units"
)

// never is a time later than any other.
var never = math.Inf(1)

// event is a call scheduled for a time. Events with the same time run in the order in which they were scheduled.
type event struct {
	at       units.Seconds
	sequence uint64
	name     string // part of the trace
	run      func() // nil if cancelled
}

// cancel cancels a pending event. It is a no-op on nil.
func (e *event) cancel() {
	if e != nil {
		e.run = nil
	}
}

// eventQueue is a heap of events, ordered by time and sequence number.
type eventQueue struct{ events []*event }

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

// Swap implements heap.Interface.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(*event); ok {
		q.events = append(q.events, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	n := len(q.events) - 1
	last := q.events[n]
	q.events[n] = nil
	q.events = q.events[:n]
	return last
}

// scheduler is the virtual clock with the queue of events. It computes a hash of the trace, which consists of all events and
// received data.
type scheduler struct {
	now           units.Seconds // seconds since the start of the run
	sequence      uint64
	queue         eventQueue
	executed      int    // number of events executed so far
	lastEventName string // name of the event that was executed last
	hash          hash.Hash
	buffer        []byte
	onTrace       func(string) // called with the name of each entry of the trace; may be nil
}

func newScheduler() *scheduler { return &scheduler{hash: sha256.New()} }

// after schedules an event after a delay in seconds. The name of the event is part of the trace.
func (s *scheduler) after(delay units.Seconds, name string, run func()) *event {
	s.sequence++
	e := &event{at: s.now + max(delay, 0), sequence: s.sequence, name: name, run: run}
	heap.Push(&s.queue, e)
	return e
}

// runNext runs the next event that is due by the given time. If there is none, it advances the clock to that time and
// returns false.
func (s *scheduler) runNext(until float64) bool {
	for s.queue.Len() > 0 && s.queue.events[0].at <= units.Seconds(until) {
		e := s.queue.events[0]
		heap.Pop(&s.queue)
		s.now = max(s.now, e.at)
		if e.run == nil {
			continue
		}
		s.executed++
		s.lastEventName = e.name
		s.trace(e.name, nil)
		e.run()
		return true
	}
	s.now = max(s.now, units.Seconds(until))
	return false
}

// trace adds an entry with the current time, a name and data to the trace.
func (s *scheduler) trace(name string, data []byte) {
	s.buffer = binary.LittleEndian.AppendUint64(s.buffer[:0], math.Float64bits(float64(s.now)))
	s.buffer = append(s.buffer, name...)
	s.buffer = append(s.buffer, 0)
	s.buffer = append(s.buffer, data...)
	s.hash.Write(s.buffer)
	if s.onTrace != nil {
		s.onTrace(name)
	}
}

// digest returns the hash of the trace. Runs with the same digest had the same events and data.
func (s *scheduler) digest() string { return hex.EncodeToString(s.hash.Sum(nil)) }

// newRand returns a random number generator for a named stream of a seed. Streams are independent of each other.
func newRand(seed uint64, stream string) *rand.Rand {
	h := sha256.Sum256([]byte(stream))
	return rand.New(rand.NewPCG(seed, binary.LittleEndian.Uint64(h[:8])))
}
