package control

// This file holds the simulated workers of the golden fleet.

// condition is what is wrong with a worker.
type condition int

const (
	well condition = iota
	silent
	failing
	refusing
	cutOff
	disconnecting
	unsending
	slowed
	notLoading
	conditions
)

type node struct {
	simulatedWorker
	condition condition
	freeAt    []float64          // of each core
	readyAt   map[string]float64 // when a replica of a function is loaded
}

func (n *node) utilization(now float64) (running, waiting float64) {
	for _, at := range n.freeAt {
		if at > now {
			running++
			waiting += float64(int((at - now) * 10))
		}
	}
	return running, waiting
}

var conditionResults = map[condition]outcome{
	silent: timedOut, failing: failed, refusing: refused,
	cutOff: unreachable, disconnecting: disconnected, unsending: unsent,
}

// serve tells how and when an attempt on a worker ends.
func (w *fleet) serve(n *node, function string) (outcome, float64, start) {
	if result, bad := conditionResults[n.condition]; bad {
		if result == timedOut {
			return result, 1e9, startUnknown
		}
		return result, 0.01 + w.random.skewed(0.02), startUnknown
	}
	if n.state == stateGone {
		return unreachable, 0.05, startUnknown
	}
	ready, known := n.readyAt[function]
	if !known && w.reportsMissing {
		return missing, 0.01, startUnknown
	}
	how := startWarm
	if !known {
		if n.condition == notLoading {
			return failed, 0.1, startFailed
		}
		ready, how = w.now+w.loadSpan(), startCold
		n.readyAt[function] = ready
	} else if ready > w.now {
		how = startJoined
	}
	if how == startWarm && w.random.happens(0.2) {
		how = startUnknown
	}
	return succeeded, w.occupy(n, ready) - w.now, how
}

// occupy takes the first free core and gives the time at which the answer comes.
func (w *fleet) occupy(n *node, ready float64) float64 {
	core := 0
	for i, at := range n.freeAt {
		if at < n.freeAt[core] {
			core = i
		}
	}
	span := w.random.skewed(w.serviceTime)
	if n.condition == slowed {
		span *= 6
	}
	n.freeAt[core] = max(n.freeAt[core], ready, w.now) + span
	return n.freeAt[core] + 0.005
}

func (w *fleet) loadSpan() float64 {
	span := w.loadTime * (0.7 + w.random.part())
	if gone := (w.now - startOfDay) / w.length; w.slowStore > 0 && gone > 0.33 && gone < 0.67 {
		span *= w.slowStore
	}
	return span
}
