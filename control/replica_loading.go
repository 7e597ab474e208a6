package control

// Replica loading: when a replica is loaded and on which worker, and which loads are waited for.

const (
	maxLoadWaits            = 3     // loads that a request waits for, against one whose function fits nowhere
	loadPauseSeconds        = 2.5   // between loads beside a replica in use, against a jam of loads
	loadPausePerLossSeconds = 120.0 // added for each unit of the replica loss rate, the sign of a full fleet
	replicaLossWeight       = 0.02  // weight of the newest attempt in that rate
	loadSlowdownWeight      = 0.2   // weight of the newest load in the load slowdown
	maxNormalLoadSlowdown   = 1.3   // above it the store is overloaded, and no load skips the pause
	loadArrivalRounds       = 4.0   // rounds after which a load command has surely arrived
	lostLoadRatio           = 3.0   // usual load times after which a silent worker lost the load
	minUsualLoadSeconds     = 1.0   // least usual load time in that, also where none is told
	noLoadsSeconds          = 0.5   // without loads for a worker that rejected one or was unreachable
)

// loadMissingReplica loads a replica, one at a time. Beside replicas in use it keeps the pause, unless none
// can take the request while loads take about their usual time.
func (r *Router) loadMissingReplica(req *request, missing int, unserved bool) {
	fn := req.function
	if fn.pendingLoadOn != nil || req.loadWaits >= maxLoadWaits {
		return
	}
	paused := r.now < fn.loadPauseUntil && r.hasReplicaInUse(fn)
	skipsPause := unserved && r.loadSlowdown > 0 && r.loadSlowdown < maxNormalLoadSlowdown
	if paused && !skipsPause || !r.mayCommandLoad() {
		return
	}
	target := r.pickLoadTarget(req, missing)
	if target != nil && (!paused || !r.isBusy(target)) {
		r.commandLoad(fn, target)
	}
}

// hasReplicaInUse tells whether a warm replica is on a worker that is not ejected, with capacity or without.
func (r *Router) hasReplicaInUse(fn *function) bool {
	for i := range fn.replicas {
		rep := &fn.replicas[i]
		if r.isWarm(rep) && rep.worker.state == Serving && rep.worker.ejectedUntil <= r.now {
			return true
		}
	}
	return false
}

// mayCommandLoad tells whether the ration of load commands leaves one.
func (r *Router) mayCommandLoad() bool {
	if !r.deployment.LoadCommandsAllowed || r.deployment.LoadCommandWindow <= 0 {
		return r.deployment.LoadCommandsAllowed
	}
	r.requestTimes = r.timesWithin(r.requestTimes, r.deployment.LoadCommandWindow)
	r.loadCommandTimes = r.timesWithin(r.loadCommandTimes, r.deployment.LoadCommandWindow)
	requests, commands := float64(len(r.requestTimes)), float64(len(r.loadCommandTimes)+1)
	return commands <= r.deployment.LoadCommandAllowance+r.deployment.LoadCommandsPerRequest*requests
}

// pickLoadTarget returns the first worker in rendezvous order that is not busy, else the least-loaded one.
// When several replicas are missing it picks among as many, so that front ends do not load one after another.
func (r *Router) pickLoadTarget(req *request, missing int) *worker {
	var candidates, notBusy []*worker
	for _, w := range r.rendezvousOrder(req) {
		if w.noLoadsUntil > r.now || r.isWarm(req.function.replicaOn(w)) {
			continue
		}
		if !r.hasCapacity(w) || !r.isEligible(req, w) {
			continue
		}
		candidates = append(candidates, w)
		if r.isBusy(w) || w == req.worker {
			continue
		}
		notBusy = append(notBusy, w)
		if len(notBusy) >= missing {
			break
		}
	}
	if len(notBusy) == 0 {
		return r.leastLoaded(candidates)
	}
	return notBusy[r.random.below(len(notBusy))]
}

func (r *Router) commandLoad(fn *function, w *worker) {
	fn.pendingLoadOn = w
	fn.loadSentAt = r.now
	fn.loadPauseUntil = r.now + loadPauseSeconds + loadPausePerLossSeconds*r.replicaLossRate
	r.loadCommandTimes = append(r.timesWithin(r.loadCommandTimes, r.deployment.LoadCommandWindow), r.now)
	r.host.LoadReplicas(w.id, fn.id, 1)
}

