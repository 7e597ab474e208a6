//go:build review

// Command rig2 plays the platform, the workers and the clients for the cases of the second review. The front ends are
// processes of the project, started with the command of the deploy file.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"

	"streamcleat/internal/verification/ports"
)

// rig owns all that one case starts.
type rig struct {
	trouble bool // false with TROUBLE=0: the same without the disruption
	folder  string
	command string
	start   time.Time

	mu       sync.Mutex
	record   io.Writer
	broken   []string // violations of the rule
	frontEnd []*frontEnd
}

// newRig writes its record to caseFolder and keeps all other files in a temporary folder.
func newRig(caseFolder string) (*rig, error) {
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("deploy/balancer.toml has no run")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, command: string(run[1]), start: time.Now(), record: record,
	}
	r.log("case", "trouble=%v", r.trouble)
	return r, nil
}

// now returns the time since the start of the case.
func (r *rig) now() time.Duration { return time.Since(r.start) }

// sleepUntil waits for a time since the start of the case.
func (r *rig) sleepUntil(at time.Duration) { time.Sleep(at - r.now()) }

// log adds a line to the record.
func (r *rig) log(who, format string, args ...any) {
	line := fmt.Sprintf("%9.3f %-8s %s\n", r.now().Seconds(), who, fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = io.WriteString(r.record, line)
}

// violate records that the rule was broken.
func (r *rig) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.log("RULE", "%s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// finish ends all processes and returns the exit status of the case.
func (r *rig) finish(err error) int {
	for _, f := range r.frontEnd {
		f.kill()
	}
	_ = os.RemoveAll(r.folder)
	switch {
	case err != nil:
		r.log("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(r.broken) > 0:
		r.log("case", "the rule was broken")
		for _, text := range r.broken[:min(len(r.broken), 5)] {
			fmt.Println("broken:", text)
		}
		return 1
	}
	r.log("case", "the rule held")
	fmt.Println("held")
	return 0
}

// frontEnd is one process of the project.
type frontEnd struct {
	rig          *rig
	number       int
	listen, peer string
	path         string // of its document
	cmd          *exec.Cmd
	ended        chan struct{}
	done         bool // it was told to end
}

// terms are the settings of a deployment, under the names of the platform.
type terms map[string]any

// addFrontEnds reserves the addresses of a number of front ends.
func (r *rig) addFrontEnds(count int) error {
	for number := range count {
		f := &frontEnd{rig: r, number: number, path: filepath.Join(r.folder, fmt.Sprintf("n%d.json", number))}
		var err error
		if f.listen, err = ports.Reserve(); err != nil {
			return err
		}
		if f.peer, err = ports.Reserve(); err != nil {
			return err
		}
		r.frontEnd = append(r.frontEnd, f)
	}
	return nil
}

// startFrontEnds starts all front ends and waits until they are ready. settings returns the settings of one of them.
func (r *rig) startFrontEnds(j *journal, settings func(number int) terms) error {
	for _, f := range r.frontEnd {
		if err := f.launch(j, settings(f.number)); err != nil {
			return err
		}
	}
	for _, f := range r.frontEnd {
		if err := f.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// writeDocument writes the configuration document of a front end.
func (f *frontEnd) writeDocument(j *journal, settings terms) error {
	var peers []string
	for _, other := range f.rig.frontEnd {
		peers = append(peers, other.peer)
	}
	document := map[string]any{
		"name": fmt.Sprintf("n%d", f.number), "listen": f.listen, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": f.peer, "peers": peers, "journal": j.address(f.number), "known": j.known(f.number), "settings": settings,
	}
	data, err := json.Marshal(document)
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(f.path+".new", f.path)
}

// launch starts the process.
func (f *frontEnd) launch(j *journal, settings terms) error {
	if err := f.writeDocument(j, settings); err != nil {
		return err
	}
	f.cmd = exec.Command("/bin/sh", "-c", f.rig.command)
	f.cmd.Env = append(os.Environ(), "RELAY_NAME="+fmt.Sprintf("n%d", f.number), "RELAY_LISTEN="+f.listen, "RELAY_CONFIG="+f.path)
	logFile, err := os.Create(filepath.Join(f.rig.folder, fmt.Sprintf("n%d.log", f.number)))
	if err != nil {
		return err
	}
	f.cmd.Stderr = io.MultiWriter(logFile, logWriter{f})
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.cmd.Start(); err != nil {
		return err
	}
	f.ended = make(chan struct{})
	go func() {
		err := f.cmd.Wait()
		f.rig.log(f.name(), "process ended: %v", err)
		close(f.ended)
	}()
	f.rig.log(f.name(), "started, process %d", f.cmd.Process.Pid)
	return nil
}

// logWriter copies the log of a front end to the record.
type logWriter struct{ frontEnd *frontEnd }

func (w logWriter) Write(data []byte) (int, error) {
	w.frontEnd.rig.log(w.frontEnd.name(), "log: %s", string(data[:max(len(data)-1, 0)]))
	return len(data), nil
}

func (f *frontEnd) name() string { return fmt.Sprintf("n%d", f.number) }

// awaitReady asks the front end whether it is ready until it is.
func (f *frontEnd) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if f.isReady() {
			f.rig.log(f.name(), "ready")
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", f.name())
}

func (f *frontEnd) isReady() bool {
	conn, err := net.DialTimeout("tcp", f.listen, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte{0, 0, 0, 6, 4, 0, 0, 0, 0, 0}); err != nil {
		return false
	}
	kind, _, payload, err := readClientFrame(conn)
	return err == nil && kind == 5 && len(payload) > 0 && payload[0] == 0
}

// kill ends the process.
func (f *frontEnd) kill() {
	if f.cmd == nil || f.cmd.Process == nil || f.ended == nil {
		return
	}
	_ = f.cmd.Process.Kill()
	<-f.ended
}
