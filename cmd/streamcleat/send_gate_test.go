package main

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// leaveSlack is how long after its client left an attempt may begin at most.
const leaveSlack = 100 * time.Millisecond

// A client that sent its request and left while the loop was busy finds no attempt: neither of a first request, whatever
// it left by, nor where request and cancel are read together.
func TestNothingIsSentForAClientThatLeftWhileTheLoopWasBusy(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(t *testing.T, client *nodeClient, request []byte){
		"cancel in the same write": func(_ *testing.T, client *nodeClient, request []byte) {
			client.sendBytes(append(request, client.cancellation()...))
		},
		"close": func(t *testing.T, client *nodeClient, request []byte) {
			client.sendBytes(request)
			closeConnection(t, client.conn)
		},
		"reset": func(t *testing.T, client *nodeClient, request []byte) {
			client.sendBytes(request)
			time.Sleep(20 * time.Millisecond) // or the request is dropped by the reset
			resetConnection(t, client.conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newNodeFixture(t, 256)
			client := f.dialWarm()
			before := f.attempts.Load()
			release := f.stallLoop()
			leave(t, client, client.request(warmFunction, "left"))
			time.Sleep(2 * leaveSlack)
			release()
			time.Sleep(2 * leaveSlack)
			if n := f.attempts.Load() - before; n != 0 {
				t.Errorf("%d attempts for a client that had left", n)
			}
		})
	}
}

// listenWithoutQueue listens on loopback with the shortest queue of connections that are not accepted yet.
func listenWithoutQueue(t *testing.T) net.Listener {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }() // net.FileListener has a descriptor of its own
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	return listener
}

// fillQueue connects to a listener until nothing more comes up.
func fillQueue(t *testing.T, addr string) {
	t.Helper()
	for range 8 {
		conn, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			return
		}
		closeAtEnd(t, conn)
	}
	t.Fatal("the queue takes any number")
}

// statedBudget is the time in milliseconds that an attempt states to its worker.
func statedBudget(t *testing.T, frame workerFrame) time.Duration {
	t.Helper()
	for field := range strings.SplitSeq(string(frame.fields), ",") {
		if text, ok := strings.CutPrefix(field, "budget="); ok {
			milliseconds, err := strconv.Atoi(text)
			if err != nil {
				t.Error(err)
			}
			return time.Duration(milliseconds) * time.Millisecond
		}
	}
	t.Errorf("no budget in %q", frame.fields)
	return 0
}

// The deadline that is passed on counts from when the attempt leaves, not from when it began to wait for its connection.
func TestDeadlineIsCountedWhenTheAttemptLeaves(t *testing.T) {
	t.Parallel()
	const timeout, slack = 1500 * time.Millisecond, 150 * time.Millisecond
	f := &nodeFixture{t: t, worker: listenWithoutQueue(t), journalLines: make(chan string, 10), replied: make(chan byte, 64)}
	f.startNode(256, func(text string) string {
		return strings.Replace(text, `"DialTimeoutMs":250`, `"DialTimeoutMs":2500`, 1)
	})
	warm := f.acceptWhileWarming()
	client := f.dial()
	fillQueue(t, f.worker.Addr().String())
	closeConnection(t, warm)
	time.Sleep(50 * time.Millisecond)
	sentAt := time.Now()
	client.send("over a slow dial")
	time.Sleep(300 * time.Millisecond)
	for {
		conn, err := f.worker.Accept() // the test's own connections, then the front end's as its SYN is sent again
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, conn)
		if err := conn.SetReadDeadline(sentAt.Add(2 * timeout)); err != nil {
			t.Fatal(err)
		}
		go f.serveOneAttempt(conn, func(frame workerFrame) {
			left := timeout - time.Since(sentAt)
			if budget := statedBudget(t, frame); budget > left+slack {
				t.Errorf("the worker is told %v, the client has %v left", budget, left)
			}
		})
		if time.Since(sentAt) > 700*time.Millisecond {
			break
		}
	}
	if got := client.receive(); !strings.Contains(got, "over a slow dial") {
		t.Error(got)
	}
}

// acceptWhileWarming serves one connection of the front end until it has had a replica loaded and used.
func (f *nodeFixture) acceptWhileWarming() net.Conn {
	f.t.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := f.worker.Accept()
		if err != nil {
			f.t.Error(err)
			close(accepted)
			return
		}
		accepted <- conn
		f.serveWorkerConnection(conn)
	}()
	f.dialWarm()
	return <-accepted
}

// A request that lay unread while the process was held up has that much less time: the deadline that is passed on is what
// its client has left.
func TestDeadlineCountsTheTimeUnread(t *testing.T) {
	t.Parallel()
	const timeout, slack, held = 1500 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond
	f := newWorkerFixture(t)
	budgets := make(chan time.Duration, 4)
	f.handleWorkerConnections(func(conn net.Conn) {
		f.serveOneAttempt(conn, func(frame workerFrame) { budgets <- statedBudget(t, frame) })
	})
	f.startNode(256, func(text string) string { return text })
	client := f.dialWarm()
	if budget := <-budgets; budget > timeout || budget < timeout-slack {
		t.Errorf("an idle front end states %v of %v", budget, timeout)
	}
	release := f.stallLoop()
	client.send("unread")
	time.Sleep(held)
	release()
	if budget := <-budgets; budget > timeout-held+slack {
		t.Errorf("the worker is told %v, the client has %v left", budget, timeout-held)
	}
	if got := client.receive(); !strings.Contains(got, "unread") {
		t.Error(got)
	}
}

// serveOneAttempt replies to what comes on a connection and shows attempts to the test.
func (f *nodeFixture) serveOneAttempt(conn net.Conn, show func(frame workerFrame)) {
	for {
		frame, err := readWorkerFrame(conn)
		if err != nil {
			return
		}
		if frame.command() == commandAttempt {
			show(frame)
		}
		f.replyToFrame(conn, frame, nil)
	}
}
