package control

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var (
	update = flag.Bool("update", false, "write the golden files")
	dump   = flag.String("dump", "", "directory to write the complete logs to, for a diff of two versions")
)

const (
	goldenSeeds      = 3
	goldenHeadLines  = 60  // lines of each seed that are stored as text
	goldenBlockLines = 500 // subsequent lines per checksum
)

// scenarios each have a golden file of their name in testdata.
var scenarios = []scenario{
	{
		name: "single", frontEndCount: 1, routerCount: 1, workerCount: 2, functionCount: 3, duration: 40, requestRate: 25, serviceTime: 0.06,
		loadTime: 0.3, noLoadOnMiss: true, loadCommandsAllowed: true, maxAttempts: 4, maxRetryAfter: 0.5, idleReplicaLifetime: 8,
		warmUpTime: 15, faultRate: 0.3, cancelFraction: 0.05, loadReportFraction: 0.5,
	},
	{
		name: "crowded", frontEndCount: 1, routerCount: 1, workerCount: 6, functionCount: 12, duration: 30, requestRate: 140, burstFactor: 2,
		serviceTime: 0.08, loadTime: 0.5, loadTimeKnown: true, noLoadOnMiss: true, loadCommandsAllowed: true, maxAttempts: 4,
		maxRetryAfter: 1, idleReplicaLifetime: 8, warmUpTime: 15, faultRate: 0.4, churnRate: 0.2, cancelFraction: 0.1, loadReportFraction: 0.3, hotFraction: 0.3,
	},
	{
		name: "trio", frontEndCount: 3, routerCount: 3, workerCount: 12, functionCount: 20, duration: 30, requestRate: 120, serviceTime: 0.08,
		loadTime: 0.4, loadTimeKnown: true, noLoadOnMiss: true, loadCommandsAllowed: true, gossipAllowed: true, maxAttempts: 6,
		maxRetryAfter: 0.5, idleReplicaLifetime: 8, warmUpTime: 15, faultRate: 0.6, churnRate: 0.4, cancelFraction: 0.05, loadReportFraction: 0.5,
		preloadRate: 1, restoredReplicas: 10,
	},
	{
		name: "rationed", frontEndCount: 3, routerCount: 3, workerCount: 20, functionCount: 60, duration: 40, requestRate: 80, serviceTime: 0.1,
		loadTime: 0.6, loadTimeKnown: true, pollsEndpoints: true, loadCommandsAllowed: true, maxAttempts: 3, maxRetryAfter: 0, idleReplicaLifetime: 4,
		loadCommandWindow: 2, loadCommandAllowance: 1, loadCommandsPerRequest: 0.1, warmUpTime: 10, faultRate: 0.5, churnRate: 0.5, cancelFraction: 0.1,
		preloadRate: 2, restoredReplicas: 20,
	},
	{
		name: "orderless", frontEndCount: 3, routerCount: 2, workerCount: 10, functionCount: 25, duration: 30, requestRate: 80, serviceTime: 0.1,
		loadTime: 0.4, maxAttempts: 5, maxRetryAfter: 0.4, idleReplicaLifetime: 6, warmUpTime: 15, faultRate: 0.6, churnRate: 0.4,
		cancelFraction: 0.1, loadReportFraction: 0.8,
	},
	{
		name: "stalled-store", frontEndCount: 1, routerCount: 1, workerCount: 14, functionCount: 30, duration: 40, requestRate: 90, burstFactor: 3,
		serviceTime: 0.06, loadTime: 0.4, loadTimeKnown: true, noLoadOnMiss: true, loadCommandsAllowed: true, maxAttempts: 4,
		maxRetryAfter: 0.5, idleReplicaLifetime: 3, warmUpTime: 15, faultRate: 0.2, churnRate: 0.1, loadReportFraction: 0.3, slowStoreFactor: 8, hotFraction: 0.3,
	},
	{
		name: "stalled-loads", frontEndCount: 3, routerCount: 2, workerCount: 8, functionCount: 30, duration: 35, requestRate: 110,
		serviceTime: 0.05, loadTime: 0.4, loadTimeKnown: true, loadCommandsAllowed: true, gossipAllowed: true, maxAttempts: 4,
		maxRetryAfter: 0.5, idleReplicaLifetime: 3, warmUpTime: 15, faultRate: 0.3, churnRate: 0.2, slowStoreFactor: 5, loadReportFraction: 0.2,
	},
	{
		name: "thirty", frontEndCount: 30, routerCount: 5, workerCount: 30, functionCount: 20, duration: 20, requestRate: 250, burstFactor: 2,
		serviceTime: 0.12, loadTime: 0.4, loadTimeKnown: true, noLoadOnMiss: true, loadCommandsAllowed: true, maxAttempts: 4,
		maxRetryAfter: 0.5, idleReplicaLifetime: 8, warmUpTime: 15, faultRate: 1, churnRate: 0.6, cancelFraction: 0.05, retryFraction: 0.3,
		loadReportFraction: 0.5, preloadRate: 1,
	},
	{
		name: "thirty-gossip", frontEndCount: 30, routerCount: 2, workerCount: 40, functionCount: 30, duration: 20, requestRate: 300, burstFactor: 2,
		serviceTime: 0.15, loadTime: 0.4, loadTimeKnown: true, noLoadOnMiss: true, loadCommandsAllowed: true, gossipAllowed: true,
		maxAttempts: 4, maxRetryAfter: 0.5, idleReplicaLifetime: 8, loadCommandWindow: 2, loadCommandAllowance: 3, loadCommandsPerRequest: 0.05, warmUpTime: 15,
		faultRate: 1, churnRate: 0.8, cancelFraction: 0.05, retryFraction: 0.3, hotFraction: 0.2,
	},
	{
		name: "many-gossip", frontEndCount: 300, routerCount: 6, workerCount: 60, functionCount: 40, duration: 18, requestRate: 400, burstFactor: 2,
		serviceTime: 0.15, loadTime: 0.5, loadTimeKnown: true, noLoadOnMiss: true, loadCommandsAllowed: true, gossipAllowed: true,
		maxAttempts: 4, maxRetryAfter: 0.5, idleReplicaLifetime: 8, warmUpTime: 15, faultRate: 2, churnRate: 1, cancelFraction: 0.05,
		retryFraction: 0.2, loadReportFraction: 0.3, hotFraction: 0.3, restoredReplicas: 15,
	},
	{
		name: "many-overload", frontEndCount: 300, routerCount: 4, workerCount: 10, functionCount: 6, duration: 25, requestRate: 250, burstFactor: 2,
		serviceTime: 0.2, loadTime: 0.3, maxAttempts: 3, maxRetryAfter: 0.5, idleReplicaLifetime: 8, warmUpTime: 15, faultRate: 0.5,
		churnRate: 0.3, retryFraction: 0.5, loadReportFraction: 0.2,
	},
	{
		name: "quiet", frontEndCount: 3, routerCount: 2, workerCount: 8, functionCount: 60, duration: 220, requestRate: 1.5, serviceTime: 0.1,
		loadTime: 0.5, loadTimeKnown: true, pollsEndpoints: true, noLoadOnMiss: true, loadCommandsAllowed: true, gossipAllowed: true,
		maxAttempts: 4, maxRetryAfter: 0.5, idleReplicaLifetime: 8, warmUpTime: 15, faultRate: 0.1, churnRate: 0.1, preloadRate: 0.3,
		loadReportFraction: 0.5,
	},
	{
		name: "rollout", frontEndCount: 3, routerCount: 3, workerCount: 16, functionCount: 15, duration: 35, requestRate: 140, serviceTime: 0.06,
		loadTime: 0.3, loadTimeKnown: true, noLoadOnMiss: true, loadCommandsAllowed: true, maxAttempts: 4, maxRetryAfter: 0.5,
		idleReplicaLifetime: 8, warmUpTime: 20, churnRate: 2.5, loadReportFraction: 0.5, hotFraction: 0.3,
	},
	{
		name: "rollout-many", frontEndCount: 30, routerCount: 6, workerCount: 20, functionCount: 10, duration: 28, requestRate: 200,
		serviceTime: 0.06, loadTime: 0.3, loadTimeKnown: true, loadCommandsAllowed: true, gossipAllowed: true, maxAttempts: 4,
		maxRetryAfter: 0.5, idleReplicaLifetime: 8, warmUpTime: 20, churnRate: 2, loadReportFraction: 0.5, hotFraction: 0.4,
	},
	{
		name: "slow-restarts", frontEndCount: 1, routerCount: 1, workerCount: 8, functionCount: 4, duration: 40, requestRate: 100,
		serviceTime: 0.06, loadTime: 0.05, loadCommandsAllowed: true, maxAttempts: 4, maxRetryAfter: 0.5, idleReplicaLifetime: 8,
		warmUpTime: 0.5, faultRate: 1, onlyCondition: slow, meanFaultDuration: 8, churnRate: 2, onlyRestarts: true, onlyClass: "idempotent",
	},
	{
		name: "slow-crowd", frontEndCount: 1, routerCount: 1, workerCount: 5, functionCount: 5, duration: 60, requestRate: 70,
		serviceTime: 0.05, loadTime: 0.2, loadTimeKnown: true, loadCommandsAllowed: true, maxAttempts: 4, maxRetryAfter: 0.5, idleReplicaLifetime: 8,
		warmUpTime: 15, faultRate: 0.25, onlyCondition: slow, meanFaultDuration: 8, onlyClass: "idempotent", loadReportFraction: 0.3,
	},
	{
		name: "silent-crowd", frontEndCount: 1, routerCount: 1, workerCount: 5, functionCount: 30, duration: 50, requestRate: 30,
		serviceTime: 0.06, loadTime: 0.2, loadTimeKnown: true, noLoadOnMiss: true, loadCommandsAllowed: true, maxAttempts: 4,
		maxRetryAfter: 0.5, idleReplicaLifetime: 3, warmUpTime: 5, faultRate: 0.5, onlyCondition: unresponsive, meanFaultDuration: 8, onlyClass: "idempotent",
	},
	{
		name: "slow-workers", frontEndCount: 1, routerCount: 1, workerCount: 30, functionCount: 8, duration: 25, requestRate: 300,
		serviceTime: 0.05, loadTime: 0.2, loadTimeKnown: true, loadCommandsAllowed: true, maxAttempts: 4, maxRetryAfter: 0.5, idleReplicaLifetime: 8,
		warmUpTime: 15, faultRate: 6, churnRate: 2, onlyClass: "idempotent", loadReportFraction: 0.5,
	},
}

