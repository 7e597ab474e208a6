package registry

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/opencontainers/go-digest"
	"pgregory.net/rapid"
)

func sum(v string) digest.Digest { return digest.FromString(v) }

func must(t *testing.T, r *Registry, e Entry) {
	t.Helper()
	if err := r.Apply(e); err != nil {
		t.Fatal(err)
	}
}

func published(t *testing.T, versions ...string) *Registry {
	r := New()
	for _, v := range versions {
		must(t, r, Entry{Publish: &Version{Function: "shop", Name: v, Digest: sum(v)}})
	}
	must(t, r, Entry{Move: &Move{"shop", Current, sum(versions[0])}})
	return r
}

func bound(t *testing.T, r *Registry, ref, event string) string {
	t.Helper()
	b, err := r.Resolve(ref, "x", "tenant", event)
	if err != nil {
		t.Fatal(err)
	}
	return b.Name
}

func TestReferences(t *testing.T) {
	r := published(t, "1.0", "1.1")
	for ref, want := range map[string]string{"shop": "1.0", "shop:current": "1.0", "shop:1.1": "1.1", "shop@" + string(sum("1.1")): "1.1",
		"shop:current@" + string(sum("1.1")): "1.1"} {
		if got := bound(t, r, ref, "e"); got != want {
			t.Errorf("%s is bound to %s, not %s", ref, got, want)
		}
	}
	for ref, want := range map[string]string{"": "not a function's name", "shop:": "not a tag", "shop@md5:1": "digest", "other": "not in the registry",
		"shop:old": "not in the registry", "a//b": "not a function's name", "shop@" + string(sum("9")): "not in the registry"} {
		if _, err := r.Resolve(ref, "x", "", "e"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", ref, err)
		}
	}
}

func TestChangesThatAreTurnedAwayChangeNothing(t *testing.T) {
	r := published(t, "1.0", "1.1")
	for _, e := range []Entry{
		{},
		{Publish: &Version{Function: "shop", Name: "1.0", Digest: sum("other")}},
		{Publish: &Version{Function: "shop", Name: "2.0", Digest: sum("1.0")}},
		{Publish: &Version{Function: "shop", Name: "2.0", Digest: "sha256:short"}},
		{Publish: &Version{Function: "shop", Name: Current, Digest: sum("c")}},
		{Move: &Move{"shop", "sale", sum("9")}},
		{Move: &Move{"shop", "1.0", sum("1.1")}},
		{Move: &Move{"none", Current, sum("1.0")}},
		{Rollout: &Rollout{Function: "shop", Alias: Current, To: sum("1.0")}},
		{Rollout: &Rollout{Function: "shop", Alias: "sale", To: sum("1.1")}},
		{Rollout: &Rollout{Function: "shop", Alias: Current, To: sum("1.1"), Steps: []float64{0.5, 0.2}}},
		{Withdraw: "shop:1.0"},
	} {
		before := fmt.Sprint(r.List())
		if err := r.Apply(e); err == nil || fmt.Sprint(r.List()) != before || len(r.AuditTrail) != 3 {
			t.Errorf("%+v: %v", e, err)
		}
	}
}

func TestAliasMovesAndMovesBack(t *testing.T) {
	r := published(t, "1.0", "1.1")
	must(t, r, Entry{Move: &Move{"shop", Current, sum("1.1")}})
	if got := bound(t, r, "shop", "e"); got != "1.1" {
		t.Error(got)
	}
	m, err := r.Rollback("shop", Current)
	if err != nil {
		t.Fatal(err)
	}
	must(t, r, Entry{Move: &m})
	if got := bound(t, r, "shop", "e"); got != "1.0" {
		t.Error(got)
	}
	must(t, r, Entry{Withdraw: "shop@" + string(sum("1.0"))})
	if got := bound(t, r, "shop", "e"); got != "1.1" || r.IsAllowed("shop", sum("1.0")) {
		t.Error("a withdrawn version is still named: ", got)
	}
	if _, err := r.Resolve("shop:1.0", "x", "", "e"); !errors.Is(err, ErrWithdrawn) {
		t.Error(err)
	}
}

// An event that has the new version keeps it as the share grows, and shares come out as stated.
func TestRolloutByShareAndTenant(t *testing.T) {
	r := published(t, "1.0", "1.1")
	got := map[string]bool{}
	for _, share := range []float64{0.1, 0.5, 0.9, 1} {
		must(t, r, Entry{Rollout: &Rollout{Function: "shop", Alias: Current, To: sum("1.1"), Share: share, Tenants: []string{"first"}}})
		n := 0
		for i := range 2000 {
			id := fmt.Sprint(i)
			b, _ := r.Resolve("shop", "x", "other", id)
			if got[id] && !b.Canary {
				t.Fatalf("event %s went back at share %v", id, share)
			}
			if got[id] = b.Canary; b.Canary {
				n++
			}
			if b, _ := r.Resolve("shop", "x", "first", id); !b.Canary {
				t.Fatal("a named tenant has the old version")
			}
		}
		if f := float64(n) / 2000; f < share-0.03 || f > share+0.03 {
			t.Errorf("%.3f of the events, not %v", f, share)
		}
	}
}

