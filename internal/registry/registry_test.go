package registry

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/opencontainers/go-digest"
)

func digestOf(v string) digest.Digest { return digest.FromString(v) }

func mustApply(t *testing.T, r *Registry, e Entry) {
	t.Helper()
	if err := r.Apply(e); err != nil {
		t.Fatal(err)
	}
}

// newPublishedRegistry returns a registry with the given versions of the function shop. The default alias names the first.
func newPublishedRegistry(t *testing.T, versions ...string) *Registry {
	t.Helper()
	r := New()
	for _, v := range versions {
		mustApply(t, r, Entry{Publish: &Version{Function: "shop", Name: v, Digest: digestOf(v)}})
	}
	mustApply(t, r, Entry{AliasUpdate: &AliasUpdate{"shop", DefaultAlias, digestOf(versions[0])}})
	return r
}

// resolvedName returns the name of the version that a reference resolves to.
func resolvedName(t *testing.T, r *Registry, ref string) string {
	t.Helper()
	v, err := r.Resolve(ref, "x", "tenant", "e")
	if err != nil {
		t.Fatal(err)
	}
	return v.Name
}

func TestResolve_ValidReference(t *testing.T) {
	r := newPublishedRegistry(t, "1.0", "1.1")
	for _, c := range []struct{ ref, version string }{
		{"shop", "1.0"},
		{"shop:current", "1.0"},
		{"shop:1.1", "1.1"},
		{"shop@" + string(digestOf("1.1")), "1.1"},
		{"shop:current@" + string(digestOf("1.1")), "1.1"},
	} {
		t.Run(c.ref, func(t *testing.T) {
			if got := resolvedName(t, r, c.ref); got != c.version {
				t.Errorf("%s resolves to %s, want %s", c.ref, got, c.version)
			}
		})
	}
}

func TestResolve_InvalidOrUnknownReference(t *testing.T) {
	r := newPublishedRegistry(t, "1.0", "1.1")
	for _, c := range []struct {
		ref, text string
		invalid   bool // whether the reference has a syntax error
	}{
		{"", "not a function name", true},
		{"shop:", "not a tag", true},
		{"shop@md5:1", "digest", true},
		{"a//b", "not a function name", true},
		{"other", "not in the registry", false},
		{"shop:old", "not in the registry", false},
		{"shop@" + string(digestOf("9")), "not in the registry", false},
	} {
		t.Run(c.ref, func(t *testing.T) {
			_, err := r.Resolve(c.ref, "x", "", "e")
			if err == nil || !strings.Contains(err.Error(), c.text) {
				t.Fatalf("%q: %v", c.ref, err)
			}
			var syntaxError *ReferenceError
			if errors.As(err, &syntaxError) != c.invalid || errors.Is(err, ErrUnknown) == c.invalid {
				t.Errorf("%q: %T %v", c.ref, err, err)
			}
		})
	}
}

func TestApply_RejectedChangeHasNoEffect(t *testing.T) {
	r := newPublishedRegistry(t, "1.0", "1.1")
	for _, e := range []Entry{
		{},
		{Publish: &Version{Function: "shop", Name: "1.0", Digest: digestOf("other")}},
		{Publish: &Version{Function: "shop", Name: "2.0", Digest: digestOf("1.0")}},
		{Publish: &Version{Function: "shop", Name: "2.0", Digest: "sha256:short"}},
		{Publish: &Version{Function: "shop", Name: DefaultAlias, Digest: digestOf("c")}},
		{AliasUpdate: &AliasUpdate{"shop", "sale", digestOf("9")}},
		{AliasUpdate: &AliasUpdate{"shop", "1.0", digestOf("1.1")}},
		{AliasUpdate: &AliasUpdate{"none", DefaultAlias, digestOf("1.0")}},
		{Rollout: &Rollout{Function: "shop", Alias: DefaultAlias, To: digestOf("1.0")}},
		{Rollout: &Rollout{Function: "shop", Alias: "sale", To: digestOf("1.1")}},
		{Rollout: &Rollout{Function: "shop", Alias: DefaultAlias, To: digestOf("1.1"), Steps: []float64{0.5, 0.2}}},
		{Withdraw: "shop:1.0"},
	} {
		before := fmt.Sprint(r.List())
		if err := r.Apply(e); err == nil || fmt.Sprint(r.List()) != before || len(r.AuditTrail) != 3 {
			t.Errorf("%+v: %v", e, err)
		}
	}
}

