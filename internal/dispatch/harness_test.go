package dispatch

import (
	"fmt"
	"testing"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// startTime is the time at which each test begins.
const startTime = 1000.0

// Request classes of the tests, one for each delivery semantics.
const (
	classIdempotent = "idempotent"
	classKeyed      = "keyed"
	classAtMostOnce = "at-most-once"
)

// harness implements Effects for a dispatcher under test. It records the dispatcher's actions; tests reply to attempts and
// load commands.
type harness struct {
	t                *testing.T
	dispatcher       *Dispatcher
	now              units.Seconds
	responses        map[WaiterID][]Response
	attempts         []Attempt
	records          []Record
	loads            []LoadCommand
	abandoned        map[uint64]bool
	inFlight         map[Identity]uint64
	possiblyExecuted map[Identity]bool // by an attempt that has ended
	atMostOnce       map[Identity]bool // by the class of the request
	violations       []string
	unsent           bool // no attempt has been sent
}

func (h *harness) Respond(to WaiterID, response Response) {
	h.responses[to] = append(h.responses[to], response)
}

func (h *harness) SendAttempt(attempt Attempt) {
	if id, busy := h.inFlight[attempt.Identity]; busy {
		h.violations = append(h.violations, fmt.Sprintf("%v: attempt %d started while %d is in flight", attempt.Identity, attempt.ID, id))
	}
	if h.atMostOnce[attempt.Identity] && h.possiblyExecuted[attempt.Identity] {
		h.violations = append(h.violations, fmt.Sprintf("%v: retried after a possible execution", attempt.Identity))
	}
	h.inFlight[attempt.Identity] = attempt.ID
	h.attempts = append(h.attempts, attempt)
}

func (h *harness) SendLoad(command LoadCommand)  { h.loads = append(h.loads, command) }
func (h *harness) CancelUnsent(uint64) bool      { return h.unsent }
func (h *harness) Broadcast([]byte)              {}
func (h *harness) Store(record Record)           { h.records = append(h.records, record) }
func (h *harness) OnRequestEnd(Response, *Trace) {}

func (h *harness) Abandon(id uint64) {
	h.abandoned[id] = true
	if identity, ok := h.endInFlight(id); ok {
		h.possiblyExecuted[identity] = true
	}
}

// endInFlight removes an attempt from those in flight and returns the identity of its request.
func (h *harness) endInFlight(id uint64) (Identity, bool) {
	for identity, current := range h.inFlight {
		if current == id {
			delete(h.inFlight, identity)
			return identity, true
		}
	}
	return Identity{}, false
}

func testDeployment() *control.Deployment {
	return &control.Deployment{
		FrontEnds:               1,
		NoLoadOnMiss:            true,
		LoadCommandsAllowed:     true,
		MaxAttempts:             4,
		MaxRetryAfter:           0.5,
		IdleReplicaLifetime:     8,
		MinRoundInterval:        0.004,
		InitialCapacityFraction: 0.3,
		WarmUpTime:              10,
		OverloadFactor:          2.5,
		OverloadWindow:          1.5,
		RequestClasses: []control.RequestClass{
			{Name: classIdempotent, LatencyObjective: 1.5, Timeout: 4},
			{Name: classKeyed, LatencyObjective: 1.5, Timeout: 4, Semantics: control.IdempotentByKey, DeduplicationWindow: 6},
			{Name: classAtMostOnce, LatencyObjective: 1.5, Timeout: 4, Semantics: control.AtMostOnce},
		},
	}
}

func testSettings() Settings {
	return Settings{
		Deployment:          testDeployment(),
		Functions:           func(string) FunctionProfile { return FunctionProfile{Concurrency: 2} },
		ResponseMargin:      0.1,
		LoadTimeout:         5,
		MaxOpen:             100,
		DeduplicationWindow: 60,
		MaxCachedBytes:      1 << 20,
		Seed:                7,
	}
}

// newHarness returns a harness with a dispatcher and three workers. change, unless nil, adjusts the settings.
func newHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	h := &harness{
		t:                t,
		now:              startTime,
		responses:        map[WaiterID][]Response{},
		abandoned:        map[uint64]bool{},
		inFlight:         map[Identity]uint64{},
		possiblyExecuted: map[Identity]bool{},
		atMostOnce:       map[Identity]bool{},
	}
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	h.dispatcher = New(settings, h, startTime)
	h.dispatcher.OnEndpointUpdate(startTime, control.Snapshot, testWorkers("wk-a", "wk-b", "wk-c"))
	return h
}

