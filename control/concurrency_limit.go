package control

// Concurrency limit: own requests in flight on each worker, by additive increase and multiplicative decrease.

const (
	initialConcurrencyLimit = 12.0 // requests in flight on a worker at first, divided among the front ends
	minConcurrencyLimit     = 1.0  // so that the recovery of a worker is seen
	limitIncrease           = 0.3  // for an early answer while the limit is used, divided likewise
	usedLimitFraction       = 0.5  // of the limit, above which requests in flight use it
	limitDecreaseFactor     = 0.75 // kept after a late answer
	earlyLatencyFraction    = 0.5  // of the latency objective, below which an answer is early
	lateLatencyFraction     = 0.6  // of the latency objective, above which an answer is late
	stalledLatencyRatio     = 6.0  // median latencies after which a request is stalled, if loads are slow
)

func isEarly(class *RequestClass, latency float64) bool {
	return latency < earlyLatencyFraction*class.LatencyObjective
}

func isLate(class *RequestClass, latency float64) bool {
	return latency > lateLatencyFraction*class.LatencyObjective
}

func (r *Router) initialLimit() float64 { return r.perFrontEnd(initialConcurrencyLimit) }

// updateConcurrencyLimit adapts the limit of a request's worker. One decrease counts for all requests sent
// before it, and a single request is no sign of a queue.
func (r *Router) updateConcurrencyLimit(req *request, late, early bool) {
	w := req.worker
	inFlight := float64(len(w.inFlight)) + 1
	switch {
	case late && inFlight > 1 && req.sentAt > w.limitDecreasedAt:
		w.concurrencyLimit = max(min(w.concurrencyLimit, inFlight)*limitDecreaseFactor, minConcurrencyLimit)
		w.limitDecreasedAt = r.now
	case early && inFlight > usedLimitFraction*w.concurrencyLimit:
		w.concurrencyLimit += r.perFrontEnd(limitIncrease)
	}
}

// hasCapacity tells whether a worker is under its limit and not ejected. Requests that wait for a load there
// use none of its cores and do not count.
func (r *Router) hasCapacity(w *worker) bool {
	running := 0
	for _, req := range w.inFlight {
		waitsForLoad := req.awaitsLoad && req.function.pendingLoadOn == w
		if !waitsForLoad && !r.isStalled(req, w) {
			running++
		}
	}
	return w.ejectedUntil <= r.now && float64(running) < w.concurrencyLimit
}

// isStalled tells whether a request surely waits for a load, on a worker that still answers others: a slow
// store must not close its workers.
func (r *Router) isStalled(req *request, w *worker) bool {
	if r.loadSlowdown <= maxNormalLoadSlowdown || r.now-w.lastAnswerAt >= tickSeconds {
		return false
	}
	age := r.now - req.sentAt
	if req.awaitsLoad {
		return age > 0
	}
	return age > stalledLatencyRatio*req.function.medianLatency*max(w.relativeLatency, 1)
}
