package control

import (
	"slices"

	"streamcleat/internal/units"
)

// Replica loading: when and on which worker a replica is loaded, and which requests wait for a load.

const (
	maxLoadWaits               = 3     // maximum number of loads that a request waits for, as its function may fit on no worker
	loadCooldownSeconds        = 2.5   // minimum time between loads of a function while a replica is in use
	loadCooldownPerMissSeconds = 120.0 // cooldown added per unit of the replica miss rate, which is high if the fleet is full
	replicaMissWeight          = 0.02  // weight of the latest attempt in the replica miss rate
	loadSlowdownWeight         = 0.2   // weight of the latest load in the load slowdown
	maxNormalLoadSlowdown      = 1.3   // above this the artifact store is overloaded, and no load skips the cooldown
	loadArrivalRounds          = 4.0   // rounds after which a load command has certainly arrived
	lostLoadRatio              = 3.0   // expected load times without any response after which a load is considered lost
	minExpectedLoadSeconds     = 1.0   // lower bound of the expected load time for lostLoadRatio, also used if it is unknown
	loadBackoffSeconds         = 0.5   // time without load commands after a worker has rejected one or was unreachable
)

// loadMissingReplica starts the load of a replica for the function of req, unless a load is pending. While a replica is in
// use the cooldown applies. It is skipped if no worker can serve req now and loads take about their expected time. serving
// is the worker whose replica can serve the request, or nil if there is none.
func (r *Router) loadMissingReplica(req *request, missing int, serving *worker) {
	fn := req.function
	if fn.pendingLoadOn != nil || req.loadWaits >= maxLoadWaits {
		return
	}
	coolingDown := r.now < fn.loadCooldownUntil && r.hasReplicaInUse(fn)
	skipsCooldown := serving == nil && r.loadSlowdown > 0 && r.loadSlowdown < maxNormalLoadSlowdown
	if coolingDown && !skipsCooldown || !r.mayCommandLoad() {
		return
	}
	target := r.pickLoadTarget(req, missing)
	if target != nil && (!coolingDown || !r.isBusy(target)) {
		r.commandLoad(fn, target)
	}
}

// hasReplicaInUse reports whether there is a warm replica on a serving worker that is not ejected, even if that worker has
// no capacity.
func (r *Router) hasReplicaInUse(fn *function) bool {
	for i := range fn.replicas {
		rep := &fn.replicas[i]
		isUsable := rep.worker.state == Serving && r.mayUse(rep.worker) && rep.worker.ejectedUntil <= r.now
		rejectsNow := !r.hasManyFrontEnds() && rep.worker.lease.rejectedAt > rep.worker.lease.acceptedAt
		if r.isWarm(rep) && isUsable && !rejectsNow {
			return true
		}
	}
	return false
}

// pickLoadTarget returns the first worker in rendezvous order that is not busy or, if all are busy, the least-loaded one.
// If several replicas are missing it picks at random among that many workers, so that front ends load them concurrently
// rather than one after another.
func (r *Router) pickLoadTarget(req *request, missing int) *worker {
	var candidates, notBusy []*worker
	for _, w := range r.candidateOrder(req) {
		if w.loadBackoffUntil > r.now || r.isWarm(req.function.replicaOn(w)) {
			continue
		}
		if !r.hasCapacity(w) || !r.isEligible(req, w) {
			continue
		}
		candidates = append(candidates, w)
		if r.isBusy(w) || w == req.worker || req.wasRejectedBy(w) {
			continue
		}
		notBusy = append(notBusy, w)
		if len(notBusy) >= missing && r.isDiscoveryAvailable() {
			break
		}
	}
	if len(notBusy) == 0 {
		return r.leastLoaded(r.preferredCandidates(req, candidates))
	}
	preferred := r.preferredCandidates(req, notBusy)
	preferred = preferred[:min(len(preferred), max(missing, 1))]
	return preferred[r.random.below(len(preferred))]
}

// commandLoad starts the load of fn on w. If w holds no lease, the load command is deferred until the lease is confirmed.
func (r *Router) commandLoad(fn *function, w *worker) {
	r.setPendingLoad(fn, w)
	fn.loadCommandedAt = r.now
	fn.loadCooldownUntil = r.now + loadCooldownSeconds + units.Seconds(loadCooldownPerMissSeconds*r.replicaMissRate)
	if fn.loadAwaitsLease = !r.holdsLease(w); fn.loadAwaitsLease {
		r.queryWorker(w, fn)
		return
	}
	r.sendLoadCommand(fn, w)
}

// sendLoadCommand sends the load command for fn to w and counts it towards the quota.
func (r *Router) sendLoadCommand(fn *function, w *worker) {
	fn.loadCommandedAt, fn.loadCommandedTo = r.now, w.process
	r.countLoadCommand(w.id, fn.id)
	r.host.LoadReplicas(w.id, fn.id, 1)
}

