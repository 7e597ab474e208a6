package node

import (
	"log/slog"
	"testing"

	"streamcleat/internal/platform"
	"streamcleat/internal/proxy"
	"streamcleat/internal/units"
	"streamcleat/internal/verification/nodesim"
	"streamcleat/internal/verification/nodetest"
)

// Over random runs with IDs that repeat in all spellings, each response belongs to its request, and no two attempts under one
// ID are open at once, nor does anything run under the ID of an at-most-once request that ran. Of the requests under an ID that is not
// open and did not run so at least half succeed, also on a busy front end.
func TestSimulation_RepeatedIDs(t *testing.T) {
	t.Parallel()
	for name, run := range map[string]struct {
		seeds    uint64
		interval units.Seconds
	}{"usual load": {30, 0.015}, "busy": {20, 0.0025}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range run.seeds {
				report := nodesim.Run(nodesim.Settings{
					Seed: seed, Duration: 20, RequestInterval: run.interval, Proxy: simulatedProxySettings(t),
					Classes: []string{"call", "once"}, AtMostOnce: "once",
				})
				for _, violation := range report.Violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
				unique := report.Requests - report.RejectedDuplicates - report.FailedDuplicates
				if report.Succeeded < unique/2 || report.RejectedDuplicates == 0 || report.FailedDuplicates == 0 || report.LateReplies == 0 {
					t.Errorf("seed %d: %+v", seed, report)
				}
			}
		})
	}
}

// simulatedProxySettings returns the settings of a front end that has started.
func simulatedProxySettings(t *testing.T) proxy.Settings {
	t.Helper()
	document, err := platform.ReadDocument([]byte(nodetest.DocumentText("127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:2", 256)))
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{document: document, log: slog.New(slog.DiscardHandler)}
	clients, workers := connectionLimits(document)
	return n.proxySettings(clients, workers)
}