func TestRolloutGoesOnHoldsAndGoesBack(t *testing.T) {
	start := func() *Registry {
		r := published(t, "1.0", "1.1")
		must(t, r, Entry{At: 100, Rollout: &Rollout{Function: "shop", Alias: Current, To: sum("1.1"), Steps: []float64{0.1, 0.5}, StepDuration: 10, MinResponses: 5, MaxFailureShare: 0.2}})
		return r
	}
	answers := func(r *Registry, v string, good, bad int) {
		for i := range good + bad {
			r.RecordResult("shop", sum(v), i < bad)
		}
	}
	r := start()
	answers(r, "1.1", 20, 0)
	if len(r.AdvanceRollouts(105)) != 0 {
		t.Error("went on before its time")
	}
	for now, want := range map[float64]float64{111: 0.5} {
		due := r.AdvanceRollouts(now)
		if len(due) != 1 || due[0].Rollout == nil || due[0].Rollout.Share != want {
			t.Fatalf("%+v", due)
		}
		must(t, r, due[0])
	}
	if len(r.AdvanceRollouts(130)) != 0 {
		t.Error("went on though nothing was seen at this step")
	}
	answers(r, "1.1", 5, 0)
	must(t, r, r.AdvanceRollouts(130)[0])
	answers(r, "1.1", 5, 0)
	due := r.AdvanceRollouts(150)
	if len(due) != 1 || due[0].Move == nil || due[0].Move.Digest != sum("1.1") {
		t.Fatalf("%+v", due)
	}
	must(t, r, due[0])
	if got := bound(t, r, "shop", "e"); got != "1.1" || len(r.AdvanceRollouts(1000)) != 0 {
		t.Error("not ended: ", got)
	}
	r = start()
	answers(r, "1.0", 50, 25) // the old one fails too: the new one must not be blamed for the fleet
	answers(r, "1.1", 10, 5)
	if due := r.AdvanceRollouts(101); len(due) != 0 {
		t.Errorf("went back though the old version is no better: %+v", due)
	}
	answers(r, "1.1", 0, 10)
	due = r.AdvanceRollouts(102)
	if len(due) != 1 || due[0].Move == nil || due[0].Move.Digest != sum("1.0") || due[0].Reason == "" {
		t.Fatalf("%+v", due)
	}
}

// TestBindingModel holds the registry against a plain model under any changes: what a reference is bound to was
// published, may run, and is what the model names; the trail makes the same registry again.
func TestBindingModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		versions, aliases, withdrawn, rolling := map[string]digest.Digest{}, map[string]digest.Digest{}, map[digest.Digest]bool{}, map[string]digest.Digest{}
		names := []string{"v1", "v2", "v3"}
		tags := []string{Current, "sale-week"}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			name, tag := rapid.SampledFrom(names).Draw(t, "version"), rapid.SampledFrom(tags).Draw(t, "alias")
			var e Entry
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				e.Publish = &Version{Function: "f", Name: name, Digest: sum(name)}
			case 1:
				e.Move = &Move{"f", tag, sum(name)}
			case 2:
				e.Rollout = &Rollout{Function: "f", Alias: tag, To: sum(name), Share: rapid.Float64Range(0, 1).Draw(t, "share")}
			case 3:
				if rapid.IntRange(0, 5).Draw(t, "seldom") > 0 {
					continue
				}
				e.Withdraw = "f@" + string(sum(name))
			}
			err := r.Apply(e)
			known := versions[name] != "" && !withdrawn[sum(name)]
			switch {
			case e.Publish != nil:
				if (err == nil) != (versions[name] == "") {
					t.Fatalf("publish %s: %v", name, err)
				}
				versions[name] = sum(name)
			case e.Move != nil:
				if (err == nil) != known {
					t.Fatalf("move to %s: %v", name, err)
				}
				if known {
					aliases[tag] = sum(name)
					delete(rolling, tag)
				}
			case e.Rollout != nil:
				if (err == nil) != (known && aliases[tag] != "" && aliases[tag] != sum(name)) {
					t.Fatalf("rollout to %s: %v", name, err)
				}
				if err == nil {
					rolling[tag] = sum(name)
				}
			default:
				if (err == nil) != known {
					t.Fatalf("withdraw %s: %v", name, err)
				}
				if known { // where aliases go then is the registry's word; the model takes it, and checks that it may run
					withdrawn[sum(name)] = true
					for _, v := range r.List() {
						aliases = v.Aliases
						rolling = map[string]digest.Digest{}
						for _, ro := range v.Rollouts {
							rolling[ro.Alias] = ro.To
						}
					}
				}
			}
		}
		for _, ref := range []string{"f", "f:sale-week", "f:v1", "f:v2", "f:v3"} {
			b, err := r.Resolve(ref, "x", "t", "event")
			tag := strings.TrimPrefix(strings.TrimPrefix(ref, "f"), ":")
			if tag == "" {
				tag = Current
			}
			want := map[digest.Digest]bool{}
			if d := versions[tag]; d != "" {
				want[d] = true
			}
			if d := aliases[tag]; d != "" {
				want[d] = true
			}
			if d := rolling[tag]; d != "" {
				want[d] = true
			}
			for d := range want {
				if withdrawn[d] {
					delete(want, d)
				}
			}
			if (err == nil) != (len(want) > 0) || err == nil && !want[b.Digest] {
				t.Fatalf("%s: %s %v, the model allows %v", ref, b.Digest, err, want)
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
