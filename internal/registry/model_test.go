package registry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/opencontainers/go-digest"
	"pgregory.net/rapid"
)

// registryModel is a plain model of a registry with the one function f: what each name stands for, no more.
type registryModel struct {
	versions  map[string]digest.Digest
	aliases   map[string]digest.Digest
	withdrawn map[digest.Digest]bool
	rollouts  map[string]digest.Digest // the new version by alias
}

func newRegistryModel() *registryModel {
	return &registryModel{
		versions:  map[string]digest.Digest{},
		aliases:   map[string]digest.Digest{},
		withdrawn: map[digest.Digest]bool{},
		rollouts:  map[string]digest.Digest{},
	}
}

// drawEntry draws a change of a version and an alias; false where a rare one was left out.
func drawEntry(t *rapid.T) (e Entry, version, alias string, ok bool) {
	version = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
	alias = rapid.SampledFrom([]string{Current, "sale-week"}).Draw(t, "alias")
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		e.Publish = &Version{Function: "f", Name: version, Digest: sum(version)}
	case 1:
		e.AliasUpdate = &AliasUpdate{"f", alias, sum(version)}
	case 2:
		e.Rollout = &Rollout{Function: "f", Alias: alias, To: sum(version), CanaryFraction: rapid.Float64Range(0, 1).Draw(t, "share")}
	case 3:
		if rapid.IntRange(0, 5).Draw(t, "seldom") > 0 {
			return e, version, alias, false
		}
		e.Withdraw = "f@" + string(sum(version))
	}
	return e, version, alias, true
}

// check compares the registry's answer to a change with what the model expects, and follows the change.
func (m *registryModel) check(t *rapid.T, r *Registry, e Entry, version, alias string) {
	err := r.Apply(e)
	usable := m.versions[version] != "" && !m.withdrawn[sum(version)]
	switch {
	case e.Publish != nil:
		if (err == nil) != (m.versions[version] == "") {
			t.Fatalf("publish %s: %v", version, err)
		}
		m.versions[version] = sum(version)
	case e.AliasUpdate != nil:
		if (err == nil) != usable {
			t.Fatalf("move to %s: %v", version, err)
		}
		if usable {
			m.aliases[alias] = sum(version)
			delete(m.rollouts, alias)
		}
	case e.Rollout != nil:
		if (err == nil) != (usable && m.aliases[alias] != "" && m.aliases[alias] != sum(version)) {
			t.Fatalf("rollout to %s: %v", version, err)
		}
		if err == nil {
			m.rollouts[alias] = sum(version)
		}
	default:
		if (err == nil) != usable {
			t.Fatalf("withdraw %s: %v", version, err)
		}
		if usable {
			m.withdrawn[sum(version)] = true
			m.takeOver(r)
		}
	}
}

// takeOver takes aliases and rollouts from the registry: after a withdrawal it decides where they go, and the model
// checks that this may run.
func (m *registryModel) takeOver(r *Registry) {
	for _, v := range r.List() {
		m.aliases = v.Aliases
		m.rollouts = map[string]digest.Digest{}
		for _, rollout := range v.Rollouts {
			m.rollouts[rollout.Alias] = rollout.To
		}
	}
}

// allowed are the versions that a tag may resolve to.
func (m *registryModel) allowed(tag string) map[digest.Digest]bool {
	allowed := map[digest.Digest]bool{}
	for _, d := range []digest.Digest{m.versions[tag], m.aliases[tag], m.rollouts[tag]} {
		if d != "" && !m.withdrawn[d] {
			allowed[d] = true
		}
	}
	return allowed
}

// TestResolveModel holds the registry against a plain model under any changes: what a reference resolves to was
// published, may run, and is what the model names; the trail makes the same registry again.
func TestResolveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		model := newRegistryModel()
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			if e, version, alias, ok := drawEntry(t); ok {
				model.check(t, r, e, version, alias)
			}
		}
		for _, ref := range []string{"f", "f:sale-week", "f:v1", "f:v2", "f:v3"} {
			resolved, err := r.Resolve(ref, "x", "t", "event")
			tag := strings.TrimPrefix(strings.TrimPrefix(ref, "f"), ":")
			if tag == "" {
				tag = Current
			}
			allowed := model.allowed(tag)
			if (err == nil) != (len(allowed) > 0) || err == nil && !allowed[resolved.Digest] {
				t.Fatalf("%s: %s %v, the model allows %v", ref, resolved.Digest, err, allowed)
			}
		}
		again := New()
		for _, e := range r.AuditTrail {
			if err := again.Apply(e); err != nil {
				t.Fatal(err)
			}
		}
		if fmt.Sprint(again.List()) != fmt.Sprint(r.List()) {
			t.Fatal("the trail makes another registry")
		}
	})
}
