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

// minOutageShare is the minimum share of requests that succeed during a discovery outage in which nine of twelve workers are
// healthy.
const minOutageShare = 0.93

// Regression test: the busiest workers start to drain just after discovery became unavailable to every front end, and reject
// everything while they continue to run. The outage lasts longer than the time after which the platform counts watch events as
// received even if they were not. Front ends kept sending those workers attempts and load commands after the drain counted as
// received and the drain grace had passed, and rejected most requests for the functions loaded there.
//
// There were two causes. The endpoint list had no age, so its last update remained valid without limit. A rejected attempt
// was retried on the worker that had just rejected it, up to four times within a millisecond. Evidence: the same drain does
// no harm while discovery is available, the workers' records show the repeated attempts, and the share of successful
// requests falls before any of these times has passed.
func TestDiscoveryOutage_WorkersDrain(t *testing.T) {
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
			if result.Broken() || result.OutageSuccessRatio() < minOutageShare || result.OutageRequests < 100 {
				t.Errorf("a rule was violated, or less than %v of the requests in the outage succeeded", minOutageShare)
			}
		})
	}
}

// Tests that the rules hold when front ends are restarted during a discovery outage and have no peers. No message tells them
// which workers are draining, so they become ready late and reject the requests that they cannot serve.
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
