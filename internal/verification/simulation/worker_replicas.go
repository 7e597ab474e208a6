package simulation

import (
	"net/http"

	"streamcleat/internal/verification/fakes"
	"streamcleat/internal/verification/invariants"
)

// replicaSet is the replicas of one version of a function on a worker.
type replicaSet struct {
	function  *fakes.Function
	digest    string // of the version, "" for a function without versions
	ready     int
	loading   int
	busy      int // requests that run
	idleSince float64
	hasImage  bool     // on disk: a load needs no fetch
	onLoaded  []func() // load commands that wait
}

// capacity is the number of requests that the ready replicas run concurrently.
func (r *replicaSet) capacity() int { return r.ready * r.function.Concurrency }

// workerRequest is one attempt of a request at a worker.
type workerRequest struct {
	replicas  *replicaSet
	id        string
	class     string
	respond   responder
	startKind string
	cancelled bool   // the front end closed the connection
	attempt   uint64 // number of the newest attempt of the request by that front end
}

// replicasOf returns the replicas of a version, nil for an unknown function.
func (w *worker) replicasOf(function, digest string) *replicaSet {
	base := w.byName[function]
	if base == nil || digest == "" {
		return base
	}
	key := function + "@" + digest
	r := w.byName[key]
	if r == nil {
		r = &replicaSet{function: base.function, digest: digest}
		w.replicas = append(w.replicas, r)
		w.byName[key] = r
	}
	return r
}

// enqueue puts a request in the queue, or rejects it.
func (w *worker) enqueue(r *workerRequest, replicas *replicaSet) {
	if replicas == nil {
		r.respond.fail(http.StatusNotFound, "no such function")
		return
	}
	r.replicas = replicas
	if replicas.ready == 0 && !w.awaitLoad(r) {
		return
	}
	if len(w.queue) >= workerQueueLimit {
		r.respond.fail(http.StatusServiceUnavailable, "full")
		return
	}
	w.queue = append(w.queue, r)
	w.dispatchQueue()
}

