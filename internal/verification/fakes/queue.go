package fakes

import (
	"net/http"
	"slices"
)

// startSignal tells a request in the queue why its wait has ended.
type startSignal int

const (
	startRunning startSignal = iota // the request holds a replica and a core
	startFailed                     // the load that the request waited for failed
)

// queuedRequest is a request that waits for a replica and a core, or is in progress.
type queuedRequest struct {
	replicas  *ReplicaSet
	startKind string
	start     chan startSignal
}

// enqueue adds a request to the queue, or returns nil and the HTTP status with which the request is rejected. The caller
// must hold the lock.
func (w *Worker) enqueue(name, digest string) (*queuedRequest, int) {
	s := w.replicas.Lookup(name, digest)
	if s == nil {
		return nil, http.StatusNotFound
	}
	if digest != "" && s.Ready+s.Loading == 0 && !w.config.LoadsOnRequest && w.replicas.HasOtherReadyVersion(s) {
		return nil, http.StatusPreconditionFailed // only another version is ready, which must not execute the request
	}
	q := &queuedRequest{replicas: s, startKind: StartWarm, start: make(chan startSignal, 1)}
	if s.Ready == 0 {
		q.startKind = StartJoined
		if s.Loading == 0 {
			if !w.config.LoadsOnRequest {
				return nil, http.StatusNotFound
			}
			q.startKind = StartLoad
			if !w.startLoad(s) {
				return nil, http.StatusServiceUnavailable
			}
		}
	}
	if len(w.queue) >= w.config.QueueLimit {
		return nil, http.StatusServiceUnavailable
	}
	w.queue = append(w.queue, q)
	w.dispatchQueue()
	return q, 0
}

// dispatchQueue starts waiting requests in the order of their arrival, as far as replicas and cores are free. If all
// replicas of a set are busy while a core is free, it loads one more replica. The caller must hold the lock.
func (w *Worker) dispatchQueue() {
	waiting := w.queue[:0]
	for _, q := range w.queue {
		s := q.replicas
		coreFree, replicaFree := w.running < w.config.Cores, s.Busy < s.Capacity()
		switch {
		case s.Ready == 0 && s.Loading == 0:
			q.start <- startFailed
		case coreFree && replicaFree:
			s.Busy++
			w.running++
			q.start <- startRunning
		default:
			if coreFree && !replicaFree && s.Ready > 0 && s.Loading == 0 {
				w.startLoad(s)
			}
			waiting = append(waiting, q)
		}
	}
	clear(w.queue[len(waiting):])
	w.queue = waiting
}

// cancel removes a request from the queue. If the request was started concurrently, cancel releases its replica and core.
func (w *Worker) cancel(q *queuedRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := slices.Index(w.queue, q); i >= 0 {
		w.queue = slices.Delete(w.queue, i, i+1)
		return
	}
	select {
	case <-q.start:
		w.finish(q)
	default:
	}
}

// finish releases the replica and the core of a request, and evicts an idle replica if an eviction is pending. The caller
// must hold the lock.
func (w *Worker) finish(q *queuedRequest) {
	s := q.replicas
	s.Busy--
	w.running--
	if s.PendingEviction > 0 && s.Busy <= (s.Ready-1)*s.Function.Concurrency {
		s.PendingEviction--
		s.Ready--
	}
	if s.Busy == 0 {
		s.IdleSince = w.now()
	}
	w.dispatchQueue()
}
