package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"streamcleat/internal/verification/ports"
)

const (
	// killMargin is the time that the platform adds to the request timeout before it follows SIGTERM with SIGKILL.
	killMargin = 700 * time.Millisecond
	// maxTimeoutBeforeKill is the longest request timeout that the platform waits for before SIGKILL.
	maxTimeoutBeforeKill = 3 * time.Second
	// connectWindow is the time after SIGTERM during which clients still open connections.
	connectWindow = 300 * time.Millisecond
	// readyTimeout is the maximum time from the start of a process to its readiness.
	readyTimeout = 10 * time.Second
	// completeLogRate is the number of records a second that a process logs if Settings.LogFolder is set.
	completeLogRate = 100_000
	// maxRetainedLog is the size in bytes above which no more of a process's log is retained in memory.
	maxRetainedLog = 64 << 10
)

// frontEnd is a front end, which runs as a succession of processes.
type frontEnd struct {
	harness      *harness
	number       int
	name         string
	listen, peer string
	documentPath string
	claimed      atomic.Bool // reserved by a fault that is in progress
	lastID       lastID
	flooded      atomic.Int32 // number of floods and crowds in progress

	mu           sync.Mutex
	process      *process
	processes    int // number of processes started so far
	discovery    net.Listener
	terminatedAt time.Time // when SIGTERM was sent to the current process; zero if it was not
	accepting    bool      // the process became ready, and was neither killed nor seen to end
}

// process is one process of a front end.
type process struct {
	cmd         *exec.Cmd
	log         *logReader
	done        chan struct{} // closed when the process has ended
	err         error         // result of Wait; valid once done is closed
	killed      atomic.Bool
	timeToReady time.Duration
}

// logReader reads the log of a process. While it is suspended, the process's writes to the log block.
type logReader struct {
	suspended atomic.Bool
	mu        sync.Mutex
	retained  bytes.Buffer
	file      *os.File // nil unless Settings.LogFolder is set
}

// Write implements io.Writer.
func (r *logReader) Write(data []byte) (int, error) {
	for r.suspended.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retained.Len() < maxRetainedLog {
		r.retained.Write(data)
	}
	if r.file != nil {
		return r.file.Write(data)
	}
	return len(data), nil
}

// close closes the log file, if there is one.
func (r *logReader) close() {
	if r.file != nil {
		_ = r.file.Close() // on an error, only the end of the log is lost
	}
}

func (r *logReader) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retained.String()
}

// frontEndName returns the name of the front end with a number.
func frontEndName(number int) string { return fmt.Sprintf("n%d", number) }

// processName returns the name of the current process. Records identify processes rather than front ends, because the next
// process of a front end does not continue the requests of the previous one.
func (f *frontEnd) processName() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("%s/%d", f.name, f.processes)
}

// discoveryListener returns the listener at the current discovery address.
func (f *frontEnd) discoveryListener() net.Listener {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.discovery
}

// migrateDiscovery moves discovery to a new address. The old address accepts no further connections, and watches on it
// receive no further events.
func (f *frontEnd) migrateDiscovery() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	old := f.discovery
	f.discovery = listener
	f.mu.Unlock()
	if old != nil {
		_ = old.Close() // it is not used again
	}
	go f.harness.discovery.serve(listener, f.number)
	return nil
}

// writeDocument atomically replaces the front end's document, and returns the number of events in it.
func (f *frontEnd) writeDocument() (events int, err error) {
	f.mu.Lock()
	address := f.discovery.Addr().String()
	f.mu.Unlock()
	known, events := f.harness.discovery.snapshot(f.number)
	data, err := json.Marshal(f.harness.document(f, address, known))
	if err != nil {
		return 0, err
	}
	temporaryPath := f.documentPath + ".new"
	if err := os.WriteFile(temporaryPath, data, 0o600); err != nil {
		return 0, err
	}
	return events, os.Rename(temporaryPath, f.documentPath)
}

// start starts the front end's next process and waits until it is ready.
func (f *frontEnd) start() error {
	f.mu.Lock()
	f.processes++
	f.mu.Unlock()
	events, err := f.writeDocument()
	if err != nil {
		return err
	}
	f.harness.discovery.notices.onProcessStart(f, events)
	p := &process{log: &logReader{}, done: make(chan struct{})}
	command := fmt.Sprintf("ulimit -n %d; exec \"$0\" node --log info", descriptorLimit)
	if f.harness.settings.LogFolder != "" {
		command += fmt.Sprintf(" --log-rate %d", completeLogRate)
	}
	p.cmd = exec.Command("sh", "-c", command, f.harness.settings.Program)
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+f.documentPath, f.harness.faultVariable(f.number, f.processes))
	p.cmd.Stderr = p.log
	if p.log.file, err = f.openLogFile(); err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go f.watchMemory(p)
	go func() {
		p.err = p.cmd.Wait()
		p.log.close()
		close(p.done)
	}()
	f.mu.Lock()
	f.process, f.terminatedAt = p, time.Time{}
	f.mu.Unlock()
	return f.awaitReady(p)
}

