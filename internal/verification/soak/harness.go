package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"streamcleat/internal/verification/invariants"
)

const (
	// defaultConnections is the number of concurrent connections of well-behaved clients to each front end.
	defaultConnections = 3
	// maxViolations is the maximum number of violations that a result describes. Further ones are only counted.
	maxViolations = 20
)

// Settings are the settings of a run.
type Settings struct {
	Program   string // path of the program under test
	Seed      uint64
	FrontEnds int
	Workers   int
	Duration  time.Duration // of the load
	// RequestTimeout is the timeout that clients set on their requests; 0 means defaultRequestTimeout, or with Outages a
	// choice of the seed.
	RequestTimeout time.Duration
	// ConnectionsPerFrontEnd is the number of concurrent connections of clients to each front end; 0 means the default.
	ConnectionsPerFrontEnd int
	// DrainGrace is the time after a drain notice during which messages may still be sent to the worker; 0 means the default.
	DrainGrace time.Duration
	// WithoutPeers runs front ends that may not send messages to their peers.
	WithoutPeers bool
	// Outage, if set, is the scenario that is run in place of random faults.
	Outage *OutageScenario
	// Flood, if set, is the flood that is run in place of random faults.
	Flood *FloodScenario
	// Floods adds clients that flood a front end, and crowds of slow connections, to the random faults.
	Floods bool
	// LoadQuota limits the load commands of the front ends. By default there is no limit.
	LoadQuota bool
	// MemoryMB is the memory limit of a front end; 0 means the default.
	MemoryMB int
	// DrainingAnswersQueries makes draining workers answer queries, as some implementations do. They still reject load commands
	// and attempts.
	DrainingAnswersQueries bool
	// WithoutPauses leaves out the suspension of processes from the faults during outages. A process that is suspended in the few
	// microseconds between the permit for a message and its write sends the message late, which violates a rule that no program
	// can keep.
	WithoutPauses bool
	// Outages injects random discovery outages with other faults during them, in place of the usual faults. The seed also
	// chooses the settings above that are not set.
	Outages bool
	// ColdReturns adds workers that terminate without a report and return cold at their addresses to the faults during outages.
	// Requests have more work and are for few functions at a time, so that front ends are not connected to all workers.
	ColdReturns bool
	// FaultRate is the probability with which each system call of a front end fails. It has no effect unless the program
	// is built with the tag faults.
	FaultRate float64
	// LogFolder, if set, receives the complete log of each process.
	LogFolder string
	Log       func(format string, args ...any) // is called at the start of each fault; may be nil
}

// harness is the state of a run.
type harness struct {
	settings  Settings
	folder    string
	recorder  *invariants.Recorder
	discovery *discovery
	frontEnds []*frontEnd
	ended     chan struct{} // closed when the load ends
	startedAt time.Time
	// floodRequests counts the requests of floods and crowds, so that each has an ID of its own.
	floodRequests atomic.Uint64

	mu           sync.Mutex
	workers      []*worker       // active in the endpoint list
	workerCount  int             // number of workers started so far
	executedKeys map[string]bool // idempotency keys of the requests that workers executed
	result       Result
}

