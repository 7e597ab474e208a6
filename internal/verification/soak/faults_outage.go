package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// concurrentFaultsDuringOutage is the number of other faults that are injected concurrently with the outages.
	concurrentFaultsDuringOutage = 2
	// minOutage and maxOutage bound the duration of an outage.
	minOutage = 300 * time.Millisecond
	maxOutage = 20 * time.Second
	// maxTimeBetweenOutages bounds the time between outages, during which discovery is available.
	maxTimeBetweenOutages = 3 * time.Second
	// maxDrain bounds the time that a worker drains before it becomes active again, in addition to minFaultDuration.
	maxDrain = 8 * time.Second
	// singleFrontEndFraction is the fraction of outages that affect only one front end.
	singleFrontEndFraction = 0.2
	// maxBurstSignals is the maximum number of further signals after a SIGTERM.
	maxBurstSignals = 5
)

// faultsDuringOutage are the kinds of fault that are injected concurrently with outages. Their order determines what a seed
// chooses. The pause is last because outageFaults leaves it out in runs without pauses.
var faultsDuringOutage = []fault{
	{"drain", (*harness).drainAndReactivate},
	{"drain", (*harness).drainAndReactivate},
	{"worker-drains", (*harness).drainWorkers},
	{"worker-crashes", (*harness).crashWorkers},
	{"restart", (*harness).restartFrontEnds},
	{"kill", (*harness).killFrontEnds},
	{"signals", (*harness).sendSignalBurst},
	{"move-discovery", (*harness).migrateDiscovery},
	{"pause", (*harness).suspendFrontEnds},
}

// outageTimeouts are the client timeouts that a seed chooses from. Short ones make SIGKILL follow soon after SIGTERM.
var outageTimeouts = []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, defaultRequestTimeout, 4 * time.Second}

// drainGraces are the drain graces that a seed chooses from. They include the bounds that the platform's deployments use.
var drainGraces = []time.Duration{defaultDrainGrace, defaultDrainGrace, time.Second, 2 * time.Second}

// withoutPeersFraction is the fraction of seeds that run front ends without messages between peers.
const withoutPeersFraction = 0.15

// highConnectionCount is the number of connections to each front end in a run with many connections.
const highConnectionCount = 12

// drawOutageSettings derives settings of a run with outages from the seed. Settings that the caller has set stay, but
// DrainingAnswersQueries is always chosen by the seed.
func (s *Settings) drawOutageSettings() {
	random := rand.New(rand.NewPCG(s.Seed, 1<<34))
	s.DrainingAnswersQueries = random.IntN(2) == 0 && !s.ColdReturns
	timeout, manyConnections := outageTimeouts[random.IntN(len(outageTimeouts))], random.IntN(3) == 0
	grace, withoutPeers := drainGraces[random.IntN(len(drainGraces))], random.Float64() < withoutPeersFraction
	if s.DrainGrace == 0 {
		s.DrainGrace = grace
	}
	s.WithoutPeers = s.WithoutPeers || withoutPeers
	if s.RequestTimeout == 0 {
		s.RequestTimeout = timeout
	}
	if s.ConnectionsPerFrontEnd == 0 && manyConnections {
		s.ConnectionsPerFrontEnd = highConnectionCount
	}
}

// describe describes the settings that drawOutageSettings derives from the seed.
func (s *Settings) describe() string {
	return fmt.Sprintf("timeout %v, grace %v, %d connections to each front end, draining workers answer queries %v, peers %v", s.RequestTimeout,
		s.DrainGrace, s.ConnectionsPerFrontEnd, s.DrainingAnswersQueries, !s.WithoutPeers)
}

