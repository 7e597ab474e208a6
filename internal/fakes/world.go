// Package fakes holds what the program meets in tests and drills: workers, the function store they share, and
// the list of workers. They speak the published protocols on loopback and go wrong on order. Each notes what
// passed on its sockets for the referee.
package fakes

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Function is what workers know of one function.
type Function struct {
	Name   string
	Memory float64 // MB of one copy
	Lanes  int     // events that a copy runs at a time
	Fetch  float64 // seconds of a fetch from a store that nobody else asks
	Begin  float64 // seconds from the fetched image to a copy that stands
	Work   float64 // mean seconds of an event on a core of speed 1
}

// Catalogue draws n functions from a seed, with the figures of a small site.
func Catalogue(n int, work float64, seed uint64) []Function {
	rng := rand.New(rand.NewPCG(seed, 0xca7a))
	list := make([]Function, n)
	for i := range list {
		load := 0.12 + 0.1*rng.Float64()
		list[i] = Function{Name: fmt.Sprintf("shop-%03d", i), Memory: 200 + 600*rng.Float64(), Lanes: 1 + rng.IntN(2),
			Fetch: load * 0.7, Begin: load * 0.3, Work: work * (0.6 + 0.8*rng.Float64())}
	}
	return list
}

// Store is the function store that all workers share. It slows down when more fetch at once than it can serve,
// turns fetches away past a limit and, pushed hard, stops for a while.
type Store struct {
	mu       sync.Mutex
	Pace     int     // fetches at once without slowing down
	Most     int     // fetches at once; further ones are turned away
	slow     float64 // times slower, by a fault
	stopped  time.Time
	voided   int // releases so far
	now      int
	Fetches  int
	Refused  int
	Overlaps int // most at once
}

// NewStore makes a store.
func NewStore(pace, most int) *Store { return &Store{Pace: pace, Most: most, slow: 1} }

var errStore = errors.New("the store turned the fetch away")

// Fetch takes as long as the store needs now.
func (s *Store) Fetch(base float64, stop <-chan struct{}) error {
	s.mu.Lock()
	if time.Now().Before(s.stopped) || s.now >= s.Most {
		s.Refused++
		s.mu.Unlock()
		return errStore
	}
	s.now++
	s.Fetches++
	s.Overlaps = max(s.Overlaps, s.now)
	took := base * s.slow * math.Max(1, float64(s.now)/float64(s.Pace))
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.now--
		s.mu.Unlock()
	}()
	select {
	case <-time.After(seconds(took)):
		return nil
	case <-stop:
		return errStore
	}
}

// Slow makes fetches so many times slower; 1 is the usual pace.
func (s *Store) Slow(times float64) {
	s.mu.Lock()
	s.slow = times
	s.mu.Unlock()
}

// Stop turns all fetches away for a while.
func (s *Store) Stop(span float64) {
	s.mu.Lock()
	s.stopped = time.Now().Add(seconds(span))
	s.mu.Unlock()
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// Memory is what a group of workers remembers of keyed events, so that a repeat has no second effect.
type Memory struct {
	mu   sync.Mutex
	span time.Duration
	seen map[string]time.Time
}

// NewMemory remembers for span seconds.
func NewMemory(span float64) *Memory {
	return &Memory{span: seconds(span), seen: map[string]time.Time{}}
}

// First tells whether an event is new to the group, and remembers it.
func (m *Memory) First(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if at, known := m.seen[id]; known && now.Sub(at) < m.span {
		return false
	}
	m.seen[id] = now
	return true
}
