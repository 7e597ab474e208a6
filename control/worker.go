package control

import "streamcleat/internal/units"

// worker holds the router's view of one endpoint. Removed endpoints keep their slot until it is reused.
type worker struct {
	index     int // slot in Router.workers
	id        WorkerID
	hash      uint64
	state     EndpointState
	weight    float64
	startedAt units.Seconds
	address   string
	process   *process // that messages to the worker reach
	// certainProcess is the process that the earlier connections reach, while it is uncertain whether process is the same one;
	// nil otherwise.
	certainProcess *process
	machine        *machineStats // nil until the worker is first listed as serving or draining

	inFlight         []*request // attempts of this front end
	lastResponseAt   units.Seconds
	concurrencyLimit float64 // maximum number of own requests in flight
	limitDecreasedAt units.Seconds
	reportedLoad     float64 // requests of other front ends, by load reports and gossip; -1 if unknown
	relativeLatency  float64 // long-run average of latency over the median of its function
	ejectedUntil     units.Seconds
	loadBackoffUntil units.Seconds // no load commands are sent before this time

	lease workerLease

	functions     []*function // with a replica on the worker, loaded or not
	slowFunctions []*function // of these, the ones whose replica is slow
	pendingLoads  []*function // whose pending load is on the worker, in the order of their first requests

	grantedCredits float64 // slow start credits granted since the process started
	usedCredits    float64
}

// machineStats holds the throughput that this front end has observed on warm workers of one machine type.
type machineStats struct {
	machineType MachineType
	successes   float64 // successful attempts since the last tick
	rate        float64 // moving average of successful attempts per worker and second
	peakRate    float64 // maximum of rate
	warmWorkers float64 // serving workers past their warm-up at the last tick
}

// resetLimits restores the concurrency limit and clears ejection, load backoff and slow start credits.
func (w *worker) resetLimits(concurrencyLimit float64) {
	w.concurrencyLimit = concurrencyLimit
	w.ejectedUntil = 0
	w.loadBackoffUntil = 0
	w.grantedCredits = 0
	w.usedCredits = 0
}
