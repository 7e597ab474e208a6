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
	update = flag.Bool("update", false, "write the golden files anew")
	dump   = flag.String("dump", "", "directory that the whole logs are written to, for a diff of two versions")
)

const (
	goldenSeeds = 3
	goldenHead  = 60  // lines of each seed that are kept as text
	goldenBlock = 500 // lines that share a checksum after that
)

// scenarios are the generated worlds. Each has a golden file of its name in testdata.
var scenarios = []scenario{
	{
		name: "single", frontEnds: 1, routers: 1, workers: 2, functions: 3, length: 40, rate: 25, serviceTime: 0.06,
		loadTime: 0.3, reportsMissing: true, mayLoad: true, maxAttempts: 4, maxPause: 0.5, keepWarm: 8,
		warmWithin: 15, trouble: 0.3, hangUps: 0.05, reports: 0.5,
	},
	{
		name: "crowded", frontEnds: 1, routers: 1, workers: 6, functions: 12, length: 30, rate: 140, burst: 2,
		serviceTime: 0.08, loadTime: 0.5, loadTold: true, reportsMissing: true, mayLoad: true, maxAttempts: 4,
		maxPause: 1, keepWarm: 8, warmWithin: 15, trouble: 0.4, churn: 0.2, hangUps: 0.1, reports: 0.3, hot: 0.3,
	},
	{
		name: "trio", frontEnds: 3, routers: 3, workers: 12, functions: 20, length: 30, rate: 120, serviceTime: 0.08,
		loadTime: 0.4, loadTold: true, reportsMissing: true, mayLoad: true, mayBroadcast: true, maxAttempts: 6,
		maxPause: 0.5, keepWarm: 8, warmWithin: 15, trouble: 0.6, churn: 0.4, hangUps: 0.05, reports: 0.5,
		preloads: 1, recalls: 10,
	},
	{
		name: "rationed", frontEnds: 3, routers: 3, workers: 20, functions: 60, length: 40, rate: 80, serviceTime: 0.1,
		loadTime: 0.6, loadTold: true, subscribes: true, mayLoad: true, maxAttempts: 3, maxPause: 0, keepWarm: 4,
		loadWindow: 2, loadFree: 1, loadShare: 0.1, warmWithin: 10, trouble: 0.5, churn: 0.5, hangUps: 0.1,
		preloads: 2, recalls: 20,
	},
	{
		name: "orderless", frontEnds: 3, routers: 2, workers: 10, functions: 25, length: 30, rate: 80, serviceTime: 0.1,
		loadTime: 0.4, maxAttempts: 5, maxPause: 0.4, keepWarm: 6, warmWithin: 15, trouble: 0.6, churn: 0.4,
		hangUps: 0.1, reports: 0.8,
	},
	{
		name: "stalled-store", frontEnds: 1, routers: 1, workers: 14, functions: 30, length: 40, rate: 90, burst: 3,
		serviceTime: 0.06, loadTime: 0.4, loadTold: true, reportsMissing: true, mayLoad: true, maxAttempts: 4,
		maxPause: 0.5, keepWarm: 3, warmWithin: 15, trouble: 0.2, churn: 0.1, reports: 0.3, slowStore: 8, hot: 0.3,
	},
	{
		name: "stalled-loads", frontEnds: 3, routers: 2, workers: 8, functions: 30, length: 35, rate: 110,
		serviceTime: 0.05, loadTime: 0.4, loadTold: true, mayLoad: true, mayBroadcast: true, maxAttempts: 4,
		maxPause: 0.5, keepWarm: 3, warmWithin: 15, trouble: 0.3, churn: 0.2, slowStore: 5, reports: 0.2,
	},
	{
		name: "thirty", frontEnds: 30, routers: 5, workers: 30, functions: 20, length: 20, rate: 250, burst: 2,
		serviceTime: 0.12, loadTime: 0.4, loadTold: true, reportsMissing: true, mayLoad: true, maxAttempts: 4,
		maxPause: 0.5, keepWarm: 8, warmWithin: 15, trouble: 1, churn: 0.6, hangUps: 0.05, retried: 0.3,
		reports: 0.5, preloads: 1,
	},
	{
		name: "thirty-gossip", frontEnds: 30, routers: 2, workers: 40, functions: 30, length: 20, rate: 300, burst: 2,
		serviceTime: 0.15, loadTime: 0.4, loadTold: true, reportsMissing: true, mayLoad: true, mayBroadcast: true,
		maxAttempts: 4, maxPause: 0.5, keepWarm: 8, loadWindow: 2, loadFree: 3, loadShare: 0.05, warmWithin: 15,
		trouble: 1, churn: 0.8, hangUps: 0.05, retried: 0.3, hot: 0.2,
	},
	{
		name: "many-gossip", frontEnds: 300, routers: 6, workers: 60, functions: 40, length: 18, rate: 400, burst: 2,
		serviceTime: 0.15, loadTime: 0.5, loadTold: true, reportsMissing: true, mayLoad: true, mayBroadcast: true,
		maxAttempts: 4, maxPause: 0.5, keepWarm: 8, warmWithin: 15, trouble: 2, churn: 1, hangUps: 0.05,
		retried: 0.2, reports: 0.3, hot: 0.3, recalls: 15,
	},
	{
		name: "many-overload", frontEnds: 300, routers: 4, workers: 10, functions: 6, length: 25, rate: 250, burst: 2,
		serviceTime: 0.2, loadTime: 0.3, maxAttempts: 3, maxPause: 0.5, keepWarm: 8, warmWithin: 15, trouble: 0.5,
		churn: 0.3, retried: 0.5, reports: 0.2,
	},
	{
		name: "quiet", frontEnds: 3, routers: 2, workers: 8, functions: 60, length: 220, rate: 1.5, serviceTime: 0.1,
		loadTime: 0.5, loadTold: true, subscribes: true, reportsMissing: true, mayLoad: true, mayBroadcast: true,
		maxAttempts: 4, maxPause: 0.5, keepWarm: 8, warmWithin: 15, trouble: 0.1, churn: 0.1, preloads: 0.3,
		reports: 0.5,
	},
	{
		name: "rollout", frontEnds: 3, routers: 3, workers: 16, functions: 15, length: 35, rate: 140, serviceTime: 0.06,
		loadTime: 0.3, loadTold: true, reportsMissing: true, mayLoad: true, maxAttempts: 4, maxPause: 0.5,
		keepWarm: 8, warmWithin: 20, churn: 2.5, reports: 0.5, hot: 0.3,
	},
	{
		name: "rollout-many", frontEnds: 30, routers: 6, workers: 20, functions: 10, length: 28, rate: 200,
		serviceTime: 0.06, loadTime: 0.3, loadTold: true, mayLoad: true, mayBroadcast: true, maxAttempts: 4,
		maxPause: 0.5, keepWarm: 8, warmWithin: 20, churn: 2, reports: 0.5, hot: 0.4,
	},
	{
		name: "slow-restarts", frontEnds: 1, routers: 1, workers: 8, functions: 4, length: 40, rate: 100,
		serviceTime: 0.06, loadTime: 0.05, mayLoad: true, maxAttempts: 4, maxPause: 0.5, keepWarm: 8,
		warmWithin: 0.5, trouble: 1, always: slowed, spell: 8, churn: 2, restarts: true, only: "free",
	},
	{
		name: "slow-crowd", frontEnds: 1, routers: 1, workers: 5, functions: 5, length: 60, rate: 70,
		serviceTime: 0.05, loadTime: 0.2, loadTold: true, mayLoad: true, maxAttempts: 4, maxPause: 0.5, keepWarm: 8,
		warmWithin: 15, trouble: 0.25, always: slowed, spell: 8, only: "free", reports: 0.3,
	},
	{
		name: "silent-crowd", frontEnds: 1, routers: 1, workers: 5, functions: 30, length: 50, rate: 30,
		serviceTime: 0.06, loadTime: 0.2, loadTold: true, reportsMissing: true, mayLoad: true, maxAttempts: 4,
		maxPause: 0.5, keepWarm: 3, warmWithin: 5, trouble: 0.5, always: silent, spell: 8, only: "free",
	},
	{
		name: "slow-workers", frontEnds: 1, routers: 1, workers: 30, functions: 8, length: 25, rate: 300,
		serviceTime: 0.05, loadTime: 0.2, loadTold: true, mayLoad: true, maxAttempts: 4, maxPause: 0.5, keepWarm: 8,
		warmWithin: 15, trouble: 6, churn: 2, only: "free", reports: 0.5,
	},
}

