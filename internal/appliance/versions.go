package appliance

import (
	"errors"

	"github.com/opencontainers/go-digest"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/registry"
	"streamcleat/internal/units"
)

// isVersionAllowed reports whether the version of a binding may still execute requests. A withdrawn version may not.
func (g *functionRegistry) isVersionAllowed(binding dispatch.Binding) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	reference, err := registry.ParseRef(binding.ID)
	return err == nil && g.registry.IsAllowed(reference.Function, reference.Digest)
}

// bind resolves the version that executes a request and caches the binding for retries. The binding is zero for an
// unversioned function.
func (g *functionRegistry) bind(request *dispatch.Request) (registry.ResolvedVersion, dispatch.Binding, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	version, err := g.registry.Resolve(g.boundReference(request), request.Class, request.Tenant, request.String())
	if err != nil {
		if g.isUnversioned(request.Function, err) {
			err = nil
		}
		return registry.ResolvedVersion{}, dispatch.Binding{}, err
	}
	binding := dispatch.Binding{ID: version.ID(), Function: version.Function, Version: version.Name, Digest: string(version.Digest)}
	g.bindings.Add(request.Identity, binding)
	return version, binding, nil
}

// boundReference returns a reference to the version that an earlier attempt of the request was bound to, or else the
// reference in the request.
func (g *functionRegistry) boundReference(request *dispatch.Request) string {
	earlier, ok := g.bindings.Get(request.Identity)
	if !ok {
		return request.Function
	}
	reference, err := registry.ParseRef(request.Function)
	if err != nil || reference.Function != earlier.Function ||
		!g.registry.IsAllowed(earlier.Function, digest.Digest(earlier.Digest)) {
		return request.Function
	}
	return earlier.ID
}

// isUnversioned reports whether a reference that failed to resolve names an unversioned function: one that is not in the
// registry, without a tag or digest.
func (g *functionRegistry) isUnversioned(function string, resolveErr error) bool {
	reference, err := registry.ParseRef(function)
	if err != nil {
		return true
	}
	return errors.Is(resolveErr, registry.ErrUnknown) && !g.registry.Contains(reference.Function) &&
		reference.Tag == registry.DefaultAlias && reference.Digest == ""
}

// resolveVersion returns the version that a request is bound to and the profile of its function. The version's own
// values take precedence over the configuration.
func (a *Appliance) resolveVersion(request *dispatch.Request) (dispatch.Binding, dispatch.FunctionProfile, error) {
	version, binding, err := a.functions.bind(request)
	if err != nil || binding.ID == "" {
		return dispatch.Binding{}, a.config.Function(request.Function), err
	}
	profile := a.config.Function(version.Function)
	if version.Concurrency > 0 {
		profile.Concurrency = version.Concurrency
	}
	if version.MemoryMB > 0 {
		profile.MemoryMB = version.MemoryMB
	}
	if version.LoadTime > 0 {
		profile.LoadTime = units.Seconds(version.LoadTime)
	}
	return binding, profile, nil
}
