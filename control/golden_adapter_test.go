package control

import "streamcleat/internal/units"

// The adapter connects the golden fleet to the package, so that a rename in the package requires changes in this file only
// and not in the fleet or the golden files.

var outcomeOf = map[outcome]Outcome{
	succeeded: Succeeded, failed: Failed, timedOut: TimedOut, disconnected: ConnectionLost,
	cancelled: Cancelled, rejected: Rejected, unreachable: Unreachable, notSent: NotSent, replicaMissing: ReplicaMissing,
}

var startTypeOf = map[startKind]StartType{
	startUnknown: StartUnknown, startWarm: WarmStart, startCold: ColdStart,
	startJoined: JoinedColdStart, startFailed: StartFailed,
}

var endpointStateOf = map[endpointState]EndpointState{
	stateServing: Serving, stateDraining: Draining, stateRemoved: Removed,
}

var semanticsOf = map[semantics]DeliverySemantics{
	idempotent: Idempotent, idempotentByKey: IdempotentByKey, atMostOnce: AtMostOnce,
}

var scopeOf = map[deduplicationScope]DeduplicationScope{
	fleetScope: ScopeFleet, zoneScope: ScopeZone, failureDomainScope: ScopeFailureDomain,
}

// routerAdapter converts inputs for one Router and implements its Host.
type routerAdapter struct {
	router   *Router
	frontEnd *goldenFrontEnd
}

func newRouterAdapter(s *scenario, seed uint64, now units.Seconds, frontEnd *goldenFrontEnd) *routerAdapter {
	a := &routerAdapter{frontEnd: frontEnd}
	a.router = New(deploymentOf(s), seed, a, now)
	return a
}

func deploymentOf(s *scenario) *Deployment {
	d := &Deployment{
		FrontEnds:               s.frontEndCount,
		PollEndpoints:           s.pollsEndpoints,
		NoLoadOnMiss:            s.noLoadOnMiss,
		LoadCommandsAllowed:     s.loadCommandsAllowed,
		GossipAllowed:           s.gossipAllowed,
		MaxAttempts:             s.maxAttempts,
		MaxRetryAfter:           s.maxRetryAfter,
		IdleReplicaLifetime:     s.idleReplicaLifetime,
		LoadCommandWindow:       s.loadCommandWindow,
		LoadCommandAllowance:    s.loadCommandAllowance,
		LoadCommandsPerRequest:  s.loadCommandsPerRequest,
		MinRoundInterval:        0.004,
		InitialCapacityFraction: 0.2,
		WarmUpTime:              units.Seconds(s.warmUpTime),
		OverloadFactor:          2.5,
		OverloadWindow:          1.5,
	}
	for _, class := range requestClasses {
		d.RequestClasses = append(d.RequestClasses, RequestClass{
			Name: class.name, LatencyObjective: class.latencyObjective, Timeout: class.timeout,
			Semantics: semanticsOf[class.semantics], DeduplicationScope: scopeOf[class.scope],
			DeduplicationWindow: class.deduplicationWindow,
		})
	}
	return d
}

func requestOf(req simulatedRequest) Request {
	return Request{
		ID: RequestID(req.id), Class: req.class, Tenant: "tenant", Function: FunctionID(req.function),
		TimeLeft: req.timeLeft, Concurrency: req.concurrency, LoadTime: req.loadTime, Retried: req.retried,
	}
}

func workersOf(list []goldenEndpoint) []Worker {
	var workers []Worker
	for _, endpoint := range list {
		workers = append(workers, Worker{
			ID: WorkerID(endpoint.id), Zone: ZoneID(endpoint.zone), MachineType: MachineType(endpoint.machineType),
			FailureDomain: endpoint.failureDomain, State: endpointStateOf[endpoint.state], Weight: endpoint.weight,
			StartedAt: units.Seconds(endpoint.startedAt),
		})
	}
	return workers
}

func (a *routerAdapter) start() { a.router.Start() }

func (a *routerAdapter) endpointSnapshot(now units.Seconds, list []goldenEndpoint) {
	a.router.OnEndpointUpdate(now, Snapshot, workersOf(list))
}

func (a *routerAdapter) endpointDelta(now units.Seconds, changed []goldenEndpoint) {
	a.router.OnEndpointUpdate(now, Delta, workersOf(changed))
}

func (a *routerAdapter) endpointPollFailed(now units.Seconds) { a.router.OnEndpointPollFailed(now) }

func (a *routerAdapter) request(now units.Seconds, req simulatedRequest) {
	a.router.OnRequest(now, requestOf(req))
}

func (a *routerAdapter) clientCancelled(now units.Seconds, id string) {
	a.router.OnCancel(now, RequestID(id))
}

func (a *routerAdapter) timer(now units.Seconds, timer uint64)    { a.router.OnTimer(now, timer) }
func (a *routerAdapter) gossip(now units.Seconds, message []byte) { a.router.OnGossip(now, message) }

func (a *routerAdapter) preload(now units.Seconds, req simulatedRequest) bool {
	return a.router.Preload(now, requestOf(req))
}

func (a *routerAdapter) restoreReplica(now units.Seconds, req simulatedRequest, worker string, age units.Seconds) {
	a.router.RestoreReplica(now, requestOf(req), WorkerID(worker), age)
}

func (a *routerAdapter) attemptEnded(now units.Seconds, result attemptResult) {
	a.router.OnAttemptResult(now, AttemptResult{
		Request: RequestID(result.id), Worker: WorkerID(result.worker), Attempt: result.attempt,
		Outcome: outcomeOf[result.outcome], Completed: result.completed, Latency: units.Seconds(result.latency),
		Start:  startTypeOf[result.start],
		Report: LoadReport{Running: result.running, Waiting: result.waiting, Known: result.reported},
	})
}

func (a *routerAdapter) loadEnded(now units.Seconds, worker, function string, result outcome, replicas int, duration units.Seconds) {
	a.router.OnLoadResult(now, LoadResult{
		Worker: WorkerID(worker), Function: FunctionID(function), Outcome: outcomeOf[result],
		Replicas: replicas, Duration: duration,
	})
}

func (a *routerAdapter) StartAttempt(id RequestID, worker WorkerID, timeout units.Seconds) {
	a.frontEnd.startAttempt(string(id), string(worker), timeout)
}

func (a *routerAdapter) Reject(id RequestID, retryAfter units.Seconds) {
	a.frontEnd.reject(string(id), retryAfter)
}

func (a *routerAdapter) Fail(id RequestID) { a.frontEnd.fail(string(id)) }

func (a *routerAdapter) LoadReplicas(worker WorkerID, function FunctionID, replicas int) {
	a.frontEnd.loadReplicas(string(worker), string(function), replicas)
}

// QueryReplicas does nothing, because routers without endpoint leases do not call it.
func (a *routerAdapter) QueryReplicas(WorkerID, FunctionID, int, units.Seconds) {}

func (a *routerAdapter) Broadcast(message []byte) { a.frontEnd.broadcast(message) }

func (a *routerAdapter) SetTimer(after units.Seconds, timer uint64) {
	a.frontEnd.setTimer(after, timer)
}

func (a *routerAdapter) RequestEndpoints() { a.frontEnd.requestEndpoints() }
