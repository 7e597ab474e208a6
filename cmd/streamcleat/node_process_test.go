package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/verification/nodetest"
	"streamcleat/internal/verification/workerframes"
)

// startNode runs a front end with a configuration document by a shell command, and waits until it listens on addr.
func startNode(t *testing.T, document, addr, command string, stderr io.Writer) *serverProcess {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	return startServer(t, dir, command, addr, stderr, documentVariable+"="+path)
}

// awaitReady waits up to 3 s until a front end reports that it is ready.
func awaitReady(t *testing.T, addr string) {
	t.Helper()
	client := nodetest.Dial(t, addr)
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		client.SendBytes(nodetest.ReadinessQuery())
		if strings.HasPrefix(client.Receive(), `5/0 "\x00`) {
			nodetest.Close(t, client.Conn)
			return
		}
	}
	t.Fatal("front end is not ready after 3 s")
}

// receiveWithin receives a value, or fails the test after a timeout.
func receiveWithin[T any](t *testing.T, values <-chan T, timeout time.Duration) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(timeout):
		t.Fatalf("nothing received within %v", timeout)
		panic("unreachable")
	}
}

// startNodeWithLimit runs a front end in a process with a limit on open descriptors. The log is complete once the process has
// exited.
func startNodeWithLimit(t *testing.T, document, addr string, descriptors int) (node *serverProcess, log *bytes.Buffer) {
	t.Helper()
	log = &bytes.Buffer{}
	return startNode(t, document, addr, fmt.Sprintf("ulimit -n %d; exec streamcleat node", descriptors), log), log
}

// Tests that hundreds of silent connections do not exhaust the descriptors of a front end. Requests are rejected while
// discovery is unavailable, which it is from the start. Neither active clients nor the discovery watch are locked out: once
// the service is available, requests succeed, and SIGTERM shuts the process down gracefully.
func TestProcess_ServesAtDescriptorLimit(t *testing.T) {
	t.Parallel()
	const descriptors = 96
	worker := nodetest.NewWorker(t)
	addrs := freeAddresses(t, 2)
	discoveryAddr, nodeAddr := addrs[0], addrs[1]
	document := nodetest.DocumentText(nodeAddr, discoveryAddr, worker.Addr(), descriptors)
	node, log := startNodeWithLimit(t, document, nodeAddr, descriptors)
	dialSilently(t, nodeAddr, 200)
	client := nodetest.Dial(t, nodeAddr)
	client.Send("without discovery")
	if got := client.Receive(); !strings.HasPrefix(got, `2/1 "\b`) {
		t.Error("request without discovery is not rejected:", got)
	}
	discovery, err := net.Listen("tcp", discoveryAddr)
	if err != nil {
		t.Fatal(err)
	}
	nodetest.CloseAtEnd(t, discovery)
	dialSilently(t, nodeAddr, 100)
	watched := make(chan string, 1)
	go func() {
		if conn, err := discovery.Accept(); err == nil {
			line, _ := bufio.NewReader(conn).ReadString('\n') // an incomplete line fails the comparison below
			_, _ = fmt.Fprintln(conn, 1)                      // the front end is not ready below unless this arrives
			watched <- line
		}
	}()
	select {
	case line := <-watched:
		if line != "tail 1\n" {
			t.Errorf("unexpected watch request %q", line)
		}
	case <-time.After(3 * time.Second):
		t.Error("front end does not watch the discovery service within 3 s after it became available")
	}
	awaitReady(t, nodeAddr)
	client = nodetest.Dial(t, nodeAddr) // the first connection may have been evicted, as it has no open request
	client.Send("among silent ones")
	if got := client.Receive(); !strings.Contains(got, "among silent ones") {
		t.Error(got)
	}
	node.signal(t, syscall.SIGTERM)
	nodetest.WaitForExit(t, node.done)
	if text := log.String(); strings.Contains(text, "too many open files") {
		t.Error(text)
	}
}

