package control

import (
	"fmt"
	"math/rand"
	"strconv"
	"testing"
)

// fleet is a slow, plain fleet with several front ends. It shares no code with the package and keeps in
// violation the first breach of a rule that it sees.
type simulatedFleet struct {
	rnd        *rand.Rand
	deployment *Deployment
	now        float64
	frontEnds  []*simulatedFrontEnd
	workers    []*simulatedWorker
	scheduled  []scheduledCall
	violation  string
}

type scheduledCall struct {
	at   float64
	call func()
}

// workerByID is one simulated worker. The slices by front end hold what each was last told of it.
type simulatedWorker struct {
	Worker
	serviceRate  float64 // requests per second when warm
	freeAt       float64
	actualStart  float64
	listedState  []EndpointState // by front end
	listedStart  []float64       // by front end
	condition    workerCondition
	replicas     map[FunctionID]bool
	attemptTimes []float64
}

// clientRequest is a request with what the front end did about it.
type clientRequest struct {
	Request
	class     RequestClass
	deadline  float64
	responses int
	succeeded bool
	attempts  []*attempt
}

type attempt struct {
	machine                 *simulatedWorker
	startedAt               float64
	ended, possiblyExecuted bool
}

// simulatedFrontEnd is the host of one router.
type simulatedFrontEnd struct {
	fleet        *simulatedFleet
	index        int
	router       *Router
	requests     map[RequestID]*clientRequest
	requestTimes []float64
	loadTimes    []float64
}

func (s *simulatedFleet) recordViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("%.3f: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *simulatedFleet) after(span float64, call func()) {
	s.scheduled = append(s.scheduled, scheduledCall{s.now + span, call})
}

func (s *simulatedFleet) workerByID(id WorkerID) *simulatedWorker {
	for _, m := range s.workers {
		if m.ID == id {
			return m
		}
	}
	s.recordViolation("unknown worker %s", id)
	return s.workers[0]
}

func (s *simulatedFleet) advance(span float64) {
	s.now += span
	for i := 0; i < len(s.scheduled); i++ {
		if s.scheduled[i].at <= s.now {
			call := s.scheduled[i].call
			s.scheduled = append(s.scheduled[:i], s.scheduled[i+1:]...)
			i--
			call()
		}
	}
}

func (s *simulatedFleet) advanceSteps(count int) {
	for range count {
		s.advance(0.01)
	}
}

// countReplicas counts the replicas that are loaded.
func (s *simulatedFleet) countReplicas() (count int) {
	for _, m := range s.workers {
		count += len(m.replicas)
	}
	return count
}

// request returns the request that the router decides about, and checks that this is in time.
func (f *simulatedFrontEnd) request(id RequestID) *clientRequest {
	req := f.requests[id]
	if req == nil {
		f.fleet.recordViolation("unknown request %s", id)
		return &clientRequest{}
	}
	if f.fleet.now > req.deadline+0.016+0.01 { // the world moves in steps of 0.01
		f.fleet.recordViolation("request %s is past its deadline by %.3f", id, f.fleet.now-req.deadline)
	}
	if req.responses > 0 {
		f.fleet.recordViolation("request %s was answered before", id)
	}
	return req
}

// StartAttempt checks an attempt against the rules and lets it end when its machine answers.
func (f *simulatedFrontEnd) StartAttempt(id RequestID, worker WorkerID, timeout float64) {
	s, req, m := f.fleet, f.request(id), f.fleet.workerByID(worker)
	f.checkAttempt(req, m, timeout)
	a := &attempt{machine: m, startedAt: s.now, possiblyExecuted: true}
	req.attempts = append(req.attempts, a)
	m.checkSlowStart(s, m.listedStart[f.index] == m.StartedAt)
	outcome, span := s.execute(m, req.Function)
	if span > timeout {
		outcome, span = TimedOut, timeout
	}
	number := len(req.attempts) - 1
	s.after(span, func() { f.endAttempt(req, a, number, outcome) })
}

