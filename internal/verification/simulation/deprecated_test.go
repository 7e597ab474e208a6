package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// Scripts with the fault names of earlier builds are read, and are written with the present names.
func TestReadScript_DeprecatedKinds(t *testing.T) {
	const script = `{"seed":1,"profile":"day","seconds":6,"boxes":1,"front_ends_per_box":1,"workers":2,"cores":1,"functions":1,
		"clients":1,"rate":1,"work":0.02,"timers":0,"remember":4,"faults":[{"at":1,"kind":"%s","for":1}]}`
	want := map[string]FaultKind{
		"cut-worker":      "partition-worker",
		"cut-to-worker":   "partition-to-worker",
		"cut-from-worker": "partition-from-worker",
		"cut-client":      "partition-client",
		"cut-peers":       "partition-peers",
		"half-picture":    "partial-view",
		"power":           "power-loss",
		"worker-power":    "worker-power-loss",
		"stall":           "suspend",
		"stall-worker":    "suspend-worker",
		"turn-away":       "reject",
		"reset-answers":   "reset-responses",
		"cut-answers":     "truncate-responses",
		"storm":           "traffic-spike",
		"abuse":           "retry-storm",
		"stampede":        "reconnect-storm",
		"lying-disk":      "ignored-sync",
		"forgetful":       "state-loss",
	}
	if len(want) != len(deprecatedFaultKinds) {
		t.Errorf("%d fault kinds are deprecated, but %d are tested", len(deprecatedFaultKinds), len(want))
	}
	for old, kind := range want {
		s, err := ReadScript(fmt.Appendf(nil, script, old))
		if err != nil {
			t.Errorf("fault kind %s: %v", old, err)
			continue
		}
		if s.Faults[0].Kind != kind || faultKindByName(kind) == nil || faultKindByName(FaultKind(old)) != nil {
			t.Errorf("fault kind %s was read as %s, want %s", old, s.Faults[0].Kind, kind)
		}
		if data, err := json.Marshal(s); err != nil || !strings.Contains(string(data), fmt.Sprintf("%q", kind)) {
			t.Errorf("fault kind %s was written as %s, error %v", old, data, err)
		}
	}
}
