package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// fault is a kind of fault. inject returns when the fault is over.
type fault struct {
	name   string
	inject func(s *site, random *rand.Rand)
}

// faults are all kinds of fault. Their order is part of what a seed draws.
var faults = []fault{
	{"restart", (*site).restartFrontEnds},
	{"kill", (*site).killFrontEnds},
	{"move-discovery", (*site).migrateDiscovery},
	{"faulty-document", (*site).truncateDocuments},
	{"pause", (*site).suspendFrontEnds},
	{"log-reader-stalls", (*site).suspendLogReaders},
	{"worker-crashes", (*site).crashWorkers},
	{"worker-drains", (*site).drainWorkers},
	{"worker-misbehaves", (*site).injectWorkerFaults},
	{"discovery-misbehaves", (*site).injectDiscoveryFault},
	{"bad-clients", (*site).runBadClients},
	{"reload-while-stopping", (*site).reloadWhileStopping},
}

const (
	concurrentFaults = 3
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2 * time.Second
	faultFreeStart   = time.Second // before the first fault
)

// injectFaults injects faults of the seed, several at a time, until the duration of the load has passed.
func (s *site) injectFaults(ctx context.Context) {
	end := time.Now().Add(s.settings.Duration)
	time.Sleep(faultFreeStart)
	var running sync.WaitGroup
	for lane := range concurrentFaults {
		random := rand.New(rand.NewPCG(s.settings.Seed, 1<<32+uint64(lane)))
		running.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				next := faults[random.IntN(len(faults))]
				s.logFault(next.name)
				next.inject(s, random)
				time.Sleep(time.Duration(random.Int64N(int64(minFaultDuration))))
			}
		})
	}
	running.Wait()
}

func (s *site) logFault(name string) {
	s.mu.Lock()
	s.result.Faults = append(s.result.Faults, fmt.Sprintf("%.2f %s", s.recorder.Now(), name))
	s.mu.Unlock()
	s.settings.Log("%.2f %s", s.recorder.Now(), name)
}

func randomFaultDuration(random *rand.Rand) time.Duration {
	return minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

// injectDiscoveryFault has the discovery service misbehave for a while.
func (s *site) injectDiscoveryFault(random *rand.Rand) {
	s.discovery.fault.Store(int32(1 + random.IntN(int(discoveryFaultCount)-1)))
	time.Sleep(randomFaultDuration(random))
	s.discovery.fault.Store(int32(discoveryHealthy))
}
