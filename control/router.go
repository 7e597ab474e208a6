package control

import "streamcleat/internal/units"

// Entry points of a Router. Each updates the state from its input and then applies the rules of rules.go.

const (
	tickSeconds         = 0.25 // interval of the periodic updates
	pollRetrySeconds    = 2.0  // delay before the endpoint list is requested again after a failure
	idleFunctionSeconds = 60.0 // time without requests after which the state of a function is discarded
	timerEarlyRounds    = 2.0  // a request's timer may reject it this many rounds before its deadline
)

// IDs of the router's periodic timers. Requests are assigned higher IDs.
const (
	tickTimer uint64 = iota
	pollTimer
)

// Start schedules the periodic updates and, if the deployment polls for it, requests the endpoint list. It must be
// called once, before any other input.
func (r *Router) Start() {
	r.host.SetTimer(tickSeconds, tickTimer)
	if r.deployment.PollEndpoints {
		r.host.RequestEndpoints()
	}
}

// OnEndpointUpdate applies an update of the endpoint list. A snapshot removes the workers that it does not list.
func (r *Router) OnEndpointUpdate(now units.Seconds, scope UpdateScope, endpoints []Worker) {
	r.advance(now)
	listed := make([]bool, len(r.workers))
	for _, endpoint := range endpoints {
		w, known := r.workersByID[endpoint.ID]
		if known {
			r.updateWorker(w, endpoint)
		} else {
			w = r.addWorker(endpoint)
		}
		if w.index == len(listed) {
			listed = append(listed, true)
		}
		listed[w.index] = true
	}
	for i, w := range r.workers {
		if scope == Snapshot && !listed[i] {
			r.updateWorker(w, Worker{State: Removed})
		}
	}
	r.endpointRulesDue = true
	r.endpointVersion++
	r.applyRules()
}

// OnEndpointPollFailed schedules another request for the endpoint list.
func (r *Router) OnEndpointPollFailed(_ units.Seconds) { r.host.SetTimer(pollRetrySeconds, pollTimer) }

// OnRequest handles a new request.
func (r *Router) OnRequest(now units.Seconds, in Request) {
	r.advance(now)
	r.lastTimerID++
	req := &request{
		Request:  in,
		class:    r.requestClassOf(in),
		function: r.functionOf(in),
		deadline: now + in.TimeLeft,
		timerID:  r.lastTimerID,
	}
	req.function.openRequests++
	r.grantRenewalCredit()
	r.requests[req.ID] = req
	r.requestsByTimerID[req.timerID] = req
	r.requestTimes = append(r.pruneTimes(r.requestTimes, r.deployment.LoadCommandWindow), now)
	// Attempts have their own timeout, which ends at the deadline. The timer covers requests that wait for a load.
	r.host.SetTimer(max(in.TimeLeft-r.deployment.MinRoundInterval, 0), req.timerID)
	r.pending = append(r.pending, req)
	r.applyRules()
}

// requestClassOf returns the class of a request. A class that is not in the deployment is treated as at-most-once.
func (r *Router) requestClassOf(in Request) *RequestClass {
	for i := len(r.deployment.RequestClasses) - 1; i >= 0; i-- {
		if class := &r.deployment.RequestClasses[i]; class.Name == in.Class {
			return class
		}
	}
	return &RequestClass{LatencyObjective: in.TimeLeft, Timeout: in.TimeLeft, Semantics: AtMostOnce}
}

// OnCancel closes a request whose client has cancelled it or disconnected.
func (r *Router) OnCancel(now units.Seconds, id RequestID) {
	r.advance(now)
	if req := r.requests[id]; req != nil {
		r.finish(req)
	}
	r.applyRules()
}

// OnTimer handles the expiry of a timer that was set with Host.SetTimer.
func (r *Router) OnTimer(now units.Seconds, timer uint64) {
	r.advance(now)
	switch timer {
	case tickTimer:
		r.host.SetTimer(tickSeconds, tickTimer)
		r.tick()
		r.endpointRulesDue = true
	case confirmationResponseTimer:
		r.endpointRulesDue = true
	case pollTimer:
		r.host.RequestEndpoints()
	default:
		req := r.requestsByTimerID[timer]
		if req != nil && !req.inFlight && now >= req.deadline-timerEarlyRounds*r.deployment.MinRoundInterval {
			r.reject(req)
		}
	}
	r.applyRules()
}

