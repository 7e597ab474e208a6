package control

import "streamcleat/internal/units"

// Outlier ejection: workers with high latency or a lost load receive no requests for a time.

const (
	slowLatencyRatio       = 2.0  // multiple of the function's median latency above which a replica is slow
	slowEvidenceSeconds    = 1.0  // period that slow responses must cover, and age at which a latency expires
	slowReplicasToEject    = 2    // number of slow replicas, each of a different function, at which a worker is ejected
	ejectionSeconds        = 2.0  // duration of an ejection
	maxEjectedFraction     = 0.4  // of the serving workers; with more outliers, ejection does more harm than good
	maxSlowEjectedFraction = 0.05 // the same for slow workers, because all workers are slow in an overload
	recentLatencyWeight    = 0.2  // weight of the latest latency, low because single requests may be expensive
	maxLatencyRatio        = 1.5  // multiple of the expected latency at which a latency is capped, for the same reason
	medianLatencyStep      = 1.05 // step factor of the running median, which outliers affect less than a mean
	relativeLatencyWeight  = 0.01 // weight of the latest latency in a worker's long-run relative latency
)

// ejectSlowWorker ejects a worker whose replicas of several functions are slow. Slow responses must cover the whole
// evidence period: a single one is not enough, because no further attempt that could refute it may follow.
func (r *Router) ejectSlowWorker(w *worker) bool {
	slow := 0
	for _, fn := range w.slowFunctions {
		rep := fn.replicaOn(w)
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

// isSlow reports whether the recent latency of a replica exceeds the expected latency. An idle replica, or one whose latest
// sample is old, does not count as slow: it would receive no further attempt that could refute this.
func (r *Router) isSlow(fn *function, rep *replica) bool {
	isCurrent := rep.inFlight > 0 && r.now-rep.lastLatencyAt < slowEvidenceSeconds
	return isCurrent && rep.recentLatency > r.expectedLatency(fn, rep)
}

// expectedLatency returns the latency above which a replica is slow, scaled by the long-run relative latency of its worker.
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
	if isSlow := rep.recentLatency > r.expectedLatency(fn, rep); !isSlow && rep.slowSince > 0 {
		rep.slowSince = 0
		w.slowFunctions = without(w.slowFunctions, fn)
	} else if isSlow && rep.slowSince == 0 {
		rep.slowSince = r.now
		w.slowFunctions = append(w.slowFunctions, fn)
	}
}
