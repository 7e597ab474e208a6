package scenario

import (
	"sync"
	"time"

	"github.com/opencontainers/go-digest"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/registry"
	"streamcleat/internal/verification/fakes"
)

// Versions that every function has.
const (
	oldVersion = "1"
	newVersion = "2"

	moveSpread = 2 * time.Millisecond // from one front end's learning of a move to the next one's
)

// versions gives each front end a registry of its own, as appliances have: a move reaches one after the other.
type versions struct {
	mu         sync.Mutex
	registries []*registry.Registry
}

func newVersions(functions []fakes.Function, frontEnds int) (*versions, error) {
	v := &versions{}
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

// publish publishes both versions of a function, of which the old one is current.
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

// resolver returns what a front end resolves the versions of requests by.
func (v *versions) resolver(frontEnd int, profile func(string) dispatch.FunctionProfile) func(*dispatch.Request) (dispatch.Binding, dispatch.FunctionProfile, error) {
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

// isAllowed returns what a front end asks whether a version may still run.
func (v *versions) isAllowed(frontEnd int) func(dispatch.Binding) bool {
	return func(b dispatch.Binding) bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.registries[frontEnd].IsAllowed(b.Function, digest.Digest(b.Digest))
	}
}

// move moves an alias at the front ends, one after the other.
func (v *versions) move(m registry.AliasUpdate) error {
	for i := range v.registries {
		v.mu.Lock()
		err := v.registries[i].Apply(registry.Entry{AliasUpdate: &m})
		v.mu.Unlock()
		if err != nil {
			return err
		}
		time.Sleep(moveSpread)
	}
	return nil
}
