package control

import (
	"slices"

	"streamcleat/internal/units"
)

// simulatedFrontEnd is the host of one router in the simulated fleet.
type simulatedFrontEnd struct {
	fleet        *simulatedFleet
	index        int
	router       *Router
	isolated     bool // discovery is unavailable to it
	requests     map[RequestID]*clientRequest
	requestTimes []units.Seconds
	loadTimes    []units.Seconds
	submitTimes  []units.Seconds // times of requests, including those to processes before a restart of the front end
	queryTimes   map[WorkerID][]units.Seconds
	connected    []*simulatedWorker // in the order in which the connections were established
}

// connect establishes a connection to a worker that can be reached, unless there is one.
func (f *simulatedFrontEnd) connect(worker *simulatedWorker) {
	if worker.condition != partitioned && !slices.Contains(f.connected, worker) {
		f.connected = append(f.connected, worker)
	}
}

// disconnect ends the connection to a worker if there is one.
func (f *simulatedFrontEnd) disconnect(worker *simulatedWorker) {
	if i := slices.Index(f.connected, worker); i >= 0 {
		f.connected = slices.Delete(f.connected, i, i+1)
		f.router.OnDisconnected(f.fleet.now, worker.ID)
	}
}

// Limits of the queries and renewals that a front end may send to a worker within a second: a base for ticks and rejections,
// and an addition for each request.
const (
	queriesPerSecond  = 15
	queriesPerRequest = 3
)

// countSince returns the number of times that are not before since.
func countSince(times []units.Seconds, since units.Seconds) (count int) {
	for _, at := range times {
		if at >= since {
			count++
		}
	}
	return count
}

// clientRequest is a request of a client, with its attempts and the responses that the client received.
type clientRequest struct {
	Request
	class     RequestClass
	deadline  units.Seconds
	responses int
	succeeded bool
	attempts  []*attempt
}

type attempt struct {
	worker                  *simulatedWorker
	startedAt               units.Seconds
	ended, possiblyExecuted bool
}

// sendEndpointList sends the router a snapshot of all workers.
func (f *simulatedFrontEnd) sendEndpointList() {
	var endpoints []Worker
	for _, worker := range f.fleet.workers {
		worker.listedState[f.index], worker.listedStart[f.index] = worker.State, float64(worker.StartedAt)
		if worker.State != Removed {
			endpoints = append(endpoints, worker.Worker)
		}
	}
	f.router.OnEndpointUpdate(f.fleet.now, Snapshot, endpoints)
}

// sendListChanges sends the router the workers that have changed since the latest list, as hosts do: an update of a worker that has
// not changed would tell the router that another process may be at its address.
func (f *simulatedFrontEnd) sendListChanges() {
	var changed []Worker
	for _, worker := range f.fleet.workers {
		if !f.fleet.isStartListed(worker) {
			continue
		}
		if worker.listedState[f.index] != worker.State || worker.listedStart[f.index] != float64(worker.StartedAt) {
			worker.listedState[f.index], worker.listedStart[f.index] = worker.State, float64(worker.StartedAt)
			changed = append(changed, worker.Worker)
		}
	}
	if len(changed) > 0 {
		f.router.OnEndpointUpdate(f.fleet.now, Delta, changed)
	}
}

// sendRequest sends the router a request of a client.
func (f *simulatedFrontEnd) sendRequest(id RequestID, fn FunctionID, class RequestClass, timeLeft units.Seconds) *clientRequest {
	req := &clientRequest{
		class: class, deadline: f.fleet.now + timeLeft,
		Request: Request{ID: id, Class: class.Name, Function: fn, TimeLeft: timeLeft, Concurrency: 2},
	}
	f.requests[id] = req
	f.requestTimes = append(f.requestTimes, f.fleet.now)
	f.submitTimes = append(f.submitTimes, f.fleet.now)
	f.router.OnRequest(f.fleet.now, req.Request)
	return req
}

// openRequest returns the request that a call of the router refers to, and checks that it is open and within its deadline.
func (f *simulatedFrontEnd) openRequest(id RequestID) *clientRequest {
	req := f.requests[id]
	if req == nil {
		f.fleet.recordViolation("unknown request %s", id)
		return &clientRequest{}
	}
	if f.fleet.now > req.deadline+0.016+stepSeconds {
		f.fleet.recordViolation("request %s is past its deadline by %.3f", id, f.fleet.now-req.deadline)
	}
	if req.responses > 0 {
		f.fleet.recordViolation("request %s already has a response", id)
	}
	return req
}

