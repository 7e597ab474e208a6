package appliance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"streamcleat/internal/config"
	"streamcleat/internal/fakes"
	"streamcleat/internal/invariants"
	"streamcleat/internal/schedule"
)

// running is a box in this process, with stand-in workers.
type running struct {
	t       *testing.T
	dir     string
	workers []*fakes.Worker
	addr    string
	addrs   []string
	listen  string // two front ends where it says so
	more    string // of the configuration
	http    http.Client
	stop    context.CancelFunc
	hurry   chan struct{}
	ended   chan error
	log     *lines
}

type lines struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}
func (l *lines) has(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.b.String(), s)
}

func newRunning(t *testing.T, n int, crontab string) *running {
	return newRunningWith(t, n, crontab, nil)
}

func newRunningWith(t *testing.T, n int, crontab string, tape *invariants.Tape) *running {
	r := &running{t: t, dir: t.TempDir()}
	fns := []fakes.Function{{Name: "tally", Memory: 100, Lanes: 4, Fetch: 0.02, Begin: 0.01, Work: 0.03}}
	for i := range n {
		w, err := fakes.NewWorker(fakes.Spec{Name: fmt.Sprintf("wk-%d", i), Cores: 4, Speed: 1, Memory: 1000, Queue: 50, LoadsAtOnce: 4,
			Keep: 20, Functions: fns, Store: fakes.NewStore(8, 32), MeanWork: 0.03, Seed: uint64(i),
			Tape: tape})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		r.workers = append(r.workers, w)
	}
	if _, err := fakes.NewList(filepath.Join(r.dir, "workers.json"), tape, r.workers); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(r.dir, "crontab"), []byte(crontab), 0o644); err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *running) config() *config.Config {
	listen := `["127.0.0.1:0"]`
	if r.listen != "" {
		listen = r.listen
	}
	c, err := config.Parse([]byte(`{"listen":`+listen+`,`+r.more+`"workers":{"file":"workers.json"},"event_types":[
		{"name":"again","target_time_s":0.5,"max_age_s":1.5},{"name":"once","target_time_s":0.5,"max_age_s":1.5,"repeat":"at-most-once"}],
		"functions":[{"match":"*","lanes":4,"load_s":0.03}],"timers":{"crontab":"crontab"},"state":{"dir":"state"},
		"console":{"socket":"s","mode":"0640"},"stop_within_s":1}`), r.dir)
	if err != nil {
		r.t.Fatal(err)
	}
	return c
}

func (r *running) start() {
	r.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	ready := make(chan []string, 1)
	r.stop, r.hurry, r.ended, r.log = stop, make(chan struct{}), make(chan error, 1), &lines{}
	socket := filepath.Join(r.dir, "s")
	r.http = http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}}}
	log := slog.New(slog.NewTextHandler(r.log, nil))
	go func() { r.ended <- Run(ctx, r.config(), log, r.hurry, func(a []string) { ready <- a }) }()
	select {
	case r.addrs = <-ready:
		r.addr = r.addrs[0]
	case err := <-r.ended:
		r.t.Fatal("the box ended: ", err)
	}
	r.t.Cleanup(stop)
	for r.status().State != "serving" {
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *running) end() {
	r.t.Helper()
	select {
	case err := <-r.ended:
		if err != nil {
			r.t.Fatal(err)
		}
	case <-time.After(15 * time.Second):
		r.t.Fatal("the box does not end")
	}
}

func (r *running) status() (s Status) {
	r.t.Helper()
	r.get("status", &s)
	return
}

func (r *running) get(what string, to any) {
	r.t.Helper()
	resp, err := r.http.Get("http://box/v1/" + what)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(to); err != nil {
		r.t.Fatal(err)
	}
}

