package control

import "streamcleat/internal/units"

// workerCondition is a fault of a simulated worker.
type workerCondition int

const (
	healthy workerCondition = iota
	unresponsive
	failing
	rejecting
	partitioned
	disconnecting
	notSending
	slow
	notLoading
	conditionCount
)

// goldenWorker is a simulated worker of the golden fleet.
type goldenWorker struct {
	goldenEndpoint
	condition       workerCondition
	coresFreeAt     []units.Seconds
	replicasReadyAt map[string]units.Seconds // by function
}

func (w *goldenWorker) utilization(now units.Seconds) (running, waiting float64) {
	for _, freeAt := range w.coresFreeAt {
		if freeAt > now {
			running++
			waiting += float64(int((freeAt - now) * 10))
		}
	}
	return running, waiting
}

// conditionOutcomes maps conditions in which a worker serves nothing to the outcome of attempts and load commands.
var conditionOutcomes = map[workerCondition]outcome{
	unresponsive: timedOut, failing: failed, rejecting: rejected,
	partitioned: unreachable, disconnecting: disconnected, notSending: notSent,
}

// serve returns the outcome and latency of an attempt on a worker.
func (g *goldenFleet) serve(worker *goldenWorker, function string) (result outcome, latency units.Seconds, start startKind) {
	if result, isFaulty := conditionOutcomes[worker.condition]; isFaulty {
		if result == timedOut {
			return result, 1e9, startUnknown
		}
		return result, units.Seconds(0.01 + g.random.skewed(0.02)), startUnknown
	}
	if worker.state == stateRemoved {
		return unreachable, 0.05, startUnknown
	}
	readyAt, isLoaded := worker.replicasReadyAt[function]
	if !isLoaded && g.noLoadOnMiss {
		return replicaMissing, 0.01, startUnknown
	}
	start = startWarm
	if !isLoaded {
		if worker.condition == notLoading {
			return failed, 0.1, startFailed
		}
		readyAt, start = g.now+g.loadDuration(), startCold
		worker.replicasReadyAt[function] = readyAt
	} else if readyAt > g.now {
		start = startJoined
	}
	if start == startWarm && g.random.bernoulli(0.2) {
		start = startUnknown
	}
	return succeeded, g.occupyCore(worker, readyAt) - g.now, start
}

// occupyCore occupies the core that becomes free first and returns the time of the response.
func (g *goldenFleet) occupyCore(worker *goldenWorker, readyAt units.Seconds) units.Seconds {
	core := 0
	for i, freeAt := range worker.coresFreeAt {
		if freeAt < worker.coresFreeAt[core] {
			core = i
		}
	}
	serviceTime := g.random.skewed(g.serviceTime)
	if worker.condition == slow {
		serviceTime *= 6
	}
	worker.coresFreeAt[core] = max(worker.coresFreeAt[core], readyAt, g.now) + units.Seconds(serviceTime)
	return worker.coresFreeAt[core] + 0.005
}

func (g *goldenFleet) loadDuration() units.Seconds {
	duration := g.loadTime * (0.7 + g.random.fraction())
	if progress := float64((g.now - startTime) / g.duration); g.slowStoreFactor > 0 && progress > 0.33 && progress < 0.67 {
		duration *= g.slowStoreFactor
	}
	return units.Seconds(duration)
}