// TestGolden holds the calls that the routers make, with every argument, to those of the golden files. The
// files hold on machines without fused multiplication and addition, as amd64 in the default GOAMD64=v1.
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
	var got bytes.Buffer
	for seed := range uint64(goldenSeeds) {
		log := newFleet(s, seed+1).run()
		writeDump(t, s, seed+1, log)
		got.Write(summary(seed+1, log))
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
		t.Error(difference(got.String(), string(want)))
	}
}

func writeDump(t *testing.T, s *scenario, seed uint64, log []byte) {
	if *dump != "" {
		writeFile(t, filepath.Join(*dump, fmt.Sprintf("%s-%d.txt", s.name, seed)), log)
	}
}

func writeFile(t *testing.T, path string, text []byte) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// summary keeps the first lines of a log and a checksum of each block after them, so that a difference shows
// where it is; the checksum of the whole comes last.
func summary(seed uint64, log []byte) []byte {
	lines := bytes.SplitAfter(log, []byte("\n"))
	lines = lines[:len(lines)-1]
	out := fmt.Appendf(nil, "seed %d\n", seed)
	head := min(goldenHead, len(lines))
	out = append(out, bytes.Join(lines[:head], nil)...)
	for at := head; at < len(lines); at += goldenBlock {
		end := min(at+goldenBlock, len(lines))
		sum := sha256.Sum256(bytes.Join(lines[at:end], nil))
		out = fmt.Appendf(out, "lines %d to %d: %x\n", at+1, end, sum[:8])
	}
	return fmt.Appendf(out, "all %d lines: %x\n", len(lines), sha256.Sum256(log))
}

// difference names the first line in which two summaries differ.
func difference(got, want string) string {
	a, b := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("line %d of the golden file differs:\n got %s\nwant %s\n"+
				"run with -dump on both versions and compare the texts", i+1, a[i], b[i])
		}
	}
	return fmt.Sprintf("%d lines, want %d", len(a), len(b))
}
