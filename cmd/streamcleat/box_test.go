package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/x/vt"
	"github.com/creack/pty"

	"streamcleat/internal/fakes"
	"streamcleat/internal/invariants"
	"streamcleat/internal/schedule"
)

// site is a box with stand-in workers, driven by terminals only.
type site struct {
	t       *testing.T
	dir     string
	tape    *invariants.Tape
	workers []*fakes.Worker
	front   string

	mu      sync.Mutex
	answers map[string][]int // statuses by event, 0 for a broken connection
}

// freeAddr is a loopback address that nobody uses at the moment; the box keeps it over its restarts.
func freeAddr(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newSite(t *testing.T, workers int) *site {
	s := &site{t: t, dir: t.TempDir(), tape: invariants.NewTape(), front: freeAddr(t), answers: map[string][]int{}}
	fns := fakes.Catalogue(6, 0.03, 5)
	store, memory := fakes.NewStore(4, 16), fakes.NewMemory(60)
	for i := range workers {
		w, err := fakes.NewWorker(fakes.Spec{Name: fmt.Sprintf("wk-%d", i), Kind: "std", Cores: 2, Speed: 1, Memory: 8000, Queue: 64,
			LoadsAtOnce: 4, Keep: 20, ColdShare: 0.5, WarmWithin: 1, FallFactor: 5, FallWindow: 1, MeanWork: 0.03, Functions: fns,
			Store: store, Drops: memory, Keyed: map[string]bool{"till-entry": true}, Tape: s.tape, Seed: uint64(i)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		s.workers = append(s.workers, w)
	}
	if _, err := fakes.NewList(filepath.Join(s.dir, "workers.json"), s.tape, s.workers); err != nil {
		t.Fatal(err)
	}
	s.write("crontab", "0 0 1 1 * price-reset shop-001 minato %{\"reset\":1}\n")
	s.write("box.json", `{"name": "box-1", "listen": ["`+s.front+`"], "workers": {"file": "workers.json"}, "stop_within_s": 3,
		"event_types": [{"name": "shop-event", "target_time_s": 1, "max_age_s": 3},
			{"name": "till-entry", "target_time_s": 1, "max_age_s": 3, "repeat": "keyed", "remembered_s": 60},
			{"name": "price-reset", "target_time_s": 1, "max_age_s": 3, "repeat": "at-most-once"}],
		"functions": [{"match": "*", "lanes": 2, "load_s": 0.2}], "rules": {"cold_share": 0.5, "warm_within_s": 1},
		"limits": {"answer_margin_s": 0.2}, "timers": {"crontab": "crontab"}, "state": {"dir": "state"},
		"console": {"socket": "box.sock"}}`)
	return s
}

func (s *site) write(name, text string) {
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o644); err != nil {
		s.t.Fatal(err)
	}
}

// terminal is a program on a pseudo-terminal, 80 by 24, with its screen.
type terminal struct {
	t    *testing.T
	cmd  *exec.Cmd
	tty  *os.File
	vt   *vt.SafeEmulator
	over chan struct{}
}

func (s *site) terminal(args ...string) *terminal {
	s.t.Helper()
	cmd := exec.Command("streamcleat", args...)
	cmd.Dir = s.dir
	cmd.Env = append(os.Environ(), "TERM=xterm", "STREAMCLEAT_SOCKET="+filepath.Join(s.dir, "box.sock"))
	tty, err := pty.StartWithSize(cmd, &pty.Winsize{Rows: 24, Cols: 80})
	if err != nil {
		s.t.Fatal(err)
	}
	x := &terminal{t: s.t, cmd: cmd, tty: tty, vt: vt.NewSafeEmulator(80, 24), over: make(chan struct{})}
	go func() { // what the terminal itself answers to the program
		buf := make([]byte, 1024)
		for {
			n, err := x.vt.Read(buf)
			if err != nil {
				return
			}
			tty.Write(buf[:n])
		}
	}()
	go func() {
		defer close(x.over)
		buf := make([]byte, 1<<16)
		for {
			n, err := tty.Read(buf)
			x.vt.Write(buf[:n])
			if err != nil {
				return
			}
		}
	}()
	s.t.Cleanup(func() { x.kill() })
	return x
}

func (x *terminal) kill() {
	x.cmd.Process.Kill()
	x.cmd.Wait()
	x.tty.Close()
}

var escapes = regexp.MustCompile("\x1b\\[[0-9;?]*[a-zA-Z]")

func (x *terminal) screen() string { return escapes.ReplaceAllString(x.vt.Render(), "") }

func (x *terminal) press(keys string) {
	x.t.Helper()
	if _, err := x.tty.WriteString(keys); err != nil {
		x.t.Fatal(err)
	}
}

// see waits until the screen fits a pattern.
func (x *terminal) see(pattern string) string {
	x.t.Helper()
	re := regexp.MustCompile(pattern)
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if screen := x.screen(); re.MatchString(screen) {
			return screen
		}
	}
	x.t.Fatalf("no %q on the screen:\n%s", pattern, x.screen())
	return ""
}

// end waits until the program has ended.
func (x *terminal) end() {
	x.t.Helper()
	select {
	case <-x.over:
	case <-time.After(20 * time.Second):
		x.t.Fatalf("does not end:\n%s", x.screen())
	}
	x.cmd.Wait()
}

// start starts the box and returns its process.
func (s *site) start() int {
	s.t.Helper()
	x := s.terminal("start", "box.json")
	x.end()
	m := regexp.MustCompile(`(?s)process\s(\d+)`).FindStringSubmatch(strings.ReplaceAll(x.screen(), "\n", ""))
	if m == nil {
		log, _ := os.ReadFile(filepath.Join(s.dir, "box.sock.log"))
		s.t.Fatalf("not started:\n%s\n%s", x.screen(), log)
	}
	pid, _ := strconv.Atoi(m[1])
	s.t.Cleanup(func() {
		if p, err := os.FindProcess(pid); err == nil {
			p.Kill()
		}
	})
	return pid
}

// sale sends events from many tills until ctx ends, each event again until it has a final answer that is no
// deferral: through stops, kills and restarts of the box.
func (s *site) sale(ctx context.Context, tills int) *sync.WaitGroup {
	var wait sync.WaitGroup
	for till := range tills {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; ctx.Err() == nil; n++ {
				kind := []string{"shop-event", "till-entry", "price-reset"}[n%3]
				s.send(kind, fmt.Sprintf("till-%d-%d", till, n), fmt.Sprintf("shop-00%d", (till+n)%6))
				time.Sleep(15 * time.Millisecond)
			}
		}()
	}
	return &wait
}