func (f *simulatedFrontEnd) checkAttempt(req *clientRequest, m *simulatedWorker, timeout float64) {
	s := f.fleet
	if len(req.attempts) >= s.deployment.MaxAttempts || timeout <= 0 {
		s.recordViolation("attempt %d of %s with timeout %g", len(req.attempts), req.ID, timeout)
	}
	if m.listedState[f.index] != Serving {
		s.recordViolation("attempt on a worker announced as %d", m.listedState[f.index])
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
	sameZone := first.machine.Zone == m.Zone
	inScope := class.DeduplicationScope == ScopeFleet ||
		sameZone && (class.DeduplicationScope == ScopeZone || first.machine.FailureDomain == m.FailureDomain)
	expired := s.now > first.startedAt+class.DeduplicationWindow
	if class.Semantics == AtMostOnce || class.Semantics == IdempotentByKey && (!inScope || expired) {
		s.recordViolation("%s sent again though it may have run", req.ID)
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
		Request: req.ID, Worker: a.machine.ID, Attempt: number,
		Outcome: outcome, Completed: req.responses > 0, Latency: now - a.startedAt,
	})
}

// checkSlowStart counts the attempts on a worker in its warm-up, of all front ends that know of its start.
func (m *simulatedWorker) checkSlowStart(s *simulatedFleet, startKnown bool) {
	age := s.now - m.actualStart
	if m.actualStart <= 0 || !startKnown || age >= s.deployment.WarmUpTime {
		return
	}
	m.attemptTimes = append(m.attemptTimes, s.now)
	count := 0
	for _, at := range m.attemptTimes {
		if at > s.now-s.deployment.OverloadWindow {
			count++
		}
	}
	capacity := s.warmUpCapacity(m, max(age-s.deployment.OverloadWindow, 0))
	if float64(count) > max(capacity, float64(len(s.frontEnds))) {
		s.recordViolation("%d attempts on a cold worker, which bears %.1f", count, capacity)
	}
}

// warmUpCapacity is how many attempts in a window a worker of an age bears.
func (s *simulatedFleet) warmUpCapacity(m *simulatedWorker, age float64) float64 {
	d := s.deployment
	share := d.InitialCapacityFraction + (1-d.InitialCapacityFraction)*age/d.WarmUpTime
	return d.OverloadFactor * share * d.OverloadWindow * m.serviceRate
}

func (s *simulatedFleet) execute(m *simulatedWorker, fn FunctionID) (Outcome, float64) {
	switch m.condition {
	case unresponsive:
		return TimedOut, 1e9
	case failing:
		return Failed, 0.01
	case rejecting:
		return Rejected, 0.01
	case partitioned:
		return Unreachable, 0.05
	}
	if m.State == Removed {
		return ConnectionLost, 0.05
	}
	if s.deployment.NoLoadOnMiss && !m.replicas[fn] {
		return ReplicaMissing, 0.01
	}
	m.replicas[fn] = true
	m.freeAt = max(m.freeAt, s.now) + s.rnd.ExpFloat64()/m.serviceRate
	return Succeeded, m.freeAt - s.now + 0.005
}

func (f *simulatedFrontEnd) Reject(id RequestID, retryAfter float64) {
	req := f.request(id)
	req.responses++
	class := &req.class
	for _, a := range req.attempts {
		deduplicated := class.Semantics == IdempotentByKey && class.DeduplicationScope == ScopeFleet &&
			f.fleet.now <= a.startedAt+class.DeduplicationWindow
		if (a.possiblyExecuted || !a.ended) && class.Semantics != Idempotent && !deduplicated {
			f.fleet.recordViolation("%s rejected though it may have run", id)
		}
	}
	if retryAfter < 0 || retryAfter > f.fleet.deployment.MaxRetryAfter {
		f.fleet.recordViolation("retry after %g", retryAfter)
	}
}

func (f *simulatedFrontEnd) Fail(id RequestID) { f.request(id).responses++ }