// StartAttempt checks an attempt and schedules its result.
func (f *simulatedFrontEnd) StartAttempt(id RequestID, workerID WorkerID, timeout units.Seconds) {
	s, req, worker := f.fleet, f.openRequest(id), f.fleet.workerByID(workerID)
	f.checkAttempt(req, worker, timeout)
	if !f.router.MaySend(s.now, workerID) || !f.router.MayExecute(s.now, id) {
		s.recordViolation("attempt on %s is not permitted at the time of the decision", workerID)
	}
	a := &attempt{worker: worker, startedAt: s.now, possiblyExecuted: true}
	req.attempts = append(req.attempts, a)
	startIsKnown := units.Seconds(worker.listedStart[f.index]) == worker.StartedAt
	if startIsKnown {
		s.checkSlowStart(worker)
	}
	f.connect(worker)
	process := worker.processes
	s.checkPush(worker, startIsKnown)
	outcome, latency := s.execute(worker, req.Function)
	if latency > timeout {
		outcome, latency = TimedOut, timeout
	}
	number := len(req.attempts) - 1
	s.after(latency, func() {
		if worker.processes != process {
			outcome = ConnectionLost
		}
		f.endAttempt(req, a, number, outcome)
	})
}

// checkAttempt checks the limit of attempts, the state of the worker, and that a retry is safe.
func (f *simulatedFrontEnd) checkAttempt(req *clientRequest, worker *simulatedWorker, timeout units.Seconds) {
	s := f.fleet
	if len(req.attempts) >= s.deployment.MaxAttempts || timeout <= 0 {
		s.recordViolation("attempt %d of %s with timeout %g", len(req.attempts), req.ID, timeout)
	}
	f.checkUnreportedDrain("attempt", worker)
	if worker.listedState[f.index] != Serving {
		s.recordViolation("attempt on a worker listed in state %d", worker.listedState[f.index])
	}
	var first *attempt
	for _, a := range req.attempts {
		if !a.ended {
			s.recordViolation("two attempts of %s in flight", req.ID)
		}
		if a.possiblyExecuted && first == nil {
			first = a
		}
	}
	if first == nil {
		return
	}
	class := &req.class
	sameZone := first.worker.Zone == worker.Zone
	inScope := class.DeduplicationScope == ScopeFleet ||
		sameZone && (class.DeduplicationScope == ScopeZone || first.worker.FailureDomain == worker.FailureDomain)
	expired := s.now > first.startedAt+class.DeduplicationWindow
	if class.Semantics == AtMostOnce || class.Semantics == IdempotentByKey && (!inScope || expired) {
		s.recordViolation("unsafe retry of %s", req.ID)
	}
}

func (f *simulatedFrontEnd) endAttempt(req *clientRequest, a *attempt, number int, outcome Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.possiblyExecuted = outcome != Rejected && outcome != Unreachable && outcome != ReplicaMissing && outcome != NotSent
	if outcome == Succeeded && req.responses == 0 {
		req.responses, req.succeeded = 1, true
	}
	now := f.fleet.now
	f.router.OnAttemptResult(now, AttemptResult{
		Request: req.ID, Worker: a.worker.ID, Attempt: number,
		Outcome: outcome, Completed: req.responses > 0, Latency: now - a.startedAt,
	})
}

// Reject checks that the client may safely retry the request.
func (f *simulatedFrontEnd) Reject(id RequestID, retryAfter units.Seconds) {
	req := f.openRequest(id)
	req.responses++
	class := &req.class
	for _, a := range req.attempts {
		deduplicated := class.Semantics == IdempotentByKey && class.DeduplicationScope == ScopeFleet &&
			f.fleet.now <= a.startedAt+class.DeduplicationWindow
		if (a.possiblyExecuted || !a.ended) && class.Semantics != Idempotent && !deduplicated {
			f.fleet.recordViolation("%s rejected though possibly executed", id)
		}
	}
	if retryAfter < 0 || retryAfter > f.fleet.deployment.MaxRetryAfter {
		f.fleet.recordViolation("Retry-After of %g is outside the limits", retryAfter)
	}
}

// Fail records the final error response.
func (f *simulatedFrontEnd) Fail(id RequestID) { f.openRequest(id).responses++ }