func (s *site) send(kind, id, function string) {
	const wait = 3 * time.Second
	for try := 0; try < 60; try++ {
		c := &schedule.Client{Source: "/sale", FrontEnds: []string{s.front}, HTTP: &http.Client{}, DefaultTimeout: wait, OnAttempt: s.note}
		o := c.Fire(context.Background(), schedule.Firing{Entry: &schedule.Entry{Class: kind, Function: function}, ID: id})
		s.mu.Lock()
		s.answers[id] = append(s.answers[id], o.Status)
		s.mu.Unlock()
		if o.Status != 0 && o.Status != 503 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Errorf("%s: no final answer", id)
}

func (s *site) note(f schedule.Firing, _ string, left time.Duration) func(int, string, error) {
	r := invariants.Record{Kind: invariants.Asked, Event: "/sale#" + f.ID, Type: f.Entry.Class, Front: "box-1", Call: s.tape.Call(), Wait: left.Seconds()}
	s.tape.Add(r)
	return func(status int, digest string, err error) {
		r.Digest = digest
		r.Status = status
		switch {
		case status == 0: // the box was stopped or killed by the script
			r.Kind = invariants.Lost
		case status == 200:
			r.Kind, r.Outcome = invariants.Answered, invariants.Handled
		case status == 503:
			r.Kind, r.Outcome = invariants.Answered, invariants.Deferred
		default:
			r.Kind, r.Outcome = invariants.Answered, invariants.DeadLettered
		}
		s.tape.Add(r)
	}
}

func (s *site) judge() invariants.Verdict {
	s.t.Helper()
	v := invariants.Judge(invariants.Rules{Effect: map[string]string{"shop-event": "redeliverable", "till-entry": "keyed", "price-reset": "at-most-once"},
		Remembered: map[string]float64{"till-entry": 60}, DrainGrace: 0.5, Grace: 0.15}, s.tape.Records())
	if v.Broken > 0 {
		s.t.Errorf("%d rules broken: %v", v.Broken, v.Faults)
	}
	if v.Handled < 100 {
		s.t.Errorf("nothing much happened: %+v", v)
	}
	return v
}

// TestBoxFromTheConsole takes a box through a sale: started, looked at, a worker drained while the console is killed,
// stopped in mid-sale and started again, killed and started again, stopped. Only terminals drive it.
func TestBoxFromTheConsole(t *testing.T) {
	s := newSite(t, 3)
	s.start()
	x := s.terminal("console")
	x.see(`streamcleat box-1  serving`)
	ctx, over := context.WithCancel(context.Background())
	defer over()
	clients := s.sale(ctx, 8)
	x.press("2")
	x.see(`wk-2 +serving`)
	x.press("d")
	x.see(`wk-0 +draining \(by order\)`)
	x.press("4")
	x.see(`handled +answered`)
	x.press("\r") // the newest event explained
	x.see(`(?s)taken .*launched +wk-`)
	x.press("\x1b")
	x.press("3")
	x.see(`shop-001`)
	x.kill() // in mid-drain, without a word

	y := s.terminal("console")
	y.press("2")
	y.see(`wk-0 +draining \(by order\)`)
	z := s.terminal("drain", "wk-1") // another console gives orders meanwhile
	z.end()
	if got := z.screen(); !strings.Contains(got, "gives orders now") {
		t.Errorf("two consoles give orders at once: %s", got)
	}
	y.press("r")
	y.see(`worker wk-0: is as the list says`)
	y.see(`wk-0 +(serving|set-aside)`)
	y.press("5")
	y.see(`price-reset/shop-001@minato`)
	y.press("f")
	y.see(`fired 0_0_1_1_`)
	y.press("h")
	y.see(`held +UTC`)
	time.Sleep(500 * time.Millisecond)
	y.press("s")
	y.see(`stop \? y does it`)
	y.press("y")
	y.see(`no box answers`)
	s.start() // while clients wait
	y.see(`streamcleat box-1  serving`)
	y.press("1")
	y.see(`read back`)
	time.Sleep(time.Second)

	pid := s.process()
	p, _ := os.FindProcess(pid)
	p.Kill() // in mid-sale
	time.Sleep(100 * time.Millisecond)
	s.start()
	y.see(`streamcleat box-1  serving`)
	time.Sleep(time.Second)
	over()
	clients.Wait()
	y.press("q")
	y.end()
	x = s.terminal("stop", "--wait")
	x.end()
	if got := x.screen(); !strings.Contains(got, "stopped") {
		t.Error(got)
	}
	v := s.judge()
	if v.Lost == 0 {
		t.Error("no client was waiting when the box was killed")
	}
	t.Logf("%d asks: %d handled, %d deferred, %d dead-lettered, %d lost with the box", v.Events, v.Handled, v.Deferred, v.DeadLettered, v.Lost)
}

// process finds the process of the box that serves.
func (s *site) process() int {
	data, err := exec.Command("streamcleat", "status", "--json", "--socket", filepath.Join(s.dir, "box.sock")).Output()
	var st struct{ Process int }
	if err != nil || json.NewDecoder(bytes.NewReader(data)).Decode(&st) != nil || st.Process == 0 {
		s.t.Fatalf("status: %v %s", err, data)
	}
	return st.Process
}
