package fakes

import (
	"errors"
	"time"
)

const (
	evictionInterval = 100 * time.Millisecond // between checks for idle replicas
	loadQueueFactor  = 2                      // maximum number of pending loads, as a multiple of MaxConcurrentLoads
)

var (
	errWrongDigest = errors.New("fetched image does not have the requested digest")
	errStopped     = errors.New("worker stopped")
)

// Evict evicts all replicas and images of functions: idle replicas at once, busy ones when they become idle.
func (w *Worker) Evict(names map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.replicas.All() {
		if names[s.Function.Name] {
			s.HasImage = false
			busy := (s.Busy + s.Function.Concurrency - 1) / s.Function.Concurrency
			s.PendingEviction = min(busy, s.Ready)
			s.Ready = s.PendingEviction
		}
	}
}

// startLoad starts to load one more replica in the background. It returns false if too many loads are in progress or the
// replica does not fit into the memory. The caller must hold the lock.
func (w *Worker) startLoad(s *ReplicaSet) bool {
	if w.loads >= loadQueueFactor*w.config.MaxConcurrentLoads || !w.replicas.MakeRoom(s, w.config.Memory) {
		return false
	}
	s.Loading++
	w.loads++
	hasImage := s.HasImage
	incarnation, stop := w.incarnation, w.stop
	go func() {
		err := w.fetchAndStart(s, stop, hasImage)
		w.finishLoad(s, incarnation, err)
	}()
	return true
}

// finishLoad updates the replica counts after a load that succeeded or failed. It ignores loads of an earlier process.
func (w *Worker) finishLoad(s *ReplicaSet, incarnation int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != incarnation || w.down {
		return
	}
	s.Loading--
	w.loads--
	if err == nil {
		s.Ready++
		s.HasImage = true
		s.IdleSince = w.now()
	}
	w.dispatchQueue()
}

func (w *Worker) fetchAndStart(s *ReplicaSet, stop <-chan struct{}, hasImage bool) error {
	if !hasImage {
		if err := w.config.Store.Fetch(s.Function.FetchTime, stop); err != nil {
			return err
		}
	}
	w.mu.Lock()
	_, wrong := w.sampleFault(FaultWrongDigest)
	w.mu.Unlock()
	if wrong && s.Digest != "" {
		return errWrongDigest
	}
	select {
	case <-time.After(seconds(s.Function.StartTime)):
		return nil
	case <-stop:
		return errStopped
	}
}

// evictIdle evicts replicas whose idle lifetime has passed, until the process ends.
func (w *Worker) evictIdle(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(evictionInterval):
		}
		w.mu.Lock()
		w.replicas.EvictIdle(w.now(), w.config.IdleReplicaLifetime)
		w.mu.Unlock()
	}
}