// LoadReplicas checks a load command against the quota and schedules its result. Unresponsive workers return no result.
func (f *simulatedFrontEnd) LoadReplicas(workerID WorkerID, fn FunctionID, replicas int) {
	s, worker, d := f.fleet, f.fleet.workerByID(workerID), f.fleet.deployment
	if worker.listedState[f.index] != Serving || !d.LoadCommandsAllowed || replicas < 1 || replicas > 16 {
		s.recordViolation("load command to %s is not allowed", workerID)
	}
	f.checkUnreportedDrain("load command", worker)
	if !f.router.MayLoad(s.now, workerID, fn) {
		s.recordViolation("load command to %s is not permitted at the time of the decision", workerID)
	}
	f.loadTimes = append(f.loadTimes, s.now)
	inWindow := func(times []units.Seconds) (count float64) {
		for _, at := range times {
			if at > s.now-d.LoadCommandWindow {
				count++
			}
		}
		return count
	}
	quota := d.LoadCommandAllowance + d.LoadCommandsPerRequest*inWindow(f.requestTimes)
	if d.LoadCommandWindow > 0 && inWindow(f.loadTimes) > quota+1e-9 {
		s.recordViolation("load command exceeds the quota")
	}
	if worker.condition == unresponsive {
		return
	}
	delay := units.Seconds(0.3)
	drains := d.EndpointLeases && worker.State != Serving
	if drains {
		delay = 0.01
	}
	f.connect(worker)
	process, isUnreachable := worker.processes, worker.condition == partitioned
	s.after(delay, func() {
		result := LoadResult{Worker: workerID, Function: fn, Outcome: Rejected, Duration: delay}
		switch {
		case isUnreachable: // the connection that the command was written to ends
			f.router.OnDisconnected(s.now, workerID)
			result.Outcome = Unreachable
		case worker.processes != process:
			result.Outcome = ConnectionLost
		}
		if result.Outcome != Rejected {
			f.router.OnLoadResult(s.now, result)
			return
		}
		worker.replicas[fn] = worker.condition == healthy && !drains
		if worker.replicas[fn] {
			result.Outcome, result.Replicas = Succeeded, 1
		}
		f.router.OnLoadResult(s.now, result)
	})
}

// QueryReplicas checks a query and schedules its result. A draining worker rejects it, unless the query is for no replicas
// and draining workers respond to those.
func (f *simulatedFrontEnd) QueryReplicas(workerID WorkerID, fn FunctionID, replicas int, timeout units.Seconds) {
	s, worker := f.fleet, f.fleet.workerByID(workerID)
	if !s.deployment.EndpointLeases || !s.deployment.LoadCommandsAllowed || replicas > 0 && s.deployment.LoadCommandWindow > 0 {
		s.recordViolation("query for %d replicas is not allowed", replicas)
	}
	if replicas > 0 {
		f.checkUnreportedDrain("renewal", worker)
	}
	if !f.router.MayQuery(s.now, workerID, replicas) {
		s.recordViolation("query of %s is not permitted at the time of the decision", workerID)
	}
	if f.queryTimes == nil {
		f.queryTimes = map[WorkerID][]units.Seconds{}
	}
	f.queryTimes[workerID] = append(f.queryTimes[workerID], s.now)
	allowed := queriesPerSecond + queriesPerRequest*countSince(f.submitTimes, s.now-1)
	if count := countSince(f.queryTimes[workerID], s.now-1); count > allowed {
		s.recordViolation("%d queries of %s within a second", count, workerID)
	}
	result := QueryResult{Worker: workerID, Function: fn, Commanded: replicas, Outcome: Succeeded, Latency: 0.02}
	switch {
	case worker.condition == unresponsive:
		result.Outcome, result.Latency = TimedOut, timeout
	case worker.condition == partitioned:
		result.Outcome = Unreachable
	case worker.State != Serving && (replicas > 0 || !s.drainingRespondsToQueries):
		result.Outcome = Rejected
	case worker.condition == rejecting && replicas > 0 && !worker.replicas[fn]:
		result.Outcome = Rejected // a full worker has no capacity for another replica
	case worker.replicas[fn]:
		result.Replicas = 1
	}
	f.connect(worker)
	process := worker.processes
	s.after(result.Latency, func() {
		if worker.processes != process {
			result.Outcome, result.Replicas = ConnectionLost, 0
		}
		f.router.OnQueryResult(s.now, result)
	})
}

// Broadcast delivers a message to the other front ends. One in ten deliveries is lost.
func (f *simulatedFrontEnd) Broadcast(message []byte) {
	s := f.fleet
	if !s.deployment.GossipAllowed || len(message) > 256 {
		s.recordViolation("gossip message of %d bytes is not allowed", len(message))
	}
	for _, other := range s.frontEnds {
		if other != f && s.rnd.Intn(10) > 0 {
			s.after(units.Seconds(s.rnd.Float64()/20), func() { other.router.OnGossip(s.now, message) })
		}
	}
}

// SetTimer schedules a timer of the router.
func (f *simulatedFrontEnd) SetTimer(after units.Seconds, timer uint64) {
	f.fleet.after(max(after, 0.001), func() { f.router.OnTimer(f.fleet.now, timer) })
}

// RequestEndpoints does nothing, as the simulated deployments do not poll.
func (f *simulatedFrontEnd) RequestEndpoints() {}
