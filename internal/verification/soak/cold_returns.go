package soak

import (
	"math/rand/v2"
	"time"
)

// Settings of runs with Settings.ColdReturns: workers that terminate without a report and return cold, at front ends that are
// not connected to all of them.

const (
	// coldReturnWork is the mean work of a request: long enough that a cold worker can't take what a warm one takes.
	coldReturnWork = 100 * time.Millisecond
	// coldReturnWarmUpTime and coldReturnInitialCapacity are as long and as little as the platform's deployments have them.
	coldReturnWarmUpTime      = 15 * time.Second
	coldReturnInitialCapacity = 0.15
	// functionsInUse is the number of functions that clients request at a time, and functionUse the time until others follow.
	// Front ends close the connections to workers of the earlier ones when these are idle.
	functionsInUse = 2
	functionUse    = 4 * time.Second
	// maxTerminated is the maximum number of workers that terminate together.
	maxTerminated = 4
	// minAbsence and maxAbsence bound the time from the end of a process to the start of the next one at its address.
	minAbsence = 5 * time.Second
	maxAbsence = 8 * time.Second
)

// meanWork returns the mean work of a request.
func (s *Settings) meanWork() time.Duration {
	if s.ColdReturns {
		return coldReturnWork
	}
	return defaultMeanWork
}

// warmUpTime returns the time from the start of a worker until it has its full capacity.
func (s *Settings) warmUpTime() time.Duration {
	if s.ColdReturns {
		return coldReturnWarmUpTime
	}
	return defaultWarmUpTime
}

// initialCapacity returns the fraction of its capacity that a worker has when it starts.
func (s *Settings) initialCapacity() float64 {
	if s.ColdReturns {
		return coldReturnInitialCapacity
	}
	return defaultInitialCapacity
}

// nextFunction returns the function of the next request.
func (h *harness) nextFunction(random *rand.Rand) int {
	if !h.settings.ColdReturns {
		return random.IntN(functionCount)
	}
	first := int(time.Since(h.startedAt)/functionUse) * functionsInUse
	return (first + random.IntN(functionsInUse)) % functionCount
}

// faultsWithColdReturns are the kinds of fault that are injected concurrently with outages.
var faultsWithColdReturns = []fault{
	{"cold-return", (*harness).returnCold},
	{"cold-return", (*harness).returnCold},
	{"drain", (*harness).drainAndReactivate},
	{"restart", (*harness).restartFrontEnds},
}

// returnCold terminates some workers without a report. A cold process of the same name follows each at its address, and is the
// first that the endpoint list reports of it.
func (h *harness) returnCold(random *rand.Rand) {
	var terminated []*worker
	for range 1 + random.IntN(maxTerminated) {
		if w := h.takeWorker(random); w != nil {
			h.logFault(w.name + " terminates")
			w.crash()
			terminated = append(terminated, w)
		}
	}
	time.Sleep(minAbsence + time.Duration(random.Int64N(int64(maxAbsence-minAbsence))))
	for _, w := range terminated {
		next, err := h.startWorker(w.name, w.addresses)
		if err != nil {
			h.violate("harness", "%v", err)
			return
		}
		h.logFault(w.name + " returns cold")
		h.mu.Lock()
		h.workers = append(h.workers, next)
		h.mu.Unlock()
		h.discovery.add(next, stateActive, next.startedAt.UnixMilli())
	}
}
