package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// fault is a kind of fault. inject injects it and returns when it is over.
type fault struct {
	name   string
	inject func(h *harness, random *rand.Rand)
}

// faults are the kinds of fault that injectFaults chooses from. Their order determines what a seed chooses.
var faults = []fault{
	{"restart", (*harness).restartFrontEnds},
	{"kill", (*harness).killFrontEnds},
	{"move-discovery", (*harness).migrateDiscovery},
	{"faulty-document", (*harness).truncateDocuments},
	{"pause", (*harness).suspendFrontEnds},
	{"log-reader-stalls", (*harness).suspendLogReaders},
	{"worker-crashes", (*harness).crashWorkers},
	{"worker-drains", (*harness).drainWorkers},
	{"worker-misbehaves", (*harness).injectWorkerFaults},
	{"discovery-misbehaves", (*harness).injectDiscoveryFault},
	{"bad-clients", (*harness).runBadClients},
	{"reload-while-stopping", (*harness).reloadWhileStopping},
}

// floodFaults are the further kinds that injectFaults chooses from with Settings.Floods.
var floodFaults = []fault{
	{"flood", (*harness).floodFrontEnd},
	{"crowd", (*harness).crowdFrontEnd},
	{"signals-in-series", (*harness).signalInSeries},
}

const (
	concurrentFaults  = 3
	minFaultDuration  = 300 * time.Millisecond
	maxFaultDuration  = 2 * time.Second
	initialFaultDelay = time.Second // from the start of the load to the first fault
)

// injectFaults injects randomly chosen faults, up to concurrentFaults at a time, until the load has lasted for its configured
// duration or ctx ends.
func (h *harness) injectFaults(ctx context.Context) {
	end := time.Now().Add(h.settings.Duration)
	time.Sleep(initialFaultDelay)
	kinds := faults
	if h.settings.Floods {
		kinds = append(slices.Clone(floodFaults), faults...)
	}
	var running sync.WaitGroup
	for injector := range concurrentFaults {
		random := rand.New(rand.NewPCG(h.settings.Seed, 1<<32+uint64(injector)))
		running.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				next := kinds[random.IntN(len(kinds))]
				h.logFault(next.name)
				next.inject(h, random)
				time.Sleep(time.Duration(random.Int64N(int64(minFaultDuration))))
			}
		})
	}
	running.Wait()
}

func (h *harness) logFault(name string) {
	h.mu.Lock()
	h.result.Faults = append(h.result.Faults, fmt.Sprintf("%.2f %s", h.recorder.Now(), name))
	h.mu.Unlock()
	h.settings.Log("%.2f %s", h.recorder.Now(), name)
}

func randomFaultDuration(random *rand.Rand) time.Duration {
	return minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

// injectDiscoveryFault makes the discovery service misbehave for a random time.
func (h *harness) injectDiscoveryFault(random *rand.Rand) {
	h.discovery.fault.Store(int32(1 + random.IntN(int(discoveryFaultCount)-1)))
	time.Sleep(randomFaultDuration(random))
	h.discovery.fault.Store(int32(discoveryHealthy))
}
