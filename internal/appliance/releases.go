package appliance

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/registry"
)

// Release moves an alias of many functions to the version with the same tag, with a limit on concurrent loads.
type Release struct {
	Alias              string   `json:"alias"`
	Tag                string   `json:"tag"`       // tag of the target version
	Functions          []string `json:"functions"` // empty: all functions that have the version
	MaxConcurrentLoads int      `json:"loads"`     // maximum number of loads in progress
}

// startRelease plans a release and makes it the one in progress. Only one release may be in progress. The caller must hold g.mu.
func (g *functionRegistry) startRelease(release Release, actor string) (string, error) {
	if g.pacer != nil {
		return "", fmt.Errorf("a release by %s is in progress", g.releasedBy)
	}
	migrations, err := g.planMigrations(release)
	if err != nil {
		return "", err
	}
	if len(migrations) == 0 {
		return "", fmt.Errorf("no function to move to %s: none has this version, or all of them use it already", release.Tag)
	}
	g.pacer, g.releasedBy = registry.NewRolloutPacer(release.Alias, release.MaxConcurrentLoads, migrations), actor
	return fmt.Sprintf("%d functions go to %s, the most asked for first, %d loads at a time",
		len(migrations), release.Tag, max(release.MaxConcurrentLoads, 1)), nil
}

// planMigrations returns the migrations of a release: one for each function that has the target version and whose alias
// does not name it yet. It returns an error if a function named by the release lacks the version.
func (g *functionRegistry) planMigrations(release Release) ([]registry.Migration, error) {
	names := release.Functions
	if len(names) == 0 {
		for _, function := range g.registry.List() {
			names = append(names, function.Function)
		}
	}
	var migrations []registry.Migration
	for _, name := range names {
		version, err := g.registry.Find(name + ":" + release.Tag)
		switch {
		case errors.Is(err, registry.ErrUnknown) && len(release.Functions) == 0:
			continue
		case err != nil:
			return nil, err
		case version.Withdrawn:
			return nil, fmt.Errorf("%s:%s: %w", name, release.Tag, registry.ErrWithdrawn)
		}
		if current, err := g.registry.Find(name + ":" + release.Alias); err == nil && current.Digest == version.Digest {
			continue
		}
		migrations = append(migrations, registry.Migration{
			Function: name, To: version.Digest,
			RequestRate: float64(g.requestCounts[name]), LoadTime: version.LoadTime,
		})
	}
	return migrations, nil
}

// advanceRelease advances the release in progress by one step. preload requests a replica of a version on every server;
// isLoaded reports whether every server knows one.
func (g *functionRegistry) advanceRelease(now float64, log *slog.Logger, preload func(reference string) error,
	isLoaded func(id string) bool,
) error {
	g.mu.Lock()
	pacer := g.pacer
	g.mu.Unlock()
	if pacer == nil {
		return nil
	}
	for _, migration := range pacer.Next(now) {
		if err := preload(migration.Function + "@" + string(migration.To)); err != nil {
			return err
		}
		pacer.OnLoadRequested(migration.Function, now)
	}
	for _, migration := range pacer.Loading() {
		if !isLoaded(migration.Function + "@" + string(migration.To)) {
			continue
		}
		if update, due := pacer.OnLoaded(migration.Function, now); due {
			g.updateAlias(&update, log)
		}
	}
	if remaining, abandoned := pacer.Remaining(); remaining == 0 {
		log.Info("release ended", "actor", g.releasedBy, "pauses", pacer.PauseCount, "given_up", fmt.Sprint(abandoned))
		g.mu.Lock()
		g.pacer = nil
		g.mu.Unlock()
	}
	return nil
}

// updateAlias moves an alias as part of the release. A failure, for example because the version has been withdrawn
// meanwhile, is logged and does not stop the release.
func (g *functionRegistry) updateAlias(update *registry.AliasUpdate, log *slog.Logger) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := registry.Entry{At: unixSeconds(time.Now()), Actor: g.releasedBy, AliasUpdate: update, Reason: reasonRelease}
	if err := g.applyEntry(entry); err != nil {
		log.Error("release: failed to move alias", "function", update.Function, "error", err)
	}
}

// advanceRollouts advances each rollout that is due by one step, or rolls it back if its target version fails.
func (g *functionRegistry) advanceRollouts(log *slog.Logger) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, entry := range g.registry.AdvanceRollouts(unixSeconds(time.Now())) {
		if err := g.applyEntry(entry); err != nil {
			return err
		}
		if update := entry.AliasUpdate; update != nil {
			log.Info("rollout ended", "function", update.Function, "alias", update.Alias, "digest", update.Digest, "reason", entry.Reason)
			continue
		}
		rollout := entry.Rollout
		log.Info("rollout advanced", "function", rollout.Function, "alias", rollout.Alias, "share", rollout.CanaryFraction, "reason", entry.Reason)
	}
	return nil
}

// rolloutTargets returns references to the target versions of all rollouts in progress.
func (g *functionRegistry) rolloutTargets() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var references []string
	for _, function := range g.registry.List() {
		for _, rollout := range function.Rollouts {
			references = append(references, rollout.Function+"@"+string(rollout.To))
		}
	}
	return references
}

// recordResult counts a response for the rollouts. Worker errors, failed loads and a wrong digest are attributed to the
// version; a timeout or a lack of capacity is not, and is not counted.
func (g *functionRegistry) recordResult(response dispatch.Response) {
	reference, err := registry.ParseRef(response.Binding.ID)
	if response.Binding.ID == "" || err != nil {
		return
	}
	atFault := response.Cause == dispatch.CauseWorkerFailed || response.Cause == dispatch.CauseLoadFailed ||
		response.Cause == dispatch.CauseDigestMismatch
	if response.Kind != dispatch.Succeeded && !atFault {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requestCounts[reference.Function]++
	g.registry.RecordResult(reference.Function, reference.Digest, atFault)
}
