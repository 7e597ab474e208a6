//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"streamcleat/internal/verification/ports"
)

func init() { cases["timer-restart"] = timerRestart }

// boxWorker is a worker of an appliance.
type boxWorker struct {
	rig *rig

	mu       sync.Mutex
	silent   bool // takes events and answers none
	received []time.Time
}

// ServeHTTP implements the worker's side of the Open Inference Protocol as docs/operations.md has it.
func (w *boxWorker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	switch {
	case strings.HasSuffix(in.URL.Path, "/load"):
		_, _ = fmt.Fprint(out, `{"parameters":{"copies":1}}`)
	case strings.HasSuffix(in.URL.Path, "/infer"):
		w.mu.Lock()
		w.received = append(w.received, time.Now())
		silent := w.silent
		w.mu.Unlock()
		w.rig.log("worker", "event %s %s, Request-Timeout %s", in.Header.Get("ce-source"), in.Header.Get("ce-id"), in.Header.Get("Request-Timeout"))
		if silent {
			<-in.Context().Done()
			return
		}
		w.rig.log("worker", "answer to %s", in.Header.Get("ce-id"))
		_, _ = fmt.Fprint(out, "done")
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// box is the process of an appliance.
type box struct {
	rig    *rig
	config string
	socket string
	cmd    *exec.Cmd
}

func (b *box) start() error {
	b.cmd = exec.Command("bin/streamcleat", "serve", b.config)
	b.cmd.Stderr = boxLog{b.rig}
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.cmd.Start(); err != nil {
		return err
	}
	b.rig.log("box", "started, process %d", b.cmd.Process.Pid)
	for range 100 {
		if out, err := exec.Command("bin/streamcleat", "status", "--json", "--socket", b.socket).Output(); err == nil && strings.Contains(string(out), `"serving"`) {
			b.rig.log("box", "serving")
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the appliance does not serve")
}

func (b *box) kill() {
	if b.cmd != nil {
		_ = b.cmd.Process.Kill()
		_ = b.cmd.Wait()
		b.rig.log("box", "killed")
	}
}

type boxLog struct{ rig *rig }

func (l boxLog) Write(data []byte) (int, error) {
	l.rig.log("box", "log: %s", strings.ReplaceAll(strings.TrimSpace(string(data)), l.rig.folder, "FOLDER"))
	return len(data), nil
}

// timerRestart: an appliance is killed while the event of a timer is out at a worker, and started again when the time of that
// event is over. Nothing may be sent for it then.
func timerRestart(r *rig) error {
	addresses := [2]string{}
	for i := range addresses {
		var err error
		if addresses[i], err = ports.Reserve(); err != nil {
			return err
		}
	}
	w := &boxWorker{rig: r, silent: true}
	listener, err := ports.Listen("")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()

	b := &box{rig: r, config: filepath.Join(r.folder, "box.json"), socket: filepath.Join(r.folder, "box.sock")}
	config, _ := json.Marshal(map[string]any{
		"name": "box-1", "listen": []string{addresses[0]}, "workers": map[string]any{"file": "workers.json", "keep_warm_s": 8},
		"event_types": []any{map[string]any{"name": "shop-event", "target_time_s": 1.5, "max_age_s": 4}},
		"functions":   []any{map[string]any{"match": "shop-*", "lanes": 2, "memory_mb": 400, "load_s": 0.7}},
		"timers":      map[string]any{"crontab": "crontab"}, "state": map[string]any{"dir": "state"},
		"console": map[string]any{"socket": "box.sock"}, "log": map[string]any{"level": "info", "form": "text"},
	})
	list, _ := json.Marshal([]any{map[string]any{"targets": []string{listener.Addr().String()}, "labels": map[string]string{"instance": "wk-0"}}})
	crontab := "WAIT=3s\n0 0 * * *    shop-event shop-001  %{\"reset\":\"all\"}\n"
	for name, data := range map[string][]byte{"box.json": config, "workers.json": list, "crontab": []byte(crontab)} {
		if err := os.WriteFile(filepath.Join(r.folder, name), data, 0o600); err != nil {
			return err
		}
	}
	if err := b.start(); err != nil {
		return err
	}
	defer b.kill()
	if second := time.Now().Second(); second > 45 { // leaves room before the event's time is over
		time.Sleep(time.Duration(61-second) * time.Second)
	}
	deadline := time.Now().Truncate(time.Minute).Add(time.Minute) // a minute after the minute in which it is due
	out, err := exec.Command("bin/streamcleat", "fire", "shop-001", "--socket", b.socket).CombinedOutput()
	r.log("console", "fire: %s", strings.TrimSpace(string(out)))
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	w.mu.Lock()
	taken := len(w.received)
	w.silent = false
	w.mu.Unlock()
	if taken == 0 {
		return fmt.Errorf("the event did not reach the worker")
	}
	if r.trouble {
		b.kill()
	}
	time.Sleep(time.Until(deadline.Add(3 * time.Second)))
	r.log("case", "the time of the event ended 3 s ago")
	if r.trouble {
		if err := b.start(); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.received {
		if late := at.Sub(deadline); late > 100*time.Millisecond {
			r.violate("lost: the timer's event was sent to the worker %.3f s after its time was over", late.Seconds())
		}
	}
	return nil
}
