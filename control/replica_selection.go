package control

import (
	"cmp"
	"math"
	"slices"
)

// Replica selection: which replica serves a request, and how many replicas share a function's requests.

const (
	overloadedInFlightRatio = 2.0   // own requests in flight over concurrency, for an overloaded replica
	busyLoadRatio           = 1.5   // load over the mean load above which, and
	busyLoadMargin          = 1.0   // requests more above which a worker is busy, as an idle fleet is uneven
	targetReplicasGrowth    = 1.5   // without gossip: factor on the target replicas after a late answer
	targetReplicasDecay     = 0.93  // without gossip: the same after an early answer
	concurrencyHeadroom     = 2.0   // with gossip: concurrency for each request that runs, against waiting
	lowLatencyStep          = 0.005 // relative step of the low latency, upwards for each answer
	lowLatencyDownSteps     = 5     // for an answer under it, so that the quickest fifth stay under it
	lowLatencyFloor         = 0.5   // of such an answer's latency, below which it does not fall
	rateAveragingSeconds    = 3.0   // span over which rates of answers are averaged
	minWorkerWeight         = 0.01  // lower bound of told weights, against division by zero
)

// sendToWarmReplica is the ordinary rule: a request goes to the least-loaded warm replica that is not
// overloaded, else to the least-loaded warm one. Where too few are not overloaded, another one is loaded.
func (r *Router) sendToWarmReplica(req *request) bool {
	preferred, missing := r.pickReplica(req, true)
	target := preferred
	if target == nil {
		target, _ = r.pickReplica(req, false)
	}
	if preferred == nil || missing > 0 {
		r.loadMissingReplica(req, missing, target == nil)
	}
	return r.startAttempt(req, target)
}

// pickReplica returns the least-loaded of the first workers with a warm replica in rendezvous order, as many
// as own requests in flight or the target call for: requests spread over all would keep each from idling out.
// It tells how many are missing. With strict, overloaded replicas are passed over.
func (r *Router) pickReplica(req *request, strict bool) (picked *worker, missing int) {
	fn := req.function
	target := int(math.Ceil(fn.targetReplicas))
	var candidates []*worker
	for _, w := range r.rendezvousOrder(req) {
		rep := fn.replicaOn(w)
		failedBefore := w == req.worker && len(candidates) > 0
		if !r.isWarm(rep) || failedBefore || !r.hasCapacity(w) || !r.isEligible(req, w) {
			continue
		}
		if strict && r.isOverloaded(fn, rep) {
			continue
		}
		candidates = append(candidates, w)
		if len(candidates) >= max(target, 1+fn.inFlight/fn.concurrency) {
			break
		}
	}
	return r.leastLoaded(candidates), target - len(candidates)
}

// isWarm tells whether a replica, which may be nil, is believed to be loaded.
func (r *Router) isWarm(rep *replica) bool {
	if rep == nil || !rep.warm {
		return false
	}
	return rep.inFlight > 0 || r.now < rep.lastSeenAt+r.deployment.IdleReplicaLifetime
}

func (r *Router) isOverloaded(fn *function, rep *replica) bool {
	isFull := float64(rep.inFlight) >= overloadedInFlightRatio*float64(fn.concurrency)
	return isFull || r.isSlow(fn, rep) || r.isBusy(rep.worker)
}

// isEligible tells whether a worker may get a request, which may go twice only where that is harmless.
func (r *Router) isEligible(req *request, w *worker) bool {
	if w.state != Serving || !r.hasSlowStartCredit(w) {
		return false
	}
	if !req.mayHaveRun || req.class.Semantics == Idempotent {
		return true
	}
	return isInScope(req.class.DeduplicationScope, w, req.firstRunOn) && r.isDeduplicated(req)
}

// load is how busy a worker is believed to be, for its weight; without a report its load counts as average.
func (r *Router) load(w *worker) float64 {
	reported := w.reportedLoad
	if reported < 0 {
		reported = r.meanReportedLoad
	}
	return (float64(len(w.inFlight)+1) + reported) / (w.weight * r.warmUpProgress(w, r.now))
}

func (r *Router) isBusy(w *worker) bool {
	return r.load(w) > busyLoadRatio*r.meanLoad+busyLoadMargin/w.weight
}

// leastLoaded returns the worker with the least load, a random one of several; nil for an empty list.
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

// rendezvousOrder lists the serving workers by rendezvous hashing: all front ends keep the replicas of a
// function on the same few workers. The worker of the request's last attempt comes last.
func (r *Router) rendezvousOrder(req *request) []*worker {
	fn := req.function
	if fn.rankedVersion != r.endpointVersion {
		r.rankWorkers(fn)
	}
	i := slices.Index(fn.ranked, req.worker)
	if i < 0 {
		return fn.ranked
	}
	return append(slices.Delete(slices.Clone(fn.ranked), i, i+1), req.worker)
}

func (r *Router) rankWorkers(fn *function) {
	fn.rankedVersion = r.endpointVersion
	fn.ranked = fn.ranked[:0]
	for _, w := range r.workers {
		if w.state == Serving {
			fn.ranked = append(fn.ranked, w)
		}
	}
	slices.SortFunc(fn.ranked, func(a, b *worker) int {
		return cmp.Compare(rendezvousWeight(fn, b), rendezvousWeight(fn, a))
	})
}

func rendezvousWeight(fn *function, w *worker) uint64 { return mixHash(fn.hash ^ w.hash) }

// updateLowLatency follows the latency that the quickest fifth of the answers stays under.
func (r *Router) updateLowLatency(result AttemptResult) {
	r.lowLatency *= 1 + lowLatencyStep
	if result.Outcome == Succeeded && (result.Latency < r.lowLatency || r.lowLatency == 0) {
		floor := lowLatencyFloor * result.Latency
		r.lowLatency = max(r.lowLatency/(1+lowLatencyDownSteps*lowLatencyStep), floor)
	}
}

// updateTargetReplicas follows how many replicas a function needs. Each of many front ends holds next to none
// of its requests, and by its own count one replica would always be enough.
func (r *Router) updateTargetReplicas(req *request, result AttemptResult) {
	fn := req.function
	switch {
	case r.deployment.GossipAllowed:
		r.countAnswers(fn, 1)
	case result.Outcome == Rejected || isLate(req.class, result.Latency):
		fn.targetReplicas *= targetReplicasGrowth
	case isEarly(req.class, result.Latency):
		fn.targetReplicas = max(fn.targetReplicas*targetReplicasDecay, 1)
	}
	fn.targetReplicas = min(fn.targetReplicas, float64(len(r.workers)))
}

// countAnswers notes answers in the fleet. Requests that wait do not count, or an overloaded fleet would
// spread its functions until none fits. Few front ends see enough by their own requests in flight.
func (r *Router) countAnswers(fn *function, answers float64) {
	fn.answerRate += answers / rateAveragingSeconds
	if r.isLargeFleet() {
		inUse := fn.answerRate * r.lowLatency * concurrencyHeadroom
		fn.targetReplicas = max(inUse/float64(fn.concurrency), 1)
	}
}

func (r *Router) decayAnswerRates(span float64) {
	for _, fn := range r.functions {
		fn.answerRate *= 1 - min(span/rateAveragingSeconds, 1)
	}
}
