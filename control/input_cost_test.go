package control

import (
	"math"
	"strconv"
	"testing"
	"time"

	"streamcleat/internal/units"
	"streamcleat/internal/verification/exclusive"
)

const (
	// costWorkers is the number of workers of the router.
	costWorkers = 16
	// costBatch is the number of inputs in a batch, and costRounds the number of batches.
	costBatch  = 2000
	costRounds = 7
	// maxCostRatio is the limit of the cost of an input after many requests, relative to the cost after few.
	maxCostRatio = 1.2
)

// costRouter is a router with requests that were cancelled at once. As its host, it sends nothing.
type costRouter struct {
	leaseHost
	attempt  WorkerID // worker of the attempt that was started last; empty if it has ended
	requests int
}

// StartAttempt implements Host.
func (c *costRouter) StartAttempt(_ RequestID, worker WorkerID, _ units.Seconds) { c.attempt = worker }

// LoadReplicas implements Host.
func (c *costRouter) LoadReplicas(WorkerID, FunctionID, int) {}

// QueryReplicas implements Host.
func (c *costRouter) QueryReplicas(WorkerID, FunctionID, int, units.Seconds) {}

// Reject implements Host.
func (c *costRouter) Reject(RequestID, units.Seconds) {}

// newCostRouter returns a router after a number of requests that were cancelled at once, each for a function of its own unless
// function is set, within a second.
func newCostRouter(earlier int, function FunctionID) *costRouter {
	deployment := basicDeployment()
	deployment.EndpointLeases, deployment.DrainGrace = true, testDrainGrace
	deployment.LoadCommandWindow, deployment.LoadCommandAllowance, deployment.LoadCommandsPerRequest = 4, 3, 0
	c := &costRouter{}
	c.now = 100
	c.router = New(deployment, 1, c, c.now)
	c.router.Start()
	var endpoints []Worker
	for i := range costWorkers {
		endpoints = append(endpoints, Worker{ID: WorkerID(strconv.Itoa(i)), Weight: 1})
	}
	c.router.OnEndpointUpdate(c.now, Snapshot, endpoints)
	c.router.OnDiscoveryAvailable(c.now, c.now+10)
	for range earlier {
		c.now += units.Seconds(1 / float64(earlier))
		c.requestAndCancel(function)
	}
	return c
}

// requestAndCancel passes a request and its cancellation.
func (c *costRouter) requestAndCancel(function FunctionID) {
	c.requests++
	id := strconv.Itoa(c.requests)
	if function == "" {
		function = FunctionID("new-" + id)
	}
	c.router.OnRequest(c.now, Request{ID: RequestID(id), Class: "call", Function: function, TimeLeft: 1.5, Concurrency: 1})
	c.router.OnCancel(c.now, RequestID(id))
	if c.attempt != "" {
		c.router.OnAttemptResult(c.now, AttemptResult{Request: RequestID(id), Worker: c.attempt, Outcome: NotSent})
		c.attempt = ""
	}
}

// cost returns the least time that a batch of inputs took.
func (c *costRouter) cost(input func()) time.Duration {
	least := time.Duration(math.MaxInt64)
	for range costRounds {
		start := time.Now()
		for range costBatch {
			input()
		}
		least = min(least, time.Since(start))
	}
	return least
}

// Guards against requests and timers whose cost grows with the number of requests that clients cancelled before.
func TestInputCost_CancelledRequestsLeaveNothing(t *testing.T) {
	exclusive.Acquire(t)
	const few, many = 100, 100_000
	for name, c := range map[string]struct {
		function FunctionID // of the earlier requests; empty: each has its own
		input    func(c *costRouter)
	}{
		"request for a known function": {"known", func(c *costRouter) { c.requestAndCancel("known") }},
		"request for a new function":   {"", func(c *costRouter) { c.requestAndCancel("") }},
		"rules of endpoints": {"", func(c *costRouter) {
			c.router.OnTimer(c.now, confirmationResponseTimer)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			small, large := newCostRouter(few, c.function), newCostRouter(many, c.function)
			base := small.cost(func() { c.input(small) })
			if got := large.cost(func() { c.input(large) }); float64(got) > maxCostRatio*float64(base) {
				t.Errorf("%d inputs take %v after %d requests, %v after %d", costBatch, got, many, base, few)
			}
		})
	}
}

// Guards against memory that grows with the functions and requests that clients named and cancelled.
func TestRouter_CancelledRequestsAreForgotten(t *testing.T) {
	const requests = 50_000
	c := newCostRouter(requests, "")
	if n := len(c.router.functionsByID); n > maxUnusedFunctions+costWorkers {
		t.Errorf("%d functions are remembered after %d requests for new ones", n, requests)
	}
	c = newCostRouter(requests, "known")
	for _, fn := range c.router.functions {
		if n := len(fn.waiters); n > costWorkers {
			t.Errorf("%d finished requests wait for a load of %s", n, fn.id)
		}
	}
	if n := len(c.router.requests) + len(c.router.requestsByTimerID); n > 0 {
		t.Errorf("%d entries of cancelled requests remain", n)
	}
}
