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
)

// startNode runs a front end by a shell command and waits until it listens.
func startNode(t *testing.T, document, addr, command string, stderr io.Writer) *serverProcess {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	return startServer(t, dir, command, addr, stderr, documentVariable+"="+path)
}

// awaitReady waits until a front end answers that it is ready.
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
	t.Fatal("not ready")
}

// receiveWithin receives a value, or fails the test.
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

// startNodeWithLimit runs a front end whose process may have a number of descriptors. The log is complete once the
// process has ended.
func startNodeWithLimit(t *testing.T, document, addr string, descriptors int) (node *serverProcess, log *bytes.Buffer) {
	t.Helper()
	log = &bytes.Buffer{}
	return startNode(t, document, addr, fmt.Sprintf("ulimit -n %d; exec streamcleat node", descriptors), log), log
}

// The discovery service is down from the start, so that requests are rejected. Hundreds of silent connections keep neither
// active clients nor the watch out, and do not end the process: once the service is back, requests succeed. A signal shuts
// it down in order.
func TestProcessUnderItsDescriptorLimit(t *testing.T) {
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
		t.Error("not rejected:", got)
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
			line, _ := bufio.NewReader(conn).ReadString('\n') // an incomplete line is compared as it is
			_, _ = fmt.Fprintln(conn, 1)                      // the request below shows whether it arrived
			watched <- line
		}
	}()
	select {
	case line := <-watched:
		if line != "tail 1\n" {
			t.Errorf("%q", line)
		}
	case <-time.After(3 * time.Second):
		t.Error("discovery service is back and is not watched")
	}
	awaitReady(t, nodeAddr)
	client = nodetest.Dial(t, nodeAddr) // the first one may have been evicted, it has no open request
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

// While accept fails for lack of descriptors, open requests proceed, and new clients are served once there are
// descriptors again.
func TestProcessSurvivesAcceptErrors(t *testing.T) {
	t.Parallel()
	const stated, enforced = 1024, 48
	worker := nodetest.NewWorker(t)
	nodeAddr := freeAddresses(t, 1)[0]
	document := nodetest.DocumentText(nodeAddr, nodetest.NewDiscovery(t).Addr(), worker.Addr(), stated)
	node, _ := startNodeWithLimit(t, document, nodeAddr, enforced)
	awaitReady(t, nodeAddr)
	early := nodetest.Dial(t, nodeAddr)
	early.Send("early")
	if got := early.Receive(); !strings.Contains(got, "early") {
		t.Fatal(got)
	}
	worker.Silent.Store(true) // an idle connection may be evicted, one with an open request may not
	early.Send("open while accept fails")
	silent := dialSilently(t, nodeAddr, 2*enforced)
	if got := early.Receive(); !strings.HasPrefix(got, `2/2 "\b`) {
		t.Error("open request does not proceed:", got)
	}
	worker.Silent.Store(false)
	for _, conn := range silent {
		nodetest.Close(t, conn)
	}
	late := nodetest.Dial(t, nodeAddr)
	late.Send("afterwards")
	if got := late.Receive(); !strings.Contains(got, "afterwards") {
		t.Error("no service after accept errors:", got)
	}
	node.signal(t, syscall.SIGTERM)
	nodetest.WaitForExit(t, node.done)
}

// startNodeWithLogPipe runs a front end that logs much, and returns the end of a small pipe from which its log can be
// read.
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

// A reader of the log that stalls or closes the pipe does not stop the service.
func TestProcessOutlivesItsLogReader(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(t *testing.T, logs *os.File){
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
			leave(t, logs)
			client := nodetest.Dial(t, addr)
			for n := range 60 { // logs far more than the pipe holds
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

// The time for which the process was suspended is part of the deadline of requests that arrived meanwhile, on an open
// connection and on one that was not accepted yet.
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
		worker.ObserveAttempts(conn, func(frame nodetest.Frame) { attempts <- attempt{frame.Budget(t), time.Now()} })
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
		time.Sleep(5 * time.Millisecond) // until it has taken effect
		newcomer := nodetest.Dial(t, addr)
		sentAt := time.Now()
		client.Send("on an open connection")
		newcomer.Send("on a new connection")
		time.Sleep(suspended)
		node.signal(t, syscall.SIGCONT)
		for range 2 {
			a := receiveWithin(t, attempts, 5*time.Second)
			if left := timeout - a.receivedAt.Sub(sentAt); a.budget > left+slack {
				t.Errorf("worker gets %v, client has %v left", a.budget, left)
			}
		}
		client.Receive()
		newcomer.Receive()
	}
	node.signal(t, syscall.SIGTERM)
	nodetest.WaitForExit(t, node.done)
}
