package fakes

import (
	"time"

	"streamcleat/internal/verification/invariants"
)

// overloadAllowance is the number of requests in excess of its limit that a cold worker survives.
const overloadAllowance = 2

// capacityFraction returns the fraction of its full capacity that the worker has now. It rises linearly from
// InitialCapacityFraction to 1 over WarmUpTime after a cold start. The caller must hold the lock.
func (w *Worker) capacityFraction() float64 {
	age := time.Since(w.startedAt).Seconds()
	if !w.cold || age >= w.config.WarmUpTime {
		return 1
	}
	return w.config.InitialCapacityFraction + (1-w.config.InitialCapacityFraction)*age/w.config.WarmUpTime
}

// countArrival counts a request that arrives at a cold worker. If the requests within OverloadWindow exceed the worker's
// limit, it crashes the worker and returns false. The caller must hold the lock.
func (w *Worker) countArrival() bool {
	if w.capacityFraction() >= 1 || w.config.OverloadFactor == 0 {
		return true
	}
	now := time.Now()
	w.arrivals = append(w.arrivals, now)
	for now.Sub(w.arrivals[0]) > seconds(w.config.OverloadWindow) {
		w.arrivals = w.arrivals[1:]
	}
	capacity := float64(w.config.Cores) * w.config.Speed * w.capacityFraction() * w.config.OverloadWindow
	if float64(len(w.arrivals)-overloadAllowance)*w.config.MeanWork <= w.config.OverloadFactor*capacity {
		return true
	}
	w.config.Recorder.Add(invariants.Record{Kind: invariants.WorkerOverloaded, Worker: w.config.Name})
	w.crash()
	return false
}
