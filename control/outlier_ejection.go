package control

import "streamcleat/internal/units"

// Outlier ejection: workers that receive no requests for a time, because of high latency or a lost load.

const (
	slowLatencyRatio       = 2.0  // multiple of the function's median latency above which a replica is slow
	slowEvidenceSeconds    = 1.0  // span that slow responses must cover, and age at which a latency expires
	slowReplicasToEject    = 2    // slow replicas, each of another function, that eject a worker
	ejectionSeconds        = 2.0  // duration of an ejection
	maxEjectedFraction     = 0.4  // of the serving workers; with more outliers, ejection does harm
	maxSlowEjectedFraction = 0.05 // the same for slow workers; in an overload all are slow
	recentLatencyWeight    = 0.2  // weight of the newest latency, low because single requests may be heavy
	maxLatencyRatio        = 1.5  // multiple of the expected latency at which a latency is capped, likewise
	medianLatencyStep      = 1.05 // factor of the running median, which outliers move less than a mean
	relativeLatencyWeight  = 0.01 // weight of the newest latency in a worker's long-run relative latency
)

// ejectSlowWorker ejects a worker whose replicas of several functions are slow. Slow responses must cover the whole
// evidence span, because no further attempt may follow a single one.
func (r *Router) ejectSlowWorker(w *worker) bool {
	slow := 0
	for _, fn := range r.functions {
		rep := fn.replicaOn(w)
		if rep == nil || rep.slowSince <= 0 {
			continue
		}
		isLasting := rep.lastLatencyAt-rep.slowSince >= slowEvidenceSeconds
		if isLasting && r.now-rep.lastLatencyAt < slowEvidenceSeconds {
			slow++
		}
	}
	return slow >= slowReplicasToEject && w.ejectedUntil <= r.now && r.eject(w, maxSlowEjectedFraction)
}

// eject ejects w unless maxFraction of the serving workers is ejected already, and reports whether it did.
func (r *Router) eject(w *worker, maxFraction float64) bool {
	if r.ejectedFraction() >= maxFraction {
		return false
	}
	w.ejectedUntil = r.now + ejectionSeconds
	return true
}

// isSlow reports whether the recent latency of a replica is above the expected one. An idle replica, or one whose
// newest latency is old, is not slow: it would receive no attempt that could show otherwise.
func (r *Router) isSlow(fn *function, rep *replica) bool {
	isCurrent := rep.inFlight > 0 && r.now-rep.lastLatencyAt < slowEvidenceSeconds
	return isCurrent && rep.recentLatency > r.expectedLatency(fn, rep)
}

// expectedLatency returns the latency above which a replica is slow, given the long-run latency of its worker.
func (r *Router) expectedLatency(fn *function, rep *replica) units.Seconds {
	return slowLatencyRatio * fn.medianLatency * units.Seconds(max(rep.worker.relativeLatency, 1))
}

// updateLatency updates function, replica and worker with the latency of a warm response.
func (r *Router) updateLatency(fn *function, rep *replica, latency units.Seconds) {
	if fn.medianLatency == 0 {
		fn.medianLatency = latency
	}
	if rep.recentLatency == 0 {
		rep.recentLatency = min(latency, fn.medianLatency)
	}
	fn.medianLatency *= medianLatencyStep
	if latency < fn.medianLatency {
		fn.medianLatency /= medianLatencyStep * medianLatencyStep
	}
	capped := min(latency, maxLatencyRatio*r.expectedLatency(fn, rep))
	rep.recentLatency += recentLatencyWeight * (capped - rep.recentLatency)
	rep.lastLatencyAt = r.now
	w := rep.worker
	w.relativeLatency += relativeLatencyWeight * (float64(latency/fn.medianLatency) - w.relativeLatency)
	if rep.recentLatency <= r.expectedLatency(fn, rep) {
		rep.slowSince = 0
	} else if rep.slowSince == 0 {
		rep.slowSince = r.now
	}
}
