package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"streamcleat/internal/verification/invariants"
)

const (
	// defaultConnections is the number of concurrent connections of well-behaved clients to each front end.
	defaultConnections = 3
	// maxViolations is the maximum number of violations that are described. All of them are counted.
	maxViolations = 20
)

// Settings are the settings of one run.
type Settings struct {
	Program   string // path of the program under test
	Seed      uint64
	FrontEnds int
	Workers   int
	Duration  time.Duration // of the load
	// RequestTimeout is the timeout that clients state; 0 means defaultRequestTimeout.
	RequestTimeout time.Duration
	// ConnectionsPerFrontEnd is the number of concurrent connections of clients to each front end; 0 means the default.
	ConnectionsPerFrontEnd int
	// DrainGrace is the time after a drain notice in which messages may still be sent to the worker; 0 means the default.
	DrainGrace time.Duration
	// WithoutPeers has front ends that may not send each other messages.
	WithoutPeers bool
	// Outage, if set, is played in place of random faults.
	Outage *OutageScenario
	// DrainingAnswersQueries has draining workers answer queries, as some do; load commands and attempts are still rejected.
	DrainingAnswersQueries bool
	// WithoutPauses leaves out suspensions of processes from the faults beside outages: one that falls between the permit and
	// the write of a message, some microseconds, breaks a rule that no program can keep.
	WithoutPauses bool
	// Outages has faults drawn during outages of discovery in place of all others. The seed also draws the settings above that
	// are not set.
	Outages bool
	// FaultRate is the probability with which each system call of a front end fails. It has no effect unless the program
	// is built with the tag faults.
	FaultRate float64
	// LogFolder, if set, receives the complete log of each process.
	LogFolder string
	Log       func(format string, args ...any) // receives each fault as it begins; may be nil
}

// site is the state of one run.
type site struct {
	settings  Settings
	folder    string
	recorder  *invariants.Recorder
	discovery *discovery
	frontEnds []*frontEnd
	ended     chan struct{} // closed when the load ends

	mu           sync.Mutex
	workers      []*worker // active in the endpoint list
	workerCount  int       // started so far
	executedKeys map[string]bool
	result       Result
}

// Run runs one seed. It returns an error if the run could not be made; violations are part of the result.
func Run(ctx context.Context, settings Settings) (*Result, []invariants.Record, error) {
	if settings.Log == nil {
		settings.Log = func(string, ...any) {}
	}
	if settings.Outages {
		settings.drawOutageSite()
	}
	if settings.RequestTimeout == 0 {
		settings.RequestTimeout = defaultRequestTimeout
	}
	if settings.ConnectionsPerFrontEnd == 0 {
		settings.ConnectionsPerFrontEnd = defaultConnections
	}
	if settings.DrainGrace == 0 {
		settings.DrainGrace = defaultDrainGrace
	}
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, nil, fmt.Errorf("create the folder of the site: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }() // it is the system's temporary folder
	s := &site{
		settings: settings, folder: folder, recorder: invariants.NewRecorder(), ended: make(chan struct{}),
		executedKeys: map[string]bool{}, result: Result{Seed: settings.Seed, Settings: settings.describe()},
	}
	s.discovery = newDiscovery(s)
	stopWatching := s.watchLateness()
	defer stopWatching()
	err = s.run(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		w.crash()
	}
	records := s.recorder.Records()
	s.result.Verdict = invariants.Check(s.rules(), records)
	return &s.result, records, err
}

// run starts everything, runs the load with its faults, and stops everything.
func (s *site) run(ctx context.Context) error {
	for range s.settings.Workers {
		if err := s.addWarmWorker(); err != nil {
			return err
		}
	}
	if err := s.startFrontEnds(); err != nil {
		s.killFrontEndsAfterFailedStart()
		return err
	}
	var clients sync.WaitGroup
	for _, f := range s.frontEnds {
		for number := range s.settings.ConnectionsPerFrontEnd {
			random := rand.New(rand.NewPCG(s.settings.Seed, uint64(f.number*s.settings.ConnectionsPerFrontEnd+number)))
			clients.Go(func() { s.runClient(f, random) })
		}
	}
	s.inject(ctx)
	close(s.ended)
	clients.Wait()
	s.stopFrontEnds()
	return ctx.Err()
}

// startFrontEnds starts all front ends concurrently.
func (s *site) startFrontEnds() error {
	for number := range s.settings.FrontEnds {
		f, err := s.newFrontEnd(number)
		if err != nil {
			return err
		}
		s.frontEnds = append(s.frontEnds, f)
	}
	errs := make(chan error, len(s.frontEnds))
	for _, f := range s.frontEnds {
		go func() { errs <- f.start() }()
	}
	var first error
	for range s.frontEnds {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// stopFrontEnds stops all front ends gracefully and concurrently.
func (s *site) stopFrontEnds() {
	var stopping sync.WaitGroup
	for _, f := range s.frontEnds {
		f.checkAlive()
		stopping.Go(f.terminate)
	}
	stopping.Wait()
}

func (s *site) killFrontEndsAfterFailedStart() {
	for _, f := range s.frontEnds {
		if f.currentProcess() != nil {
			f.kill()
		}
	}
}

// requestTimeout returns the timeout that clients state.
func (s *site) requestTimeout() time.Duration { return s.settings.RequestTimeout }

// killDelay returns the time from SIGTERM to SIGKILL on the platform.
func (s *site) killDelay() time.Duration {
	return min(s.requestTimeout(), maxCountedTimeout) + killDelay
}

// countDuringOutage counts the response to a request that was sent during an outage of discovery.
func (s *site) countDuringOutage(succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.OutageRequests++
	if succeeded {
		s.result.OutageSucceeded++
	}
}

// loadEnded reports whether the load has ended.
func (s *site) loadEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// processName returns the name of a front end's current process.
func (s *site) processName(frontEnd string) string {
	for _, f := range s.frontEnds {
		if f.name == frontEnd {
			return f.processName()
		}
	}
	return frontEnd + "/1"
}

// addWorker starts a cold worker and adds it to the endpoint list. It listens at the given addresses, or at free ones if
// there are none.
func (s *site) addWorker(addresses []string) error {
	w, err := s.startNextWorker(addresses)
	if err != nil {
		return err
	}
	s.discovery.add(w, stateActive, w.startedAt.UnixMilli())
	return nil
}

// addWarmWorker starts a worker and adds it to the endpoint list as one that started long ago.
func (s *site) addWarmWorker() error {
	w, err := s.startNextWorker(nil)
	if err != nil {
		return err
	}
	s.discovery.add(w, stateActive, 0)
	return nil
}

func (s *site) startNextWorker(addresses []string) (*worker, error) {
	s.mu.Lock()
	s.workerCount++
	name := fmt.Sprintf("w%d", s.workerCount)
	s.mu.Unlock()
	w, err := s.startWorker(name, addresses)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	return w, nil
}

// violate records a violation that the checker of invariants does not see.
func (s *site) violate(kind, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.ViolationCount++
	if len(s.result.Violations) < maxViolations {
		s.result.Violations = append(s.result.Violations, fmt.Sprintf("%.3f %s: ", s.recorder.Now(), kind)+fmt.Sprintf(format, args...))
	}
}

// watchLateness measures how late the harness itself is woken: on an overloaded machine its records are late.
func (s *site) watchLateness() (stop func()) {
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
			late := (now.Sub(last) - interval).Seconds()
			last = now
			s.mu.Lock()
			s.result.MaxWakeupDelay = max(s.result.MaxWakeupDelay, late)
			s.mu.Unlock()
		}
	}()
	return func() { close(done) }
}
