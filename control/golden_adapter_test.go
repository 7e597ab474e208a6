package control

// This file alone joins the golden test to the names of the package: a rename in control changes it and
// neither the fleet nor the golden files.

var resultOf = map[outcome]Result{succeeded: Handled, failed: Failed, timedOut: TimedOut, disconnected: Broken,
	cancelled: Cancelled, refused: TurnedAway, unreachable: Unreachable, unsent: NeverSent, missing: Missed}

var warmthOf = map[start]Warmth{startUnknown: WarmthUnknown, startWarm: FoundWarm, startCold: BeganLoad,
	startJoined: JoinedLoad, startFailed: LoadFailed}

var phaseOf = map[state]Phase{stateServing: Serving, stateDraining: Draining, stateGone: Gone}

var repeatOf = map[repetition]Repeat{idempotent: Redeliverable, deduplicated: Keyed, once: AtMostOnce}

var reachOf = map[scope]Reach{fleetScope: ReachAll, zoneScope: ReachZone, cellScope: ReachCell}

// adapter drives one Router and passes its calls on to the front end.
type adapter struct {
	router *Router
	to     *front
}

func newAdapter(s *scenario, seed uint64, now float64, to *front) *adapter {
	a := &adapter{to: to}
	a.router = New(deploymentOf(s), seed, a, now)
	return a
}

func deploymentOf(s *scenario) *Deployment {
	d := &Deployment{FrontEnds: s.frontEnds, Asked: s.subscribes, MissAnswers: s.reportsMissing,
		MayOrder: s.mayLoad, MayTell: s.mayBroadcast, MaxLaunches: s.maxAttempts, MaxPause: s.maxPause,
		KeepWarm: s.keepWarm, LoadWindow: s.loadWindow, LoadFree: s.loadFree, LoadShare: s.loadShare,
		RoundGap: 0.004, ColdShare: 0.2, WarmWithin: s.warmWithin, FallFactor: 2.5, FallWindow: 1.5}
	for _, t := range requestTypes {
		d.EventTypes = append(d.EventTypes, EventType{Name: t.name, TargetTime: t.target, MaxAge: t.limit,
			Repeat: repeatOf[t.repetition], Reach: reachOf[t.scope], Remembered: t.remembered})
	}
	return d
}

func eventOf(q request) Event {
	return Event{ID: EventID(q.id), Type: q.kind, Tenant: "tenant", Function: FunctionID(q.function),
		Left: q.limit, Lanes: q.lanes, Load: q.loadTime, Repeated: q.retried}
}

func (a *adapter) workers(now float64, full, first bool, list []replica) {
	var workers []Worker
	for _, p := range list {
		workers = append(workers, Worker{ID: WorkerID(p.id), Zone: ZoneID(p.zone), Kind: KindID(p.kind),
			Cell: p.cell, Phase: phaseOf[p.state], Size: p.size, Born: p.started})
	}
	a.router.List(now, full, first, workers)
}

func (a *adapter) listFailed(now float64)            { a.router.ListFailed(now) }
func (a *adapter) request(now float64, q request)    { a.router.Event(now, eventOf(q)) }
func (a *adapter) hungUp(now float64, id string)     { a.router.HungUp(now, EventID(id)) }
func (a *adapter) timer(now float64, mark uint64)    { a.router.Woken(now, mark) }
func (a *adapter) heard(now float64, message []byte) { a.router.Told(now, message) }

func (a *adapter) preload(now float64, q request) bool { return a.router.Ahead(now, eventOf(q)) }

func (a *adapter) recall(now float64, q request, worker string, age float64) {
	a.router.Recall(now, eventOf(q), WorkerID(worker), age)
}

func (a *adapter) attemptEnded(now float64, e ended) {
	a.router.Ended(now, Ending{Event: EventID(e.id), Worker: WorkerID(e.worker), Launch: e.attempt,
		Result: resultOf[e.outcome], Settled: e.settled, Took: e.took, Warmth: warmthOf[e.start],
		Report: Report{Running: e.running, Waiting: e.waiting, Known: e.reported}})
}

func (a *adapter) loadEnded(now float64, worker, function string, o outcome, copies int, took float64) {
	a.router.Held(now, WorkerID(worker), FunctionID(function), resultOf[o], copies, took)
}

func (a *adapter) Launch(id EventID, worker WorkerID, limit float64) {
	a.to.attempt(string(id), string(worker), limit)
}

func (a *adapter) Defer(id EventID, pause float64) { a.to.reject(string(id), pause) }
func (a *adapter) DeadLetter(id EventID)           { a.to.fail(string(id)) }

func (a *adapter) Hold(worker WorkerID, function FunctionID, copies int) {
	a.to.load(string(worker), string(function), copies)
}

func (a *adapter) Tell(message []byte)             { a.to.broadcast(message) }
func (a *adapter) Wake(after float64, mark uint64) { a.to.wake(after, mark) }
func (a *adapter) Subscribe()                      { a.to.resubscribe() }