func TestAlias_MoveRollbackAndWithdrawal(t *testing.T) {
	r := newPublishedRegistry(t, "1.0", "1.1")
	mustApply(t, r, Entry{AliasUpdate: &AliasUpdate{"shop", DefaultAlias, digestOf("1.1")}})
	if got := resolvedName(t, r, "shop"); got != "1.1" {
		t.Error(got)
	}
	m, err := r.Rollback("shop", DefaultAlias)
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, r, Entry{AliasUpdate: &m})
	if got := resolvedName(t, r, "shop"); got != "1.0" {
		t.Error(got)
	}
	mustApply(t, r, Entry{Withdraw: "shop@" + string(digestOf("1.0"))})
	if got := resolvedName(t, r, "shop"); got != "1.1" || r.IsAllowed("shop", digestOf("1.0")) {
		t.Errorf("alias names %s after the withdrawal, want 1.1; or the withdrawn version is still allowed", got)
	}
	if _, err := r.Resolve("shop:1.0", "x", "", "e"); !errors.Is(err, ErrWithdrawn) {
		t.Error(err)
	}
}

// A request that resolves to the new version must continue to do so as the canary fraction grows, and the measured fraction
// must be as configured.
func TestRollout_SelectsByFractionAndTenant(t *testing.T) {
	r := newPublishedRegistry(t, "1.0", "1.1")
	isCanary := map[string]bool{}
	for _, fraction := range []float64{0.1, 0.5, 0.9, 1} {
		mustApply(t, r, Entry{Rollout: &Rollout{Function: "shop", Alias: DefaultAlias, To: digestOf("1.1"), CanaryFraction: fraction, Tenants: []string{"first"}}})
		canaries := 0
		for i := range 2000 {
			id := strconv.Itoa(i)
			v, _ := r.Resolve("shop", "x", "other", id)
			if isCanary[id] && !v.Canary {
				t.Fatalf("request %s went back to the old version at canary fraction %v", id, fraction)
			}
			if isCanary[id] = v.Canary; v.Canary {
				canaries++
			}
			if v, _ := r.Resolve("shop", "x", "first", id); !v.Canary {
				t.Fatal("a request of a listed tenant resolved to the old version")
			}
		}
		if measured := float64(canaries) / 2000; measured < fraction-0.03 || measured > fraction+0.03 {
			t.Errorf("%.3f of the requests resolved to the new version, want %v", measured, fraction)
		}
	}
}

func TestRollout_AdvancesHoldsAndRollsBack(t *testing.T) {
	start := func() *Registry {
		r := newPublishedRegistry(t, "1.0", "1.1")
		mustApply(t, r, Entry{At: 100, Rollout: &Rollout{Function: "shop", Alias: DefaultAlias, To: digestOf("1.1"), Steps: []float64{0.1, 0.5}, StepDuration: 10, MinResponses: 5, MaxExcessFailureRate: 0.2}})
		return r
	}
	record := func(r *Registry, v string, succeeded, failed int) {
		for i := range succeeded + failed {
			r.RecordResult("shop", digestOf(v), i < failed)
		}
	}
	r := start()
	record(r, "1.1", 20, 0)
	if len(r.AdvanceRollouts(105)) != 0 {
		t.Error("rollout advanced before the end of the step")
	}
	for now, want := range map[float64]float64{111: 0.5} {
		due := r.AdvanceRollouts(now)
		if len(due) != 1 || due[0].Rollout == nil || due[0].Rollout.CanaryFraction != want {
			t.Fatalf("%+v", due)
		}
		mustApply(t, r, due[0])
	}
	if len(r.AdvanceRollouts(130)) != 0 {
		t.Error("rollout advanced without responses in the step")
	}
	record(r, "1.1", 5, 0)
	mustApply(t, r, r.AdvanceRollouts(130)[0])
	record(r, "1.1", 5, 0)
	due := r.AdvanceRollouts(150)
	if len(due) != 1 || due[0].AliasUpdate == nil || due[0].AliasUpdate.Digest != digestOf("1.1") {
		t.Fatalf("%+v", due)
	}
	mustApply(t, r, due[0])
	if got := resolvedName(t, r, "shop"); got != "1.1" || len(r.AdvanceRollouts(1000)) != 0 {
		t.Error("rollout did not complete, or the alias does not name the new version: ", got)
	}
	r = start()
	record(r, "1.0", 50, 25) // the old version fails as often, so the new one is not the cause
	record(r, "1.1", 10, 5)
	if due := r.AdvanceRollouts(101); len(due) != 0 {
		t.Errorf("rolled back although the old version fails as often: %+v", due)
	}
	record(r, "1.1", 0, 10)
	due = r.AdvanceRollouts(102)
	if len(due) != 1 || due[0].AliasUpdate == nil || due[0].AliasUpdate.Digest != digestOf("1.0") || due[0].Reason == "" {
		t.Fatalf("%+v", due)
	}
}