// Run runs the front ends under load and faults, with the random choices of one seed. An error means that the run could not be
// carried out. Violations are part of the result.
func Run(ctx context.Context, settings Settings) (*Result, []invariants.Record, error) {
	if settings.Log == nil {
		settings.Log = func(string, ...any) {}
	}
	if settings.Outages {
		settings.drawOutageSettings()
	}
	if settings.RequestTimeout == 0 {
		settings.RequestTimeout = defaultRequestTimeout
	}
	if settings.ConnectionsPerFrontEnd == 0 {
		settings.ConnectionsPerFrontEnd = defaultConnections
	}
	if settings.MemoryMB == 0 {
		settings.MemoryMB = defaultMemoryMB
	}
	if settings.DrainGrace == 0 {
		settings.DrainGrace = defaultDrainGrace
	}
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, nil, fmt.Errorf("create the temporary folder of the site: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }() // what is left over is in the system's temporary folder
	h := &harness{
		settings: settings, folder: folder, recorder: invariants.NewRecorder(), ended: make(chan struct{}), startedAt: time.Now(),
		executedKeys: map[string]bool{}, result: Result{Seed: settings.Seed, Settings: settings.describe()},
	}
	h.discovery = newDiscovery(h)
	stopMeasuring := h.measureWakeupDelay()
	defer stopMeasuring()
	err = h.run(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.workers {
		w.crash()
	}
	records := h.recorder.Records()
	h.result.Verdict = invariants.Check(h.rules(), records)
	return &h.result, records, err
}

// run starts workers and front ends, runs the load with its faults, and stops the front ends.
func (h *harness) run(ctx context.Context) error {
	for range h.settings.Workers {
		if err := h.addWarmWorker(); err != nil {
			return err
		}
	}
	if err := h.startFrontEnds(); err != nil {
		h.killFrontEndsAfterFailedStart()
		return err
	}
	var clients sync.WaitGroup
	for _, f := range h.frontEnds {
		for number := range h.settings.ConnectionsPerFrontEnd {
			random := rand.New(rand.NewPCG(h.settings.Seed, uint64(f.number*h.settings.ConnectionsPerFrontEnd+number)))
			clients.Go(func() { h.runClient(f, random) })
		}
	}
	h.inject(ctx)
	close(h.ended)
	clients.Wait()
	h.stopFrontEnds()
	return ctx.Err()
}

// startFrontEnds starts all front ends concurrently.
func (h *harness) startFrontEnds() error {
	for number := range h.settings.FrontEnds {
		f, err := h.newFrontEnd(number)
		if err != nil {
			return err
		}
		h.frontEnds = append(h.frontEnds, f)
	}
	errs := make(chan error, len(h.frontEnds))
	for _, f := range h.frontEnds {
		go func() { errs <- f.start() }()
	}
	var first error
	for range h.frontEnds {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// stopFrontEnds terminates all front ends concurrently with SIGTERM.
func (h *harness) stopFrontEnds() {
	var stopping sync.WaitGroup
	for _, f := range h.frontEnds {
		f.checkAlive()
		stopping.Go(f.terminate)
	}
	stopping.Wait()
}

func (h *harness) killFrontEndsAfterFailedStart() {
	for _, f := range h.frontEnds {
		if f.currentProcess() != nil {
			f.kill()
		}
	}
}

// requestTimeout returns the timeout that clients set on their requests.
func (h *harness) requestTimeout() time.Duration { return h.settings.RequestTimeout }

// killDelay returns the time after SIGTERM at which the platform sends SIGKILL.
func (h *harness) killDelay() time.Duration {
	return min(h.requestTimeout(), maxTimeoutBeforeKill) + killMargin
}

// countDuringOutage counts a response to a request that was sent during a discovery outage.
func (h *harness) countDuringOutage(succeeded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result.OutageRequests++
	if succeeded {
		h.result.OutageSucceeded++
	}
}

// countServed counts a response by whether its front end was flooded when the request was sent.
func (h *harness) countServed(duringFlood, succeeded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	share := &h.result.Unflooded
	if duringFlood {
		share = &h.result.Flooded
	}
	share.Requests++
	if succeeded {
		share.Succeeded++
	}
}

// loadEnded reports whether the clients must stop.
func (h *harness) loadEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// processName returns the name of a front end's current process.
func (h *harness) processName(frontEnd string) string {
	for _, f := range h.frontEnds {
		if f.name == frontEnd {
			return f.processName()
		}
	}
	return frontEnd + "/1"
}

// addWorker starts a cold worker and adds it to the endpoint list with its start time. The worker listens at the given
// addresses, or at free ones if addresses is nil.
func (h *harness) addWorker(addresses []string) error {
	w, err := h.startNextWorker(addresses)
	if err != nil {
		return err
	}
	h.discovery.add(w, stateActive, w.startedAt.UnixMilli())
	return nil
}

// addWarmWorker starts a worker and adds it to the endpoint list as one that started long ago.
func (h *harness) addWarmWorker() error {
	w, err := h.startNextWorker(nil)
	if err != nil {
		return err
	}
	h.discovery.add(w, stateActive, 0)
	return nil
}

func (h *harness) startNextWorker(addresses []string) (*worker, error) {
	h.mu.Lock()
	h.workerCount++
	name := fmt.Sprintf("w%d", h.workerCount)
	h.mu.Unlock()
	w, err := h.startWorker(name, addresses)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.workers = append(h.workers, w)
	h.mu.Unlock()
	return w, nil
}

// violate records a violation that the harness itself found, and that the checker of invariants cannot see.
func (h *harness) violate(kind, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.result.ViolationCount++
	if len(h.result.Violations) < maxViolations {
		h.result.Violations = append(h.result.Violations, fmt.Sprintf("%.3f %s: ", h.recorder.Now(), kind)+fmt.Sprintf(format, args...))
	}
}

// measureWakeupDelay measures how late the timers of the harness fire until stop is called. On an overloaded machine the
// harness is delayed, and so are the times of its records.
func (h *harness) measureWakeupDelay() (stop func()) {
	const interval = 5 * time.Millisecond
	done := make(chan struct{})
	go func() {
		for last := time.Now(); ; {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			now := time.Now()
			delay := (now.Sub(last) - interval).Seconds()
			last = now
			h.mu.Lock()
			h.result.MaxWakeupDelay = max(h.result.MaxWakeupDelay, delay)
			h.mu.Unlock()
		}
	}()
	return func() { close(done) }
}
