package fakes

import (
	"errors"
	"math"
	"sync"
	"time"
)

// ErrFetchRejected is returned for a fetch that did not complete because the store was overloaded or out of service, or
// because the worker stopped.
var ErrFetchRejected = errors.New("fetch rejected by the store")

// Store is the function store that all workers share. If there are more concurrent fetches than it serves at full speed, it
// slows down in proportion to their number. It rejects fetches beyond a limit.
type Store struct {
	FullSpeedFetches int // concurrent fetches without slowdown
	MaxFetches       int // maximum number of concurrent fetches; further ones are rejected
	Fetches          int // number of fetches accepted so far

	mu          sync.Mutex
	slowdown    float64 // factor by which fetches take longer
	rejectUntil time.Time
	inFlight    int
}

// NewStore returns a store that serves fullSpeed concurrent fetches at full speed, and at most limit of them.
func NewStore(fullSpeed, limit int) *Store {
	return &Store{FullSpeedFetches: fullSpeed, MaxFetches: limit, slowdown: 1}
}

// Fetch simulates a fetch that takes base seconds on an idle store. It returns early when stop is closed.
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

// SetSlowdown sets the factor by which further fetches take longer; 1 is normal speed.
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
