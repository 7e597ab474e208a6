package simulation

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
	"math/rand/v2"
)

// never is a time that does not come.
var never = math.Inf(1)

// event is one thing that happens at a time. Events of the same time happen in the order in which they were scheduled.
type event struct {
	at       float64
	sequence uint64
	name     string // in the trace
	run      func() // nil: cancelled
}

// cancel makes an event that is still to come do nothing. A nil one is allowed.
func (e *event) cancel() {
	if e != nil {
		e.run = nil
	}
}

// eventQueue is a heap of events, the next first.
type eventQueue []*event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = nil
	*q = (*q)[:len(*q)-1]
	return last
}

// scheduler is the virtual clock and the events to come. It hashes all that happens into a trace.
type scheduler struct {
	now      float64 // seconds since the beginning
	sequence uint64
	queue    eventQueue
	executed int    // events so far
	lastName string // of the newest event
	hash     hash.Hash
	buffer   []byte
	onTrace  func(string) // gets the trace in words; may be nil
}

func newScheduler() *scheduler { return &scheduler{hash: sha256.New()} }

// after schedules an event after a delay in seconds. Its name stands in the trace.
func (s *scheduler) after(delay float64, name string, run func()) *event {
	s.sequence++
	e := &event{at: s.now + max(delay, 0), sequence: s.sequence, name: name, run: run}
	heap.Push(&s.queue, e)
	return e
}

// runNext runs the next event and returns whether there was one before a time; if not, the clock goes on to that time.
func (s *scheduler) runNext(until float64) bool {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(*event)
		s.now = max(s.now, e.at)
		if e.run == nil {
			continue
		}
		s.executed++
		s.lastName = e.name
		s.trace(e.name, nil)
		e.run()
		return true
	}
	s.now = max(s.now, until)
	return false
}

// trace adds something that happens now to the trace.
func (s *scheduler) trace(name string, data []byte) {
	s.buffer = binary.LittleEndian.AppendUint64(s.buffer[:0], math.Float64bits(s.now))
	s.buffer = append(s.buffer, name...)
	s.buffer = append(s.buffer, 0)
	s.buffer = append(s.buffer, data...)
	s.hash.Write(s.buffer)
	if s.onTrace != nil {
		s.onTrace(name)
	}
}

// digest returns the hash of the trace: two runs with the same one did the same.
func (s *scheduler) digest() string { return hex.EncodeToString(s.hash.Sum(nil)) }

// newRand returns a stream of random numbers of a seed. Streams of other names are independent.
func newRand(seed uint64, stream string) *rand.Rand {
	h := sha256.Sum256([]byte(stream))
	return rand.New(rand.NewPCG(seed, binary.LittleEndian.Uint64(h[:8])))
}
