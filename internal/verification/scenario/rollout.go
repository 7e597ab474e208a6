package scenario

import (
	"errors"
	"fmt"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/registry"
)

const (
	rolloutLoads    = 4    // concurrent loads of a paced release
	rolloutInterval = 0.02 // seconds between looks at its progress
)

// ErrNoVersions is the error of a release in a scenario whose functions have no versions.
var ErrNoVersions = errors.New("the script says nothing of versions")

// migrations draws a share of the functions to be moved to their new version.
func (i *injection) migrations() ([]registry.Migration, error) {
	if i.versions == nil {
		return nil, ErrNoVersions
	}
	count := i.script.Functions
	var list []registry.Migration
	for _, index := range i.rng.Perm(count)[:int(i.fault.Fraction*float64(count))] {
		f := i.functions[index] // the catalogue's order is that of popularity
		list = append(list, registry.Migration{
			Function: f.Name, To: versionDigest(f.Name, newVersion), RequestRate: -float64(index),
			LoadTime: f.FetchTime + f.StartTime,
		})
	}
	return list, nil
}

// releaseAtOnce moves a share of the functions to their new version.
func (i *injection) releaseAtOnce() error {
	list, err := i.migrations()
	if err != nil {
		return err
	}
	for _, m := range list {
		if err := i.versions.move(registry.AliasUpdate{Function: m.Function, Alias: registry.DefaultAlias, Digest: m.To}); err != nil {
			return err
		}
	}
	return nil
}

// releasePaced moves a share of the functions to their new version a few at a time, each once it is loaded.
func (i *injection) releasePaced() error {
	list, err := i.migrations()
	if err != nil {
		return err
	}
	pacer := registry.NewRolloutPacer(registry.DefaultAlias, rolloutLoads, list)
	for {
		if err := i.preloadNext(pacer); err != nil {
			return err
		}
		if err := i.moveLoaded(pacer); err != nil {
			return err
		}
		left, abandoned := pacer.Remaining()
		if len(abandoned) > 0 {
			i.log.Info("migrations abandoned", "functions", fmt.Sprint(abandoned))
		}
		if left == 0 || !sleep(i.ctx, rolloutInterval) {
			return nil
		}
	}
}

func functionVersion(m registry.Migration) string { return m.Function + "@" + string(m.To) }

// preloadNext has the next versions loaded by every front end.
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

// moveLoaded moves the functions whose new version is loaded.
func (i *injection) moveLoaded(pacer *registry.RolloutPacer) error {
	for _, m := range pacer.Loading() {
		if !i.isLoaded(functionVersion(m)) {
			continue
		}
		if move, due := pacer.OnLoaded(m.Function, i.recorder.Now()); due {
			if err := i.versions.move(move); err != nil {
				return err
			}
		}
	}
	return nil
}

// isLoaded returns whether every front end believes that a replica of a version is ready.
func (r *run) isLoaded(version string) bool {
	all := true
	for _, f := range r.frontEnds {
		loaded, err := knowsReplica(f, version)
		if err != nil {
			return false
		}
		all = all && loaded
	}
	return all
}

func knowsReplica(f *eventloop.Server, version string) (known bool, err error) {
	err = f.DoDispatcher(func(d *dispatch.Dispatcher) {
		_, functions := d.RoutingView()
		for _, x := range functions {
			known = known || x.ID == control.FunctionID(version) && len(x.Replicas) > 0
		}
	})
	return known, err
}
