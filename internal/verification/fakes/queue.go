package fakes

import (
	"net/http"
	"slices"
	"time"
)

// startSignal ends the wait of a queued request.
type startSignal int

const (
	startRunning startSignal = iota // a replica and a core are its own
	startFailed                     // the load that it waited for failed
)

// queuedRequest is a request that waits for a replica and a core, or runs.
type queuedRequest struct {
	replicas  *replicaSet
	startKind string
	start     chan startSignal
}

// enqueue puts a request in the queue, or returns the status that rejects it. The caller holds the lock.
func (w *Worker) enqueue(name, digest string) (*queuedRequest, int) {
	s, other := w.replicasOf(name, digest)
	if s == nil {
		return nil, http.StatusNotFound
	}
	if s.ready+s.loading == 0 && other != nil && !w.spec.LoadsOnRequest {
		return nil, http.StatusPreconditionFailed // another version is ready, which must not run this
	}
	q := &queuedRequest{replicas: s, startKind: StartWarm, start: make(chan startSignal, 1)}
	if s.ready == 0 {
		q.startKind = StartJoined
		if s.loading == 0 {
			if !w.spec.LoadsOnRequest {
				return nil, http.StatusNotFound
			}
			q.startKind = StartLoad
			if !w.startLoad(s) {
				return nil, http.StatusServiceUnavailable
			}
		}
	}
	if len(w.queue) >= w.spec.QueueLimit {
		return nil, http.StatusServiceUnavailable
	}
	w.queue = append(w.queue, q)
	w.dispatchQueue()
	return q, 0
}

// dispatchQueue starts the requests that find a free replica and a core, in the order of their arrival, and loads one
// more replica where all are busy. The caller holds the lock.
func (w *Worker) dispatchQueue() {
	kept := w.queue[:0]
	for _, q := range w.queue {
		s := q.replicas
		coreFree, replicaFree := w.running < w.spec.Cores, s.busy < s.capacity()
		switch {
		case s.ready == 0 && s.loading == 0:
			q.start <- startFailed
		case coreFree && replicaFree:
			s.busy++
			w.running++
			q.start <- startRunning
		default:
			if coreFree && !replicaFree && s.ready > 0 && s.loading == 0 {
				w.startLoad(s)
			}
			kept = append(kept, q)
		}
	}
	clear(w.queue[len(kept):])
	w.queue = kept
}

// cancel takes a request out of the queue. One that was started in the same moment gives its core back.
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

// finish gives the replica and the core of a request back. The caller holds the lock.
func (w *Worker) finish(q *queuedRequest) {
	s := q.replicas
	s.busy--
	w.running--
	if s.outdated > 0 && s.busy <= (s.ready-1)*s.function.Concurrency {
		s.outdated--
		s.ready--
	}
	if s.busy == 0 {
		s.idleSince = time.Now()
	}
	w.dispatchQueue()
}
