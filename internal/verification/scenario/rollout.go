package scenario

import (
	"context"
	"errors"
	"fmt"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/registry"
)

const (
	rolloutLoads    = 4    // maximum concurrent loads of a paced release
	rolloutInterval = 0.02 // seconds between checks of the progress of a paced release
)

// ErrNoVersions is returned for a release in a scenario whose functions have no versions.
var ErrNoVersions = errors.New("script has no versions")

// drawMigrations draws a fraction of the functions, and returns their migrations to the new version.
func (i *injection) drawMigrations() ([]registry.Migration, error) {
	if i.versions == nil {
		return nil, ErrNoVersions
	}
	count := i.script.Functions
	var list []registry.Migration
	for _, index := range i.rng.Perm(count)[:int(i.fault.Fraction*float64(count))] {
		f := i.functions[index] // the catalogue is ordered by popularity, so the negative index ranks request rates
		list = append(list, registry.Migration{
			Function: f.Name, To: versionDigest(f.Name, newVersion), RequestRate: -float64(index),
			LoadTime: f.FetchTime + f.StartTime,
		})
	}
	return list, nil
}

// releaseAtOnce migrates a fraction of the functions without preloading their new versions.
func (i *injection) releaseAtOnce(context.Context) error {
	list, err := i.drawMigrations()
	if err != nil {
		return err
	}
	for _, m := range list {
		if err := i.versions.updateAlias(registry.AliasUpdate{Function: m.Function, Alias: registry.DefaultAlias, Digest: m.To}); err != nil {
			return err
		}
	}
	return nil
}

// releasePaced migrates a fraction of the functions, a few at a time, each after its new version is loaded.
func (i *injection) releasePaced(ctx context.Context) error {
	list, err := i.drawMigrations()
	if err != nil {
		return err
	}
	pacer := registry.NewRolloutPacer(registry.DefaultAlias, rolloutLoads, list)
	for {
		if err := i.preloadNext(pacer); err != nil {
			return err
		}
		if err := i.migrateLoaded(pacer); err != nil {
			return err
		}
		remaining, abandoned := pacer.Remaining()
		if len(abandoned) > 0 {
			i.log.Info("migrations abandoned", "functions", fmt.Sprint(abandoned))
		}
		if remaining == 0 || !sleep(ctx, rolloutInterval) {
			return nil
		}
	}
}

func functionVersion(m registry.Migration) string { return m.Function + "@" + string(m.To) }

// preloadNext requests loads of the next versions from every front end.
func (i *injection) preloadNext(pacer *registry.RolloutPacer) error {
	now := i.recorder.Now()
	for _, m := range pacer.Next(now) {
		for _, f := range i.frontEnds {
			if _, err := f.Preload("", functionVersion(m)); err != nil {
				return err
			}
		}
		pacer.OnLoadRequested(m.Function, now)
	}
	return nil
}

// migrateLoaded migrates the functions whose new version is loaded.
func (i *injection) migrateLoaded(pacer *registry.RolloutPacer) error {
	for _, m := range pacer.Loading() {
		if !i.isLoadedEverywhere(functionVersion(m)) {
			continue
		}
		if update, due := pacer.OnLoaded(m.Function, i.recorder.Now()); due {
			if err := i.versions.updateAlias(update); err != nil {
				return err
			}
		}
	}
	return nil
}

// isLoadedEverywhere reports whether every front end has a ready replica of a version in its routing view.
func (r *run) isLoadedEverywhere(version string) bool {
	loadedEverywhere := true
	for _, f := range r.frontEnds {
		loaded, err := hasReadyReplica(f, version)
		if err != nil {
			return false
		}
		loadedEverywhere = loadedEverywhere && loaded
	}
	return loadedEverywhere
}

// hasReadyReplica reports whether a front end has a ready replica of a version in its routing view.
func hasReadyReplica(f *eventloop.Server, version string) (bool, error) {
	ready := false
	err := f.DoDispatcher(func(d *dispatch.Dispatcher) {
		_, functions := d.RoutingView()
		for _, function := range functions {
			ready = ready || function.ID == control.FunctionID(version) && len(function.Replicas) > 0
		}
	})
	return ready, err
}
