package registry

import (
	"fmt"
	"slices"
	"strings"

	"github.com/opencontainers/go-digest"
)

// ResolvedVersion is what a request runs on, resolved once when it is admitted.
type ResolvedVersion struct {
	Version
	Alias  string // by which it was named; "" for a digest or a version
	Canary bool   // it is the newer side of a rollout
}

// ID is the function's id for the routing decisions: a version is a function of its own, so that a warm replica of the
// old one never stands for the new.
func (v ResolvedVersion) ID() string { return v.Function + "@" + string(v.Digest) }

// Resolve returns the version of a request; an empty class is any. The tenant and the request's identity choose the side
// of a rollout: the same request always gets the same side at the same share, and a request that got the new side keeps
// it as the share grows.
func (r *Registry) Resolve(text, class, tenant, request string) (ResolvedVersion, error) {
	ref, err := ParseRef(text)
	if err != nil {
		return ResolvedVersion{}, err
	}
	f := r.functions[ref.Function]
	if f == nil {
		return ResolvedVersion{}, unknownFunction(ref.Function)
	}
	resolved := ResolvedVersion{}
	d := ref.Digest
	if d == "" {
		d, resolved.Alias, resolved.Canary = f.resolveTag(ref, tenant, request)
	}
	if d == "" {
		return ResolvedVersion{}, fmt.Errorf("%s:%s: %w", ref.Function, ref.Tag, ErrUnknown)
	}
	_, v, err := r.findUsable(ref.Function, d)
	if err != nil {
		return ResolvedVersion{}, err
	}
	if len(v.Classes) > 0 && class != "" && !slices.Contains(v.Classes, class) {
		return ResolvedVersion{}, fmt.Errorf("%s:%s takes %s, not %s", v.Function, v.Name, strings.Join(v.Classes, ", "), class)
	}
	resolved.Version = *v
	return resolved, nil
}

// resolveTag returns what a tag names for a request: a version's name comes before an alias, and a rollout of the alias
// before what it names. The digest is empty where the tag names nothing.
func (f *functionRecord) resolveTag(ref Ref, tenant, request string) (d digest.Digest, alias string, canary bool) {
	if v := f.versionByName(ref.Tag); v != nil {
		return v.Digest, "", false
	}
	if rollout := f.rollouts[ref.Tag]; rollout != nil {
		if rollout.includes(tenant, request) {
			return rollout.To, ref.Tag, true
		}
		return rollout.From, ref.Tag, false
	}
	return f.aliases[ref.Tag], ref.Tag, false
}

// IsAllowed reports whether a version that a request was bound to earlier may still run.
func (r *Registry) IsAllowed(name string, d digest.Digest) bool {
	_, _, err := r.findUsable(name, d)
	return err == nil
}

// Contains reports whether a function was ever published.
func (r *Registry) Contains(name string) bool { return r.functions[name] != nil }

// Find returns the version that a reference names now, rollouts and withdrawals apart.
func (r *Registry) Find(text string) (Version, error) {
	ref, err := ParseRef(text)
	if err != nil {
		return Version{}, err
	}
	f := r.functions[ref.Function]
	if f == nil {
		return Version{}, unknownFunction(ref.Function)
	}
	d := ref.Digest
	if d == "" {
		d = f.aliases[ref.Tag]
		if v := f.versionByName(ref.Tag); v != nil {
			d = v.Digest
		}
	}
	if v := f.version(d); v != nil {
		return *v, nil
	}
	return Version{}, fmt.Errorf("%s: %w", text, ErrUnknown)
}