// awaitLoad lets a request wait for a load that is under way or that it begins, or rejects it.
func (w *worker) awaitLoad(r *workerRequest) bool {
	r.startKind = fakes.StartJoined
	if r.replicas.loading > 0 {
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

// dispatchQueue starts the requests that find a free replica and a core, in the order of their arrival, and loads one
// more replica where all are busy.
func (w *worker) dispatchQueue() {
	var kept []*workerRequest
	queue := w.queue
	w.queue = nil
	for _, r := range queue {
		replicas := r.replicas
		coreFree, replicaFree := w.active < w.cores, replicas.busy < replicas.capacity()
		switch {
		case replicas.ready == 0 && replicas.loading == 0:
			r.respond.send(http.StatusNotFound, "Server-Timing: "+fakes.StartLoadFailed+"\r\n", fakes.ErrorMessage{Error: "the load failed"})
		case coreFree && replicaFree:
			w.run(r)
		default:
			if coreFree && !replicaFree && replicas.ready > 0 && replicas.loading == 0 {
				w.startLoad(replicas)
			}
			kept = append(kept, r)
		}
	}
	w.queue = append(kept, w.queue...)
}

// run runs a request on a replica and a core.
func (w *worker) run(r *workerRequest) {
	replicas := r.replicas
	replicas.busy++
	w.active++
	first := w.site.isFirstExecution(r)
	if first {
		w.site.recorder.Add(invariants.Record{
			Kind: invariants.Executed, Worker: w.name, RequestID: r.id, Class: r.class,
			Function: replicas.function.Name, Digest: replicas.digest, CallID: r.attempt,
		})
	}
	duration := replicas.function.MeanWork / w.speed / w.warmth() * (0.7 + 0.6*w.rng.Float64())
	if w.hasFault(FaultSlow) {
		duration *= slowFactor
	}
	w.after(duration, "ends "+r.id, func() { w.finish(r, first) })
}

// finish gives the replica and the core of a request back and responds.
func (w *worker) finish(r *workerRequest, first bool) {
	replicas := r.replicas
	replicas.busy--
	w.active--
	if replicas.busy == 0 {
		replicas.idleSince = w.scheduler.now
	}
	if !r.cancelled && !w.faultHits(FaultLoseResponses) {
		response := fakes.InferResponse{ID: r.id, ModelName: replicas.function.Name, Outputs: []struct{}{}}
		if !first {
			response.Parameters = &fakes.InferParameters{Repeat: true}
		}
		r.respond.send(http.StatusOK, "Server-Timing: "+r.startKind+"\r\n"+digestHeader(replicas), response)
	}
	w.dispatchQueue()
}

// startLoad loads one more replica, and returns false where there is no room for it.
func (w *worker) startLoad(r *replicaSet) bool {
	if w.loads >= maxConcurrentLoads || !w.makeRoom(r) {
		return false
	}
	r.loading++
	w.loads++
	fetchTime, ok := 0.0, true
	if !r.hasImage {
		fetchTime, ok = w.site.store.fetch(r.function.FetchTime)
	}
	w.after(fetchTime, "fetched "+r.function.Name, func() {
		if !r.hasImage {
			w.site.store.inFlight--
		}
		startTime := r.function.StartTime
		if !ok {
			startTime = 0
		}
		w.after(startTime, "stands "+r.function.Name, func() { w.finishLoad(r, ok) })
	})
	return true
}

// finishLoad counts a replica that was loaded, or failed to load.
func (w *worker) finishLoad(r *replicaSet, ok bool) {
	r.loading--
	w.loads--
	if ok {
		r.ready++
		r.hasImage, r.idleSince = true, w.scheduler.now
	}
	waiting := r.onLoaded
	r.onLoaded = nil
	for _, check := range waiting {
		check()
	}
	w.dispatchQueue()
}

// makeRoom evicts idle replicas, the longest idle first, until one more of a set fits.
func (w *worker) makeRoom(r *replicaSet) bool {
	for w.usedMemory()+r.function.MemoryMB > workerMemoryMB {
		var oldest *replicaSet
		for _, other := range w.replicas {
			idle := other != r && other.busy == 0 && other.ready > 0
			if idle && (oldest == nil || other.idleSince < oldest.idleSince) {
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

func (w *worker) usedMemory() float64 {
	sum := 0.0
	for _, r := range w.replicas {
		sum += float64(r.ready+r.loading) * r.function.MemoryMB
	}
	return sum
}

// evictIdle lets go of replicas that were idle for the time that workers keep them.
func (w *worker) evictIdle() {
	for _, r := range w.replicas {
		if r.ready > 0 && r.busy == 0 && w.scheduler.now-r.idleSince > idleReplicaLifetime+0.5 {
			r.ready = 0
		}
	}
	w.after(evictionInterval, "lapses", w.evictIdle)
}

// evictAll lets go of every image and every idle replica, as a release of all functions does.
func (w *worker) evictAll() {
	for _, r := range w.replicas {
		r.hasImage = false
		if r.busy == 0 {
			r.ready = 0
		}
	}
}

// functionStore is the store of functions that all workers share.
type functionStore struct {
	scheduler *scheduler
	pace      int // concurrent fetches without slowing down
	inFlight  int
	slowdown  float64 // factor while it is slow
	slowUntil float64
	outUntil  float64 // it rejects fetches until then
}

// fetch returns how long a fetch takes that takes base seconds on an idle store, and whether it succeeds.
func (s *functionStore) fetch(base float64) (duration float64, ok bool) {
	s.inFlight++
	if s.scheduler.now < s.outUntil {
		return 0.01, false
	}
	duration = base * max(float64(s.inFlight)/float64(s.pace), 1)
	if s.scheduler.now < s.slowUntil {
		duration *= s.slowdown
	}
	return duration, true
}