// waitForPendingLoad is the rule while the function is being loaded. Once the command has surely arrived, the
// request goes to that worker; before, it waits for the result, if that can come in time.
func (r *Router) waitForPendingLoad(req *request) bool {
	fn, w := req.function, req.function.pendingLoadOn
	if w == nil || req.loadWaits >= maxLoadWaits {
		return false
	}
	hasArrived := r.now-fn.loadSentAt > loadArrivalRounds*r.deployment.MinRoundInterval
	if hasArrived && r.isEligible(req, w) && r.hasCapacity(w) && w != req.worker {
		return r.startAttempt(req, w)
	}
	if r.now+r.remainingLoadTime(fn) > req.deadline {
		return false
	}
	req.loadWaits++
	fn.waiters = append(fn.waiters, req)
	return true
}

// remainingLoadTime is the expected rest of the pending load; when overdue, as long as it has taken.
func (r *Router) remainingLoadTime(fn *function) float64 {
	elapsed := r.now - fn.loadSentAt
	if remaining := fn.loadTime*max(r.loadSlowdown, 1) - elapsed; remaining > 0 {
		return remaining
	}
	return elapsed
}

// sendToLoadOnMiss is the rule where workers load what they are sent: when no load command may be sent, the
// request goes to the worker that would have got it.
func (r *Router) sendToLoadOnMiss(req *request) bool {
	mustLoadOnMiss := !r.deployment.NoLoadOnMiss && !r.mayCommandLoad()
	return mustLoadOnMiss && r.startAttempt(req, r.pickLoadTarget(req, 1))
}

// abandonLostLoads is the rule for loads on a worker that drains, left or is silent, and ejects the silent
// one. One that answers other requests has a slow store, which one more load elsewhere would slow further.
func (r *Router) abandonLostLoads(w *worker) bool {
	abandoned := false
	for _, fn := range r.functions {
		if fn.pendingLoadOn != w {
			continue
		}
		silentFor := r.now - max(fn.loadSentAt, w.lastAnswerAt)
		isLost := silentFor > lostLoadRatio*max(fn.loadTime, minUsualLoadSeconds)
		if isLost {
			r.eject(w, maxEjectedFraction)
		}
		if isLost || w.state != Serving {
			r.endPendingLoad(fn)
			abandoned = true
		}
	}
	return abandoned
}

// OnLoadResult takes the answer to a load command: how many replicas the worker holds and how long it took.
func (r *Router) OnLoadResult(now float64, result LoadResult) {
	r.now = now
	w, known := r.workersByID[result.Worker]
	fn := r.functionsByID[result.Function]
	if fn == nil || !known {
		return
	}
	if fn.loadTime > 0 && result.Duration > tickSeconds {
		r.loadSlowdown += loadSlowdownWeight * (result.Duration/fn.loadTime - r.loadSlowdown)
	}
	if result.Replicas > 0 {
		fn.ensureReplica(w).markWarm(now)
		if result.Duration < tickSeconds && r.isLargeFleet() { // it was there already, so the store had no work
			fn.loadPauseUntil = now
		}
	} else if result.Outcome == Rejected || result.Outcome == Unreachable || result.Outcome == ConnectionLost {
		w.noLoadsUntil = now + noLoadsSeconds // or a dead worker, first in order, is asked again and again
	}
	w.lastAnswerAt = now
	if fn.pendingLoadOn == w {
		r.endPendingLoad(fn)
	}
	r.applyRules()
}

// Preload loads a function that will be requested soon, as by a timer, if no replica can take the request and
// the ration allows a load. It reports whether it sent a load command.
func (r *Router) Preload(now float64, in Request) bool {
	r.now = now
	req := &request{Request: in, function: r.functionOf(in), class: &RequestClass{}}
	serving, _ := r.pickReplica(req, false)
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

// updateReplicaLossRate follows how often a replica that was believed warm was gone.
func (r *Router) updateReplicaLossRate(result AttemptResult) {
	if result.Outcome == ReplicaMissing || result.Start == ColdStart {
		r.replicaLossRate += replicaLossWeight
	}
	r.replicaLossRate *= 1 - replicaLossWeight
}
