package control

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"

	"streamcleat/internal/units"
)

// openRequest is a client's request and the state of its processing in the front end.
type openRequest struct {
	simulatedRequest
	attempts            int
	attemptStartedAt    units.Seconds
	worker              *goldenWorker
	inFlight, completed bool
}

// goldenFrontEnd is the host of one router in the golden fleet. It logs each call of the router and simulates its effects.
type goldenFrontEnd struct {
	fleet    *goldenFleet
	index    int
	router   *routerAdapter
	requests map[string]*openRequest
}

// cancel closes a request because its client has disconnected.
func (f *goldenFrontEnd) cancel(id string) {
	req := f.requests[id]
	if req.completed {
		return
	}
	req.completed = true
	f.router.clientCancelled(f.fleet.now, id)
	if attempt := req.attempts; req.inFlight && f.fleet.random.bernoulli(0.7) {
		f.fleet.after(0.002, func() { f.endAttempt(req, attempt, cancelled, startUnknown) })
	}
}

// startAttempt logs the call and schedules the result of the attempt.
func (f *goldenFrontEnd) startAttempt(id, workerID string, timeout units.Seconds) {
	g, req, worker := f.fleet, f.requests[id], f.fleet.workerByID(workerID)
	f.logCall("attempt", id, workerID, formatExact(float64(timeout)))
	req.attempts++
	req.inFlight, req.attemptStartedAt, req.worker = true, g.now, worker
	result, latency, start := g.serve(worker, req.function)
	if latency > timeout {
		result, latency = timedOut, max(timeout, 0)
	}
	attempt := req.attempts
	g.after(latency, func() { f.endAttempt(req, attempt, result, start) })
}

func (f *goldenFrontEnd) endAttempt(req *openRequest, attempt int, result outcome, start startKind) {
	if !req.inFlight || req.attempts != attempt {
		return
	}
	g, worker := f.fleet, req.worker
	req.inFlight = false
	if result == succeeded || result == failed && g.random.bernoulli(0.3) {
		req.completed = true
	}
	a := attemptResult{
		id: req.id, worker: worker.id, attempt: attempt - 1, outcome: result, completed: req.completed,
		latency: float64(g.now - req.attemptStartedAt), start: start,
	}
	if a.reported = result < cancelled && g.random.bernoulli(g.loadReportFraction); a.reported {
		a.running, a.waiting = worker.utilization(g.now)
	}
	f.router.attemptEnded(g.now, a)
	if g.random.bernoulli(0.01) { // a duplicate result, which the router must ignore
		g.after(0.001, func() { f.repeatResult(req, a) })
	}
}

func (f *goldenFrontEnd) repeatResult(req *openRequest, a attemptResult) {
	if !req.inFlight {
		f.router.attemptEnded(f.fleet.now, a)
	}
}

// loadReplicas logs the call and schedules the result of the load command.
func (f *goldenFrontEnd) loadReplicas(workerID, function string, replicas int) {
	f.logCall("load", workerID, function, strconv.Itoa(replicas))
	g, worker := f.fleet, f.fleet.workerByID(workerID)
	duration, result := g.loadDuration(), succeeded
	readyAt, isLoaded := worker.replicasReadyAt[function]
	switch faultOutcome, isFaulty := conditionOutcomes[worker.condition]; {
	case worker.condition == unresponsive:
		return
	case worker.state == stateRemoved:
		duration, result = 0.05, unreachable
	case isFaulty:
		duration, result = 0.02, faultOutcome
	case worker.condition == notLoading:
		duration, result = 0.1, []outcome{failed, timedOut, replicaMissing, rejected}[g.random.below(4)]
	case isLoaded:
		duration = max(readyAt-g.now, 0.004)
	default:
		worker.replicasReadyAt[function] = g.now + duration
	}
	if result != succeeded {
		replicas = 0
	}
	g.after(duration, func() { f.router.loadEnded(g.now, workerID, function, result, replicas, duration) })
}

func (f *goldenFrontEnd) reject(id string, retryAfter units.Seconds) {
	f.logCall("reject", id, formatExact(float64(retryAfter)))
	f.requests[id].completed = true
}

func (f *goldenFrontEnd) fail(id string) {
	f.logCall("fail", id)
	f.requests[id].completed = true
}

// broadcast delivers a message to the other routers. Some messages are lost, truncated or corrupted.
func (f *goldenFrontEnd) broadcast(message []byte) {
	f.logCall("broadcast", hex.EncodeToString(message))
	g := f.fleet
	for _, other := range g.frontEnds {
		if other == f || g.random.bernoulli(0.1) {
			continue
		}
		received := slices.Clone(message)
		if g.random.bernoulli(0.02) {
			received = received[:g.random.below(len(received))]
		} else if g.random.bernoulli(0.02) {
			received[g.random.below(len(received))] ^= byte(1 + g.random.below(255))
		}
		g.after(units.Seconds(g.random.fraction()/20), func() { other.router.gossip(g.now, received) })
	}
}

func (f *goldenFrontEnd) setTimer(after units.Seconds, timer uint64) {
	f.logCall("wake", formatExact(float64(after)), strconv.FormatUint(timer, 10))
	f.fleet.after(max(after, 0.001), func() { f.router.timer(f.fleet.now, timer) })
}

func (f *goldenFrontEnd) requestEndpoints() {
	f.logCall("resubscribe")
	f.fleet.after(0.05, func() { f.router.endpointSnapshot(f.fleet.now, f.fleet.endpointList()) })
}

// formatExact formats a float with enough digits to distinguish any two values.
func formatExact(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

// logCall appends a call of the router to the log, with its time and front end. The call names are those of the
// golden files.
func (f *goldenFrontEnd) logCall(call string, arguments ...string) {
	g := f.fleet
	g.log = fmt.Append(g.log, formatExact(float64(g.now)), " r", f.index, " ", call)
	for _, argument := range arguments {
		g.log = append(append(g.log, ' '), argument...)
	}
	g.log = append(g.log, '\n')
}
