package fakes

import (
	"errors"
	"math"
	"sync"
	"time"
)

// ErrFetchRejected is the error of a fetch that the store did not finish: it was overloaded, out of service, or the
// worker stopped meanwhile.
var ErrFetchRejected = errors.New("the store turned the fetch away")

// Store is the function store that all workers share. It slows down when more fetch at once than it can serve, and
// rejects fetches past a limit.
type Store struct {
	FullSpeedFetches int // concurrent fetches without slowing down
	MaxFetches       int // concurrent fetches; further ones are rejected
	Fetches          int // accepted so far

	mu       sync.Mutex
	slowdown float64 // factor, by a fault
	outUntil time.Time
	inFlight int
}

// NewStore returns a store that serves pace fetches at full speed and at most of them at once.
func NewStore(pace, most int) *Store {
	return &Store{FullSpeedFetches: pace, MaxFetches: most, slowdown: 1}
}

// Fetch takes as long as the store needs now for a fetch that takes base seconds on an idle one.
func (s *Store) Fetch(base float64, stop <-chan struct{}) error {
	duration, err := s.admit(base)
	if err != nil {
		return err
	}
	defer s.release()
	select {
	case <-time.After(duration):
		return nil
	case <-stop:
		return ErrFetchRejected
	}
}

func (s *Store) admit(base float64) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.outUntil) || s.inFlight >= s.MaxFetches {
		return 0, ErrFetchRejected
	}
	s.inFlight++
	s.Fetches++
	return seconds(base * s.slowdown * math.Max(1, float64(s.inFlight)/float64(s.FullSpeedFetches))), nil
}

func (s *Store) release() {
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
}

// SetSlowdown makes fetches take a multiple of their time; 1 is the usual speed.
func (s *Store) SetSlowdown(factor float64) {
	s.mu.Lock()
	s.slowdown = factor
	s.mu.Unlock()
}

// RejectFor makes the store reject all fetches for a time in seconds.
func (s *Store) RejectFor(duration float64) {
	s.mu.Lock()
	s.outUntil = time.Now().Add(seconds(duration))
	s.mu.Unlock()
}
