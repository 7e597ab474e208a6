package control

import (
	"cmp"
	"math"
	"slices"

	"streamcleat/internal/units"
)

// Replica selection: which replica serves a request, and over how many replicas the requests of a function are spread.

const (
	overloadedInFlightRatio = 2.0   // ratio of own requests in flight to concurrency at which a replica is overloaded
	busyLoadRatio           = 1.5   // a worker is busy above this multiple of the mean load
	busyLoadMargin          = 1.0   // plus this many requests over its weight, because load is uneven in an idle fleet
	targetReplicasGrowth    = 1.5   // without gossip: factor for the target replicas after a late response
	targetReplicasDecay     = 0.93  // without gossip: factor after an early response
	concurrencyHeadroom     = 2.0   // with gossip: concurrency provisioned for each running request
	latencyP20Step          = 0.005 // relative step upwards for each response
	latencyP20DownSteps     = 5     // steps downwards for a response below the estimate; one such in five balances the steps
	latencyP20Floor         = 0.5   // the estimate does not fall below this fraction of such a response's latency
	rateAveragingSeconds    = 3.0   // time constant of response rates
	minWorkerWeight         = 0.01  // lower bound of configured weights, which prevents division by zero
)

// overloadFilter specifies whether pickReplica considers overloaded replicas.
type overloadFilter bool

const (
	excludeOverloaded overloadFilter = true
	includeOverloaded overloadFilter = false
)

// sendToWarmReplica sends a request to the least-loaded warm replica that is not overloaded or, if there is none, to the
// least-loaded warm replica. It loads another replica if fewer replicas than the target are available without overload.
func (r *Router) sendToWarmReplica(req *request) bool {
	preferred, missing := r.pickReplica(req, excludeOverloaded)
	target := preferred
	if target == nil {
		target, _ = r.pickReplica(req, includeOverloaded)
	}
	if preferred == nil || missing > 0 {
		serving := target
		if serving == nil && r.hasManyFrontEnds() {
			serving = r.pickRejectingReplica(req)
		}
		r.loadMissingReplica(req, missing, serving)
	}
	return r.startAttempt(req, target)
}

// pickReplica returns the worker of the least-loaded warm replica, and the number of replicas missing from the
// target. Only the first workers in rendezvous order are candidates, as many as the target or the own requests in flight
// require: if requests were spread over all replicas, none would become idle and be unloaded.
func (r *Router) pickReplica(req *request, filter overloadFilter) (picked *worker, missing int) {
	fn := req.function
	target := int(math.Ceil(fn.targetReplicas))
	var candidates []*worker
	rejecting := 0 // replicas that count towards the target but have rejected this request
	for _, w := range r.candidateOrder(req) {
		rep := fn.replicaOn(w)
		failedBefore := w == req.worker && len(candidates) > 0
		if !r.isWarm(rep) || failedBefore || !r.hasCapacity(w) || !r.isEligible(req, w) {
			continue
		}
		if req.wasRejectedBy(w) { // it would reject further attempts too, until the request has none left
			rejecting++
			continue
		}
		if filter == excludeOverloaded && r.isOverloaded(fn, rep) {
			continue
		}
		candidates = append(candidates, w)
		if len(candidates) >= max(target, 1+fn.inFlight/fn.concurrency) {
			break
		}
	}
	return r.leastLoaded(r.preferredCandidates(req, candidates)), target - r.countAdequate(req, candidates) - rejecting
}

// retryRejectingReplica sends a request again to a warm replica whose worker has rejected it, if no other can serve it: the
// worker may have been full and may have capacity again.
func (r *Router) retryRejectingReplica(req *request) bool {
	return r.startAttempt(req, r.pickRejectingReplica(req))
}

// pickRejectingReplica returns the worker of the least-loaded warm replica that rejected the request.
func (r *Router) pickRejectingReplica(req *request) *worker {
	var candidates []*worker
	for _, w := range r.rendezvousOrder(req) {
		if req.wasRejectedBy(w) && r.isWarm(req.function.replicaOn(w)) && r.hasCapacity(w) && r.isEligible(req, w) {
			candidates = append(candidates, w)
		}
	}
	return r.leastLoaded(candidates)
}

// isWarm reports whether a replica, which may be nil, is believed to be loaded.
func (r *Router) isWarm(rep *replica) bool {
	if rep == nil || !rep.warm {
		return false
	}
	return rep.inFlight > 0 || r.now < rep.lastSeenAt+r.deployment.IdleReplicaLifetime
}

// isOverloaded reports whether a replica is full or slow, or its worker is busy.
func (r *Router) isOverloaded(fn *function, rep *replica) bool {
	isFull := float64(rep.inFlight) >= overloadedInFlightRatio*float64(fn.concurrency)
	return isFull || r.isSlow(fn, rep) || r.isBusy(rep.worker)
}

// isEligible reports whether req may be attempted on w.
func (r *Router) isEligible(req *request, w *worker) bool {
	if w.state != Serving || !r.hasSlowStartCredit(w) && !r.mayBeKnownWarm(w) {
		return false
	}
	return r.mayUse(w) && r.isRepeatSafe(req, w)
}

// candidateOrder returns the serving workers in rendezvous order or, for a request that prefers identified processes, those
// with an identified process before the others.
func (r *Router) candidateOrder(req *request) []*worker {
	order := r.rendezvousOrder(req)
	if !r.prefersIdentifiedProcess(req) {
		return order
	}
	identified, others := r.partitionByIdentity(order)
	return append(identified, others...)
}

