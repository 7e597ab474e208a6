package control

import (
	"math"

	"streamcleat/internal/units"
)

// Router makes the routing decisions of one front end from its own view of the fleet. It is not safe for concurrent
// use.
type Router struct {
	deployment *Deployment
	host       Host
	now        units.Seconds
	lastTickAt units.Seconds
	random     multiplyWithCarry

	requests          map[RequestID]*request // open or with an attempt in flight
	requestsByTimerID map[uint64]*request
	lastTimerID       uint64
	pending           []*request // requests to which the request rules are to be applied, in order

	functions         []*function // in the order of their first requests, with those removed since the last tick
	lastFunction      uint64      // sequence of the function that was added last
	latestFunction    *function   // requested last; it may have been removed as unused
	unused            []*function // see queueIfUnused
	functionsByID     map[FunctionID]*function
	functionsByDigest map[uint16]*function // by the digest used in gossip messages

	workers          []*worker // a slot is reused after its worker is removed
	workersByID      map[WorkerID]*worker
	workersByDigest  map[uint32]*worker // by the digest used in gossip messages
	machines         []*machineStats
	endpointVersion  int // incremented by each endpoint update
	endpointRulesDue bool
	discovery        discoveryLease
	renewalCredits   float64
	// queriesShowDrains is set once a worker that is known to drain has rejected a query. While it is set, an accepted
	// query confirms the lease of its worker.
	queriesShowDrains   bool
	startedAt           units.Seconds
	confirmationRequest confirmationRequest
	firstContact        int // slot of the first worker that is queried early

	meanLoadsUpdatedAt units.Seconds
	meanLoad           float64 // mean load of the serving workers
	meanReportedLoad   float64 // mean reported load of the serving workers that have one

	requestTimes        []units.Seconds      // arrivals within the load command window
	countedLoadCommands []countedLoadCommand // load commands sent within the load command window
	replicaMissRate     float64              // moving average of the fraction of attempts that found no loaded replica
	loadSlowdown        float64              // moving average of load duration over expected load time; 0 while unknown

	admissionProbability float64       // probability of admitting a new request; values above 1 are a reserve
	latencyP20           units.Seconds // 20th percentile of response latency, estimated online
	gossipCredits        float64       // responses that gossip has not yet reported
}

// New returns a Router. Its decisions are deterministic: equal seeds and inputs produce equal decisions.
func New(deployment *Deployment, seed uint64, host Host, now units.Seconds) *Router {
	return &Router{
		deployment:           deployment,
		host:                 host,
		now:                  now,
		lastTickAt:           now,
		startedAt:            now,
		random:               newMultiplyWithCarry(seed),
		lastTimerID:          pollTimer,
		requests:             map[RequestID]*request{},
		requestsByTimerID:    map[uint64]*request{},
		functionsByID:        map[FunctionID]*function{},
		functionsByDigest:    map[uint16]*function{},
		workersByID:          map[WorkerID]*worker{},
		workersByDigest:      map[uint32]*worker{},
		admissionProbability: maxAdmissionProbability,
		firstContact:         int(seed & math.MaxInt32),
	}
}

// pruneTimes removes the times older than window from times, which are in ascending order, and returns the rest.
func (r *Router) pruneTimes(times []units.Seconds, window units.Seconds) []units.Seconds {
	expired := 0
	for expired < len(times) && times[expired] <= r.now-window {
		expired++
	}
	return times[expired:]
}

// meanOverServing returns the mean over the serving workers for which value reports a known value.
func (r *Router) meanOverServing(value func(w *worker) (float64, bool)) float64 {
	sum, count := 0.0, 0.0
	for _, w := range r.workers {
		if v, known := value(w); known && w.state == Serving {
			sum += v
			count++
		}
	}
	return sum / max(count, 1)
}

// ejectedFraction returns the fraction of the serving workers that are ejected.
func (r *Router) ejectedFraction() float64 {
	return r.meanOverServing(func(w *worker) (float64, bool) {
		if w.ejectedUntil > r.now {
			return 1, true
		}
		return 0, true
	})
}

// updateMeanLoads recomputes the mean loads unless they were computed at the current time already. The mean reported
// load comes first because load substitutes it for workers without a report.
func (r *Router) updateMeanLoads() {
	if r.meanLoadsUpdatedAt == r.now {
		return
	}
	r.meanLoadsUpdatedAt = r.now
	r.meanReportedLoad = r.meanOverServing(func(w *worker) (float64, bool) {
		return w.reportedLoad, w.reportedLoad >= 0
	})
	r.meanLoad = r.meanOverServing(func(w *worker) (float64, bool) { return r.load(w), true })
}

// perFrontEnd returns this front end's share of a fleet-wide amount.
func (r *Router) perFrontEnd(total float64) float64 { return total / float64(r.deployment.FrontEnds) }
