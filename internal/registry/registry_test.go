package registry

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/opencontainers/go-digest"
)

func sum(v string) digest.Digest { return digest.FromString(v) }

func mustApply(t *testing.T, r *Registry, e Entry) {
	t.Helper()
	if err := r.Apply(e); err != nil {
		t.Fatal(err)
	}
}

// published is a registry with versions of one function; the alias current names the first.
func published(t *testing.T, versions ...string) *Registry {
	t.Helper()
	r := New()
	for _, v := range versions {
		mustApply(t, r, Entry{Publish: &Version{Function: "shop", Name: v, Digest: sum(v)}})
	}
	mustApply(t, r, Entry{AliasUpdate: &AliasUpdate{"shop", Current, sum(versions[0])}})
	return r
}

// resolvedName is the name of the version that a request with a reference gets.
func resolvedName(t *testing.T, r *Registry, ref string) string {
	t.Helper()
	v, err := r.Resolve(ref, "x", "tenant", "e")
	if err != nil {
		t.Fatal(err)
	}
	return v.Name
}

func TestReferences(t *testing.T) {
	r := published(t, "1.0", "1.1")
	for _, c := range []struct{ ref, version string }{
		{"shop", "1.0"},
		{"shop:current", "1.0"},
		{"shop:1.1", "1.1"},
		{"shop@" + string(sum("1.1")), "1.1"},
		{"shop:current@" + string(sum("1.1")), "1.1"},
	} {
		t.Run(c.ref, func(t *testing.T) {
			if got := resolvedName(t, r, c.ref); got != c.version {
				t.Errorf("%s resolves to %s, not %s", c.ref, got, c.version)
			}
		})
	}
}

func TestFaultyReferences(t *testing.T) {
	r := published(t, "1.0", "1.1")
	for _, c := range []struct {
		ref, text string
		faulty    bool // the reference can't be read
	}{
		{"", "not a function's name", true},
		{"shop:", "not a tag", true},
		{"shop@md5:1", "digest", true},
		{"a//b", "not a function's name", true},
		{"other", "not in the registry", false},
		{"shop:old", "not in the registry", false},
		{"shop@" + string(sum("9")), "not in the registry", false},
	} {
		t.Run(c.ref, func(t *testing.T) {
			_, err := r.Resolve(c.ref, "x", "", "e")
			if err == nil || !strings.Contains(err.Error(), c.text) {
				t.Fatalf("%q: %v", c.ref, err)
			}
			var fault *ReferenceError
			if errors.As(err, &fault) != c.faulty || errors.Is(err, ErrUnknown) == c.faulty {
				t.Errorf("%q: %T %v", c.ref, err, err)
			}
		})
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
		{AliasUpdate: &AliasUpdate{"shop", "sale", sum("9")}},
		{AliasUpdate: &AliasUpdate{"shop", "1.0", sum("1.1")}},
		{AliasUpdate: &AliasUpdate{"none", Current, sum("1.0")}},
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
	mustApply(t, r, Entry{AliasUpdate: &AliasUpdate{"shop", Current, sum("1.1")}})
	if got := resolvedName(t, r, "shop"); got != "1.1" {
		t.Error(got)
	}
	m, err := r.Rollback("shop", Current)
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, r, Entry{AliasUpdate: &m})
	if got := resolvedName(t, r, "shop"); got != "1.0" {
		t.Error(got)
	}
	mustApply(t, r, Entry{Withdraw: "shop@" + string(sum("1.0"))})
	if got := resolvedName(t, r, "shop"); got != "1.1" || r.IsAllowed("shop", sum("1.0")) {
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
		mustApply(t, r, Entry{Rollout: &Rollout{Function: "shop", Alias: Current, To: sum("1.1"), CanaryFraction: share, Tenants: []string{"first"}}})
		n := 0
		for i := range 2000 {
			id := strconv.Itoa(i)
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
		mustApply(t, r, Entry{At: 100, Rollout: &Rollout{Function: "shop", Alias: Current, To: sum("1.1"), Steps: []float64{0.1, 0.5}, StepDuration: 10, MinResponses: 5, MaxExcessFailureRate: 0.2}})
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
		if len(due) != 1 || due[0].Rollout == nil || due[0].Rollout.CanaryFraction != want {
			t.Fatalf("%+v", due)
		}
		mustApply(t, r, due[0])
	}
	if len(r.AdvanceRollouts(130)) != 0 {
		t.Error("went on though nothing was seen at this step")
	}
	answers(r, "1.1", 5, 0)
	mustApply(t, r, r.AdvanceRollouts(130)[0])
	answers(r, "1.1", 5, 0)
	due := r.AdvanceRollouts(150)
	if len(due) != 1 || due[0].AliasUpdate == nil || due[0].AliasUpdate.Digest != sum("1.1") {
		t.Fatalf("%+v", due)
	}
	mustApply(t, r, due[0])
	if got := resolvedName(t, r, "shop"); got != "1.1" || len(r.AdvanceRollouts(1000)) != 0 {
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
	if len(due) != 1 || due[0].AliasUpdate == nil || due[0].AliasUpdate.Digest != sum("1.0") || due[0].Reason == "" {
		t.Fatalf("%+v", due)
	}
}