// TestGolden compares every call of the routers, with all arguments, to the golden files. The files are valid for machines
// without fused multiply-add, such as amd64 with the default GOAMD64=v1.
func TestGolden(t *testing.T) {
	for i := range scenarios {
		s := &scenarios[i]
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			checkGolden(t, s)
		})
	}
}

func checkGolden(t *testing.T, s *scenario) {
	t.Helper()
	var got bytes.Buffer
	for seed := range uint64(goldenSeeds) {
		log := newGoldenFleet(s, seed+1).run()
		writeDump(t, s, seed+1, log)
		got.Write(summarize(seed+1, log))
	}
	path := filepath.Join("testdata", s.name+".golden")
	if *update {
		writeFile(t, path, got.Bytes())
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Error(firstDifference(got.String(), string(want)))
	}
}

func writeDump(t *testing.T, s *scenario, seed uint64, log []byte) {
	t.Helper()
	if *dump != "" {
		writeFile(t, filepath.Join(*dump, fmt.Sprintf("%s-%d.txt", s.name, seed)), log)
	}
}

func writeFile(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// summarize returns the first lines of a log as text, then checksums of blocks of the other lines, which narrow down where
// two logs differ, and last the checksum of the whole log.
func summarize(seed uint64, log []byte) []byte {
	lines := bytes.SplitAfter(log, []byte("\n"))
	lines = lines[:len(lines)-1]
	out := fmt.Appendf(nil, "seed %d\n", seed)
	head := min(goldenHeadLines, len(lines))
	out = append(out, bytes.Join(lines[:head], nil)...)
	for at := head; at < len(lines); at += goldenBlockLines {
		end := min(at+goldenBlockLines, len(lines))
		sum := sha256.Sum256(bytes.Join(lines[at:end], nil))
		out = fmt.Appendf(out, "lines %d to %d: %x\n", at+1, end, sum[:8])
	}
	return fmt.Appendf(out, "all %d lines: %x\n", len(lines), sha256.Sum256(log))
}

// firstDifference describes the first line in which two summaries differ.
func firstDifference(got, want string) string {
	a, b := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("line %d of the golden file differs:\n got %s\nwant %s\n"+
				"run with -dump on both versions and compare the logs", i+1, a[i], b[i])
		}
	}
	return fmt.Sprintf("%d lines, want %d", len(a), len(b))
}
