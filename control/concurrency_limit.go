package control

import "streamcleat/internal/units"

// Concurrency limit: the maximum number of own requests in flight on each worker, adapted by additive increase and
// multiplicative decrease (AIMD).

const (
	initialConcurrencyLimit = 12.0 // initial limit of a worker, divided among the front ends
	minConcurrencyLimit     = 1.0  // one request, so that the recovery of a worker can be observed
	limitIncrease           = 0.3  // increment after an early response, divided among the front ends
	usedLimitFraction       = 0.5  // fraction of the limit that must be in flight for the limit to grow
	limitDecreaseFactor     = 0.75 // factor after a late response
	earlyLatencyFraction    = 0.5  // fraction of the latency objective below which a response is early
	lateLatencyFraction     = 0.6  // fraction of the latency objective above which a response is late
	stalledLatencyRatio     = 6.0  // multiple of the median latency after which a request is stalled while loads are slow
)

// responseTiming classifies a latency against the latency objective.
type responseTiming int

const (
	onTimeResponse responseTiming = iota // neither early nor late
	earlyResponse
	lateResponse
)

// classifyLatency classifies a latency against the latency objective of class.
func classifyLatency(class *RequestClass, latency units.Seconds) responseTiming {
	switch {
	case latency > lateLatencyFraction*class.LatencyObjective:
		return lateResponse
	case latency < earlyLatencyFraction*class.LatencyObjective:
		return earlyResponse
	default:
		return onTimeResponse
	}
}

// initialLimitPerFrontEnd returns this front end's share of a worker's initial limit.
func (r *Router) initialLimitPerFrontEnd() float64 { return r.perFrontEnd(initialConcurrencyLimit) }

// updateConcurrencyLimit adapts the limit of the worker of req to the timing of a response. Late responses to requests sent
// before the last decrease cause no further one. A late response to the only request in flight does not indicate queueing.
func (r *Router) updateConcurrencyLimit(req *request, timing responseTiming) {
	w := req.worker
	inFlight := float64(len(w.inFlight)) + 1
	switch {
	case timing == lateResponse && inFlight > 1 && req.attemptStartedAt > w.limitDecreasedAt:
		w.concurrencyLimit = max(min(w.concurrencyLimit, inFlight)*limitDecreaseFactor, minConcurrencyLimit)
		w.limitDecreasedAt = r.now
	case timing == earlyResponse && inFlight > usedLimitFraction*w.concurrencyLimit:
		w.concurrencyLimit += r.perFrontEnd(limitIncrease)
	}
}

// hasCapacity reports whether w is below its concurrency limit and not ejected. Requests that wait for a load on w are not
// counted, because they occupy none of its cores.
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

// isStalled reports whether a request in flight on w is presumably waiting for a load, because loads are slow and w still
// responds to other requests. Such requests are not counted, so that a slow artifact store does not exhaust the limits of
// the workers.
func (r *Router) isStalled(req *request, w *worker) bool {
	if r.loadSlowdown <= maxNormalLoadSlowdown || r.now-w.lastResponseAt >= tickSeconds {
		return false
	}
	age := r.now - req.attemptStartedAt
	if req.awaitsLoad {
		return age > 0
	}
	return age > stalledLatencyRatio*req.function.medianLatency*units.Seconds(max(w.relativeLatency, 1))
}