func (r *running) order(text string) (int, string) {
	r.t.Helper()
	resp, err := r.http.Post("http://box/v1/orders", "application/json", strings.NewReader(text))
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func (r *running) fire(kind, id string) schedule.Result {
	c := &schedule.Client{Source: "/t", FrontEnds: []string{r.addr}, HTTP: &http.Client{Transport: &http.Transport{}}, DefaultTimeout: 1500 * time.Millisecond}
	return c.Fire(context.Background(), schedule.Firing{Entry: &schedule.Entry{Class: kind, Function: "tally"}, ID: id})
}

func (r *running) wait(what string, is func() bool) {
	r.t.Helper()
	for range 500 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("not so after 5 s: %s\n%s", what, r.log.b.String())
}

// The box's own events that wait at a stop go on at the restart; what may have run and must not again is reported.
func TestRestartWhileTimerEventsWait(t *testing.T) {
	r := newRunning(t, 1, "MISFIRE=all\n0 0 1 1 * again tally\n0 0 1 1 * once tally\n")
	r.start()
	if o := r.fire("again", "warm"); o.Status != 200 {
		t.Fatal(o)
	}
	r.workers[0].Inject(fakes.Fault{Kind: "hang"})
	for _, entry := range []string{"again/tally", "once/tally"} {
		if status, said := r.order(`{"order":"fire","target":"` + entry + `","console":"a"}`); status != 200 {
			t.Fatal(said)
		}
	}
	r.wait("both are out", func() bool { return r.status().InFlight == 2 })
	if status, said := r.order(`{"order":"stop","now":true,"console":"a"}`); status != 200 {
		t.Fatal(said)
	}
	r.end()
	if !r.log.has("a timer's event was not handled") || !r.log.has("outcome=dead-lettered") {
		t.Error("what may have run and must not run again was not reported")
	}
	r.workers[0].Inject(fakes.Fault{Kind: "hang", For: 1e-9})
	r.start()
	r.wait("the redeliverable one is handled", func() bool { return r.status().Totals["handled"] == 1 })
	if r.log.has("once/tally") {
		t.Error("what must not run again is begun again")
	}
	r.stop()
	r.end()
	r.start() // and all that is over: nothing is begun again
	if r.log.has("begun again") {
		t.Error("begun a second time")
	}
	if o := r.fire("again", "warm"); o.Status != 200 || !o.Replayed {
		t.Errorf("a repeat after two restarts: %+v", o)
	}
}

func TestDrainOfTheLastWorkerAndReturn(t *testing.T) {
	r := newRunning(t, 2, "")
	r.start()
	if o := r.fire("again", "1"); o.Status != 200 {
		t.Fatal(o)
	}
	r.order(`{"order":"drain","target":"wk-0","console":"a"}`)
	if status, said := r.order(`{"order":"drain","target":"wk-1","console":"a"}`); status != 200 || !strings.Contains(said, "the last one") {
		t.Error(status, said)
	}
	if o := r.fire("again", "2"); o.Status != 503 || o.Latency > 500*time.Millisecond {
		t.Errorf("with all workers drained: status %d after %v", o.Status, o.Latency)
	}
	if status, said := r.order(`{"order":"drain","target":"wk-9","console":"a"}`); status != 404 || !strings.Contains(said, "wk-9") {
		t.Error(status, said)
	}
	if status, said := r.order(`{"order":"return","target":"wk-1","console":"b"}`); status != 409 || !strings.Contains(said, "console a") {
		t.Error("two consoles give orders: ", status, said)
	}
	r.order(`{"order":"return","target":"wk-1","console":"a"}`)
	if o := r.fire("again", "3"); o.Status != 200 {
		t.Errorf("after the return: %d", o.Status)
	}
	if status, said := r.order(`{"order":"dance","console":"a"}`); status != 409 || !strings.Contains(said, "not an order") {
		t.Error(status, said)
	}
}

func TestTwoBoxesOnOneFolder(t *testing.T) {
	r := newRunning(t, 1, "")
	r.start()
	quiet := slog.New(slog.DiscardHandler)
	if err := Run(context.Background(), r.config(), quiet, nil, nil); err == nil || !strings.Contains(err.Error(), "another box answers") {
		t.Error("same console: ", err)
	}
	other := r.config()
	other.Console = nil
	if err := Run(context.Background(), other, quiet, nil, nil); err == nil || !strings.Contains(err.Error(), "another process uses") {
		t.Error("same state: ", err)
	}
	info, err := os.Stat(filepath.Join(r.dir, "s"))
	if err != nil || info.Mode().Perm() != 0o640 {
		t.Error(info.Mode(), err)
	}
}

func TestStopWaitsForWhatIsOpenAndASecondSignalDoesNot(t *testing.T) {
	for _, hurry := range []bool{false, true} {
		r := newRunning(t, 1, "")
		r.start()
		r.fire("again", "warm")
		r.workers[0].Inject(fakes.Fault{Kind: "stall", For: 0.6})
		out := make(chan schedule.Result)
		go func() { out <- r.fire("again", "open") }()
		r.wait("it is out", func() bool { return r.status().InFlight == 1 })
		r.stop()
		want := 200
		if hurry {
			r.wait("draining", func() bool { return r.log.has("state=draining") })
			close(r.hurry)
			want = 503
		}
		if o := <-out; o.Status != want {
			t.Errorf("hurry %v: status %d, %v", hurry, o.Status, o.Err)
		}
		r.end()
	}
}

// A crontab that changes is taken up while the box runs; a faulty one is reported and leaves the last in force.
func TestCrontabChangesInService(t *testing.T) {
	r := newRunning(t, 1, "0 0 1 1 * again tally\n")
	r.start()
	entries := func() int {
		var list []Timer
		r.get("timers", &list)
		return len(list)
	}
	write := func(tab string) {
		if err := os.WriteFile(filepath.Join(r.dir, "crontab"), []byte(tab), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("61 0 1 1 * again tally\n")
	r.wait("the fault is shown", func() bool {
		for _, c := range r.status().Tasks {
			if c.Name == "crontab" && strings.Contains(c.LastError, "crontab:1: schedule") {
				return true
			}
		}
		return false
	})
	if n := entries(); n != 1 {
		t.Errorf("%d entries in force", n)
	}
	write("0 0 1 1 * again tally\n0 0 1 2 * once tally\n")
	for range 1000 { // a chore that failed waits longer
		if entries() == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the new crontab is not taken up")
}

// What was known of copies a moment ago is known after a restart: the first event goes to its copy, without an order.
func TestCopiesAreKnownAfterARestart(t *testing.T) {
	r := newRunning(t, 3, "")
	r.start()
	for n := range 3 {
		r.fire("again", fmt.Sprint(n))
	}
	r.wait("it is noted", func() bool { s := r.status(); return len(s.Tasks) > 0 && s.Tasks[len(s.Tasks)-3].Rounds >= 2 })
	r.stop()
	r.end()
	r.start()
	r.wait("the list is read", func() bool { return len(r.status().Workers) > 0 })
	if o := r.fire("again", "first"); o.Status != 200 {
		t.Fatal(o)
	}
	if n := r.status().Totals["orders"]; n != 0 {
		t.Errorf("%d load orders for a copy that stands", n)
	}
}