// countAdequate returns how many of the candidates count towards the target replicas: for a request that prefers identified
// processes only those with one, so that a replica is loaded on another worker too.
func (r *Router) countAdequate(req *request, candidates []*worker) int {
	if !r.prefersIdentifiedProcess(req) {
		return len(candidates)
	}
	identified, _ := r.partitionByIdentity(candidates)
	return len(identified)
}

// preferredCandidates returns those of the candidates that hold leases, and of these the ones with an identified process if
// the request prefers it. A preference that none satisfies has no effect.
func (r *Router) preferredCandidates(req *request, candidates []*worker) []*worker {
	holders := r.leaseHolders(candidates)
	if !r.prefersIdentifiedProcess(req) {
		return holders
	}
	identified, others := r.partitionByIdentity(holders)
	if len(identified) == 0 {
		return others
	}
	return identified
}

// load returns the estimated number of requests on w, including the next one, relative to its current capacity. For a
// worker without a report the mean reported load is used.
func (r *Router) load(w *worker) float64 {
	reported := w.reportedLoad
	if reported < 0 {
		reported = r.meanReportedLoad
	}
	return (float64(len(w.inFlight)+1) + reported) / (w.weight * r.warmUpProgress(w, r.now))
}

// isBusy reports whether the load of w is well above the mean.
func (r *Router) isBusy(w *worker) bool {
	return r.load(w) > busyLoadRatio*r.meanLoad+busyLoadMargin/w.weight
}

// leastLoaded returns the candidate with the lowest load, or nil if there is none. Ties are broken at random.
func (r *Router) leastLoaded(candidates []*worker) *worker {
	var best *worker
	lowest, ties := 0.0, 0
	for _, w := range candidates {
		load := r.load(w)
		if best == nil || load < lowest {
			best, lowest, ties = w, load, 1
		} else if load == lowest {
			ties++
			if r.random.below(ties) == 0 {
				best = w
			}
		}
	}
	return best
}

// rendezvousOrder returns the serving workers in the order of rendezvous hashing, so that all front ends keep the
// replicas of a function on the same few workers. The worker of the request's last attempt comes last.
func (r *Router) rendezvousOrder(req *request) []*worker {
	fn := req.function
	if fn.rankedVersion != r.endpointVersion {
		r.rankWorkers(fn)
	}
	i := slices.Index(fn.rankedWorkers, req.worker)
	if i < 0 {
		return fn.rankedWorkers
	}
	return append(slices.Delete(slices.Clone(fn.rankedWorkers), i, i+1), req.worker)
}

func (r *Router) rankWorkers(fn *function) {
	fn.rankedVersion = r.endpointVersion
	fn.rankedWorkers = fn.rankedWorkers[:0]
	for _, w := range r.workers {
		if w.state == Serving {
			fn.rankedWorkers = append(fn.rankedWorkers, w)
		}
	}
	slices.SortFunc(fn.rankedWorkers, func(a, b *worker) int {
		return cmp.Compare(rendezvousWeight(fn, b), rendezvousWeight(fn, a))
	})
}

func rendezvousWeight(fn *function, w *worker) uint64 { return mixHash(fn.hash ^ w.hash) }

// updateLatencyP20 updates the online estimate of the 20th percentile of response latency.
func (r *Router) updateLatencyP20(result AttemptResult) {
	r.latencyP20 *= 1 + latencyP20Step
	if result.Outcome == Succeeded && (result.Latency < r.latencyP20 || r.latencyP20 == 0) {
		floor := latencyP20Floor * result.Latency
		r.latencyP20 = max(r.latencyP20/(1+latencyP20DownSteps*latencyP20Step), floor)
	}
}

// updateTargetReplicas updates the number of replicas that a function needs. With many front ends this cannot be derived
// from the own requests in flight, because each front end has hardly any.
func (r *Router) updateTargetReplicas(req *request, result AttemptResult) {
	fn := req.function
	switch {
	case r.deployment.GossipAllowed:
		r.recordResponses(fn, 1)
	case result.Outcome == Rejected || classifyLatency(req.class, result.Latency) == lateResponse:
		fn.targetReplicas *= targetReplicasGrowth
	case classifyLatency(req.class, result.Latency) == earlyResponse:
		fn.targetReplicas = max(fn.targetReplicas*targetReplicasDecay, 1)
	}
	fn.targetReplicas = min(fn.targetReplicas, float64(len(r.workers)))
}

// recordResponses adds to a function's response rate and, with many front ends, derives its target replicas from it.
// The 20th percentile of latency is used because it excludes queueing: otherwise an overloaded fleet would spread its
// functions over ever more workers until their replicas no longer fit.
func (r *Router) recordResponses(fn *function, responses float64) {
	fn.responseRate += responses / rateAveragingSeconds
	if r.hasManyFrontEnds() {
		inUse := fn.responseRate * float64(r.latencyP20) * concurrencyHeadroom
		fn.targetReplicas = max(inUse/float64(fn.concurrency), 1)
	}
}

// decayResponseRates decays the response rates of all functions over the elapsed time.
func (r *Router) decayResponseRates(elapsed units.Seconds) {
	for _, fn := range r.functions {
		fn.responseRate *= 1 - min(float64(elapsed/rateAveragingSeconds), 1)
	}
}
