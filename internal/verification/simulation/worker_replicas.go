package simulation

import (
	"net/http"

	"streamcleat/internal/units"
	"streamcleat/internal/verification/fakes"
	"streamcleat/internal/verification/invariants"
)

// workerRequest is an attempt of a request as received by a worker.
type workerRequest struct {
	replicas  *fakes.ReplicaSet
	id        string
	class     string
	respond   responder
	startKind string
	cancelled bool   // the front end closed the connection
	attempt   uint64 // call ID of the front end's latest attempt of the request
}

// enqueue adds a request to the queue, or rejects it.
func (w *worker) enqueue(r *workerRequest, replicas *fakes.ReplicaSet) {
	if replicas == nil {
		r.respond.fail(http.StatusNotFound, "no such function")
		return
	}
	r.replicas = replicas
	if replicas.Ready == 0 && !w.awaitLoad(r) {
		return
	}
	if len(w.queue) >= workerQueueLimit {
		r.respond.fail(http.StatusServiceUnavailable, "full")
		return
	}
	w.queue = append(w.queue, r)
	w.dispatchQueue()
}

// awaitLoad makes a request wait for a load, which it starts unless one is in progress. It returns false if it rejects the
// request.
func (w *worker) awaitLoad(r *workerRequest) bool {
	r.startKind = fakes.StartJoined
	if r.replicas.Loading > 0 {
		return true
	}
	r.startKind = fakes.StartLoad
	switch {
	case !w.site.script.LoadOnRequest:
		r.respond.fail(http.StatusNotFound, "not loaded")
		return false
	case !w.startLoad(r.replicas):
		r.respond.fail(http.StatusServiceUnavailable, "no room")
		return false
	}
	return true
}

// dispatchQueue executes queued requests in the order of their arrival, as far as a replica and a core are free. If a core is
// free but all replicas of a set are busy, it starts the load of another replica.
func (w *worker) dispatchQueue() {
	var waiting []*workerRequest
	queue := w.queue
	w.queue = nil
	for _, r := range queue {
		replicas := r.replicas
		coreFree, replicaFree := w.active < w.cores, replicas.Busy < replicas.Capacity()
		switch {
		case replicas.Ready == 0 && replicas.Loading == 0:
			r.respond.send(http.StatusNotFound, "Server-Timing: "+fakes.StartLoadFailed+"\r\n", fakes.ErrorMessage{Error: "the load failed"})
		case coreFree && replicaFree:
			w.run(r)
		default:
			if coreFree && !replicaFree && replicas.Ready > 0 && replicas.Loading == 0 {
				w.startLoad(replicas)
			}
			waiting = append(waiting, r)
		}
	}
	w.queue = append(waiting, w.queue...)
}

// run executes a request, which occupies a replica and a core.
func (w *worker) run(r *workerRequest) {
	replicas := r.replicas
	replicas.Busy++
	w.active++
	first := w.site.recordExecution(r)
	if first {
		w.site.recorder.Add(invariants.Record{
			Kind: invariants.Executed, Worker: w.name, RequestID: r.id, Class: r.class,
			Function: replicas.Function.Name, Digest: replicas.Digest, CallID: r.attempt,
		})
	}
	duration := replicas.Function.MeanWork / w.speed / float64(w.capacityFraction()) * (0.7 + 0.6*w.rng.Float64())
	if w.hasFault(FaultSlow) {
		duration *= slowFactor
	}
	w.after(units.Seconds(duration), "ends "+r.id, func() { w.finish(r, first) })
}

// finish releases the replica and the core of a request, and sends the response.
func (w *worker) finish(r *workerRequest, first bool) {
	replicas := r.replicas
	replicas.Busy--
	w.active--
	if replicas.Busy == 0 {
		replicas.IdleSince = float64(w.scheduler.now)
	}
	if !r.cancelled && !w.drawFault(FaultLoseResponses) {
		response := fakes.InferResponse{ID: r.id, ModelName: replicas.Function.Name, Outputs: []struct{}{}}
		if !first {
			response.Parameters = &fakes.InferParameters{Repeat: true}
		}
		r.respond.send(http.StatusOK, "Server-Timing: "+r.startKind+"\r\n"+digestHeader(replicas), response)
	}
	w.dispatchQueue()
}

// startLoad starts the load of another replica. It returns false if the limit of concurrent loads or of memory is reached.
func (w *worker) startLoad(r *fakes.ReplicaSet) bool {
	if w.loads >= maxConcurrentLoads || !w.replicas.MakeRoom(r, workerMemoryMB) {
		return false
	}
	r.Loading++
	w.loads++
	fetchTime, ok := units.Seconds(0), true
	if !r.HasImage {
		fetchTime, ok = w.site.store.fetch(units.Seconds(r.Function.FetchTime))
	}
	w.after(fetchTime, "fetched "+r.Function.Name, func() {
		if !r.HasImage {
			w.site.store.inFlight--
		}
		startTime := r.Function.StartTime
		if !ok {
			startTime = 0
		}
		w.after(units.Seconds(startTime), "stands "+r.Function.Name, func() { w.finishLoad(r, ok) })
	})
	return true
}

// finishLoad ends the load of a replica, which has succeeded if ok, and serves the commands and requests that wait for it.
func (w *worker) finishLoad(r *fakes.ReplicaSet, ok bool) {
	r.Loading--
	w.loads--
	if ok {
		r.Ready++
		r.HasImage, r.IdleSince = true, float64(w.scheduler.now)
	}
	waiting := w.onLoaded[r]
	delete(w.onLoaded, r)
	for _, check := range waiting {
		check()
	}
	w.dispatchQueue()
}

// evictIdle evicts replicas whose idle lifetime has expired, and schedules the next check.
func (w *worker) evictIdle() {
	w.replicas.EvictIdle(float64(w.scheduler.now), idleReplicaLifetime+0.5)
	w.after(evictionInterval, "lapses", w.evictIdle)
}

// evictAll evicts all images and all idle replicas, as a release of all functions does.
func (w *worker) evictAll() {
	for _, r := range w.replicas.All() {
		r.HasImage = false
		if r.Busy == 0 {
			r.Ready = 0
		}
	}
}

// functionStore is the store from which all workers fetch functions.
type functionStore struct {
	scheduler   *scheduler
	fullSpeed   int // number of concurrent fetches without slowdown
	inFlight    int
	slowdown    float64 // multiplier of fetch times until slowUntil
	slowUntil   units.Seconds
	rejectUntil units.Seconds // fetches fail until this time
}

// fetch starts a fetch that takes base seconds from an idle store. It returns the duration of the fetch, and whether it
// succeeds.
func (s *functionStore) fetch(base units.Seconds) (duration units.Seconds, ok bool) {
	s.inFlight++
	if s.scheduler.now < s.rejectUntil {
		return 0.01, false
	}
	duration = base * units.Seconds(max(float64(s.inFlight)/float64(s.fullSpeed), 1))
	if s.scheduler.now < s.slowUntil {
		duration *= units.Seconds(s.slowdown)
	}
	return duration, true
}
