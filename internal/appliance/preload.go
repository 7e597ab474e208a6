package appliance

import (
	"maps"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/schedule"
)

// maxPreloads is how many load commands one slice of a background task may cause.
const maxPreloads = 20

// preloadBudget bounds the load commands of one slice by their number and by time.
type preloadBudget struct {
	deadline time.Time
	commands int
}

// spend counts a preload that was asked for and reports whether the budget is used up.
func (b *preloadBudget) spend(commanded bool) (exhausted bool) {
	if commanded {
		b.commands++
	}
	return b.commands >= maxPreloads || time.Now().After(b.deadline)
}

// preloadVersion asks every server to have a replica of a version loaded, where its routing allows it.
func (a *Appliance) preloadVersion(reference string) error {
	for _, server := range a.runningServers() {
		if _, err := server.Preload("", reference); err != nil {
			return err
		}
	}
	return nil
}

// isVersionLoaded reports whether every server knows a replica of a version.
func (a *Appliance) isVersionLoaded(id string) bool {
	everywhere := true
	for _, server := range a.runningServers() {
		loaded := false
		err := server.DoDispatcher(func(d *dispatch.Dispatcher) {
			_, functions := d.RoutingView()
			for _, f := range functions {
				loaded = loaded || string(f.ID) == id && len(f.Replicas) > 0
			}
		})
		everywhere = everywhere && loaded && err == nil
	}
	return everywhere
}

// preloadRolloutTargets has replicas loaded of the versions that rollouts lead to, so that the first request of a new
// version does not wait for its load. Replicas of the old versions stay until they are idle.
func (a *Appliance) preloadRolloutTargets(deadline time.Time) error {
	budget := preloadBudget{deadline: deadline}
	for _, reference := range a.functions.rolloutTargets() {
		for _, server := range a.runningServers() {
			commanded, err := server.Preload("", reference)
			if err != nil {
				return err
			}
			if budget.spend(commanded) {
				return nil
			}
		}
	}
	return nil
}

// preloadScheduled has functions loaded whose schedules are due before a loaded replica would be unloaded as idle.
func (a *Appliance) preloadScheduled(deadline time.Time) error {
	a.mu.Lock()
	entries, suspended := a.entries, maps.Clone(a.suspended)
	a.mu.Unlock()
	budget := preloadBudget{deadline: deadline}
	within := seconds(a.config.Workers.IdleReplicaLifetime / 2)
	for _, firing := range schedule.DueWithin(entries, time.Now(), within) {
		if suspended[firing.Entry.Key()] {
			continue
		}
		commanded, err := a.serverOf(firing.ID).Preload(firing.Entry.Class, firing.Entry.Function)
		if err != nil {
			return err
		}
		if budget.spend(commanded) {
			break
		}
	}
	return nil
}
