package control

import "slices"

// This file holds the types of the state and the bookkeeping on them. It takes no decision: these are in the
// files that deploy/balancer.toml lists as policy.

// Router decides for one front end where each request runs, which replicas are loaded and which requests are
// rejected. It keeps its own view of the fleet. Its methods must not run concurrently.
type Router struct {
	deployment *Deployment
	host       Host
	now        float64
	lastTickAt float64
	random     multiplyWithCarry

	requests        map[RequestID]*request // unanswered, or with an attempt in flight
	requestsByTimer map[uint64]*request
	lastTimer       uint64
	pending         []*request // to be decided by the request rules

	functions         []*function // in the order of their first requests
	functionsByID     map[FunctionID]*function
	functionsByDigest map[uint16]*function // by the digest in gossip messages

	workers          []*worker // by dense index; slots of workers that are gone are used again
	workersByID      map[WorkerID]*worker
	workersByDigest  map[uint32]*worker // by the digest in gossip messages
	machines         []*machineStats
	endpointVersion  int // changes with each endpoint update
	endpointRulesDue bool

	meansAt          float64 // time at which the two means were taken
	meanLoad         float64 // load of the serving workers
	meanReportedLoad float64 // reported load of those serving workers that have one

	requestTimes     []float64 // requests within the window of the load command ration
	loadCommandTimes []float64 // load commands within the same window
	replicaLossRate  float64   // share of attempts that found no replica though one was believed warm
	loadSlowdown     float64   // duration of loads over their usual time; 0 while unknown

	admissionProbability float64 // share of new requests that is admitted; a part above 1 is a reserve
	lowLatency           float64 // latency that the quickest fifth of the answers stays under
	gossipCredits        float64 // answers that no message has told yet
}

// request is a request that is unanswered or has an attempt in flight.
type request struct {
	Request
	class     *RequestClass
	function  *function
	deadline  float64
	timer     uint64
	attempts  int
	loadWaits int // load commands whose results it waited for

	worker     *worker // of the newest attempt; nil before the first and after one that found no replica
	sentAt     float64 // start of the newest attempt
	inFlight   bool
	awaitsLoad bool // the newest attempt went to a worker without a warm replica
	finished   bool // answered or cancelled
	mayHaveRun bool
	firstRunAt float64 // start of the first attempt that may have run
	firstRunOn *worker
}

// worker is all that is known of one worker, gone ones included until their slot is used again.
type worker struct {
	index         int // in Router.workers
	id            WorkerID
	hash          uint64
	zone          ZoneID
	failureDomain int
	state         EndpointState
	weight        float64
	startedAt     float64
	machine       *machineStats // nil before the worker was first seen serving or draining

	inFlight         []*request // own requests
	lastAnswerAt     float64
	concurrencyLimit float64 // own requests that it may hold
	limitDecreasedAt float64
	reportedLoad     float64 // requests there by reports and gossip, less own ones; -1 before the first
	relativeLatency  float64 // latencies over the medians of their functions in the long run
	ejectedUntil     float64
	noLoadsUntil     float64 // no load command is sent to it before

	slowStartCredits float64 // attempts, in fractions, that it was granted since its start
	usedCredits      float64
}

// machineStats is what this front end saw warm workers of one machine type do.
type machineStats struct {
	machineType MachineType
	succeeded   float64 // attempts since the last tick
	rate        float64 // successful attempts per worker and second, averaged
	peakRate    float64 // highest value of rate
	warmWorkers float64 // serving workers past their warm-up at the last tick
}

// replica is one function on one worker.
type replica struct {
	worker        *worker
	inFlight      int // own requests
	warm          bool
	lastSeenAt    float64
	recentLatency float64 // moving average; 0 before the first sample
	lastLatencyAt float64 // time of the newest sample
	slowSince     float64 // 0 while it is not slow
}

// function is what is known of one function.
type function struct {
	id             FunctionID
	hash           uint64
	concurrency    int     // requests that one replica serves at a time
	inFlight       int     // own requests
	loadTime       float64 // usual duration of a load; 0 where it is not told
	medianLatency  float64 // running estimate; 0 before the first sample
	lastRequestAt  float64
	replicas       []replica
	answerRate     float64 // answers per second in the whole fleet, as far as known
	targetReplicas float64 // replicas, by rendezvous order, that share the requests

	ranked        []*worker // serving workers in rendezvous order
	rankedVersion int       // endpointVersion that ranked was made for

	pendingLoadOn  *worker    // worker that was sent a load command and has not answered
	loadSentAt     float64    // start of the newest load
	loadPauseUntil float64    // no load beside a replica in use before
	waiters        []*request // wait for the pending load
}

// New makes a Router. Equal seeds and equal calls lead to equal decisions.
func New(deployment *Deployment, seed uint64, host Host, now float64) *Router {
	return &Router{
		deployment:           deployment,
		host:                 host,
		now:                  now,
		lastTickAt:           now,
		random:               newMultiplyWithCarry(seed),
		lastTimer:            pollTimer,
		requests:             map[RequestID]*request{},
		requestsByTimer:      map[uint64]*request{},
		functionsByID:        map[FunctionID]*function{},
		functionsByDigest:    map[uint16]*function{},
		workersByID:          map[WorkerID]*worker{},
		workersByDigest:      map[uint32]*worker{},
		admissionProbability: maxAdmissionProbability,
	}
}

// replicaOn returns the replica on a worker, or nil. The pointer holds until a replica is added or removed.
func (fn *function) replicaOn(w *worker) *replica {
	i := slices.IndexFunc(fn.replicas, func(rep replica) bool { return rep.worker == w })
	if i < 0 {
		return nil
	}
	return &fn.replicas[i]
}

