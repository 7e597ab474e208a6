package eventloop_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"streamcleat/internal/config"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/fakes"
	"streamcleat/internal/invariants"
	"streamcleat/internal/proxy"
	"streamcleat/internal/schedule"
)

// room is a front end with stand-in workers on loopback.
type room struct {
	t       *testing.T
	tape    *invariants.Tape
	workers []*fakes.Worker
	list    *fakes.List
	path    string
	front   *eventloop.Server
}

func newRoom(t *testing.T, n int, limits string) *room {
	r := &room{t: t, tape: invariants.NewTape(), path: filepath.Join(t.TempDir(), "workers.json")}
	fns := []fakes.Function{{Name: "tally", Memory: 100, Lanes: 4, Fetch: 0.02, Begin: 0.01, Work: 0.05}}
	store, memory := fakes.NewStore(8, 32), fakes.NewMemory(30)
	for i := range n {
		w, err := fakes.NewWorker(fakes.Spec{Name: fmt.Sprintf("wk-%d", i), Cores: 4, Speed: 1, Memory: 1000, Queue: 50, LoadsAtOnce: 4,
			Keep: 20, ColdShare: 0.5, WarmWithin: 1, FallFactor: 5, FallWindow: 1, MeanWork: 0.05, Functions: fns, Store: store,
			Drops: memory, Keyed: map[string]bool{"keyed": true}, Tape: r.tape, Seed: uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		r.workers = append(r.workers, w)
	}
	var err error
	if r.list, err = fakes.NewList(r.path, r.tape, r.workers); err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse([]byte(`{"event_types":[{"name":"again","target_time_s":0.5,"max_age_s":1.2},
		{"name":"keyed","target_time_s":0.5,"max_age_s":1.2,"repeat":"keyed","remembered_s":30},
		{"name":"once","target_time_s":0.5,"max_age_s":1.2,"repeat":"at-most-once"}],"functions":[{"match":"*","lanes":4,"load_s":0.03}],
		"rules":{"cold_share":0.5,"warm_within_s":1,"fall_multiple":5,"fall_window_s":1},"limits":{`+limits+`}}`), ".")
	if err != nil {
		t.Fatal(err)
	}
	r.front, err = eventloop.Start(eventloop.Settings{Listen: "127.0.0.1:0", WorkersFile: r.path, Settings: proxy.Settings{
		Name: "front", Dispatch: c.Dispatch(1), Upstream: c.Upstream("front"), Downstream: c.Downstream(), MaxClients: c.Limits.Connections}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.front.Stop(0) })
	return r
}

func (r *room) client(repeat int) *schedule.Client {
	return &schedule.Client{Source: "/t", FrontEnds: []string{r.front.Addr()}, HTTP: &http.Client{Transport: &http.Transport{}},
		DefaultTimeout: 1200 * time.Millisecond, MaxRetries: repeat}
}

func (r *room) fire(kind, id string) schedule.Result {
	return r.client(0).Fire(context.Background(), schedule.Firing{Entry: &schedule.Entry{Class: kind, Function: "tally"}, ID: id})
}

// count tells how many records of a kind there are of an event, "" for any.
func (r *room) count(kind invariants.Kind, event string) (n int) {
	for _, rec := range r.tape.Records() {
		if rec.Kind == kind && (event == "" || rec.Event == "/t#"+event) {
			n++
		}
	}
	return n
}

func (r *room) quiet() {
	r.t.Helper()
	for range 200 {
		n, _, _, err := r.front.Counts()
		if err != nil {
			r.t.Fatal(err)
		}
		if n.Open == 0 && n.InFlight == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatal("events are still open")
}

func event(kind, id, more string) string {
	return fmt.Sprintf("POST /events HTTP/1.1\r\nHost: f\r\nce-specversion: 1.0\r\nce-source: /t\r\nce-id: %s\r\nce-type: %s\r\n"+
		"ce-function: tally\r\n%sContent-Length: 0\r\n\r\n", id, kind, more)
}

func (r *room) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", r.front.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c, bufio.NewReader(c)
}

func TestSameMinuteFromTwoClients(t *testing.T) {
	for _, kind := range []string{"again", "keyed", "once"} {
		r := newRoom(t, 3, "")
		var wait sync.WaitGroup
		outs := make([]schedule.Result, 3)
		for i, lag := range []time.Duration{0, 0, 700 * time.Millisecond} {
			wait.Add(1)
			go func() { defer wait.Done(); time.Sleep(lag); outs[i] = r.fire(kind, "minute") }()
		}
		wait.Wait()
		replays := 0
		for _, o := range outs {
			if o.Status != 200 {
				t.Errorf("%s: %+v", kind, o)
			}
			if o.Replayed {
				replays++
			}
		}
		if n := r.count(invariants.Launched, "minute"); n != 1 || replays != 2 {
			t.Errorf("%s: %d launches, %d replays", kind, n, replays)
		}
	}
}

func TestHungWorkerIsAnsweredForInTime(t *testing.T) {
	r := newRoom(t, 2, `"answer_margin_s":0.1`)
	if o := r.fire("again", "warm"); o.Status != 200 {
		t.Fatal(o)
	}
	for _, w := range r.workers {
		w.Inject(fakes.Fault{Kind: "hang"})
	}
	for kind, want := range map[string]int{"again": 503, "keyed": 503, "once": 504} {
		o := r.fire(kind, kind)
		if o.Status != want || o.Latency < 900*time.Millisecond || o.Latency > 1190*time.Millisecond {
			t.Errorf("%s: status %d after %v", kind, o.Status, o.Latency)
		}
		if n := r.count(invariants.Launched, kind); n != 1 {
			t.Errorf("%s: %d launches", kind, n)
		}
	}
	r.quiet()
}

func TestResetsByKindOfEvent(t *testing.T) {
	for _, c := range []struct {
		fault  fakes.Fault
		kind   string
		status int
		runs   int
	}{
		{fakes.Fault{Kind: "cut", Bytes: 40}, "again", 200, 2}, // may have run, and may run again
		{fakes.Fault{Kind: "cut", Bytes: 40}, "keyed", 200, 1}, // the workers drop the repeat
		{fakes.Fault{Kind: "cut", Bytes: 40}, "once", 502, 1},
		{fakes.Fault{Kind: "reset"}, "again", 200, 1},
		{fakes.Fault{Kind: "reset"}, "once", 502, 0}, // it never ran, but nobody can know
	} {
		r := newRoom(t, 2, "")
		if o := r.fire("again", "warm"); o.Status != 200 {
			t.Fatal(o)
		}
		for _, w := range r.workers { // whoever is warm fails until it is taken back
			w.Inject(c.fault)
		}
		done := make(chan schedule.Result)
		go func() { done <- r.fire(c.kind, "e") }()
		for r.count(invariants.Ended, "e") == 0 {
			time.Sleep(time.Millisecond)
		}
		for _, w := range r.workers {
			f := c.fault
			f.For = 1e-9
			w.Inject(f)
		}
		if o := <-done; o.Status != c.status && !(c.status == 200 && o.Status == 503) {
			t.Errorf("%s, %s: status %d, want %d", c.fault.Kind, c.kind, o.Status, c.status)
		}
		if n := r.count(invariants.Ran, "e"); c.kind != "again" && n > c.runs {
			t.Errorf("%s, %s: ran %d times, want %d", c.fault.Kind, c.kind, n, c.runs)
		}
	}
}

// A worker that is listed but does not run has proven not to have run anything: every kind goes elsewhere.
func TestRefusedConnectionsProveNothingRan(t *testing.T) {
	r := newRoom(t, 2, "")
	if o := r.fire("once", "warm"); o.Status != 200 {
		t.Fatal(o)
	}
	warm := r.tape.Records()
	var at string
	for _, rec := range warm {
		if rec.Kind == invariants.Launched {
			at = rec.Worker
		}
	}
	for _, w := range r.workers {
		if w.Name() == at {
			w.Crash()
		}
	}
	for _, kind := range []string{"again", "keyed", "once"} {
		// The first goes over the kept connection, whose end the front end has seen; all get to the other worker.
		time.Sleep(20 * time.Millisecond)
		if o := r.fire(kind, kind); o.Status != 200 || r.count(invariants.Ran, kind) != 1 {
			t.Errorf("%s: status %d, ran %d times", kind, o.Status, r.count(invariants.Ran, kind))
		}
	}
}

func TestHangUpAndRepeat(t *testing.T) {
	r := newRoom(t, 2, "")
	r.fire("again", "warm")
	c, _ := r.dial()
	io.WriteString(c, event("once", "e", ""))
	for r.count(invariants.Ran, "e") == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	if o := r.fire("once", "e"); o.Status != 200 || r.count(invariants.Ran, "e") != 1 {
		t.Errorf("status %d, ran %d times", o.Status, r.count(invariants.Ran, "e"))
	}
}

func TestDrainToldWhileLaunchesAndOrdersAreOut(t *testing.T) {
	r := newRoom(t, 3, "")
	ctx, stop := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer stop()
	var wait sync.WaitGroup
	bad := 0
	var mu sync.Mutex
	for i := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; ctx.Err() == nil; n++ {
				if o := r.fire([]string{"again", "keyed", "once"}[n%3], fmt.Sprintf("%d-%d", i, n)); o.Status != 200 && o.Status != 503 {
					mu.Lock()
					bad++
					mu.Unlock()
				}
			}
		}()
	}
	for _, w := range r.workers[:2] {
		time.Sleep(500 * time.Millisecond)
		if err := r.list.Set(w, "draining"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(300 * time.Millisecond)
	if err := r.workers[0].Restart(); err != nil { // a new process under the same name and address
		t.Fatal(err)
	}
	r.list.Set(r.workers[0], "serving")
	wait.Wait()
	v := invariants.Judge(invariants.Rules{DrainGrace: 0.5, Grace: 0.1}, r.tape.Records())
	if v.AfterDrain > 0 || v.AtOnce > 0 || bad > 0 || v.Launches < 50 {
		t.Errorf("%d answers were neither handled nor deferred; %+v", bad, v)
	}
}

func TestFaultyListKeepsTheLastInForce(t *testing.T) {
	r := newRoom(t, 2, "")
	for _, text := range []string{"[", `[{"targets":["x"]}]`} {
		if err := os.WriteFile(r.path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		if o := r.fire("again", text); o.Status != 200 {
			t.Errorf("with list %q: status %d", text, o.Status)
		}
	}
	os.WriteFile(r.path, []byte("[]"), 0o644)
	time.Sleep(50 * time.Millisecond)
	if o := r.fire("again", "none"); o.Status != 503 || o.Latency > 300*time.Millisecond {
		t.Errorf("all gone: status %d after %v", o.Status, o.Latency)
	}
}

func TestMalformedAndSlowSenders(t *testing.T) {
	r := newRoom(t, 1, `"arrival_s":0.3,"idle_s":0.4`)
	c, in := r.dial()
	io.WriteString(c, event("again", "a", "")+"POST / HTTP/1.1\r\nHost: f\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n")
	var status []string
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			if !errors.Is(err, io.EOF) {
				t.Error(err)
			}
			break
		}
		if strings.HasPrefix(line, "HTTP/") {
			status = append(status, strings.Fields(line)[1])
		}
	}
	if got := strings.Join(status, " "); got != "200 400" {
		t.Errorf("answers %s", got)
	}
	c, in = r.dial()
	io.WriteString(c, "POST / HTTP/1.1\r\nHo")
	if line, err := in.ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 408") {
		t.Error(line, err)
	}
	c, in = r.dial()
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %v", err)
	}
}

