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

var seeds = flag.Uint64("seeds", 200, "seeds of the profile day; a tenth of them of each other small one")

// Nothing breaks in any seed, and the same seed goes the same way however many run beside it.
func TestSeeds(t *testing.T) {
	digests := map[uint64]string{}
	names, _ := Profiles()
	for _, name := range names {
		n := *seeds / 10
		switch name {
		case "day":
			n = *seeds
		case "grown":
			n = 1
		case "beyond": // is there to break
			continue
		}
		sum := NewSummary(name)
		err := Sweep(context.Background(), name, 0, n, 4, func(r *Report) {
			sum.Add(r)
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
			if never := sum.Missed(); len(never) > 2 { // those of the group beyond
				t.Errorf("faults that met nothing: %v", never)
			}
		}
		t.Logf("%s: %d seeds, %d events, %.0f virtual seconds", name, sum.Seeds, sum.Requests, sum.VirtualSeconds)
	}
	err := Sweep(context.Background(), "day", 0, min(*seeds, 8), 1, func(r *Report) {
		if r.Digest != digests[r.Seed] {
			t.Errorf("seed %d went another way alone", r.Seed)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Scripts that once broke something.
func TestFound(t *testing.T) {
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

// A disk that lies breaks what it must, the report says so, and a small script is left that still does.
func TestBeyondBreaksAndShrinks(t *testing.T) {
	s, err := Generate("day", 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Appliances, s.FrontEndsPerAppliance, s.Rate = 1, 1, 30
	s.Faults = append([]Fault{{At: 0.5, Kind: "lying-disk", Duration: 6}}, s.Faults...)
	s.Faults = append(s.Faults, Fault{At: 4, Kind: "power", Size: 0.5})
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
	if len(small.Faults) > 3 || !kinds["lying-disk"] || r.OK() {
		t.Errorf("%d of %d faults are left after %d runs: %+v", len(small.Faults), len(s.Faults), runs, small.Faults)
	}
	data, _ := json.Marshal(small)
	if again, err := ReadScript(data); err != nil || len(again.Faults) != len(small.Faults) {
		t.Error(err)
	}
	if _, _, _, err := Shrink(&Script{
		Seed: 1, Profile: "day", Seconds: 2, Appliances: 1, FrontEndsPerAppliance: 1, Workers: 2, Cores: 1, Functions: 2, Clients: 1,
		Rate: 5, Work: 0.02, DeduplicationWindow: 30,
	}); !errors.Is(err, ErrNoViolation) {
		t.Error("a script that breaks nothing: ", err)
	}
}

func TestExploreSmallWorld(t *testing.T) {
	x := Explore(5, 1<<20)
	if len(x.Violations) > 0 || !x.Complete || x.Merged == 0 {
		t.Errorf("%+v", x)
	}
	t.Logf("%+v", x)
}
