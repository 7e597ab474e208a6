package scenario

import (
	"context"
	"log/slog"
	"strings"
	"testing"

	"streamcleat/internal/verification/exclusive"
)

// The built-in scripts run concurrently, which distorts their latencies. The rules must hold nevertheless.
func TestRun_BuiltinScriptsKeepRules(t *testing.T) {
	exclusive.Acquire(t)
	for i, name := range Scripts() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := Builtin(name)
			if err != nil {
				t.Fatal(err)
			}
			log := &traceLog{}
			stopLogging := log.logStalls()
			r, records, err := Run(context.Background(), s, uint64(100+i), slog.New(slog.NewTextHandler(log, nil)))
			stopLogging()
			if err != nil {
				t.Fatal(err)
			}
			if !r.OK() {
				t.Errorf("%d rules broken: %v %v", r.RulesBroken, r.Violations, r.Failures)
				log.print(t, r, records)
			}
			if r.Succeeded == 0 || r.Attempts < r.Succeeded/3 {
				t.Errorf("too few successful requests or attempts: %+v", r)
			}
			if name == "quiet" && r.InTime < 0.9 {
				t.Errorf("fraction of firings in time without faults: %.2f, want at least 0.9", r.InTime)
			}
		})
	}
}

func TestParseScript_InvalidFieldIsNamed(t *testing.T) {
	for text, want := range map[string]string{
		`{"seconds":0}`:                          "script t: seconds: 0 is not above 0 and at most 3600",
		`{"troubles":[{"at":1,"kind":"rain"}]}`:  "script t: troubles[0].kind: rain is not a known kind of fault",
		`{"troubles":[{"at":99,"kind":"hang"}]}`: "script t: troubles[0]: at must be within the scenario, part and hit between 0 and 1",
		`{"mix":{"x":1}}`:                        "script t: mix: x is not one of shop-event, till-entry, price-reset",
		`{"minute":0}`:                           "script t: minute and work must be above 0, cores at least 1, clients 0 to 16",
		`{"colour":1}`:                           "colour",
		`{`:                                      "script t",
	} {
		t.Run(text, func(t *testing.T) {
			if _, err := ParseScript([]byte(text), "t"); err == nil || !strings.Contains(err.Error(), want) {
				t.Error(err)
			}
		})
	}
	if _, err := Builtin("none"); err == nil || !strings.Contains(err.Error(), "bad-day") {
		t.Error(err)
	}
}

// Deprecated names of fault kinds in existing scripts are mapped to the current kinds.
func TestParseScript_DeprecatedKinds(t *testing.T) {
	s, err := ParseScript([]byte(`{"troubles":[{"at":1,"kind":"stall"},{"at":1,"kind":"cut"},{"at":1,"kind":"retry-abuse"}]}`), "t")
	if err != nil {
		t.Fatal(err)
	}
	want := []FaultKind{FaultSuspend, FaultTruncateResponses, FaultIgnoreRetryAfter}
	if len(s.Faults) != len(want) || len(deprecatedFaultKinds) != len(want) {
		t.Fatalf("%d faults, %d deprecated kinds, %d are tested", len(s.Faults), len(deprecatedFaultKinds), len(want))
	}
	for i, kind := range want {
		if s.Faults[i].Kind != kind {
			t.Errorf("fault %d: kind %q, want %q", i, s.Faults[i].Kind, kind)
		}
	}
}
