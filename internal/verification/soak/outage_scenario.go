package soak

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// DiscoveryFault names a fault that makes the discovery service unavailable to front ends.
type DiscoveryFault string

// Faults that an outage can consist of.
const (
	ConnectionsReset DiscoveryFault = "connections are reset"
	ServiceSilent    DiscoveryFault = "accepts and stays silent"
	LinesTruncated   DiscoveryFault = "closes within each line"
	BytesTrickle     DiscoveryFault = "one byte a second"
	OldestRepeated   DiscoveryFault = "repeats an old event"
)

// discoveryFaultsByName maps the names of outage faults to the faults of the fake service.
var discoveryFaultsByName = map[DiscoveryFault]discoveryFault{
	ConnectionsReset: discoveryDown, ServiceSilent: discoverySilent, LinesTruncated: truncateLines,
	BytesTrickle: trickleBytes, OldestRepeated: repeatOldest,
}

// OutageScenario is a fixed sequence of faults: a discovery outage during which the busiest workers drain but keep running.
type OutageScenario struct {
	Fault    DiscoveryFault
	Duration time.Duration // of the outage
	// DrainAfter is the time from the start of the outage to the start of the drain.
	DrainAfter time.Duration
	Draining   int // number of workers that drain
	// SingleFrontEnd limits the outage to one front end.
	SingleFrontEnd bool
	// RestartAfter, if set, is the time from the start of the drain after which all front ends are restarted one after another.
	RestartAfter time.Duration
	// EarlierOutage, if set, is the duration of another outage that ends two seconds before this one starts.
	EarlierOutage time.Duration
}

const (
	// scenarioWarmUp is the time without faults at the start of a scenario, during which workers load functions.
	scenarioWarmUp = 3 * time.Second
	// pauseBetweenOutages is the time between the two outages of a scenario, during which discovery is available.
	pauseBetweenOutages = 2 * time.Second
	// scenarioRecovery is the time without faults at the end of a scenario.
	scenarioRecovery = 2 * time.Second
)

// inject injects the faults that the settings select, and returns when the load is to end.
func (h *harness) inject(ctx context.Context) {
	switch {
	case h.settings.Outage != nil:
		h.runScenario(ctx, h.settings.Outage)
	case h.settings.Flood != nil:
		h.runFloodScenario(ctx, h.settings.Flood)
	case h.settings.Outages:
		h.injectOutages(ctx)
	default:
		h.injectFaults(ctx)
	}
}

// runScenario runs an outage scenario from the warm-up to the recovery.
func (h *harness) runScenario(ctx context.Context, scenario *OutageScenario) {
	sleep(ctx, scenarioWarmUp)
	fault, onlyFrontEnd := discoveryFaultsByName[scenario.Fault], allFrontEnds
	if scenario.SingleFrontEnd {
		onlyFrontEnd = 0
	}
	if scenario.EarlierOutage > 0 {
		h.beginOutage(fault, onlyFrontEnd)
		sleep(ctx, scenario.EarlierOutage)
		h.endOutage()
		sleep(ctx, pauseBetweenOutages)
	}
	end := time.Now().Add(scenario.Duration)
	h.beginOutage(fault, onlyFrontEnd)
	sleep(ctx, scenario.DrainAfter)
	draining := h.drainBusiest(scenario.Draining)
	if scenario.RestartAfter > 0 {
		sleep(ctx, scenario.RestartAfter)
		h.restartAll()
	}
	sleep(ctx, time.Until(end))
	for _, w := range draining {
		w.draining.Store(false)
		h.discovery.add(w, stateActive, 0)
	}
	h.endOutage()
	sleep(ctx, scenarioRecovery)
}

func (h *harness) beginOutage(fault discoveryFault, onlyFrontEnd int) {
	h.logFault("outage of discovery begins")
	h.discovery.beginOutage(fault, onlyFrontEnd)
}

func (h *harness) endOutage() {
	h.logFault("outage of discovery ends")
	h.discovery.endOutage()
}

// drainBusiest makes the workers that received the most attempts drain: they keep running and reject everything.
func (h *harness) drainBusiest(count int) []*worker {
	h.mu.Lock()
	workers := slices.Clone(h.workers)
	h.mu.Unlock()
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(b.attempts.Load(), a.attempts.Load()) })
	workers = workers[:min(count, len(workers))]
	for _, w := range workers {
		h.logFault(w.name + " drains")
		h.discovery.add(w, stateLeaving, 0)
		w.draining.Store(true)
	}
	return workers
}

// restartAll restarts all front ends, one after another.
func (h *harness) restartAll() {
	for _, f := range h.frontEnds {
		h.logFault(f.name + " restarts")
		f.checkAlive()
		f.terminate()
		h.startNextProcess(f)
	}
}

// sleep waits for the duration, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