func TestClientThatNeverReads(t *testing.T) {
	r := newRoom(t, 1, `"unread_bytes":4096,"pipeline":10000`)
	c, _ := r.dial()
	c.(*net.TCPConn).SetReadBuffer(2048)
	text := strings.Repeat("GET /none HTTP/1.1\r\nHost: f\r\n\r\n", 2000)
	for range 100 {
		if _, err := io.WriteString(c, text); err != nil {
			break
		}
	}
	for range 100 {
		if _, clients, _, _ := r.front.Counts(); clients == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("a client that never reads is kept")
}

func TestStopAnswersWhatIsOpen(t *testing.T) {
	r := newRoom(t, 1, "")
	r.fire("again", "warm")
	r.workers[0].Inject(fakes.Fault{Kind: "hang"})
	outs := make(chan schedule.Result, 2)
	for _, kind := range []string{"again", "once"} {
		go func() { outs <- r.fire(kind, kind) }()
	}
	for r.count(invariants.Launched, "again")+r.count(invariants.Launched, "once") < 2 {
		time.Sleep(time.Millisecond)
	}
	if err := r.front.Stop(100 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if o := <-outs; o.Status != map[string]int{"again": 503, "once": 502}[o.ID] {
			t.Errorf("%s: status %d, %v", o.ID, o.Status, o.Err)
		}
	}
	if _, err := net.DialTimeout("tcp", r.front.Addr(), time.Second); err == nil {
		t.Error("still listening")
	}
}

func TestAddressInUse(t *testing.T) {
	r := newRoom(t, 1, "")
	_, err := eventloop.Start(eventloop.Settings{Listen: r.front.Addr()})
	if err == nil || !strings.Contains(err.Error(), r.front.Addr()) {
		t.Error(err)
	}
}