// AwaitsTimer reports whether a timer that was set with Host.SetTimer may have an effect when it expires.
func (r *Router) AwaitsTimer(timer uint64) bool {
	isRequestTimer := timer > pollTimer && timer != confirmationResponseTimer
	return !isRequestTimer || r.requestsByTimerID[timer] != nil
}

// tick performs the periodic updates.
func (r *Router) tick() {
	elapsed := max(r.now-r.lastTickAt, tickSeconds/2)
	r.lastTickAt = r.now
	r.decayResponseRates(elapsed)
	r.decayReportedLoads(elapsed)
	r.grantSlowStartCredits(elapsed)
	r.updateMachineRates(elapsed)
	r.updateAttemptRates(elapsed)
	r.rebroadcastDrains(elapsed)
	r.requestMissingConfirmations()
	r.removeIdleFunctions(idleFunctionSeconds)
}

// OnAttemptResult handles the result of an attempt. Results of attempts that are not in flight are ignored.
func (r *Router) OnAttemptResult(now units.Seconds, result AttemptResult) {
	r.advance(now)
	req := r.requests[result.Request]
	if req == nil || !req.inFlight {
		return
	}
	w := req.worker
	rep := r.recordAttemptEnd(req)
	if report := result.Report; report.Known {
		w.reportedLoad = max(report.Running+report.Waiting-float64(len(w.inFlight)), 0)
	}
	r.updateReplicaMissRate(result)
	if result.Outcome != TimedOut && result.Outcome != Cancelled {
		w.lastResponseAt = now
	}
	r.onReply(w, req.attemptedBy, now-result.Latency, result.Outcome)
	r.updateReplica(req, rep, result)
	if result.Outcome <= Rejected && result.Outcome != ConnectionLost {
		if !req.awaitsLoad && result.Start <= WarmStart {
			r.updateFromWarmResponse(req, result)
		}
		r.broadcastResponse(req.function, w, result.Latency)
	}
	if result.Outcome < Rejected && !req.possiblyExecuted {
		req.possiblyExecuted = true
		req.firstExecutionAt = req.attemptStartedAt
		req.firstExecutionBy = req.attemptedBy
	}
	r.finishOrRequeue(req, result)
	r.applyRules()
}

// updateReplica updates a replica and its worker from an attempt result.
func (r *Router) updateReplica(req *request, rep *replica, result AttemptResult) {
	w := rep.worker
	timing := classifyLatency(req.class, result.Latency)
	switch result.Outcome {
	case Succeeded:
		w.recordAcceptance(r.now - result.Latency)
		if r.warmUpProgress(w, r.now) >= 1 {
			w.machine.successes++
		}
		rep.markWarm(r.now)
		if result.Start <= WarmStart {
			r.updateLatency(req.function, rep, result.Latency)
			r.updateConcurrencyLimit(req, timing)
		}
	case TimedOut:
		// A timeout counts as a late response. Otherwise the limit of an overloaded worker that has stopped responding
		// would never decrease.
		if timing == lateResponse && !req.awaitsLoad {
			r.updateConcurrencyLimit(req, lateResponse)
		}
	case Rejected:
		w.loadBackoffUntil = r.now + loadBackoffSeconds
		req.rejectedBy = append(req.rejectedBy, w.id)
		r.recordRejection(w, req.function)
		r.updateConcurrencyLimit(req, lateResponse)
	case Unreachable:
		// The process has terminated and its replicas are lost. The endpoint list reports this only seconds later.
		rep.warm = false
		w.loadBackoffUntil = r.now + loadBackoffSeconds
		r.assumeProcessReplaced(w)
	case ReplicaMissing:
		// The worker is healthy, so that the request may be retried on it.
		rep.warm = false
		req.worker = nil
	case Failed, ConnectionLost, Cancelled, NotSent:
		// These outcomes indicate nothing about the replica or the load of its worker.
	}
}

// updateFromWarmResponse updates the fleet-wide estimates from an attempt that did not wait for a load.
func (r *Router) updateFromWarmResponse(req *request, result AttemptResult) {
	r.updateAdmissionProbability(req.class, result)
	r.updateLatencyP20(result)
	r.updateTargetReplicas(req, result)
}

// RestoreReplica records, after a restart of the front end, that a replica was seen warm age seconds ago.
func (r *Router) RestoreReplica(now units.Seconds, in Request, id WorkerID, age units.Seconds) {
	r.advance(now)
	w, known := r.workersByID[id]
	if known && w.state == Serving && age < r.deployment.IdleReplicaLifetime {
		rep := r.functionOf(in).ensureReplica(w)
		rep.markWarm(max(rep.lastSeenAt, now-age))
	}
}
