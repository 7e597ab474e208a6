package registry

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/opencontainers/go-digest"
)

// The fixture holds audit trail entries in the format of existing stores, one per line. It must not change: run the tests
// with -update only to create a new one.
var update = flag.Bool("update", false, "write the fixture of the audit trail")

var (
	auditTrailFixture = filepath.Join("testdata", "trail-1.jsonl")
	oldDigest         = digest.FromString("old")
	newDigest         = digest.FromString("new")
)

// fixtureEntries returns entries of every kind, some with all fields and some with only the required fields.
func fixtureEntries() []Entry {
	return []Entry{
		{At: 1_800_000_000.25, Actor: "ann", Reason: "first", Publish: &Version{
			Function: "team/f", Name: "1.0.0", Digest: oldDigest,
			Concurrency: 4, MemoryMB: 256.5, LoadTime: 1.5, Classes: []string{"once", "again"}, SignedBy: []string{"key-1", "key-2"},
		}},
		{At: 1_800_000_001, Actor: "ann", Publish: &Version{Function: "team/f", Name: "1.1.0", Digest: newDigest}},
		{At: 1_800_000_002, Actor: "ann", AliasUpdate: &AliasUpdate{Function: "team/f", Alias: DefaultAlias, Digest: oldDigest}},
		{At: 1_800_000_003, Actor: "ann", AliasUpdate: &AliasUpdate{Function: "team/f", Alias: "gone", Digest: oldDigest}},
		{At: 1_800_000_004, Actor: "ann", AliasUpdate: &AliasUpdate{Function: "team/f", Alias: "gone"}},
		{At: 1_800_000_005, Actor: "bob", Rollout: &Rollout{
			Function: "team/f", Alias: DefaultAlias, From: oldDigest, To: newDigest, CanaryFraction: 0.1,
			Tenants: []string{"north"}, Steps: []float64{0.1, 0.5}, StepDuration: 60, MinResponses: 20, MaxExcessFailureRate: 0.02,
		}},
		{At: 1_800_000_006, Actor: "rollout", Reason: "it has held at 0.10", Rollout: &Rollout{Function: "team/f", Alias: DefaultAlias, From: oldDigest, To: newDigest}},
		{At: 1_800_000_007, Actor: "keys", Withdraw: "team/f@" + string(oldDigest), Reason: "none in force vouches for it"},
	}
}

func TestAuditTrailFormat_MatchesFixture(t *testing.T) {
	var got bytes.Buffer
	for _, e := range fixtureEntries() {
		data, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		got.Write(append(data, '\n'))
	}
	if *update {
		if err := os.WriteFile(auditTrailFixture, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(auditTrailFixture)
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("encoded:\n%s\nwant:\n%s", &got, want)
	}
}

func TestApply_AuditTrailFixture(t *testing.T) {
	data, err := os.ReadFile(auditTrailFixture)
	if err != nil {
		t.Fatal(err)
	}
	r := New()
	var entries []Entry
	for line := range bytes.SplitSeq(bytes.TrimSpace(data), []byte("\n")) {
		var e Entry
		if err := json.Unmarshal(line, &e); err != nil {
			t.Fatal(err)
		}
		entries = append(entries, e)
		if err := r.Apply(e); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
	}
	want := fixtureEntries()
	if !reflect.DeepEqual(entries, want) {
		t.Errorf("entries:\n%+v, want\n%+v", entries, want)
	}
	oldVersion, newVersion := *want[0].Publish, *want[1].Publish
	oldVersion.Withdrawn = true
	views := []View{{Function: "team/f", Versions: []Version{oldVersion, newVersion}, Aliases: map[string]digest.Digest{DefaultAlias: newDigest}}}
	if got := r.List(); !reflect.DeepEqual(got, views) {
		t.Errorf("registry:\n%+v, want\n%+v", got, views)
	}
}

// The JSON form of a View is part of the admin API and of the output of handler list --json.
func TestView_JSONKeys(t *testing.T) {
	data, err := json.Marshal(View{
		Function: "f", Versions: []Version{{Function: "f", Name: "1", Digest: "d", Withdrawn: true}},
		Aliases: map[string]digest.Digest{"current": "d"}, Rollouts: []Rollout{{Function: "f", Alias: "current", From: "d", To: "e", MaxExcessFailureRate: 0.5}},
	})
	const want = `{"function":"f","versions":[{"function":"f","version":"1","digest":"d","withdrawn":true}],"aliases":{"current":"d"},` +
		`"rollouts":[{"function":"f","alias":"current","from":"d","to":"e","share":0,"most_bad":0.5}]}`
	if err != nil || string(data) != want {
		t.Errorf("%s, %v", data, err)
	}
}
