package nodesim

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/proxy"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

const (
	clientCount = 3
	workerCount = 4
	// settleTime is longer than the timeout of any request, in seconds.
	settleTime     = 3
	leaseInterval  = 0.5  // seconds between confirmations of the endpoint list
	resetInterval  = 2    // seconds between resets of a connection by the worker
	networkDelay   = 2e-4 // seconds from a write until it is received
	maxDialTime    = 5e-3 // seconds
	checkInterval  = 0.05 // seconds between checks of the front end's state
	maxViolations  = 20
	loadWireIDFlag = 1 << 63 // set in the IDs of the front end's load commands
)

// Settings configures a simulation.
type Settings struct {
	Seed     uint64
	Duration units.Seconds // during which clients send requests
	// RequestInterval is the mean time in seconds between two requests of a client.
	RequestInterval units.Seconds
	Proxy           proxy.Settings
	// Classes holds the names of request classes; AtMostOnce is the one whose requests must not run twice.
	Classes    []string
	AtMostOnce string
}

// Report is the result of a simulation.
type Report struct {
	Requests, Succeeded, Rejected, Failed, Cancelled int
	// RejectedDuplicates counts the requests that were rejected while their ID was open.
	RejectedDuplicates int
	// FailedDuplicates counts the requests that failed because an at-most-once request with their ID may have run.
	FailedDuplicates int
	// LateReplies counts the replies to attempts that had ended.
	LateReplies int
	// Violations describes broken rules, at most 20.
	Violations []string
}

// simulation is the state of a running simulation.
type simulation struct {
	clock
	settings Settings
	random   *rand.Rand
	proxy    *proxy.Proxy
	report   Report
	timerAt  units.Seconds
	clients  []*client
	workers  workers
	requests int            // number of requests, for their bodies
	openIDs  map[uint64]int // number of open requests by ID
	stopping bool           // clients send no further requests
}

// Run runs a simulation and returns its report. The same settings give the same report.
func Run(settings Settings) Report {
	s := &simulation{
		clock: clock{now: startTime}, settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 0)), openIDs: map[uint64]int{},
	}
	s.workers = newWorkers(s)
	s.proxy = proxy.New(settings.Proxy, s)
	s.proxy.SetEndpointList(endpointList())
	s.every(leaseInterval, func() { s.proxy.OnDiscoveryAvailable(s.now) })
	s.every(proxy.SweepInterval, s.proxy.Sweep)
	s.every(checkInterval, s.checkState)
	s.every(resetInterval, s.workers.resetConnection)
	for range clientCount {
		s.clients = append(s.clients, newClient(s))
	}
	s.runUntil(startTime+settings.Duration, s.fireTimer)
	s.stopping = true
	s.runUntil(s.now+settleTime, s.fireTimer)
	for _, c := range s.clients {
		c.checkAnswered()
	}
	return s.report
}

// endpointList returns the list of the workers, which have been running for long.
func endpointList() *upstream.EndpointList {
	list := &upstream.EndpointList{Addresses: map[control.WorkerID]string{}}
	for number := range workerCount {
		id := control.WorkerID(fmt.Sprintf("worker-%d", number))
		list.Workers = append(list.Workers, control.Worker{ID: id, Weight: 1})
		list.Addresses[id] = string(id)
	}
	return list
}

// fireTimer runs the front end's timer if it is due.
func (s *simulation) fireTimer() {
	if s.timerAt > 0 && s.timerAt <= s.now {
		s.timerAt = 0
		s.proxy.Tick()
	}
}

func (s *simulation) checkState() {
	if err := s.proxy.Check(true); err != nil {
		s.violate("state: %v", err)
	}
}

// violate records a broken rule.
func (s *simulation) violate(format string, args ...any) {
	if len(s.report.Violations) < maxViolations {
		s.report.Violations = append(s.report.Violations, fmt.Sprintf("%.3f ", s.now-startTime)+fmt.Sprintf(format, args...))
	}
}

// chance reports true with the given probability.
func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

// upTo returns a random duration up to a limit.
func (s *simulation) upTo(limit units.Seconds) units.Seconds {
	return units.Seconds(s.random.Float64()) * limit
}

// spell returns the 16 hexadecimal digits of a number in a random spelling.
func (s *simulation) spell(number uint64) string {
	text := fmt.Sprintf("%016x", number)
	switch s.random.IntN(3) {
	case 0:
		return text
	case 1:
		return strings.ToUpper(text)
	}
	return strings.Map(func(digit rune) rune {
		if s.chance(0.5) {
			return []rune(strings.ToUpper(string(digit)))[0]
		}
		return digit
	}, text)
}

// SetTimer implements proxy.Host.
func (s *simulation) SetTimer(at units.Seconds) {
	s.timerAt = at
	s.After(max(at-s.now, 0), func() {}) // fireTimer runs behind it
}

// Dial implements proxy.Host.
func (s *simulation) Dial(id upstream.ConnID, _ string) {
	s.After(s.upTo(maxDialTime), func() { s.workers.accept(id) })
}

// Broadcast implements proxy.Host. There are no other front ends.
func (s *simulation) Broadcast([]byte) {}
