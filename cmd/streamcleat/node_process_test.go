package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// freeAddresses are loopback addresses that nobody uses at the moment. They lie under the ports that the system gives to
// connections: one of these could have the port by the time that it is listened at.
func freeAddresses(t *testing.T, n int) (addrs []string) {
	t.Helper()
	for len(addrs) < n {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(2_000)))
		if err != nil {
			continue
		}
		addrs = append(addrs, listener.Addr().String())
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return addrs
}

// nodeProcess is a front end as a process of its own.
type nodeProcess struct {
	process      *os.Process
	documentPath string
	stderr       bytes.Buffer // to be read once it has ended
	done         chan error
}

// startNodeProcess runs a front end under a limit of descriptors and waits until it listens.
func startNodeProcess(t *testing.T, document, addr string, descriptors int) *nodeProcess {
	t.Helper()
	node := &nodeProcess{done: make(chan error, 1)}
	node.start(t, document, addr, fmt.Sprintf("ulimit -n %d; exec streamcleat node", descriptors), &node.stderr)
	return node
}

// start runs a front end by a shell's command and waits until it listens.
func (node *nodeProcess) start(t *testing.T, document, addr, command string, stderr io.Writer) {
	t.Helper()
	node.documentPath = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(node.documentPath, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("sh", "-c", command)
	cmd.Env = append(os.Environ(), documentVariable+"="+node.documentPath)
	cmd.Stderr = stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	node.process = cmd.Process
	go func() { node.done <- cmd.Wait() }()
	t.Cleanup(func() { _ = node.process.Kill() }) // it has usually ended
	for range 200 {
		if conn, err := net.Dial("tcp", addr); err == nil {
			closeConnection(t, conn)
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// dialSilently opens connections on which nothing is sent, as many as come up.
func dialSilently(t *testing.T, addr string, n int) {
	t.Helper()
	for range n {
		if conn, err := net.Dial("tcp", addr); err == nil {
			closeAtEnd(t, conn)
		}
	}
}

// As a process under its limit of descriptors, with the journal service down from the start: hundreds of silent clients
// keep neither usual ones nor the watch out, nor does it end of them. Told to stop it ends in order.
func TestProcessUnderItsDescriptorLimit(t *testing.T) {
	t.Parallel()
	const descriptors = 96
	f := newWorkerFixture(t)
	addrs := freeAddresses(t, 2)
	journalAddr, nodeAddr := addrs[0], addrs[1]
	node := startNodeProcess(t, documentText(nodeAddr, journalAddr, f.worker.Addr().String(), descriptors), nodeAddr, descriptors)
	dialSilently(t, nodeAddr, 200)
	client := dialNode(t, nodeAddr)
	client.send("among silent ones")
	if got := client.receive(); !strings.Contains(got, "among silent ones") {
		t.Error(got)
	}
	journal, err := net.Listen("tcp", journalAddr)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, journal)
	dialSilently(t, nodeAddr, 100)
	asked := make(chan string, 1)
	go func() {
		if conn, err := journal.Accept(); err == nil {
			line, _ := bufio.NewReader(conn).ReadString('\n') // one that breaks off is compared as far as it came
			asked <- line
		}
	}()
	select {
	case line := <-asked:
		if line != "tail 1\n" {
			t.Errorf("%q", line)
		}
	case <-time.After(3 * time.Second):
		t.Error("the journal service is back and is not asked")
	}
	if err := node.process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	waitForExit(t, node.done)
	if said := node.stderr.String(); strings.Contains(said, "too many open files") {
		t.Error(said)
	}
}

// Where accept fails because the machine has no descriptor left, what is open goes on, and new clients are served once
// there is one again.
func TestProcessSurvivesAcceptErrors(t *testing.T) {
	t.Parallel()
	const stated, enforced = 1024, 48
	f := newWorkerFixture(t)
	addrs := freeAddresses(t, 2)
	journalAddr, nodeAddr := addrs[0], addrs[1]
	node := startNodeProcess(t, documentText(nodeAddr, journalAddr, f.worker.Addr().String(), stated), nodeAddr, enforced)
	early := dialNode(t, nodeAddr)
	early.send("early")
	if got := early.receive(); !strings.Contains(got, "early") {
		t.Fatal(got)
	}
	f.silent.Store(true) // an idle connection may be closed to make room, one with a request open may not
	early.send("open while accept fails")
	var silent []net.Conn
	for range 2 * enforced {
		if conn, err := net.Dial("tcp", nodeAddr); err == nil {
			silent = append(silent, conn)
		}
	}
	if got := early.receive(); !strings.HasPrefix(got, `2/2 "\b`) {
		t.Error("what was open does not go on:", got)
	}
	f.silent.Store(false)
	for _, conn := range silent {
		closeConnection(t, conn)
	}
	late := dialNode(t, nodeAddr)
	late.send("afterwards")
	if got := late.receive(); !strings.Contains(got, "afterwards") {
		t.Error("nobody is served any more:", got)
	}
	if err := node.process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	waitForExit(t, node.done)
}

// startWithLogReader runs a front end that logs much, and returns it with the end of the pipe that its log can be read
// from. The pipe holds little.
func startWithLogReader(t *testing.T, f *nodeFixture) (node *nodeProcess, addr string, logs *os.File) {
	t.Helper()
	logs, stderr, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, logs)
	if _, err := unix.FcntlInt(stderr.Fd(), unix.F_SETPIPE_SZ, 4096); err != nil {
		t.Fatal(err)
	}
	addrs := freeAddresses(t, 2)
	node = &nodeProcess{done: make(chan error, 1)}
	document := documentText(addrs[0], addrs[1], f.worker.Addr().String(), 256)
	node.start(t, document, addrs[0], "exec streamcleat node --log debug --log-rate 100000", stderr)
	if err := stderr.Close(); err != nil {
		t.Error(err)
	}
	return node, addrs[0], logs
}

// Whoever reads the log may stop reading, or go away: service goes on.
func TestProcessOutlivesItsLogReader(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(t *testing.T, logs *os.File){
		"stops reading": func(*testing.T, *os.File) {},
		"goes away": func(t *testing.T, logs *os.File) {
			if err := logs.Close(); err != nil {
				t.Error(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newWorkerFixture(t)
			node, addr, logs := startWithLogReader(t, f)
			leave(t, logs)
			client := dialNode(t, addr)
			for n := range 60 { // far more than the pipe holds is logged
				body := fmt.Sprint("number ", n)
				client.send(body)
				if got := client.receive(); !strings.Contains(got, body) {
					t.Fatal(n, got)
				}
			}
			if err := node.process.Signal(syscall.SIGTERM); err != nil {
				t.Error(err)
			}
			waitForExit(t, node.done)
		})
	}
}

// A request that came while the process was stopped has that much less time, on an open connection and on one that was
// not accepted yet.
func TestStoppedProcessCountsTheTime(t *testing.T) {
	t.Parallel()
	const timeout, slack, stopped = 1500 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond
	f := newWorkerFixture(t)
	type stated struct {
		budget time.Duration
		at     time.Time
	}
	attempts := make(chan stated, 16)
	f.handleWorkerConnections(func(conn net.Conn) {
		f.serveOneAttempt(conn, func(frame workerFrame) { attempts <- stated{statedBudget(t, frame), time.Now()} })
	})
	addrs := freeAddresses(t, 2)
	node := startNodeProcess(t, documentText(addrs[0], addrs[1], f.worker.Addr().String(), 256), addrs[0], 256)
	client := dialNode(t, addrs[0])
	client.send("warm")
	client.receive()
	<-attempts
	for range 6 {
		time.Sleep(20 * time.Millisecond)
		if err := node.process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond) // until it has taken effect
		newcomer := dialNode(t, addrs[0])
		sentAt := time.Now()
		client.send("on an open connection")
		newcomer.send("on a new one")
		time.Sleep(stopped)
		if err := node.process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			attempt := <-attempts
			if left := timeout - attempt.at.Sub(sentAt); attempt.budget > left+slack {
				t.Errorf("the worker is told %v, the client has %v left", attempt.budget, left)
			}
		}
		client.receive()
		newcomer.receive()
	}
	if err := node.process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	waitForExit(t, node.done)
}
