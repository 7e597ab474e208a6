package appliance

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"streamcleat/internal/schedule"
	"streamcleat/internal/verification/fakes"
)

// Scheduled requests that are open at a stop are submitted again after the restart. An at-most-once request that may have
// been executed is logged as failed instead.
func TestRestart_ResubmitsOpenScheduledRequests(t *testing.T) {
	r := newTestAppliance(t, 1, "MISFIRE=all\n0 0 1 1 * again tally\n0 0 1 1 * once tally\n")
	r.start()
	if response := r.sendIdempotent("warm"); response.Status != 200 {
		t.Fatal(response)
	}
	r.inject(0, fakes.Fault{Kind: "hang"})
	for _, entry := range []string{"again/tally", "once/tally"} {
		r.mustCommand(`{"order":"fire","target":"` + entry + `","console":"a"}`)
	}
	r.eventually("both requests are in flight", func() bool { return r.status().InFlight == 2 })
	r.mustCommand(`{"order":"stop","now":true,"console":"a"}`)
	r.awaitEnd()
	if !r.log.contains("scheduled request did not succeed") || !r.log.contains("outcome=dead-lettered") {
		t.Error("the failure of the at-most-once request was not logged")
	}
	r.inject(0, fakes.Fault{Kind: "hang", Duration: 1e-9})
	r.start()
	r.eventually("the idempotent request has succeeded", func() bool { return r.status().Totals["handled"] == 1 })
	if r.log.contains("once/tally") {
		t.Error("the at-most-once request was submitted again")
	}
	r.stop()
	r.awaitEnd()
	r.start() // no request is open now
	if r.log.contains("scheduled request resubmitted") {
		t.Error("a completed request was submitted again")
	}
	if response := r.sendIdempotent("warm"); response.Status != 200 || !response.Replayed {
		t.Errorf("retry after two restarts: %+v", response)
	}
}

func TestDrainCommand_LastWorkerRejectsUntilReturned(t *testing.T) {
	r := newTestAppliance(t, 2, "")
	r.start()
	if response := r.sendIdempotent("1"); response.Status != 200 {
		t.Fatal(response)
	}
	r.mustCommand(`{"order":"drain","target":"wk-0","console":"a"}`)
	if status, body := r.command(`{"order":"drain","target":"wk-1","console":"a"}`); status != 200 || !strings.Contains(body, "the last one") {
		t.Error(status, body)
	}
	if response := r.sendIdempotent("2"); response.Status != 503 || response.Latency > 500*time.Millisecond {
		t.Errorf("all workers drained: status %d after %v, want 503 within 500 ms", response.Status, response.Latency)
	}
	if status, body := r.command(`{"order":"drain","target":"wk-9","console":"a"}`); status != 404 || !strings.Contains(body, "wk-9") {
		t.Error(status, body)
	}
	if status, body := r.command(`{"order":"return","target":"wk-1","console":"b"}`); status != 409 || !strings.Contains(body, "console a") {
		t.Error("a second console was allowed to execute a command: ", status, body)
	}
	r.mustCommand(`{"order":"return","target":"wk-1","console":"a"}`)
	if response := r.sendIdempotent("3"); response.Status != 200 {
		t.Errorf("worker returned: status %d, want 200", response.Status)
	}
	if status, body := r.command(`{"order":"dance","console":"a"}`); status != 409 || !strings.Contains(body, "unknown command") {
		t.Error(status, body)
	}
}

func TestRun_FailsIfSocketOrStateInUse(t *testing.T) {
	r := newTestAppliance(t, 1, "")
	r.start()
	discard := slog.New(slog.DiscardHandler)
	if err := Run(context.Background(), r.config(), discard, nil, nil); err == nil || !strings.Contains(err.Error(), "already in use by another process") {
		t.Error("same console socket: ", err)
	}
	other := r.config()
	other.Console = nil
	if err := Run(context.Background(), other, discard, nil, nil); err == nil || !strings.Contains(err.Error(), "in use by another process") {
		t.Error("same state folder: ", err)
	}
	info, err := os.Stat(filepath.Join(r.dir, "s"))
	if err != nil || info.Mode().Perm() != 0o640 {
		t.Error(info.Mode(), err)
	}
}

// A stop waits for open requests. A second signal ends the wait.
func TestStop_WithOpenRequest(t *testing.T) {
	tests := []struct {
		name         string
		secondSignal bool
		want         int
	}{
		{"one signal", false, 200},
		{"two signals", true, 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestAppliance(t, 1, "")
			r.start()
			r.sendIdempotent("warm")
			r.inject(0, fakes.Fault{Kind: "stall", Duration: 0.6})
			result := make(chan schedule.Result)
			go func() { result <- r.sendIdempotent("open") }()
			r.eventually("the request is in flight", func() bool { return r.status().InFlight == 1 })
			r.stop()
			if test.secondSignal {
				r.eventually("the appliance is draining", func() bool { return r.log.contains("state=draining") })
				close(r.immediateStop)
			}
			if response := <-result; response.Status != test.want {
				t.Errorf("status %d, want %d; %v", response.Status, test.want, response.Err)
			}
			r.awaitEnd()
		})
	}
}

// A changed crontab is reloaded while the appliance runs. An invalid one is reported and leaves the previous one in effect.
func TestReloadCrontab_InvalidFileKeepsEntries(t *testing.T) {
	r := newTestAppliance(t, 1, "0 0 1 1 * again tally\n")
	r.start()
	entries := func() int {
		var list []ScheduleStatus
		r.get("timers", &list)
		return len(list)
	}
	r.writeFile("crontab", "61 0 1 1 * again tally\n")
	r.eventually("the error is in the status", func() bool {
		for _, task := range r.status().Tasks {
			if task.Name == "crontab" && strings.Contains(task.LastError, "crontab:1: schedule") {
				return true
			}
		}
		return false
	})
	if n := entries(); n != 1 {
		t.Errorf("%d entries in effect, want 1", n)
	}
	r.writeFile("crontab", "0 0 1 1 * again tally\n0 0 1 2 * once tally\n")
	for range 1000 { // the backoff of the failed task is longer than the timeout of eventually
		if entries() == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the new crontab was not loaded")
}

// Replicas that were known before a restart are known after it: the first request needs no load command.
func TestRestart_KnowsLoadedReplicas(t *testing.T) {
	r := newTestAppliance(t, 3, "")
	r.start()
	for n := range 3 {
		r.sendIdempotent(strconv.Itoa(n))
	}
	r.eventually("the replicas are stored", func() bool { s := r.status(); return len(s.Tasks) > 0 && s.Tasks[len(s.Tasks)-3].Rounds >= 2 })
	r.stop()
	r.awaitEnd()
	r.start()
	r.eventually("the endpoint list is loaded", func() bool { return len(r.status().Workers) > 0 })
	if response := r.sendIdempotent("first"); response.Status != 200 {
		t.Fatal(response)
	}
	if n := r.status().Totals["orders"]; n != 0 {
		t.Errorf("%d load commands for a loaded replica", n)
	}
}
