package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// killDelay is how long after SIGTERM the platform kills: the longest deadline and 0.7 s more.
	killDelay = requestTimeout + 700*time.Millisecond
	// newConnectionWindow is how long after SIGTERM clients still connect, requestWindow how long they still send.
	newConnectionWindow = 300 * time.Millisecond
	requestWindow       = 500 * time.Millisecond
	// readyTimeout is how long a front end may take until it is ready.
	readyTimeout = 10 * time.Second
	// maxKeptLog bounds what is kept of each process's log.
	maxKeptLog = 64 << 10
)

// frontEnd is one front end, over all of its processes.
type frontEnd struct {
	site         *site
	number       int
	name         string
	listen, peer string
	path         string      // of its document
	claimed      atomic.Bool // by a trouble that stops or restarts it

	mu        sync.Mutex
	process   *process
	count     int // of processes so far
	journal   net.Listener
	termAt    time.Time // of the process in service; zero: it is not told to stop
	accepting bool      // clients may connect
}

// process is one run of a front end.
type process struct {
	cmd      *exec.Cmd
	log      *logReader
	done     chan struct{}
	err      error // valid after done
	killed   atomic.Bool
	readyFor time.Duration // it took until it was ready
}

// logReader takes what a process logs, and can stop reading for a while.
type logReader struct {
	stalled atomic.Bool
	mu      sync.Mutex
	kept    bytes.Buffer
}

// Write implements io.Writer.
func (r *logReader) Write(data []byte) (int, error) {
	for r.stalled.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kept.Len() < maxKeptLog {
		r.kept.Write(data)
	}
	return len(data), nil
}

func (r *logReader) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept.String()
}

// frontEndName is the name of a front end by its number.
func frontEndName(number int) string { return fmt.Sprintf("n%d", number) }

// currentProcess names the process in service: requests of one must not be expected of the next.
func (f *frontEnd) currentProcess() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprintf("%s/%d", f.name, f.count)
}

// moveDiscovery listens for watches at another address; the old one takes no new connection.
func (f *frontEnd) moveDiscovery() error {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	f.mu.Lock()
	old := f.journal
	f.journal = listener
	f.mu.Unlock()
	if old != nil {
		_ = old.Close() // the watches on it go on until they end
	}
	go f.site.discovery.serve(listener, f.number)
	return nil
}

// writeDocument writes the document that the front end is told by.
func (f *frontEnd) writeDocument() error {
	f.mu.Lock()
	journal := f.journal.Addr().String()
	f.mu.Unlock()
	document := f.site.document(f, journal)
	data, err := json.Marshal(document)
	if err != nil {
		return err
	}
	temporary := f.path + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, f.path)
}

// start starts a process and waits until it is ready.
func (f *frontEnd) start() error {
	f.mu.Lock()
	f.count++
	f.mu.Unlock()
	if err := f.writeDocument(); err != nil {
		return err
	}
	p := &process{log: &logReader{}, done: make(chan struct{})}
	limit := fmt.Sprintf("ulimit -n %d; exec \"$0\" node --log info", descriptorLimit)
	p.cmd = exec.Command("sh", "-c", limit, f.site.settings.Program)
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+f.path, f.site.faultVariable(f.number, f.count))
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	f.process, f.termAt = p, time.Time{}
	f.mu.Unlock()
	return f.awaitReady(p)
}

// awaitReady asks the front end whether it is ready until it is; then clients may come.
func (f *frontEnd) awaitReady(p *process) error {
	began := time.Now()
	for time.Since(began) < readyTimeout {
		select {
		case <-p.done:
			return fmt.Errorf("%s ended at its start: %w\n%s", f.name, p.err, p.log)
		default:
		}
		if f.isReady() {
			p.readyFor = time.Since(began)
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
	defer func() { _ = conn.Close() }() // it was only asked
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(encodeClientFrame(frameReadinessQuery, 0, []byte{0})); err != nil {
		return false
	}
	frame, err := readClientFrame(conn)
	return err == nil && frame.kind == frameReadiness && frame.code == codeSucceeded
}

// mayConnect tells whether clients may open connections now, and maySend whether they may send on open ones.
func (f *frontEnd) mayConnect() bool { return f.within(newConnectionWindow) }
func (f *frontEnd) maySend() bool    { return f.within(requestWindow) }

func (f *frontEnd) within(window time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepting && (f.termAt.IsZero() || time.Since(f.termAt) < window)
}

// running is the process in service.
func (f *frontEnd) running() *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.process
}

// terminate tells the process to stop, and waits for its end as the platform does.
func (f *frontEnd) terminate() {
	p := f.running()
	f.mu.Lock()
	f.termAt = time.Now()
	f.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // its end shows below
	select {
	case <-p.done:
		if p.err != nil {
			f.site.violate("exit", "%s ended by %v\n%s", f.currentProcess(), p.err, p.log)
		}
	case <-time.After(killDelay):
		f.site.violate("exit", "%s does not end within %v of SIGTERM\n%s", f.currentProcess(), killDelay, p.log)
		f.kill()
	}
	f.stopAccepting()
}

// kill ends the process at once.
func (f *frontEnd) kill() {
	p := f.running()
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

// checkAlive notes a process that ended by itself.
func (f *frontEnd) checkAlive() {
	p := f.running()
	select {
	case <-p.done:
		f.mu.Lock()
		told := !f.termAt.IsZero()
		f.mu.Unlock()
		if !told && !p.killed.Load() {
			f.site.violate("crash", "%s ended by itself: %v\n%s", f.currentProcess(), p.err, p.log)
		}
	default:
	}
}

// Ports of front ends lie under those that the system gives to connections, or one of these may have the port of a front
// end that restarts.
const (
	firstPort = 12_000
	portCount = 20_000
)

// lastPort counts from a random port on, so that none is given twice.
var lastPort atomic.Uint32

func init() { lastPort.Store(rand.Uint32N(portCount)) }

// nextAddress is an address that was not given before.
func nextAddress() string { return fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort.Add(1)%portCount) }

// listen listens at an address, or at any that is free where it is "".
func listen(address string) (listener net.Listener, err error) {
	if address != "" {
		return net.Listen("tcp", address)
	}
	for range 100 {
		if listener, err = net.Listen("tcp", nextAddress()); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// reservePort finds a port that nobody listens at, for TCP and UDP.
func reservePort() (address string, err error) {
	for range 100 {
		address = nextAddress()
		listener, listenErr := net.Listen("tcp", address)
		if err = listenErr; err != nil {
			continue
		}
		packets, listenErr := net.ListenPacket("udp", address)
		if err = errors.Join(listenErr, listener.Close()); err == nil {
			return address, packets.Close()
		}
	}
	return "", err
}

// newFrontEnd reserves the addresses of a front end.
func (s *site) newFrontEnd(number int) (f *frontEnd, err error) {
	f = &frontEnd{site: s, number: number, name: frontEndName(number), path: filepath.Join(s.folder, frontEndName(number)+".json")}
	if f.listen, err = reservePort(); err != nil {
		return nil, err
	}
	if f.peer, err = reservePort(); err != nil {
		return nil, err
	}
	return f, f.moveDiscovery()
}