func testWorkers(ids ...control.WorkerID) []control.Worker {
	workers := make([]control.Worker, 0, len(ids))
	for _, id := range ids {
		workers = append(workers, control.Worker{ID: id, Weight: 1})
	}
	return workers
}

// advanceTo moves the clock and runs each timer at the time at which it is due.
func (h *harness) advanceTo(now units.Seconds) {
	for h.dispatcher.NextTimer() <= now {
		h.now = max(h.now, h.dispatcher.NextTimer())
		h.dispatcher.Tick(h.now)
	}
	h.now = now
	h.dispatcher.Tick(now)
}

func (h *harness) submit(to WaiterID, class, id string, timeout units.Seconds) {
	identity := Identity{"/t", id}
	h.atMostOnce[identity] = class == classAtMostOnce
	h.dispatcher.Submit(h.now, to, Request{Identity: identity, Class: class, Function: "f", Timeout: timeout})
}

// submitAndStart submits a request for waiter 1 and waits for its first attempt.
func (h *harness) submitAndStart(class, id string) Attempt {
	h.t.Helper()
	h.submit(1, class, id, 0)
	if len(h.attempts) == 0 {
		h.advanceTo(h.now + 0.2)
		h.completeLoads()
	}
	if len(h.attempts) == 0 {
		h.t.Fatalf("no attempt of %s was started; responses %v", id, h.responses)
	}
	return h.attempts[len(h.attempts)-1]
}

// completeLoads replies to every pending load command with success.
func (h *harness) completeLoads() {
	for _, command := range h.loads {
		h.dispatcher.OnLoadReply(h.now, command.ID, control.Succeeded, 1)
	}
	h.loads = nil
}

// reply ends an attempt with an outcome.
func (h *harness) reply(id uint64, outcome control.Outcome) {
	if identity, ok := h.endInFlight(id); ok && outcome < control.Rejected {
		h.possiblyExecuted[identity] = true
	}
	h.dispatcher.OnAttemptReply(h.now, id, WorkerReply{Outcome: outcome, Body: []byte("done")})
}

// response returns the response of a waiter. It fails the test unless there is exactly one.
func (h *harness) response(to WaiterID) Response {
	h.t.Helper()
	if len(h.responses[to]) != 1 {
		h.t.Fatalf("waiter %d got %d responses: %+v", to, len(h.responses[to]), h.responses[to])
	}
	return h.responses[to][0]
}

// wantResponse fails the test unless a waiter got one response, of this kind and cause.
func (h *harness) wantResponse(to WaiterID, kind ResponseKind, cause Cause) {
	h.t.Helper()
	if got := h.response(to); got.Kind != kind || got.Cause != cause {
		h.t.Fatalf("waiter %d got %s (%s), want %s (%s)", to, got.Kind, got.Cause, kind, cause)
	}
}

// discardEffects implements Effects. It keeps only the IDs of the newest attempt and load command.
type discardEffects struct{ attempt, load uint64 }

func (e *discardEffects) Respond(WaiterID, Response)    {}
func (e *discardEffects) SendAttempt(attempt Attempt)   { e.attempt = attempt.ID }
func (e *discardEffects) SendLoad(command LoadCommand)  { e.load = command.ID }
func (e *discardEffects) Abandon(uint64)                {}
func (e *discardEffects) CancelUnsent(uint64) bool      { return false }
func (e *discardEffects) Broadcast([]byte)              {}
func (e *discardEffects) Store(Record)                  {}
func (e *discardEffects) OnRequestEnd(Response, *Trace) {}

// newDiscarding returns a dispatcher with two workers and a discardEffects.
func newDiscarding(settings Settings) (*Dispatcher, *discardEffects) {
	effects := &discardEffects{}
	d := New(settings, effects, startTime)
	d.OnEndpointUpdate(startTime, control.Snapshot, testWorkers("wk-a", "wk-b"))
	return d, effects
}
