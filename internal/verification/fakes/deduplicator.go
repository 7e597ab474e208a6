package fakes

import (
	"sync"
	"time"
)

// Deduplicator records the requests with an idempotency key that a group of workers has executed, so that a duplicate
// has no second effect.
type Deduplicator struct {
	mu     sync.Mutex
	window time.Duration
	seen   map[string]time.Time
}

// NewDeduplicator returns a Deduplicator with a deduplication window in seconds.
func NewDeduplicator(window float64) *Deduplicator {
	return &Deduplicator{window: seconds(window), seen: map[string]time.Time{}}
}

// IsFirst reports whether the group has not executed a request within the deduplication window, and records it if so.
func (d *Deduplicator) IsFirst(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if at, known := d.seen[id]; known && now.Sub(at) < d.window {
		return false
	}
	d.seen[id] = now
	return true
}
