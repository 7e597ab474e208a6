package soak

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// DiscoveryFault names a fault by which front ends lose the discovery service.
type DiscoveryFault string

// Faults of an outage.
const (
	ConnectionsReset DiscoveryFault = "connections are reset"
	ServiceSilent    DiscoveryFault = "accepts and stays silent"
	LinesTruncated   DiscoveryFault = "closes within each line"
	BytesTrickle     DiscoveryFault = "one byte a second"
	OldestRepeated   DiscoveryFault = "repeats an old event"
)

// outageFaults are the faults of the service by name.
var outageFaults = map[DiscoveryFault]discoveryFault{
	ConnectionsReset: discoveryDown, ServiceSilent: discoverySilent, LinesTruncated: truncateLines,
	BytesTrickle: trickleBytes, OldestRepeated: repeatOldest,
}

// OutageScenario is a fixed course of events: an outage of discovery during which the busiest workers drain and go on running.
type OutageScenario struct {
	Fault    DiscoveryFault
	Duration time.Duration // of the outage
	// DrainAfter is the time from the beginning of the outage to the drain.
	DrainAfter time.Duration
	Draining   int // number of workers that drain
	// SingleFrontEnd cuts off one front end only.
	SingleFrontEnd bool
	// RestartAfter, if set, is the time from the drain after which all front ends are restarted one after another.
	RestartAfter time.Duration
	// EarlierOutage, if set, is the length of an outage that ends two seconds before this one.
	EarlierOutage time.Duration
}

const (
	// warmUpOfPlay is the time without fault at the beginning of a play, in which functions are loaded.
	warmUpOfPlay = 3 * time.Second
	// pauseBetweenOutages is the time of service between two outages.
	pauseBetweenOutages = 2 * time.Second
	// recoveryOfPlay is the time without fault at the end of a play.
	recoveryOfPlay = 2 * time.Second
)

// inject plays what the settings ask for.
func (s *site) inject(ctx context.Context) {
	switch {
	case s.settings.Outage != nil:
		s.playOutage(ctx, s.settings.Outage)
	case s.settings.Outages:
		s.injectOutages(ctx)
	default:
		s.injectFaults(ctx)
	}
}

// playOutage plays one outage from a warm fleet to its recovery.
func (s *site) playOutage(ctx context.Context, play *OutageScenario) {
	sleep(ctx, warmUpOfPlay)
	fault, onlyFrontEnd := outageFaults[play.Fault], everyFrontEnd
	if play.SingleFrontEnd {
		onlyFrontEnd = 0
	}
	if play.EarlierOutage > 0 {
		s.beginOutage(fault, onlyFrontEnd)
		sleep(ctx, play.EarlierOutage)
		s.endOutage()
		sleep(ctx, pauseBetweenOutages)
	}
	end := time.Now().Add(play.Duration)
	s.beginOutage(fault, onlyFrontEnd)
	sleep(ctx, play.DrainAfter)
	draining := s.drainBusiest(play.Draining)
	if play.RestartAfter > 0 {
		sleep(ctx, play.RestartAfter)
		s.restartAll()
	}
	sleep(ctx, time.Until(end))
	for _, w := range draining {
		w.draining.Store(false)
		s.discovery.add(w, stateActive, 0)
	}
	s.endOutage()
	sleep(ctx, recoveryOfPlay)
}

func (s *site) beginOutage(fault discoveryFault, onlyFrontEnd int) {
	s.logFault("outage of discovery begins")
	s.discovery.beginOutage(fault, onlyFrontEnd)
}

func (s *site) endOutage() {
	s.logFault("outage of discovery ends")
	s.discovery.endOutage()
}

// drainBusiest has the workers that received most attempts drain: they run on and reject everything.
func (s *site) drainBusiest(count int) []*worker {
	s.mu.Lock()
	workers := slices.Clone(s.workers)
	s.mu.Unlock()
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(b.attempts.Load(), a.attempts.Load()) })
	workers = workers[:min(count, len(workers))]
	for _, w := range workers {
		s.logFault(w.name + " drains")
		s.discovery.add(w, stateLeaving, 0)
		w.draining.Store(true)
	}
	return workers
}

// restartAll restarts all front ends, one after another.
func (s *site) restartAll() {
	for _, f := range s.frontEnds {
		s.logFault(f.name + " restarts")
		f.checkAlive()
		f.terminate()
		s.startNextProcess(f)
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
