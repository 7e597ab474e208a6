package control

import (
	"slices"
	"strconv"

	"streamcleat/internal/units"
)

// The golden fleet is a deterministic simulation with a virtual clock. It uses no identifier of the package, no map
// iteration and no function of math whose last digit may differ between platforms.

type (
	outcome            int
	startKind          int
	endpointState      int
	semantics          int
	deduplicationScope int
)

const (
	succeeded outcome = iota
	failed
	timedOut
	disconnected
	cancelled
	rejected
	unreachable
	notSent
	replicaMissing
)

const (
	startUnknown startKind = iota
	startWarm
	startCold
	startJoined
	startFailed
)

const (
	stateServing endpointState = iota
	stateDraining
	stateRemoved
)

const (
	idempotent semantics = iota
	idempotentByKey
	atMostOnce
)

const (
	fleetScope deduplicationScope = iota
	zoneScope
	failureDomainScope
)

type requestClass struct {
	name                                           string
	latencyObjective, timeout, deduplicationWindow units.Seconds
	semantics                                      semantics
	scope                                          deduplicationScope
}

var requestClasses = []requestClass{
	{name: "idempotent", latencyObjective: 1, timeout: 3},
	{name: "at-most-once", latencyObjective: 0.5, timeout: 2, semantics: atMostOnce},
	{name: "by-key-fleet", latencyObjective: 0.8, timeout: 2, deduplicationWindow: 0.7, semantics: idempotentByKey},
	{name: "by-key-zone", latencyObjective: 1, timeout: 3, deduplicationWindow: 0.5, semantics: idempotentByKey, scope: zoneScope},
	{name: "by-key-failure-domain", latencyObjective: 0.3, timeout: 3, deduplicationWindow: 2, semantics: idempotentByKey, scope: failureDomainScope},
}

// simulatedRequest is a request as its client sends it.
type simulatedRequest struct {
	id, class, function string
	timeLeft, loadTime  units.Seconds
	concurrency         int
	retried             bool
}

// attemptResult is the result of an attempt as the worker and the network produce it.
type attemptResult struct {
	id, worker                string
	attempt                   int
	outcome                   outcome
	completed, reported       bool
	latency, running, waiting float64
	start                     startKind
}

// goldenEndpoint is an entry of the endpoint list.
type goldenEndpoint struct {
	id, zone, machineType string
	failureDomain         int
	state                 endpointState
	weight, startedAt     float64
}

// scenario configures a simulated fleet. Rates are per virtual second.
type scenario struct {
	name                                         string
	frontEndCount                                int // stated in the deployment
	routerCount                                  int // number of routers that are simulated
	workerCount, functionCount                   int
	duration                                     units.Seconds // virtual seconds
	requestRate                                  float64       // over all routers
	burstFactor                                  float64       // factor on the request rate in every fifth second
	serviceTime, loadTime                        float64
	loadTimeKnown                                bool // requests state the expected load time
	pollsEndpoints                               bool
	noLoadOnMiss                                 bool
	loadCommandsAllowed, gossipAllowed           bool
	maxAttempts                                  int
	maxRetryAfter, idleReplicaLifetime           units.Seconds
	loadCommandWindow                            units.Seconds
	loadCommandAllowance, loadCommandsPerRequest float64
	warmUpTime                                   float64
	faultRate                                    float64         // changes of a worker's condition
	churnRate                                    float64         // drains, crashes, restarts and joins
	cancelFraction, retryFraction, hotFraction   float64         // of the requests
	preloadRate                                  float64         // preloads
	restoredReplicas                             int             // replicas restored by each router at its start
	loadReportFraction                           float64         // of the responses
	slowStoreFactor                              float64         // factor on load times in the middle third
	onlyCondition                                workerCondition // the only fault; healthy for all faults
	onlyRestarts                                 bool            // churn only restarts workers, which keep their IDs
	meanFaultDuration                            units.Seconds   // seconds in addition to the first; 0 for 3
	onlyClass                                    string          // the only request class; empty for all
}

// splitMix64 is the SplitMix64 generator. Unlike math/rand it produces the same numbers in all releases of Go.
type splitMix64 uint64

func (r *splitMix64) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	x := uint64(*r)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (r *splitMix64) fraction() float64           { return float64(r.next()>>11) / (1 << 53) }
func (r *splitMix64) below(n int) int             { return int(r.next() % uint64(n)) }
func (r *splitMix64) bernoulli(p float64) bool    { return r.fraction() < p }
func (r *splitMix64) skewed(mean float64) float64 { u := r.fraction(); return 3 * mean * u * u }