// Tests that open requests proceed while accept fails because the process has no free descriptors, and that new clients are
// served once descriptors are free again. The document states a higher limit than the system enforces, so that accept fails
// before the front end reaches the limit of the document.
func TestProcess_SurvivesAcceptErrors(t *testing.T) {
	t.Parallel()
	const statedLimit, enforcedLimit = 1024, 48
	worker := nodetest.NewWorker(t)
	nodeAddr := freeAddresses(t, 1)[0]
	document := nodetest.DocumentText(nodeAddr, nodetest.NewDiscovery(t).Addr(), worker.Addr(), statedLimit)
	node, _ := startNodeWithLimit(t, document, nodeAddr, enforcedLimit)
	awaitReady(t, nodeAddr)
	early := nodetest.Dial(t, nodeAddr)
	early.Send("early")
	if got := early.Receive(); !strings.Contains(got, "early") {
		t.Fatal(got)
	}
	worker.Silent.Store(true) // keeps the next request open: its connection may not be evicted, unlike an idle one
	early.Send("open while accept fails")
	silent := dialSilently(t, nodeAddr, 2*enforcedLimit)
	if got := early.Receive(); !strings.HasPrefix(got, `2/2 "\b`) {
		t.Error("open request was not rejected while accept fails:", got)
	}
	worker.Silent.Store(false)
	for _, conn := range silent {
		nodetest.Close(t, conn)
	}
	late := nodetest.Dial(t, nodeAddr)
	late.Send("afterwards")
	if got := late.Receive(); !strings.Contains(got, "afterwards") {
		t.Error("new client is not served after accept errors:", got)
	}
	node.signal(t, syscall.SIGTERM)
	nodetest.WaitForExit(t, node.done)
}

// startNodeWithLogPipe runs a front end at debug level that logs to a pipe with a small buffer, and returns the read end of
// the pipe.
func startNodeWithLogPipe(t *testing.T, worker *nodetest.Worker) (node *serverProcess, addr string, logs *os.File) {
	t.Helper()
	logs, stderr, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	nodetest.CloseAtEnd(t, logs)
	if _, err := unix.FcntlInt(stderr.Fd(), unix.F_SETPIPE_SZ, 4096); err != nil {
		t.Fatal(err)
	}
	addr = freeAddresses(t, 1)[0]
	document := nodetest.DocumentText(addr, nodetest.NewDiscovery(t).Addr(), worker.Addr(), 256)
	node = startNode(t, document, addr, "exec streamcleat node --log debug --log-rate 100000", stderr)
	if err := stderr.Close(); err != nil {
		t.Error(err)
	}
	awaitReady(t, addr)
	return node, addr, logs
}

// Tests that a front end continues to serve when the reader of its log stalls or closes the pipe.
func TestProcess_SurvivesLogReader(t *testing.T) {
	t.Parallel()
	for name, stopReading := range map[string]func(t *testing.T, logs *os.File){
		"stalls": func(*testing.T, *os.File) {},
		"closes the pipe": func(t *testing.T, logs *os.File) {
			t.Helper()
			if err := logs.Close(); err != nil {
				t.Error(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node, addr, logs := startNodeWithLogPipe(t, nodetest.NewWorker(t))
			stopReading(t, logs)
			client := nodetest.Dial(t, addr)
			for n := range 60 { // produces far more log output than the pipe buffers
				body := fmt.Sprint("number ", n)
				client.Send(body)
				if got := client.Receive(); !strings.Contains(got, body) {
					t.Fatal(n, got)
				}
			}
			node.signal(t, syscall.SIGTERM)
			nodetest.WaitForExit(t, node.done)
		})
	}
}

// Tests that the time for which the process is suspended counts towards the deadlines of the requests that arrive meanwhile,
// both on an open connection and on one that has not been accepted yet.
func TestProcess_DeadlineIncludesSuspendedTime(t *testing.T) {
	t.Parallel()
	const timeout, slack, suspended = 1500 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond
	worker := nodetest.NewWorker(t)
	type attempt struct {
		budget     time.Duration
		receivedAt time.Time
	}
	attempts := make(chan attempt, 16)
	worker.HandleConnections(func(conn net.Conn) {
		worker.ObserveAttempts(conn, func(frame workerframes.Frame) { attempts <- attempt{nodetest.Budget(t, frame), time.Now()} })
	})
	addr := freeAddresses(t, 1)[0]
	node, _ := startNodeWithLimit(t, nodetest.DocumentText(addr, nodetest.NewDiscovery(t).Addr(), worker.Addr(), 256), addr, 256)
	awaitReady(t, addr)
	client := nodetest.Dial(t, addr)
	client.Send("warm")
	client.Receive()
	receiveWithin(t, attempts, 5*time.Second)
	for range 6 {
		time.Sleep(20 * time.Millisecond)
		node.signal(t, syscall.SIGSTOP)
		time.Sleep(5 * time.Millisecond) // until the signal has taken effect
		newcomer := nodetest.Dial(t, addr)
		sentAt := time.Now()
		client.Send("on an open connection")
		newcomer.Send("on a new connection")
		time.Sleep(suspended)
		node.signal(t, syscall.SIGCONT)
		for range 2 {
			a := receiveWithin(t, attempts, 5*time.Second)
			if left := timeout - a.receivedAt.Sub(sentAt); a.budget > left+slack {
				t.Errorf("attempt states a budget of %v, but the client waits only %v longer", a.budget, left)
			}
		}
		client.Receive()
		newcomer.Receive()
	}
	node.signal(t, syscall.SIGTERM)
	nodetest.WaitForExit(t, node.done)
}
