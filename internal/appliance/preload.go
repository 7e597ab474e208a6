package appliance

import (
	"maps"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/schedule"
)

// maxPreloads is the maximum number of load commands sent by one slice of a background task.
const maxPreloads = 20

// preloadBudget limits the load commands of one slice by number and by time.
type preloadBudget struct {
	deadline time.Time
	commands int
}

// isExhausted reports whether no further load command may be sent.
func (b *preloadBudget) isExhausted() bool {
	return b.commands >= maxPreloads || time.Now().After(b.deadline)
}

// preloadVersion requests a replica of a version on every server. The router of a server may decline the request.
func (a *Appliance) preloadVersion(reference string) error {
	for _, server := range a.runningServers() {
		if _, err := server.Preload("", reference); err != nil {
			return err
		}
	}
	return nil
}

// isVersionLoaded reports whether every server knows a loaded replica of a version.
func (a *Appliance) isVersionLoaded(id string) bool {
	loadedOnAll := true
	for _, server := range a.runningServers() {
		loaded := false
		err := server.DoDispatcher(func(d *dispatch.Dispatcher) {
			_, functions := d.RoutingView()
			for _, f := range functions {
				loaded = loaded || string(f.ID) == id && len(f.Replicas) > 0
			}
		})
		loadedOnAll = loadedOnAll && loaded && err == nil
	}
	return loadedOnAll
}

// preloadRolloutTargets requests replicas of the target versions of rollouts, so that their first requests need not wait
// for a load. Replicas of the old versions stay loaded until they are idle.
func (a *Appliance) preloadRolloutTargets(deadline time.Time) error {
	budget := preloadBudget{deadline: deadline}
	for _, reference := range a.functions.rolloutTargets() {
		for _, server := range a.runningServers() {
			commandSent, err := server.Preload("", reference)
			if err != nil {
				return err
			}
			if commandSent {
				budget.commands++
			}
			if budget.isExhausted() {
				return nil
			}
		}
	}
	return nil
}

// preloadScheduled requests replicas of functions that are scheduled soon. It looks ahead by half of the time after which
// an idle replica is unloaded.
func (a *Appliance) preloadScheduled(deadline time.Time) error {
	a.mu.Lock()
	entries, suspended := a.entries, maps.Clone(a.suspended)
	a.mu.Unlock()
	budget := preloadBudget{deadline: deadline}
	lookahead := seconds(a.config.Workers.IdleReplicaLifetime / 2)
	for _, firing := range schedule.DueWithin(entries, time.Now(), lookahead) {
		if suspended[firing.Entry.Key()] {
			continue
		}
		commandSent, err := a.serverOf(firing.ID).Preload(firing.Entry.Class, firing.Entry.Function)
		if err != nil {
			return err
		}
		if commandSent {
			budget.commands++
		}
		if budget.isExhausted() {
			break
		}
	}
	return nil
}