// injectOutages injects successive discovery outages, and concurrently with them faults of workers and front ends.
func (h *harness) injectOutages(ctx context.Context) {
	end := time.Now().Add(h.settings.Duration)
	time.Sleep(initialFaultDelay)
	var running sync.WaitGroup
	running.Go(func() {
		random := rand.New(rand.NewPCG(h.settings.Seed, 1<<33))
		for time.Now().Before(end) && ctx.Err() == nil {
			h.injectOutage(ctx, random, end)
			sleep(ctx, time.Duration(random.Int64N(int64(maxTimeBetweenOutages))))
		}
	})
	for injector := range concurrentFaultsDuringOutage {
		random := rand.New(rand.NewPCG(h.settings.Seed, 1<<33+1+uint64(injector)))
		running.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				next := h.outageFaults()[random.IntN(len(h.outageFaults()))]
				h.logFault(next.name)
				next.inject(h, random)
				sleep(ctx, time.Duration(random.Int64N(int64(maxFaultDuration))))
			}
		})
	}
	running.Wait()
}

// outageFaults returns the kinds of fault that are injected concurrently with outages.
func (h *harness) outageFaults() []fault {
	switch {
	case h.settings.ColdReturns:
		return faultsWithColdReturns
	case h.settings.WithoutPauses:
		return faultsDuringOutage[:len(faultsDuringOutage)-1]
	default:
		return faultsDuringOutage
	}
}

// injectOutage injects one outage of a random kind. At least half of the outages last less than two seconds.
func (h *harness) injectOutage(ctx context.Context, random *rand.Rand, end time.Time) {
	names := []DiscoveryFault{ConnectionsReset, ServiceSilent, LinesTruncated, BytesTrickle, OldestRepeated}
	fault := names[random.IntN(len(names))]
	longest := maxFaultDuration
	if random.IntN(2) == 0 {
		longest = maxOutage
	}
	duration := minOutage + time.Duration(random.Int64N(int64(longest-minOutage)))
	if h.settings.ColdReturns {
		duration = max(duration, maxOutage/2)
	}
	onlyFrontEnd := allFrontEnds
	if random.Float64() < singleFrontEndFraction {
		onlyFrontEnd = random.IntN(len(h.frontEnds))
	}
	h.logFault(fmt.Sprintf("outage of discovery (%s, front end %d, %v)", fault, onlyFrontEnd, duration.Round(time.Millisecond)))
	h.discovery.beginOutage(discoveryFaultsByName[fault], onlyFrontEnd)
	sleep(ctx, min(duration, time.Until(end)))
	h.endOutage()
}

// drainAndReactivate makes up to three workers drain: they keep running and reject everything. After a random time they
// become active again.
func (h *harness) drainAndReactivate(random *rand.Rand) {
	var draining []*worker
	for range 1 + random.IntN(3) {
		if w := h.takeWorker(random); w != nil {
			h.logFault(w.name + " drains")
			h.discovery.add(w, stateLeaving, 0)
			w.draining.Store(true)
			draining = append(draining, w)
		}
	}
	time.Sleep(minFaultDuration + time.Duration(random.Int64N(int64(maxDrain))))
	for _, w := range draining {
		h.logFault(w.name + " returns")
		w.draining.Store(false)
		h.discovery.add(w, stateActive, 0)
		h.mu.Lock()
		h.workers = append(h.workers, w)
		h.mu.Unlock()
	}
}

// sendSignalBurst sends SIGTERM and then a random sequence of SIGTERM and SIGHUP, and starts the next process.
func (h *harness) sendSignalBurst(random *rand.Rand) {
	signals := make([]syscall.Signal, 1+random.IntN(maxBurstSignals))
	for i := range signals {
		signals[i] = []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)]
	}
	interval := time.Duration(random.Int64N(int64(100 * time.Millisecond)))
	forEachClaimed(h.claim(random, 2), func(f *frontEnd) {
		f.checkAlive()
		go func() {
			for _, sig := range signals {
				time.Sleep(interval)
				f.signal(sig)
			}
		}()
		f.terminate()
		h.startNextProcess(f)
	})
}
