package control

// Entry points of a Router: each notes what came in and then applies the rules of rules.go.

const (
	tickSeconds         = 0.25 // interval of the periodic updates
	pollRetrySeconds    = 2.0  // delay of a new request for the endpoint list after one that failed
	idleFunctionSeconds = 60.0 // a function without requests for so long is forgotten
	timerEarlyRounds    = 2.0  // rounds before the deadline from which on a request's timer ends it
)

// Timers of the router itself; those of requests have higher numbers.
const (
	tickTimer uint64 = iota
	pollTimer
)

// Start starts the periodic updates and, where the deployment polls for it, requests the endpoint list. It is called
// once, before anything else comes in.
func (r *Router) Start() {
	r.host.SetTimer(tickSeconds, tickTimer)
	if r.deployment.PollEndpoints {
		r.host.Subscribe()
	}
}

// OnEndpointUpdate applies an update of the endpoint list. A snapshot removes the workers that it does not list.
func (r *Router) OnEndpointUpdate(now float64, scope UpdateScope, endpoints []Worker) {
	r.now = now
	listed := make([]bool, len(r.workers))
	for _, endpoint := range endpoints {
		w, known := r.workersByID[endpoint.ID]
		if !known {
			w = r.addWorker(endpoint.ID)
		}
		if w.index == len(listed) {
			listed = append(listed, true)
		}
		listed[w.index] = true
		r.updateWorker(w, endpoint, !known)
	}
	for i, w := range r.workers {
		if scope == Snapshot && !listed[i] {
			w.state = Removed
		}
	}
	r.endpointRulesDue = true
	r.endpointVersion++
	r.applyRules()
}

// OnEndpointPollFailed schedules another poll for the endpoint list.
func (r *Router) OnEndpointPollFailed(_ float64) { r.host.SetTimer(pollRetrySeconds, pollTimer) }

// OnRequest takes a new request.
func (r *Router) OnRequest(now float64, in Request) {
	r.now = now
	r.lastTimer++
	req := &request{
		Request:  in,
		class:    r.classOf(in),
		function: r.functionOf(in),
		deadline: now + in.TimeLeft,
		timer:    r.lastTimer,
	}
	r.requests[req.ID] = req
	r.requestsByTimer[req.timer] = req
	r.requestTimes = append(r.timesWithin(r.requestTimes, r.deployment.LoadCommandWindow), now)
	// An attempt ends by itself at the deadline; this is for a request that waits for a load.
	r.host.SetTimer(max(in.TimeLeft-r.deployment.MinRoundInterval, 0), req.timer)
	r.pending = append(r.pending, req)
	r.applyRules()
}

// classOf is the class of a request; one that the deployment does not state is treated as at-most-once.
func (r *Router) classOf(in Request) *RequestClass {
	for i := len(r.deployment.RequestClasses) - 1; i >= 0; i-- {
		if class := &r.deployment.RequestClasses[i]; class.Name == in.Class {
			return class
		}
	}
	return &RequestClass{LatencyObjective: in.TimeLeft, Timeout: in.TimeLeft, Semantics: AtMostOnce}
}

// OnCancel drops a request whose client has gone.
func (r *Router) OnCancel(now float64, id RequestID) {
	r.now = now
	if req := r.requests[id]; req != nil {
		r.finish(req)
	}
	r.applyRules()
}

// OnTimer is called when a timer set with Host.SetTimer fires.
func (r *Router) OnTimer(now float64, timer uint64) {
	r.now = now
	switch timer {
	case tickTimer:
		r.host.SetTimer(tickSeconds, tickTimer)
		r.tick()
		r.endpointRulesDue = true
	case pollTimer:
		r.host.Subscribe()
	default:
		req := r.requestsByTimer[timer]
		if req != nil && !req.inFlight && now >= req.deadline-timerEarlyRounds*r.deployment.MinRoundInterval {
			r.reject(req)
		}
	}
	r.applyRules()
}

func (r *Router) tick() {
	span := max(r.now-r.lastTickAt, tickSeconds/2)
	r.lastTickAt = r.now
	r.decayAnswerRates(span)
	r.decayReportedLoads(span)
	r.grantSlowStartCredits(span)
	r.updateMachineRates(span)
	r.forgetFunctions(idleFunctionSeconds)
}

// OnAttemptResult takes the end of an attempt; that of one which is not in flight is ignored.
func (r *Router) OnAttemptResult(now float64, result AttemptResult) {
	r.now = now
	req := r.requests[result.Request]
	if req == nil || !req.inFlight {
		return
	}
	w := req.worker
	rep := r.endAttempt(req)
	if report := result.Report; report.Known {
		w.reportedLoad = max(report.Running+report.Waiting-float64(len(w.inFlight)), 0)
	}
	r.updateReplicaLossRate(result)
	if result.Outcome != TimedOut && result.Outcome != Cancelled {
		w.lastAnswerAt = now
	}
	r.updateReplica(req, rep, result)
	if result.Outcome <= Rejected && result.Outcome != ConnectionLost {
		if !req.awaitsLoad && result.Start <= WarmStart {
			r.updateFromWarmAnswer(req, result)
		}
		r.broadcastAnswer(req.function, w, result.Latency)
	}
	if result.Outcome < Rejected && !req.mayHaveRun {
		req.mayHaveRun = true
		req.firstRunAt = req.sentAt
		req.firstRunOn = w
	}
	r.continueRequest(req, result.Completed)
	r.applyRules()
}

// updateReplica takes an attempt result into what is known of the replica and its worker.
func (r *Router) updateReplica(req *request, rep *replica, result AttemptResult) {
	w := rep.worker
	late, early := isLate(req.class, result.Latency), isEarly(req.class, result.Latency)
	switch result.Outcome {
	case Succeeded:
		if r.warmUpProgress(w, r.now) >= 1 {
			w.machine.succeeded++
		}
		rep.markWarm(r.now)
		if result.Start <= WarmStart {
			r.updateLatency(req.function, rep, result.Latency)
			r.updateConcurrencyLimit(req, late, early)
		}
	case TimedOut: // counts as late, or an overloaded worker that answers nothing would stay so
		r.updateConcurrencyLimit(req, late && !req.awaitsLoad, false)
	case Rejected:
		w.noLoadsUntil = r.now + noLoadsSeconds
		r.updateConcurrencyLimit(req, true, false)
	case Unreachable: // the process is gone with its replicas; the endpoint list will follow
		rep.warm = false
		w.noLoadsUntil = r.now + noLoadsSeconds
	case ReplicaMissing: // says nothing against the worker, which may be tried again
		rep.warm = false
		req.worker = nil
	}
}

// updateFromWarmAnswer takes the result of an attempt that waited for no load into the figures of the fleet.
func (r *Router) updateFromWarmAnswer(req *request, result AttemptResult) {
	r.updateAdmissionProbability(req.class, result)
	r.updateLowLatency(result)
	r.updateTargetReplicas(req, result)
}

// RestoreReplica takes back, after a restart of the front end, that a replica was seen warm age seconds ago.
func (r *Router) RestoreReplica(now float64, in Request, id WorkerID, age float64) {
	r.now = now
	w, known := r.workersByID[id]
	if known && w.state == Serving && age < r.deployment.IdleReplicaLifetime {
		rep := r.functionOf(in).ensureReplica(w)
		rep.markWarm(max(rep.lastSeenAt, now-age))
	}
}
