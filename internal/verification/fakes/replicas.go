package fakes

import (
	"errors"
	"time"
)

const (
	evictionInterval = 100 * time.Millisecond // between looks for idle replicas
	loadQueueFactor  = 2                      // loads that are accepted, as a multiple of LoadsAtOnce
)

var (
	errWrongDigest = errors.New("what was fetched has another digest")
	errStopped     = errors.New("stopped")
)

// replicaSet is the replicas of one version of a function on a worker. The worker's lock guards it.
type replicaSet struct {
	function  *Function
	digest    string // of the version, "" for a function without versions
	ready     int
	loading   int
	busy      int // requests that run
	idleSince time.Time
	hasImage  bool // on disk: a load needs no fetch
	outdated  int  // ready replicas that are let go when they fall idle
}

// capacity is the number of requests that the ready replicas run concurrently.
func (s *replicaSet) capacity() int { return s.ready * s.function.Concurrency }

// replicasOf returns the replicas of a version, nil for an unknown function, and those of another version of it that
// are ready, if there are any. The caller holds the lock.
func (w *Worker) replicasOf(name, digest string) (set, other *replicaSet) {
	base := w.byName[name]
	if base == nil || digest == "" {
		return base, nil
	}
	key := name + "@" + digest
	set = w.byName[key]
	if set == nil {
		set = &replicaSet{function: base.function, digest: digest}
		w.byName[key] = set
		w.replicas = append(w.replicas, set)
	}
	for _, s := range w.replicas {
		if s != set && s.function == base.function && s.ready > 0 {
			other = s
		}
	}
	return set, other
}

// Evict lets go of all replicas and images of functions: idle replicas at once, those at work when they are done.
func (w *Worker) Evict(names map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.replicas {
		if names[s.function.Name] {
			s.hasImage = false
			atWork := (s.busy + s.function.Concurrency - 1) / s.function.Concurrency
			s.outdated = min(atWork, s.ready)
			s.ready = s.outdated
		}
	}
}

// startLoad loads one more replica in the background, and returns false where there is no room for it. The caller holds
// the lock.
func (w *Worker) startLoad(s *replicaSet) bool {
	if w.loads >= loadQueueFactor*w.spec.MaxConcurrentLoads || !w.makeRoom(s) {
		return false
	}
	s.loading++
	w.loads++
	go w.load(s, w.incarnation, w.stop, s.hasImage)
	return true
}

// makeRoom evicts idle replicas, the longest idle first, until one more of a set fits.
func (w *Worker) makeRoom(s *replicaSet) bool {
	for w.usedMemory()+s.function.MemoryMB > w.spec.Memory {
		var oldest *replicaSet
		for _, other := range w.replicas {
			idle := other != s && other.busy == 0 && other.ready > 0
			if idle && (oldest == nil || other.idleSince.Before(oldest.idleSince)) {
				oldest = other
			}
		}
		if oldest == nil {
			return false
		}
		oldest.ready = 0
	}
	return true
}

func (w *Worker) usedMemory() float64 {
	sum := 0.0
	for _, s := range w.replicas {
		sum += float64(s.ready+s.loading) * s.function.MemoryMB
	}
	return sum
}

// load fetches and starts one replica. Its result counts for nothing once the process has ended.
func (w *Worker) load(s *replicaSet, incarnation int, stop <-chan struct{}, hasImage bool) {
	err := w.fetchAndStart(s, stop, hasImage)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != incarnation || w.down {
		return
	}
	s.loading--
	w.loads--
	if err == nil {
		s.ready++
		s.hasImage = true
		s.idleSince = time.Now()
	}
	w.dispatchQueue()
}

func (w *Worker) fetchAndStart(s *replicaSet, stop <-chan struct{}, hasImage bool) error {
	if !hasImage {
		if err := w.spec.Store.Fetch(s.function.FetchTime, stop); err != nil {
			return err
		}
	}
	w.mu.Lock()
	_, wrong := w.active(FaultWrongDigest)
	w.mu.Unlock()
	if wrong && s.digest != "" {
		return errWrongDigest
	}
	select {
	case <-time.After(seconds(s.function.StartTime)):
		return nil
	case <-stop:
		return errStopped
	}
}

// evictIdle lets go of replicas that were idle for the time that the worker keeps them, until the process ends.
func (w *Worker) evictIdle(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(evictionInterval):
		}
		w.mu.Lock()
		for _, s := range w.replicas {
			if s.ready > 0 && s.busy == 0 && time.Since(s.idleSince) > seconds(w.spec.IdleReplicaLifetime) {
				s.ready = 0
			}
		}
		w.mu.Unlock()
	}
}