// ensureReplica returns the replica on a worker and adds one, not warm, where there is none.
func (fn *function) ensureReplica(w *worker) *replica {
	if rep := fn.replicaOn(w); rep != nil {
		return rep
	}
	fn.replicas = append(fn.replicas, replica{worker: w})
	return &fn.replicas[len(fn.replicas)-1]
}

// markWarm notes that the replica was seen warm at a time.
func (rep *replica) markWarm(seenAt float64) {
	rep.warm = true
	rep.lastSeenAt = seenAt
}

// markRestarted notes that the worker started anew and so has no replica yet.
func (rep *replica) markRestarted() {
	rep.warm = false
	rep.slowSince = 0
	rep.recentLatency = 0
}

// resetLimits removes what keeps requests and loads from a worker.
func (w *worker) resetLimits(concurrencyLimit float64) {
	w.concurrencyLimit = concurrencyLimit
	w.ejectedUntil = 0
	w.noLoadsUntil = 0
	w.slowStartCredits = 0
	w.usedCredits = 0
}

// functionOf returns the function of a request, with its figures brought up to date.
func (r *Router) functionOf(in Request) *function {
	fn := r.functionsByID[in.Function]
	if fn == nil {
		fn = &function{id: in.Function, hash: hashOf(string(in.Function)), targetReplicas: 1}
		r.functions = append(r.functions, fn)
		r.functionsByID[fn.id] = fn
		r.functionsByDigest[fn.digest()] = fn
	}
	fn.concurrency = max(in.Concurrency, 1)
	fn.loadTime = max(in.LoadTime, fn.loadTime)
	fn.lastRequestAt = r.now
	return fn
}

// forgetFunctions drops the functions that had neither requests nor loads for a span.
func (r *Router) forgetFunctions(span float64) {
	r.functions = slices.DeleteFunc(r.functions, func(fn *function) bool {
		idle := fn.pendingLoadOn == nil && fn.inFlight == 0 && r.now-fn.lastRequestAt > span
		if idle {
			delete(r.functionsByID, fn.id)
			delete(r.functionsByDigest, fn.digest())
		}
		return idle
	})
}

// beginAttempt notes an attempt of a request on a worker.
func (r *Router) beginAttempt(req *request, w *worker, awaitsLoad bool) {
	req.worker = w
	req.sentAt = r.now
	req.inFlight = true
	req.awaitsLoad = awaitsLoad
	req.attempts++
	req.function.inFlight++
	req.function.ensureReplica(w).inFlight++
	w.inFlight = append(w.inFlight, req)
}

// endAttempt notes the end of the attempt in flight and returns the replica that it went to.
func (r *Router) endAttempt(req *request) *replica {
	rep := req.function.ensureReplica(req.worker)
	req.inFlight = false
	req.function.inFlight--
	rep.inFlight--
	isSame := func(other *request) bool { return other == req }
	req.worker.inFlight = slices.DeleteFunc(req.worker.inFlight, isSame)
	return rep
}

// finish notes that a request was answered or cancelled. An attempt in flight keeps it known until that ends.
func (r *Router) finish(req *request) {
	req.finished = true
	delete(r.requestsByTimer, req.timer)
	if !req.inFlight {
		delete(r.requests, req.ID)
	}
}

// continueRequest notes what the end of an attempt means for the request, which may have to be decided again.
func (r *Router) continueRequest(req *request, answered bool) {
	switch {
	case req.finished:
		delete(r.requests, req.ID)
	case answered:
		r.finish(req)
	default:
		r.pending = append(r.pending, req)
	}
}

// endPendingLoad lets the requests that waited for the load of a function be decided again.
func (r *Router) endPendingLoad(fn *function) {
	fn.pendingLoadOn = nil
	r.pending = append(r.pending, fn.waiters...)
	fn.waiters = nil
}

// timesWithin drops the times that are older than a span.
func (r *Router) timesWithin(times []float64, span float64) []float64 {
	return slices.DeleteFunc(times, func(time float64) bool { return time <= r.now-span })
}

// meanOfServing is the mean over the serving workers for which the value is known.
func (r *Router) meanOfServing(value func(w *worker) (float64, bool)) float64 {
	sum, count := 0.0, 0.0
	for _, w := range r.workers {
		if v, known := value(w); known && w.state == Serving {
			sum += v
			count++
		}
	}
	return sum / max(count, 1)
}

// isInScope tells whether two workers deduplicate together.
func isInScope(scope DeduplicationScope, a, b *worker) bool {
	switch scope {
	case ScopeFleet:
		return true
	case ScopeZone:
		return a.zone == b.zone
	default:
		return a.zone == b.zone && a.failureDomain == b.failureDomain
	}
}

// ejectedFraction is the part of the serving workers that is ejected.
func (r *Router) ejectedFraction() float64 {
	return r.meanOfServing(func(w *worker) (float64, bool) {
		if w.ejectedUntil > r.now {
			return 1, true
		}
		return 0, true
	})
}

// updateMeanLoads takes the means once for each time. The load of a worker uses the mean reported load.
func (r *Router) updateMeanLoads() {
	if r.meansAt == r.now {
		return
	}
	r.meansAt = r.now
	r.meanReportedLoad = r.meanOfServing(func(w *worker) (float64, bool) {
		return w.reportedLoad, w.reportedLoad >= 0
	})
	r.meanLoad = r.meanOfServing(func(w *worker) (float64, bool) { return r.load(w), true })
}

// perFrontEnd is a front end's part of a figure of the whole fleet.
func (r *Router) perFrontEnd(total float64) float64 { return total / float64(r.deployment.FrontEnds) }