// waitForPendingLoad handles a request whose function is being loaded. Once the load command has certainly arrived, the
// request is sent to the loading worker. Before that it waits for the result, provided that the load is expected to
// complete before the deadline.
func (r *Router) waitForPendingLoad(req *request) bool {
	fn, w := req.function, req.function.pendingLoadOn
	if w == nil || req.loadWaits >= maxLoadWaits {
		return false
	}
	hasArrived := !fn.loadAwaitsLease && r.now-fn.loadCommandedAt > loadArrivalRounds*r.deployment.MinRoundInterval
	mayServe := r.isEligible(req, w) && r.hasCapacity(w) && w != req.worker && !req.wasRejectedBy(w)
	if hasArrived && mayServe && r.holdsLease(w) {
		return r.startAttempt(req, w)
	}
	if r.now+r.remainingLoadTime(fn) > req.deadline {
		return false
	}
	req.loadWaits++
	fn.waiters = appendWaiter(fn.waiters, req)
	return true
}

// remainingLoadTime returns the expected remaining time of the pending load. An overdue load is expected to take as long
// again as it has already taken.
func (r *Router) remainingLoadTime(fn *function) units.Seconds {
	elapsed := r.now - fn.loadCommandedAt
	if remaining := fn.loadTime*units.Seconds(max(r.loadSlowdown, 1)) - elapsed; remaining > 0 {
		return remaining
	}
	return elapsed
}

// sendToLoadOnMiss handles a request for which no load command may be sent, in a deployment whose workers load missing
// replicas themselves. It sends the request to the worker that would have received the load command.
func (r *Router) sendToLoadOnMiss(req *request) bool {
	mustLoadOnMiss := !r.deployment.NoLoadOnMiss && !r.mayCommandLoad()
	return mustLoadOnMiss && r.startAttempt(req, r.pickLoadTarget(req, 1))
}

// abandonLostLoads abandons pending loads on a worker that is draining, removed or unresponsive, and ejects it if it is
// unresponsive. A worker that still responds to other requests is waiting for a slow artifact store, which another load
// elsewhere would only slow down further.
func (r *Router) abandonLostLoads(w *worker) bool {
	abandoned := false
	for _, fn := range slices.Clone(w.pendingLoads) {
		unresponsiveFor := r.now - max(fn.loadCommandedAt, w.lastResponseAt)
		isLost := unresponsiveFor > lostLoadRatio*max(fn.loadTime, minExpectedLoadSeconds)
		if isLost {
			r.eject(w, maxEjectedFraction)
		}
		if isLost || w.state != Serving || r.hasRejected(w) {
			r.clearPendingLoad(fn)
			abandoned = true
		}
	}
	return abandoned
}

// OnLoadResult handles the result of a load command.
func (r *Router) OnLoadResult(now units.Seconds, result LoadResult) {
	r.advance(now)
	w, known := r.workersByID[result.Worker]
	fn := r.functionsByID[result.Function]
	if fn == nil || !known {
		return
	}
	if fn.loadTime > 0 && result.Duration > tickSeconds {
		r.loadSlowdown += loadSlowdownWeight * (float64(result.Duration/fn.loadTime) - r.loadSlowdown)
	}
	var sentTo *process // nil: of an abandoned load
	if fn.pendingLoadOn == w {
		sentTo = fn.loadCommandedTo
	}
	r.onReply(w, sentTo, now-result.Duration, result.Outcome)
	r.updateLeaseFromLoad(w, fn, result)
	if result.Replicas > 0 {
		fn.ensureReplica(w).markWarm(now)
		if result.Duration < tickSeconds && r.hasManyFrontEnds() {
			fn.loadCooldownUntil = now // the replica was loaded already, which put no load on the artifact store
		}
	} else if result.Outcome == Rejected || result.Outcome == Unreachable || result.Outcome == ConnectionLost {
		// Without backoff, an unreachable worker that is first in rendezvous order would receive every further load command.
		w.loadBackoffUntil = now + loadBackoffSeconds
	}
	w.lastResponseAt = now
	if fn.pendingLoadOn == w {
		r.clearPendingLoad(fn)
	}
	r.applyRules()
}

// Preload loads a replica of a function that is about to be requested, unless a replica can serve the request, a load is
// pending or the quota is exhausted. It reports whether it started a load.
func (r *Router) Preload(now units.Seconds, in Request) bool {
	r.advance(now)
	req := &request{Request: in, function: r.functionOf(in), class: &RequestClass{}}
	serving, _ := r.pickReplica(req, includeOverloaded)
	var target *worker
	if serving == nil && req.function.pendingLoadOn == nil && r.mayCommandLoad() {
		target = r.pickLoadTarget(req, 1)
	}
	if target != nil {
		r.commandLoad(req.function, target)
	}
	r.applyRules()
	return target != nil
}

// updateReplicaMissRate updates the moving average of the fraction of attempts that found no loaded replica.
func (r *Router) updateReplicaMissRate(result AttemptResult) {
	if result.Outcome == ReplicaMissing || result.Start == ColdStart {
		r.replicaMissRate += replicaMissWeight
	}
	r.replicaMissRate *= 1 - replicaMissWeight
}