// openLogFile creates the log file of the current process. It returns nil if Settings.LogFolder is not set.
func (f *frontEnd) openLogFile() (*os.File, error) {
	if f.harness.settings.LogFolder == "" {
		return nil, nil
	}
	name := strings.ReplaceAll(f.processName(), "/", "-") + ".log"
	return os.Create(filepath.Join(f.harness.settings.LogFolder, name))
}

// awaitReady polls the front end until it is ready, and then lets clients connect.
func (f *frontEnd) awaitReady(p *process) error {
	startedAt := time.Now()
	for time.Since(startedAt) < readyTimeout {
		select {
		case <-p.done:
			return fmt.Errorf("%s ended during startup: %w\n%s", f.name, p.err, p.log)
		default:
		}
		if f.isReady() {
			p.timeToReady = time.Since(startedAt)
			f.mu.Lock()
			f.accepting = true
			f.mu.Unlock()
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after %v\n%s", f.name, readyTimeout, p.log)
}

func (f *frontEnd) isReady() bool {
	conn, err := net.DialTimeout("tcp", f.listen, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // the response has been read
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(encodeClientFrame(frameReadinessQuery, 0, []byte{0})); err != nil {
		return false
	}
	frame, err := readClientFrame(conn)
	return err == nil && frame.kind == frameReadiness && frame.code == codeSucceeded
}

// acceptsConnections reports whether clients may open connections now.
func (f *frontEnd) acceptsConnections() bool { return f.acceptsWithin(connectWindow) }

// acceptsRequests reports whether clients may send requests on open connections now. After SIGTERM they go on until SIGKILL
// is due.
func (f *frontEnd) acceptsRequests() bool { return f.acceptsWithin(f.harness.killDelay()) }

// acceptsWithin reports whether the process is accepting and less than window has passed since SIGTERM, if it was sent.
func (f *frontEnd) acceptsWithin(window time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepting && (f.terminatedAt.IsZero() || time.Since(f.terminatedAt) < window)
}

// currentProcess returns the most recently started process, or nil before the first start.
func (f *frontEnd) currentProcess() *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.process
}

// signal sends a signal to the current process, if it is still running.
func (f *frontEnd) signal(sig os.Signal) {
	_ = f.currentProcess().cmd.Process.Signal(sig) // the process may have ended
}

// terminate sends SIGTERM and waits for the process to end. Like the platform, it kills a process that has not ended in time,
// which is a violation.
func (f *frontEnd) terminate() {
	p := f.currentProcess()
	f.mu.Lock()
	f.terminatedAt = time.Now()
	f.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // the process may have ended; the select below waits for its end
	select {
	case <-p.done:
		if p.err != nil {
			f.harness.violate("exit", "%s exited after SIGTERM with %v\n%s", f.processName(), p.err, p.log)
		}
	case <-time.After(f.harness.killDelay()):
		f.harness.violate("exit", "%s is still running %v after SIGTERM\n%s", f.processName(), f.harness.killDelay(), p.log)
		f.kill()
	}
	f.stopAccepting()
}

// kill sends SIGKILL and waits for the process to end.
func (f *frontEnd) kill() {
	p := f.currentProcess()
	f.stopAccepting()
	p.killed.Store(true)
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.done
}

func (f *frontEnd) stopAccepting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepting = false
}

// checkAlive records a violation if the process ended although the harness sent neither SIGTERM nor SIGKILL.
func (f *frontEnd) checkAlive() {
	p := f.currentProcess()
	select {
	case <-p.done:
		f.mu.Lock()
		terminated := !f.terminatedAt.IsZero()
		f.mu.Unlock()
		if !terminated && !p.killed.Load() {
			f.harness.violate("crash", "%s exited unexpectedly: %v\n%s", f.processName(), p.err, p.log)
		}
	default:
	}
}

// newFrontEnd reserves the addresses of a front end and starts to serve discovery to it. It starts no process.
func (h *harness) newFrontEnd(number int) (*frontEnd, error) {
	name := frontEndName(number)
	f := &frontEnd{harness: h, number: number, name: name, documentPath: filepath.Join(h.folder, name+".json")}
	var err error
	if f.listen, err = ports.Reserve(); err != nil {
		return nil, err
	}
	if f.peer, err = ports.Reserve(); err != nil {
		return nil, err
	}
	return f, f.migrateDiscovery()
}
