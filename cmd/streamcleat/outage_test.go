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

// minServedDuringOutage is the share of requests that must succeed while discovery is out of reach and nine of twelve
// workers are well.
const minServedDuringOutage = 0.93

// Incident: discovery was out of reach for every front end for longer than the platform's clock for silence. The busiest
// workers began to drain just after it was lost and ran on, rejecting everything. Front ends went on sending them
// attempts and load commands past the time at which the drain counts as received and the grace, and rejected most of
// the requests whose functions were loaded there.
//
// How it came about: the endpoint list had no age, so that the last one heard was believed for good; and a rejected
// attempt went back to the worker that had just rejected it, up to four times within a millisecond. What proved it: with
// discovery within reach the same drain breaks nothing; the workers' records show the repeated attempts; and the share
// that is served falls before any clock has run out.
func TestDiscoveryOutage_WorkersDrainUnheard(t *testing.T) {
	exclusive.Acquire(t)
	program, err := exec.LookPath("streamcleat")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name           string
		play           soak.OutageScenario
		answersQueries bool // draining workers answer queries and reject the rest
	}{
		{"connections reset", soak.OutageScenario{Fault: soak.ConnectionsReset}, false},
		{"connections reset", soak.OutageScenario{Fault: soak.ConnectionsReset}, true},
		{"service silent", soak.OutageScenario{Fault: soak.ServiceSilent}, false},
		{"service silent", soak.OutageScenario{Fault: soak.ServiceSilent}, true},
		{"lines truncated", soak.OutageScenario{Fault: soak.LinesTruncated}, false},
		{"bytes trickle", soak.OutageScenario{Fault: soak.BytesTrickle}, false},
		{"old event repeats", soak.OutageScenario{Fault: soak.OldestRepeated}, false},
		{"late drain", soak.OutageScenario{Fault: soak.ConnectionsReset, DrainAfter: 5 * time.Second}, false},
		{"late drain", soak.OutageScenario{Fault: soak.ConnectionsReset, DrainAfter: 5 * time.Second}, true},
		{"restarts", soak.OutageScenario{Fault: soak.ConnectionsReset, RestartAfter: time.Second}, false},
		{"late restarts", soak.OutageScenario{Fault: soak.ConnectionsReset, RestartAfter: 5 * time.Second}, true},
		{"one cut off", soak.OutageScenario{Fault: soak.ConnectionsReset, SingleFrontEnd: true}, false},
		{"one cut off", soak.OutageScenario{Fault: soak.ConnectionsReset, SingleFrontEnd: true}, true},
		{"second outage", soak.OutageScenario{Fault: soak.ServiceSilent, EarlierOutage: 3 * time.Second}, true},
	} {
		c.play.Duration, c.play.Draining = 9*time.Second, 3
		if c.play.DrainAfter == 0 {
			c.play.DrainAfter = 200 * time.Millisecond
		}
		t.Run(fmt.Sprintf("%s, answers queries %v", c.name, c.answersQueries), func(t *testing.T) {
			t.Parallel()
			result, _, err := soak.Run(context.Background(), soak.Settings{
				Program: program, Seed: 11, FrontEnds: 3, Workers: 12, Outage: &c.play, DrainingAnswersQueries: c.answersQueries, Log: t.Logf,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(result)
			if result.Broken() || result.OutageSuccessRatio() < minServedDuringOutage || result.OutageRequests < 100 {
				t.Errorf("a rule was violated, or less than %v of the requests in the outage succeeded", minServedDuringOutage)
			}
		})
	}
}

// A front end that is restarted without discovery and without peers does not find out by a message which workers drain. It
// is ready late, and rejects what it can't serve.
func TestDiscoveryOutage_RestartsWithoutPeers(t *testing.T) {
	exclusive.Acquire(t)
	program, err := exec.LookPath("streamcleat")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		seed           uint64
		answersQueries bool
	}{{15, true}, {17, true}, {15, false}} {
		t.Run(fmt.Sprintf("seed %d, answers queries %v", c.seed, c.answersQueries), func(t *testing.T) {
			t.Parallel()
			play := soak.OutageScenario{
				Fault: soak.ConnectionsReset, Duration: 14 * time.Second, Draining: 3, DrainAfter: 200 * time.Millisecond, RestartAfter: 4500 * time.Millisecond,
			}
			result, _, err := soak.Run(context.Background(), soak.Settings{
				Program: program, Seed: c.seed, FrontEnds: 3, Workers: 12, Outage: &play, WithoutPeers: true, DrainingAnswersQueries: c.answersQueries,
				Log: t.Logf,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(result)
			if result.Broken() || result.Verdict.Succeeded < 100 {
				t.Error("a rule was violated, or fewer than 100 requests succeeded")
			}
		})
	}
}
