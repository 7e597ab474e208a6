package registry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/opencontainers/go-digest"
	"pgregory.net/rapid"
)

// registryModel is a reference model of a registry with the single function f. It tracks only what each name refers to and
// which versions are withdrawn.
type registryModel struct {
	versions  map[string]digest.Digest
	aliases   map[string]digest.Digest
	withdrawn map[digest.Digest]bool
	rollouts  map[string]digest.Digest // by alias: digest of the new version
}

func newRegistryModel() *registryModel {
	return &registryModel{
		versions:  map[string]digest.Digest{},
		aliases:   map[string]digest.Digest{},
		withdrawn: map[digest.Digest]bool{},
		rollouts:  map[string]digest.Digest{},
	}
}

// drawChange draws a random entry and returns it with the version and alias that it concerns. ok is false if no entry was
// drawn: most withdrawals are skipped to keep them rare.
func drawChange(t *rapid.T) (e Entry, version, alias string, ok bool) {
	version = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
	alias = rapid.SampledFrom([]string{DefaultAlias, "sale-week"}).Draw(t, "alias")
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		e.Publish = &Version{Function: "f", Name: version, Digest: digestOf(version)}
	case 1:
		e.AliasUpdate = &AliasUpdate{"f", alias, digestOf(version)}
	case 2:
		e.Rollout = &Rollout{Function: "f", Alias: alias, To: digestOf(version), CanaryFraction: rapid.Float64Range(0, 1).Draw(t, "share")}
	case 3:
		if rapid.IntRange(0, 5).Draw(t, "seldom") > 0 {
			return e, version, alias, false
		}
		e.Withdraw = "f@" + string(digestOf(version))
	}
	return e, version, alias, true
}

// applyAndCheck applies an entry to the registry, checks that it is accepted or rejected as the model expects, and updates
// the model.
func (m *registryModel) applyAndCheck(t *rapid.T, r *Registry, e Entry, version, alias string) {
	err := r.Apply(e)
	usable := m.versions[version] != "" && !m.withdrawn[digestOf(version)]
	switch {
	case e.Publish != nil:
		if (err == nil) != (m.versions[version] == "") {
			t.Fatalf("publish %s: %v", version, err)
		}
		m.versions[version] = digestOf(version)
	case e.AliasUpdate != nil:
		if (err == nil) != usable {
			t.Fatalf("alias update to %s: %v", version, err)
		}
		if usable {
			m.aliases[alias] = digestOf(version)
			delete(m.rollouts, alias)
		}
	case e.Rollout != nil:
		if (err == nil) != (usable && m.aliases[alias] != "" && m.aliases[alias] != digestOf(version)) {
			t.Fatalf("rollout to %s: %v", version, err)
		}
		if err == nil {
			m.rollouts[alias] = digestOf(version)
		}
	default:
		if (err == nil) != usable {
			t.Fatalf("withdraw %s: %v", version, err)
		}
		if usable {
			m.withdrawn[digestOf(version)] = true
			m.syncFrom(r)
		}
	}
}

// syncFrom copies the aliases and rollouts of the registry to the model. The model does not predict how a withdrawal changes
// them; it only checks that they do not resolve to a withdrawn version.
func (m *registryModel) syncFrom(r *Registry) {
	for _, v := range r.List() {
		m.aliases = v.Aliases
		m.rollouts = map[string]digest.Digest{}
		for _, rollout := range v.Rollouts {
			m.rollouts[rollout.Alias] = rollout.To
		}
	}
}

// allowedDigests returns the digests that a tag may resolve to.
func (m *registryModel) allowedDigests(tag string) map[digest.Digest]bool {
	allowed := map[digest.Digest]bool{}
	for _, d := range []digest.Digest{m.versions[tag], m.aliases[tag], m.rollouts[tag]} {
		if d != "" && !m.withdrawn[d] {
			allowed[d] = true
		}
	}
	return allowed
}

// TestRegistry_MatchesModel compares the registry with the model after random changes. A reference must resolve to a version
// that the model allows, which is published and not withdrawn, and replaying the audit trail must produce the same registry.
func TestRegistry_MatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		model := newRegistryModel()
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			if e, version, alias, ok := drawChange(t); ok {
				model.applyAndCheck(t, r, e, version, alias)
			}
		}
		for _, ref := range []string{"f", "f:sale-week", "f:v1", "f:v2", "f:v3"} {
			resolved, err := r.Resolve(ref, "x", "t", "event")
			tag := strings.TrimPrefix(strings.TrimPrefix(ref, "f"), ":")
			if tag == "" {
				tag = DefaultAlias
			}
			allowed := model.allowedDigests(tag)
			if (err == nil) != (len(allowed) > 0) || err == nil && !allowed[resolved.Digest] {
				t.Fatalf("%s: %s %v, the model allows %v", ref, resolved.Digest, err, allowed)
			}
		}
		replayed := New()
		for _, e := range r.AuditTrail {
			if err := replayed.Apply(e); err != nil {
				t.Fatal(err)
			}
		}
		if fmt.Sprint(replayed.List()) != fmt.Sprint(r.List()) {
			t.Fatal("replaying the audit trail produces a different registry")
		}
	})
}