// scheduledEvent is a function to be run at a virtual time.
type scheduledEvent struct {
	at  units.Seconds
	run func()
}

// eventQueue holds scheduled events ordered by time. Events of equal time are in the order in which they were scheduled.
type eventQueue []scheduledEvent

func (q *eventQueue) push(event scheduledEvent) {
	i, _ := slices.BinarySearchFunc(*q, event.at, func(queued scheduledEvent, at units.Seconds) int {
		if queued.at > at {
			return 1
		}
		return -1
	})
	*q = slices.Insert(*q, i, event)
}

func (q *eventQueue) pop() scheduledEvent {
	first := (*q)[0]
	*q = (*q)[1:]
	return first
}

// goldenFleet simulates clients, front ends and workers, and records every call that a router makes.
type goldenFleet struct {
	*scenario
	random         splitMix64
	now            units.Seconds
	events         eventQueue
	workers        []*goldenWorker
	frontEnds      []*goldenFrontEnd
	log            []byte
	workersCreated int
	requestsSent   int
}

const startTime = 100.0

func newGoldenFleet(s *scenario, seed uint64) *goldenFleet {
	g := &goldenFleet{scenario: s, random: splitMix64(seed * 0x632be59bd9b4e019), now: startTime}
	for range s.workerCount {
		g.workers = append(g.workers, g.newWorker(0))
	}
	for i := range s.routerCount {
		f := &goldenFrontEnd{fleet: g, index: i, requests: map[string]*openRequest{}}
		f.router = newRouterAdapter(s, g.random.next(), g.now, f)
		g.frontEnds = append(g.frontEnds, f)
	}
	return g
}

func (g *goldenFleet) newWorker(startedAt units.Seconds) *goldenWorker {
	i := g.workersCreated
	g.workersCreated++
	worker := &goldenWorker{replicasReadyAt: map[string]units.Seconds{}, goldenEndpoint: goldenEndpoint{
		id:   "w" + strconv.Itoa(i),
		zone: "z" + strconv.Itoa(i%3), failureDomain: i % 4, machineType: "small", weight: 1, startedAt: float64(startedAt),
	}}
	if i%5 == 4 {
		worker.machineType, worker.weight = "large", 2
	}
	worker.coresFreeAt = make([]units.Seconds, 2*int(worker.weight))
	return worker
}

func (g *goldenFleet) after(delay units.Seconds, run func()) {
	g.events.push(scheduledEvent{g.now + delay, run})
}

// run simulates the scenario and returns the log.
func (g *goldenFleet) run() []byte {
	for _, f := range g.frontEnds {
		f.router.start()
		f.router.endpointSnapshot(g.now, g.endpointList())
		g.restoreReplicas(f)
	}
	g.scheduleRepeatedly(g.requestInterval, g.sendRequest)
	g.scheduleRepeatedly(g.intervalOf(g.faultRate), g.changeCondition)
	g.scheduleRepeatedly(g.intervalOf(g.churnRate), g.changeWorker)
	g.scheduleRepeatedly(g.intervalOf(g.preloadRate), g.preloadFunction)
	end := startTime + g.duration + 5
	for len(g.events) > 0 && g.events[0].at < end {
		event := g.events.pop()
		g.now = event.at
		event.run()
	}
	return g.log
}

// intervalOf returns a function that draws random intervals between events of the given rate.
func (g *goldenFleet) intervalOf(rate float64) func() units.Seconds {
	return func() units.Seconds {
		if rate == 0 {
			return g.duration
		}
		return units.Seconds(g.random.skewed(1 / rate))
	}
}

func (g *goldenFleet) requestInterval() units.Seconds {
	rate := g.requestRate
	if g.burstFactor > 0 && int(g.now)%5 == 0 {
		rate *= g.burstFactor
	}
	return units.Seconds(g.random.skewed(1 / rate))
}

func (g *goldenFleet) scheduleRepeatedly(interval func() units.Seconds, run func()) {
	g.after(interval(), func() {
		if g.now < startTime+g.duration {
			run()
			g.scheduleRepeatedly(interval, run)
		}
	})
}

func (g *goldenFleet) endpointList() []goldenEndpoint {
	var list []goldenEndpoint
	for _, worker := range g.workers {
		if worker.state != stateRemoved {
			list = append(list, worker.goldenEndpoint)
		}
	}
	return list
}

func (g *goldenFleet) workerByID(id string) *goldenWorker {
	for _, worker := range g.workers {
		if worker.id == id {
			return worker
		}
	}
	panic("the router called an unknown worker " + id)
}

