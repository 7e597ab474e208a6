package fakes

import (
	"net/http"
	"testing"
)

// Requests that inject faults by the names of earlier builds must keep working.
func TestInject_DeprecatedKinds(t *testing.T) {
	w := startWorker(t, nil)
	for old, kind := range map[string]FaultKind{"stall": FaultSuspend, "cut": FaultTruncateResponses, "liar": FaultMisreportDigest} {
		if status, _, body := post(t, w, "/standin/fault", "", `{"kind":"`+old+`","for":600}`); status != http.StatusOK {
			t.Errorf("%s: status %d, body %s", old, status, body)
		}
		w.mu.Lock()
		_, injected := w.faults[kind]
		w.mu.Unlock()
		if !injected || !faultKinds[kind] || faultKinds[FaultKind(old)] {
			t.Errorf("deprecated fault kind %s was not injected as %s", old, kind)
		}
	}
	if len(deprecatedFaultKinds) != 3 {
		t.Errorf("%d deprecated fault kinds exist, but 3 are tested", len(deprecatedFaultKinds))
	}
}