func (f *simulatedFrontEnd) LoadReplicas(worker WorkerID, fn FunctionID, replicas int) {
	s, m, d := f.fleet, f.fleet.workerByID(worker), f.fleet.deployment
	if m.listedState[f.index] != Serving || !d.LoadCommandsAllowed || replicas < 1 || replicas > 16 {
		s.recordViolation("load command to %s", worker)
	}
	f.loadTimes = append(f.loadTimes, s.now)
	inWindow := func(times []float64) (count float64) {
		for _, at := range times {
			if at > s.now-d.LoadCommandWindow {
				count++
			}
		}
		return count
	}
	ration := d.LoadCommandAllowance + d.LoadCommandsPerRequest*inWindow(f.requestTimes)
	if d.LoadCommandWindow > 0 && inWindow(f.loadTimes) > ration+1e-9 {
		s.recordViolation("load command over the ration")
	}
	if m.condition == unresponsive {
		return // a load command that is never answered
	}
	s.after(0.3, func() {
		if m.replicas[fn] = m.condition == healthy; m.replicas[fn] {
			f.router.OnLoadResult(s.now, LoadResult{Worker: worker, Function: fn, Outcome: Succeeded, Replicas: 1, Duration: 0.3})
		} else {
			f.router.OnLoadResult(s.now, LoadResult{Worker: worker, Function: fn, Outcome: Rejected, Duration: 0.3})
		}
	})
}

func (f *simulatedFrontEnd) Broadcast(message []byte) {
	s := f.fleet
	if !s.deployment.GossipAllowed || len(message) > 256 {
		s.recordViolation("message of %d bytes", len(message))
	}
	for _, other := range s.frontEnds {
		if other != f && s.rnd.Intn(10) > 0 {
			s.after(s.rnd.Float64()/20, func() { other.router.OnGossip(s.now, message) })
		}
	}
}

func (f *simulatedFrontEnd) SetTimer(after float64, timer uint64) {
	f.fleet.after(max(after, 0.001), func() { f.router.OnTimer(f.fleet.now, timer) })
}

func (f *simulatedFrontEnd) Subscribe() {}

// sendEndpointList tells the router of all machines.
func (f *simulatedFrontEnd) sendEndpointList(first bool) {
	var endpoints []Worker
	for _, m := range f.fleet.workers {
		m.listedState[f.index], m.listedStart[f.index] = m.State, m.StartedAt
		if m.State != Removed {
			endpoints = append(endpoints, m.Worker)
		}
	}
	if first {
		f.router.Start()
	}
	f.router.OnEndpointUpdate(f.fleet.now, Snapshot, endpoints)
}

// sendRequest gives the router a request of a client.
func (f *simulatedFrontEnd) sendRequest(id RequestID, fn FunctionID, class RequestClass, timeLeft float64) *clientRequest {
	req := &clientRequest{
		class: class, deadline: f.fleet.now + timeLeft,
		Request: Request{ID: id, Class: class.Name, Function: fn, TimeLeft: timeLeft, Concurrency: 2},
	}
	f.requests[id] = req
	f.requestTimes = append(f.requestTimes, f.fleet.now)
	f.router.OnRequest(f.fleet.now, req.Request)
	return req
}

// sendAtInterval plays a steady stream of requests for some seconds and counts what came of them.
func (s *simulatedFleet) sendAtInterval(functions int, interval, span float64) (succeeded, other int) {
	var requests []*clientRequest
	for i := 0; float64(i)*interval < span; i++ {
		s.advance(interval)
		id, fn := RequestID(fmt.Sprint(s.now, "-", i)), FunctionID(fmt.Sprint("f", i%functions))
		f := s.frontEnds[i%len(s.frontEnds)]
		requests = append(requests, f.sendRequest(id, fn, s.deployment.RequestClasses[0], 3))
	}
	s.advanceSteps(400)
	for _, req := range requests {
		if req.succeeded {
			succeeded++
		} else {
			other++
		}
	}
	return succeeded, other
}

