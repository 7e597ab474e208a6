package simulation

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var seeds = flag.Uint64("seeds", 200, "seeds of the profile day; of each other small one a tenth of that")

// No seed has a violation, except in the profile beyond. The trace of a seed does not depend on seeds that run concurrently.
func TestSweep_EachProfileKeepsRules(t *testing.T) {
	digests := map[uint64]string{}
	names, _ := Profiles()
	for _, name := range names {
		n := *seeds / 10
		switch name {
		case "day":
			n = *seeds
		case "grown":
			n = 1
		case "beyond": // the rules need not hold under its faults
			continue
		}
		summary := NewSummary(name)
		err := Sweep(context.Background(), name, 0, n, 4, func(r *Report) {
			summary.Add(r)
			if name == "day" && r.Seed < 8 {
				digests[r.Seed] = r.Digest
			}
			if !r.OK() {
				t.Errorf("%s, seed %d: %v", name, r.Seed, r.Findings)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		if name == "day" && n >= 200 {
			if notInjected := summary.NotInjected(); len(notInjected) > 2 { // the two kinds of groupBeyond, which the profile does not draw
				t.Errorf("fault kinds that no seed injected: %v", notInjected)
			}
		}
		t.Logf("%s: %d seeds, %d requests, %.0f virtual seconds", name, summary.Seeds, summary.Requests, summary.VirtualSeconds)
	}
	err := Sweep(context.Background(), "day", 0, min(*seeds, 8), 1, func(r *Report) {
		if r.Digest != digests[r.Seed] {
			t.Errorf("seed %d has a different trace when it runs alone", r.Seed)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Scripts that had a violation in an earlier build have none.
func TestPlay_StoredScriptsKeepRules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ReadScript(data)
		if err != nil {
			t.Fatal(file, err)
		}
		r, _, err := Play(s, nil)
		if err != nil || !r.OK() {
			t.Errorf("%s: %v %v", file, r.Findings, err)
		}
	}
}

// A script with a violation, caused by a disk that ignores syncs before a power loss, shrinks to one with at most three faults
// that still has the violation. A script without a violation is rejected.
func TestShrink_KeepsViolation(t *testing.T) {
	s, err := Generate("day", 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Appliances, s.FrontEndsPerAppliance, s.Rate = 1, 1, 30
	s.Faults = append([]Fault{{At: 0.5, Kind: FaultIgnoredSync, Duration: 6}}, s.Faults...)
	s.Faults = append(s.Faults, Fault{At: 4, Kind: FaultPowerLoss, Size: 0.5})
	for i := range s.Faults {
		s.Faults[i].Appliance = 0
	}
	small, r, runs, err := Shrink(s)
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[FaultKind]bool{}
	for _, f := range small.Faults {
		kinds[f.Kind] = true
	}
	if len(small.Faults) > 3 || !kinds[FaultIgnoredSync] || r.OK() {
		t.Errorf("%d of %d faults remain after %d runs: %+v", len(small.Faults), len(s.Faults), runs, small.Faults)
	}
	data, _ := json.Marshal(small)
	if decoded, err := ReadScript(data); err != nil || len(decoded.Faults) != len(small.Faults) {
		t.Error(err)
	}
	if _, _, _, err := Shrink(&Script{
		Seed: 1, Profile: "day", Seconds: 2, Appliances: 1, FrontEndsPerAppliance: 1, Workers: 2, Cores: 1, Functions: 2, Clients: 1,
		Rate: 5, Work: 0.02, DeduplicationWindow: 30,
	}); !errors.Is(err, ErrNoViolation) {
		t.Error("a script without a violation was not rejected: ", err)
	}
}

// No order of actions in the small model violates a rule, to a depth of 5.
func TestExplore_KeepsRules(t *testing.T) {
	result := Explore(5, 1<<20)
	if len(result.Violations) > 0 || !result.Complete || result.Merged == 0 {
		t.Errorf("%+v", result)
	}
	t.Logf("%+v", result)
}
