package control

import (
	"fmt"
	"math/rand"
	"strconv"
	"testing"

	"streamcleat/internal/units"
)

// simulatedFleet simulates a fleet with several front ends and a virtual clock. It shares no code with the package. It checks
// every call of the routers against the invariants and records the first violation.
type simulatedFleet struct {
	rnd        *rand.Rand
	deployment *Deployment
	now        units.Seconds
	frontEnds  []*simulatedFrontEnd
	workers    []*simulatedWorker
	scheduled  []scheduledCall
	violation  string

	discoveryDown             bool // discovery is unavailable to some front ends
	outageStartedAt           units.Seconds
	listingDelay              units.Seconds // from the start of a worker until discovery lists it
	pushesOver                bool          // checks of reported cold workers have the tolerance of the platform's rules, otherwise none
	drainingRespondsToQueries bool          // draining workers accept queries instead of rejecting them
}

type scheduledCall struct {
	at   units.Seconds
	call func()
}

// stepSeconds is the interval at which advanceSteps runs scheduled calls.
const stepSeconds = 0.01

// newSimulatedFleet returns a fleet whose workers are known to all front ends.
func newSimulatedFleet(seed int64, deployment *Deployment, workers int) *simulatedFleet {
	s := &simulatedFleet{rnd: rand.New(rand.NewSource(seed)), deployment: deployment, now: 100}
	for i := range workers {
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
		f.router.Start()
		f.sendEndpointList()
	}
	return s
}

// recordViolation records a violated invariant, unless an earlier one is recorded.
func (s *simulatedFleet) recordViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("%.3f: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// checkInvariants fails the test if a violation was recorded.
func (s *simulatedFleet) checkInvariants(t *testing.T) {
	t.Helper()
	if s.violation != "" {
		t.Error(s.violation)
	}
}

func (s *simulatedFleet) after(delay units.Seconds, call func()) {
	s.scheduled = append(s.scheduled, scheduledCall{s.now + delay, call})
}

// advance moves the clock forward and runs the calls that are then due, in the order in which they were scheduled.
func (s *simulatedFleet) advance(duration units.Seconds) {
	s.now += duration
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
		s.advance(stepSeconds)
	}
}

func (s *simulatedFleet) workerByID(id WorkerID) *simulatedWorker {
	for _, worker := range s.workers {
		if worker.ID == id {
			return worker
		}
	}
	s.recordViolation("unknown worker %s", id)
	return s.workers[0]
}

// countReplicas returns the number of loaded replicas.
func (s *simulatedFleet) countReplicas() (count int) {
	for _, worker := range s.workers {
		count += len(worker.replicas)
	}
	return count
}

func (s *simulatedFleet) sendEndpointLists() {
	for _, f := range s.frontEnds {
		f.sendEndpointList()
	}
}

// sendAtInterval sends requests at a constant interval, waits for their responses and counts them.
func (s *simulatedFleet) sendAtInterval(functions int, interval, duration units.Seconds) (succeeded, other int) {
	var requests []*clientRequest
	for i := 0; units.Seconds(i)*interval < duration; i++ {
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

// basicDeployment has one front end that may send load commands, and one class of idempotent requests.
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
		RequestClasses:          []RequestClass{{Name: "idempotent", LatencyObjective: 1, Timeout: 3}},
	}
}

func randomDeployment(rnd *rand.Rand) *Deployment {
	d := basicDeployment()
	d.FrontEnds = 1 + rnd.Intn(5)
	d.NoLoadOnMiss, d.LoadCommandsAllowed = rnd.Intn(2) == 0, rnd.Intn(4) > 0
	d.GossipAllowed = rnd.Intn(2) == 0
	d.MaxAttempts = 1 + rnd.Intn(6)
	d.MaxRetryAfter = units.Seconds(rnd.Intn(2))
	if rnd.Intn(2) == 0 {
		d.LoadCommandWindow, d.LoadCommandAllowance, d.LoadCommandsPerRequest = 2, float64(rnd.Intn(3)), rnd.Float64()/4
	}
	d.RequestClasses = append(d.RequestClasses,
		RequestClass{Name: "at-most-once", LatencyObjective: 0.5, Timeout: 2, Semantics: AtMostOnce},
		RequestClass{
			Name: "by-key-fleet", LatencyObjective: 0.8, Timeout: 2, Semantics: IdempotentByKey,
			DeduplicationWindow: units.Seconds(0.2 + rnd.Float64()),
		},
		RequestClass{
			Name: "by-key-zone", LatencyObjective: 1, Timeout: 3, Semantics: IdempotentByKey,
			DeduplicationScope: ScopeZone, DeduplicationWindow: 0.5,
		},
		RequestClass{
			Name: "by-key-failure-domain", LatencyObjective: 1, Timeout: 3, Semantics: IdempotentByKey,
			DeduplicationScope: ScopeFailureDomain, DeduplicationWindow: 2,
		})
	return d
}