// checkInvariants fails the test where the world saw a breach of a rule.
func (s *simulatedFleet) checkInvariants(t *testing.T) {
	t.Helper()
	if s.violation != "" {
		t.Error(s.violation)
	}
}

// restart gives a machine a new process, which is cold.
func (m *simulatedWorker) restart(now float64) { m.StartedAt, m.actualStart = now, now }

func (m *simulatedWorker) evictReplicas() { m.replicas = map[FunctionID]bool{} }

// newSimulatedFleet makes a fleet of the given size that every front end has been told of.
func newSimulatedFleet(seed int64, deployment *Deployment, machines int) *simulatedFleet {
	s := &simulatedFleet{rnd: rand.New(rand.NewSource(seed)), deployment: deployment, now: 100}
	for i := range machines {
		s.workers = append(s.workers, &simulatedWorker{
			serviceRate: 20,
			replicas:    map[FunctionID]bool{},
			Worker:      Worker{ID: WorkerID(fmt.Sprint("w", i)), Zone: ZoneID(strconv.Itoa(i % 2)), FailureDomain: i % 3, Weight: 1},
			listedState: make([]EndpointState, deployment.FrontEnds),
			listedStart: make([]float64, deployment.FrontEnds),
		})
	}
	for i := range deployment.FrontEnds {
		f := &simulatedFrontEnd{fleet: s, index: i, requests: map[RequestID]*clientRequest{}}
		f.router = New(deployment, (uint64(seed)<<20+uint64(i))*0x9e3779b97f4a7c15, f, s.now)
		s.frontEnds = append(s.frontEnds, f)
		f.sendEndpointList(true)
	}
	return s
}

// basicDeployment has one front end, which may load; requests of its only class may run twice.
func basicDeployment() *Deployment {
	return &Deployment{
		FrontEnds:               1,
		NoLoadOnMiss:            true,
		LoadCommandsAllowed:     true,
		MaxAttempts:             4,
		MaxRetryAfter:           0.5,
		IdleReplicaLifetime:     8,
		MinRoundInterval:        0.004,
		InitialCapacityFraction: 0.2,
		WarmUpTime:              15,
		OverloadFactor:          2.5,
		OverloadWindow:          1.5,
		RequestClasses:          []RequestClass{{Name: "free", LatencyObjective: 1, Timeout: 3}},
	}
}

func randomDeployment(rnd *rand.Rand) *Deployment {
	d := basicDeployment()
	d.FrontEnds = 1 + rnd.Intn(5)
	d.NoLoadOnMiss, d.LoadCommandsAllowed = rnd.Intn(2) == 0, rnd.Intn(4) > 0
	d.GossipAllowed = rnd.Intn(2) == 0
	d.MaxAttempts = 1 + rnd.Intn(6)
	d.MaxRetryAfter = float64(rnd.Intn(2))
	if rnd.Intn(2) == 0 {
		d.LoadCommandWindow, d.LoadCommandAllowance, d.LoadCommandsPerRequest = 2, float64(rnd.Intn(3)), rnd.Float64()/4
	}
	d.RequestClasses = append(d.RequestClasses,
		RequestClass{Name: "once", LatencyObjective: 0.5, Timeout: 2, Semantics: AtMostOnce},
		RequestClass{
			Name: "all", LatencyObjective: 0.8, Timeout: 2, Semantics: IdempotentByKey,
			DeduplicationWindow: 0.2 + rnd.Float64(),
		},
		RequestClass{
			Name: "zone", LatencyObjective: 1, Timeout: 3, Semantics: IdempotentByKey,
			DeduplicationScope: ScopeZone, DeduplicationWindow: 0.5,
		},
		RequestClass{
			Name: "cell", LatencyObjective: 1, Timeout: 3, Semantics: IdempotentByKey,
			DeduplicationScope: ScopeFailureDomain, DeduplicationWindow: 2,
		})
	return d
}
