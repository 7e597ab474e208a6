package main

import (
	"context"
	"fmt"
	"os/exec"
	"testing"
	"time"

	"streamcleat/internal/verification/exclusive"
	"streamcleat/internal/verification/soak"
)

const (
	// floodMemoryMB is the memory limit of the front ends, and floodPeakFraction the fraction of it that a flood may take.
	floodMemoryMB     = 192
	floodPeakFraction = 0.8
	// minServedBesideFlood is the served share of other clients, relative to front ends that are not flooded.
	minServedBesideFlood = 0.97
)

// Guards against late and missing responses, closed connections and growing memory while other clients flood a front end.
func TestFlood_OtherClientsAreServed(t *testing.T) {
	exclusive.Acquire(t)
	program, err := exec.LookPath("streamcleat")
	if err != nil {
		t.Fatal(err)
	}
	const shortFlood, longFlood = 5 * time.Second, 10 * time.Second
	for _, c := range []struct {
		name     string
		kind     soak.FloodKind
		duration time.Duration
		quota    bool
	}{
		{"new functions, cancelled at once", soak.NewFunctionsCancelled, longFlood, true},
		{"new functions, cancelled at once, no quota", soak.NewFunctionsCancelled, shortFlood, false},
		{"new functions, cancelled in the next write", soak.NewFunctionsTakenBack, shortFlood, true},
		{"new functions", soak.NewFunctions, shortFlood, true},
		{"known function, cancelled at once", soak.KnownFunctionCancelled, shortFlood, true},
		{"unknown class", soak.UnknownClass, shortFlood, true},
		{"repeated ID", soak.RepeatedID, shortFlood, true},
		{"readiness queries", soak.ReadinessQueries, shortFlood, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			result := runFlood(t, program, &soak.FloodScenario{Kind: c.kind, Connections: 8, Duration: c.duration}, c.quota)
			if least := minServedBesideFlood * result.Unflooded.Ratio(); result.Flooded.Ratio() < least {
				t.Errorf("%.3f of the requests beside the flood succeeded, want %.3f", result.Flooded.Ratio(), least)
			}
		})
	}
}

// runFlood runs a flood and checks the rules and the peak of memory.
func runFlood(t *testing.T, program string, scenario *soak.FloodScenario, quota bool) *soak.Result {
	t.Helper()
	result, _, err := soak.Run(context.Background(), soak.Settings{
		Program: program, Seed: 70, FrontEnds: 3, Workers: 16, MemoryMB: floodMemoryMB, LoadQuota: quota, Flood: scenario, Log: t.Logf,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(result)
	if result.Broken() || result.Flooded.Requests < 100 {
		t.Error("a rule was violated, or fewer than 100 requests were sent beside the flood")
	}
	if float64(result.PeakMemory) > floodPeakFraction*floodMemoryMB*(1<<20) {
		t.Errorf("peak memory %d MB exceeds %.1f of the limit of %d MB", result.PeakMemory>>20, floodPeakFraction, floodMemoryMB)
	}
	return result
}

// Guards against memory over the limit and lost requests of other clients while hundreds of connections write slowly, stop half way,
// send very many short fields, or leave with requests unread, also beside a flood.
func TestFlood_CrowdsOfSlowClients(t *testing.T) {
	exclusive.Acquire(t)
	program, err := exec.LookPath("streamcleat")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		crowd       soak.CrowdKind
		connections int // of a flood beside the crowd
	}{
		{soak.CrowdTrickles, 0}, {soak.CrowdStops, 0}, {soak.CrowdManyFields, 0}, {soak.CrowdLeaves, 0}, {soak.CrowdStops, 8},
	} {
		t.Run(fmt.Sprintf("%s, flood of %d", c.crowd, c.connections), func(t *testing.T) {
			runFlood(t, program, &soak.FloodScenario{
				Kind: soak.NewFunctionsCancelled, Connections: c.connections, Crowd: c.crowd, Duration: 4 * time.Second,
			}, true)
		})
	}
}
