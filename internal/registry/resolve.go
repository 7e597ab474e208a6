package registry

import (
	"fmt"
	"slices"
	"strings"

	"github.com/opencontainers/go-digest"
)

// ResolvedVersion is the version that a request uses. It is resolved once, when the request is admitted.
type ResolvedVersion struct {
	Version
	Alias  string // alias that named the version; empty for a digest or a version name
	Canary bool   // whether the version is the new one of a rollout
}

// ID returns the function ID that is used for routing. Each version is routed as a separate function, so that a warm
// replica of an old version never counts as a replica of the new one.
func (v ResolvedVersion) ID() string { return v.Function + "@" + string(v.Digest) }

// Resolve returns the version that a reference names for a request. An empty request class is accepted by every version.
// During a rollout the tenant and the request ID select the old or the new version. The selection is deterministic, and a
// request that resolves to the new version continues to do so while the canary fraction grows.
func (r *Registry) Resolve(reference, class, tenant, requestID string) (ResolvedVersion, error) {
	ref, err := ParseRef(reference)
	if err != nil {
		return ResolvedVersion{}, err
	}
	f := r.functions[ref.Function]
	if f == nil {
		return ResolvedVersion{}, unknownFunctionError(ref.Function)
	}
	resolved := ResolvedVersion{}
	d := ref.Digest
	if d == "" {
		d, resolved.Alias, resolved.Canary = f.resolveTag(ref, tenant, requestID)
	}
	if d == "" {
		return ResolvedVersion{}, fmt.Errorf("%s:%s: %w", ref.Function, ref.Tag, ErrUnknown)
	}
	_, v, err := r.findUsable(ref.Function, d)
	if err != nil {
		return ResolvedVersion{}, err
	}
	if len(v.Classes) > 0 && class != "" && !slices.Contains(v.Classes, class) {
		return ResolvedVersion{}, fmt.Errorf("%s:%s accepts request classes %s, not %s", v.Function, v.Name, strings.Join(v.Classes, ", "), class)
	}
	resolved.Version = *v
	return resolved, nil
}

// resolveTag returns the digest that a tag names for a request, or an empty digest if the tag is unknown. A version name
// takes precedence over an alias, and the rollout of an alias over the version that the alias names.
func (f *functionRecord) resolveTag(ref Reference, tenant, requestID string) (d digest.Digest, alias string, canary bool) {
	if v := f.versionByName(ref.Tag); v != nil {
		return v.Digest, "", false
	}
	if rollout := f.rollouts[ref.Tag]; rollout != nil {
		if rollout.isCanary(tenant, requestID) {
			return rollout.To, ref.Tag, true
		}
		return rollout.From, ref.Tag, false
	}
	return f.aliases[ref.Tag], ref.Tag, false
}

// IsAllowed reports whether a version may still run: it is published and not withdrawn.
func (r *Registry) IsAllowed(function string, d digest.Digest) bool {
	_, _, err := r.findUsable(function, d)
	return err == nil
}

// Contains reports whether any version of a function has been published.
func (r *Registry) Contains(function string) bool { return r.functions[function] != nil }

// Find returns the version that a reference names, regardless of rollouts and withdrawals.
func (r *Registry) Find(reference string) (Version, error) {
	ref, err := ParseRef(reference)
	if err != nil {
		return Version{}, err
	}
	f := r.functions[ref.Function]
	if f == nil {
		return Version{}, unknownFunctionError(ref.Function)
	}
	d := ref.Digest
	if d == "" {
		d = f.aliases[ref.Tag]
		if v := f.versionByName(ref.Tag); v != nil {
			d = v.Digest
		}
	}
	if v := f.versionByDigest(d); v != nil {
		return *v, nil
	}
	return Version{}, fmt.Errorf("%s: %w", reference, ErrUnknown)
}