// sendEndpointUpdates sends each router, after a random delay, a snapshot or a delta with the change.
func (g *goldenFleet) sendEndpointUpdates(changed *goldenWorker) {
	for _, f := range g.frontEnds {
		isSnapshot := g.random.bernoulli(0.5)
		g.after(units.Seconds(0.05+g.random.fraction()/5), func() {
			if isSnapshot {
				f.router.endpointSnapshot(g.now, g.endpointList())
			} else {
				f.router.endpointDelta(g.now, []goldenEndpoint{changed.goldenEndpoint})
			}
		})
	}
	if g.random.bernoulli(0.1) {
		g.frontEnds[g.random.below(len(g.frontEnds))].router.endpointPollFailed(g.now)
	}
}

func (g *goldenFleet) restoreReplicas(f *goldenFrontEnd) {
	for range g.restoredReplicas {
		worker, req := g.workers[g.random.below(len(g.workers))], g.newRequest()
		if g.random.bernoulli(0.8) {
			worker.replicasReadyAt[req.function] = g.now
		}
		f.router.restoreReplica(g.now, req, worker.id, units.Seconds(g.random.fraction())*g.idleReplicaLifetime*1.3)
	}
}

func (g *goldenFleet) newRequest() simulatedRequest {
	g.requestsSent++
	class := requestClasses[g.random.below(len(requestClasses))]
	req := simulatedRequest{id: "q" + strconv.Itoa(g.requestsSent), class: class.name, retried: g.random.bernoulli(g.retryFraction)}
	req.timeLeft = class.timeout * units.Seconds(max(g.random.fraction(), 0.02))
	if g.onlyClass != "" {
		req.class = g.onlyClass
	} else if g.random.bernoulli(0.02) {
		req.class = "unknown"
	}
	function := g.random.below(1 + g.random.below(g.functionCount))
	if g.random.bernoulli(g.hotFraction) {
		function = 0
	}
	req.function, req.concurrency = "f"+strconv.Itoa(function), function%4
	if g.loadTimeKnown {
		req.loadTime = units.Seconds(g.loadTime)
	}
	return req
}

func (g *goldenFleet) sendRequest() {
	f, req := g.frontEnds[g.random.below(len(g.frontEnds))], g.newRequest()
	f.requests[req.id] = &openRequest{simulatedRequest: req}
	if g.random.bernoulli(g.cancelFraction) {
		g.after(units.Seconds(g.random.skewed(g.serviceTime)), func() { f.cancel(req.id) })
	}
	f.router.request(g.now, req)
}

func (g *goldenFleet) preloadFunction() {
	f, req := g.frontEnds[g.random.below(len(g.frontEnds))], g.newRequest()
	f.logCall("preload", req.function, strconv.FormatBool(f.router.preload(g.now, req)))
}

func (g *goldenFleet) changeCondition() {
	worker := g.workers[g.random.below(len(g.workers))]
	worker.condition = workerCondition(g.random.below(int(conditionCount)))
	if g.onlyCondition != healthy {
		worker.condition = g.onlyCondition
	}
	meanDuration := 3.0
	if g.meanFaultDuration > 0 {
		meanDuration = float64(g.meanFaultDuration)
	}
	g.after(units.Seconds(1+g.random.skewed(meanDuration)), func() { worker.condition = healthy })
}

// changeWorker drains, crashes, restarts or resizes a random worker, or adds one.
func (g *goldenFleet) changeWorker() {
	worker := g.workers[g.random.below(len(g.workers))]
	change := g.random.below(5)
	if g.onlyRestarts {
		change = 2
	}
	switch change {
	case 0:
		worker.state = stateDraining
		g.after(units.Seconds(1+g.random.fraction()), func() { g.removeWorker(worker) })
	case 1:
		g.removeWorker(worker)
	case 2:
		worker.startedAt, worker.state, worker.condition = float64(g.now), stateServing, healthy
		worker.replicasReadyAt = map[string]units.Seconds{}
	case 3:
		worker.weight = 0.5 + g.random.fraction()
	case 4:
		worker = g.newWorker(g.now)
		g.workers = append(g.workers, worker)
	}
	g.sendEndpointUpdates(worker)
}

// removeWorker removes a worker. Most are replaced by a new worker with a new ID.
func (g *goldenFleet) removeWorker(worker *goldenWorker) {
	worker.state = stateRemoved
	g.sendEndpointUpdates(worker)
	if g.random.bernoulli(0.8) {
		g.after(units.Seconds(g.random.fraction()), func() {
			replacement := g.newWorker(g.now)
			g.workers = append(g.workers, replacement)
			g.sendEndpointUpdates(replacement)
		})
	}
}
