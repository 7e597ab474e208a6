package fakes

import (
	"errors"
	"math"
	"sync"
	"time"
)

// ErrFetchRejected is returned for a fetch that the store did not complete because it was overloaded or out of service,
// or the worker stopped.
var ErrFetchRejected = errors.New("fetch rejected by the store")

// Store is the function store that all workers share. It slows down when there are more concurrent fetches than it serves
// at full speed, and rejects fetches past a limit.
type Store struct {
	FullSpeedFetches int // concurrent fetches without slowdown
	MaxFetches       int // maximum number of concurrent fetches; further ones are rejected
	Fetches          int // number accepted so far

	mu          sync.Mutex
	slowdown    float64 // factor
	rejectUntil time.Time
	inFlight    int
}

// NewStore returns a store that serves fullSpeed concurrent fetches at full speed, and at most limit of them.
func NewStore(fullSpeed, limit int) *Store {
	return &Store{FullSpeedFetches: fullSpeed, MaxFetches: limit, slowdown: 1}
}

// Fetch waits for a fetch that takes base seconds on an idle store, or until stop is closed.
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
	if time.Now().Before(s.rejectUntil) || s.inFlight >= s.MaxFetches {
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

// SetSlowdown sets the factor by which fetches take longer; 1 is the normal speed.
func (s *Store) SetSlowdown(factor float64) {
	s.mu.Lock()
	s.slowdown = factor
	s.mu.Unlock()
}

// RejectFor rejects all fetches for a duration in seconds.
func (s *Store) RejectFor(duration float64) {
	s.mu.Lock()
	s.rejectUntil = time.Now().Add(seconds(duration))
	s.mu.Unlock()
}
