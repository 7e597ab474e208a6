package scenario

import (
	"sync"
	"time"

	"github.com/opencontainers/go-digest"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/registry"
	"streamcleat/internal/verification/fakes"
)

// Names of the versions of every function.
const (
	oldVersion = "1"
	newVersion = "2"

	aliasUpdateDelay = 2 * time.Millisecond // between the updates of two front ends' registries
)

// versionRegistries holds a registry of versions for each front end, as in appliances. Alias updates reach the registries
// one after the other.
type versionRegistries struct {
	mu         sync.Mutex
	registries []*registry.Registry
}

func newVersionRegistries(functions []fakes.Function, frontEnds int) (*versionRegistries, error) {
	v := &versionRegistries{}
	for range frontEnds {
		r := registry.New()
		for _, f := range functions {
			if err := publish(r, f); err != nil {
				return nil, err
			}
		}
		v.registries = append(v.registries, r)
	}
	return v, nil
}

func versionDigest(function, version string) digest.Digest {
	return digest.FromString(function + ":" + version)
}

// publish publishes both versions of a function, with the default alias "current" for the old version.
func publish(r *registry.Registry, f fakes.Function) error {
	for _, name := range []string{oldVersion, newVersion} {
		version := &registry.Version{
			Function: f.Name, Name: name, Digest: versionDigest(f.Name, name), Concurrency: f.Concurrency,
			MemoryMB: f.MemoryMB, LoadTime: f.FetchTime + f.StartTime,
		}
		if err := r.Apply(registry.Entry{Publish: version}); err != nil {
			return err
		}
	}
	return r.Apply(registry.Entry{AliasUpdate: &registry.AliasUpdate{Function: f.Name, Alias: registry.DefaultAlias, Digest: versionDigest(f.Name, oldVersion)}})
}

// resolver returns the function that a front end uses to resolve the version of a request.
func (v *versionRegistries) resolver(frontEnd int, profile func(string) dispatch.FunctionProfile) func(*dispatch.Request) (dispatch.Binding, dispatch.FunctionProfile, error) {
	return func(request *dispatch.Request) (dispatch.Binding, dispatch.FunctionProfile, error) {
		v.mu.Lock()
		defer v.mu.Unlock()
		identity := request.Identity
		version, err := v.registries[frontEnd].Resolve(request.Function, request.Class, request.Tenant, identity.String())
		if err != nil {
			return dispatch.Binding{}, dispatch.FunctionProfile{}, err
		}
		binding := dispatch.Binding{ID: version.ID(), Function: version.Function, Version: version.Name, Digest: string(version.Digest)}
		return binding, profile(version.Function), nil
	}
}

// allowedCheck returns the function that a front end uses to check that a version is not revoked.
func (v *versionRegistries) allowedCheck(frontEnd int) func(dispatch.Binding) bool {
	return func(b dispatch.Binding) bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.registries[frontEnd].IsAllowed(b.Function, digest.Digest(b.Digest))
	}
}

// updateAlias updates an alias in the registries of the front ends, one after the other.
func (v *versionRegistries) updateAlias(update registry.AliasUpdate) error {
	for i := range v.registries {
		v.mu.Lock()
		err := v.registries[i].Apply(registry.Entry{AliasUpdate: &update})
		v.mu.Unlock()
		if err != nil {
			return err
		}
		time.Sleep(aliasUpdateDelay)
	}
	return nil
}
