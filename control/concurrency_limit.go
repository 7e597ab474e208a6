package control

import "streamcleat/internal/units"

// Concurrency limit: own requests in flight on each worker, by additive increase and multiplicative decrease.

const (
	initialConcurrencyLimit = 12.0 // initial limit of a worker, divided among the front ends
	minConcurrencyLimit     = 1.0  // allows the recovery of a worker to be observed
	limitIncrease           = 0.3  // increment after an early response, divided among the front ends
	usedLimitFraction       = 0.5  // fraction of the limit in flight above which it may grow
	limitDecreaseFactor     = 0.75 // factor after a late response
	earlyLatencyFraction    = 0.5  // fraction of the latency objective below which a response is early
	lateLatencyFraction     = 0.6  // fraction of the latency objective above which a response is late
	stalledLatencyRatio     = 6.0  // multiple of the median latency after which a request is stalled, if loads are slow
)

// responseTiming classifies a latency against the latency objective.
type responseTiming int

const (
	onTimeResponse responseTiming = iota // neither early nor late
	earlyResponse
	lateResponse
)

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

func (r *Router) initialLimitPerFrontEnd() float64 { return r.perFrontEnd(initialConcurrencyLimit) }

// updateConcurrencyLimit adapts the limit of the worker of req. One decrease covers all requests that were sent
// before it. The late response of a single request does not indicate queueing.
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

// hasCapacity reports whether w is below its concurrency limit and not ejected. Requests that wait for a load there
// occupy none of its cores and are not counted.
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

// isStalled reports whether a request in flight on w must be waiting for a load: loads are slow, and w still
// responds to others. A slow artifact store must not exhaust the limits of its workers.
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
