package fakes

import (
	"sync"
	"time"
)

// Deduplicator is what a group of workers remembers of keyed requests, so that a repeat has no second effect.
type Deduplicator struct {
	mu     sync.Mutex
	window time.Duration
	seen   map[string]time.Time
}

// NewDeduplicator returns a memory that remembers each request for a window in seconds.
func NewDeduplicator(window float64) *Deduplicator {
	return &Deduplicator{window: seconds(window), seen: map[string]time.Time{}}
}

// IsFirst returns whether a request is new to the group, and remembers it.
func (m *Deduplicator) IsFirst(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if at, known := m.seen[id]; known && now.Sub(at) < m.window {
		return false
	}
	m.seen[id] = now
	return true
}
