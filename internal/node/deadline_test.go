package node

import (
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/verification/nodetest"
	"streamcleat/internal/verification/workerframes"
)

// listenWithoutBacklog listens on the loopback interface with the shortest backlog.
func listenWithoutBacklog(t *testing.T) net.Listener {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }() // net.FileListener duplicates the descriptor
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
	nodetest.CloseAtEnd(t, listener)
	return listener
}

// fillBacklog connects to a listener until its backlog is full.
func fillBacklog(t *testing.T, addr string) {
	t.Helper()
	for range 8 {
		conn, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			return
		}
		nodetest.CloseAtEnd(t, conn)
	}
	t.Fatal("backlog is not full after 8 connections")
}

// The deadline sent to a worker is computed when the attempt is sent, not when it starts to wait for a connection.
func TestDeadline_ComputedWhenAttemptIsSent(t *testing.T) {
	t.Parallel()
	const timeout, slack = 1500 * time.Millisecond, 150 * time.Millisecond
	worker := nodetest.NewUnstartedWorker(listenWithoutBacklog(t))
	f := newFixtureWith(t, worker, 256, func(text string) string {
		return strings.Replace(text, `"DialTimeoutMs":250`, `"DialTimeoutMs":2500`, 1)
	})
	warm := f.acceptWhileWarming()
	client := f.dial()
	fillBacklog(t, worker.Addr())
	nodetest.Close(t, warm)
	time.Sleep(50 * time.Millisecond)
	sentAt := time.Now()
	client.Send("over a slow dial")
	time.Sleep(300 * time.Millisecond)
	for {
		conn, err := worker.Accept() // first the test's own connections, then the front end's, whose SYN is retransmitted
		if err != nil {
			t.Fatal(err)
		}
		nodetest.CloseAtEnd(t, conn)
		if err := conn.SetReadDeadline(sentAt.Add(2 * timeout)); err != nil {
			t.Fatal(err)
		}
		go worker.ObserveAttempts(conn, func(frame workerframes.Frame) {
			left := timeout - time.Since(sentAt)
			if budget := nodetest.Budget(t, frame); budget > left+slack {
				t.Errorf("worker received a timeout of %v, but the client's deadline is in %v", budget, left)
			}
		})
		if time.Since(sentAt) > 700*time.Millisecond {
			break
		}
	}
	if got := client.Receive(); !strings.Contains(got, "over a slow dial") {
		t.Error(got)
	}
}

// acceptWhileWarming accepts and serves one connection of the front end, and returns it once a replica is loaded and has
// served a request.
func (f *fixture) acceptWhileWarming() net.Conn {
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
		f.worker.ServeConnection(conn)
	}()
	f.dialWarm()
	return <-accepted
}

// The time for which a request was not read because the event loop was stalled counts toward its deadline.
func TestDeadline_IncludesTimeUnread(t *testing.T) {
	t.Parallel()
	const timeout, slack, stall = 1500 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond
	worker := nodetest.NewWorker(t)
	budgets := make(chan time.Duration, 4)
	worker.HandleConnections(func(conn net.Conn) {
		worker.ObserveAttempts(conn, func(frame workerframes.Frame) { budgets <- nodetest.Budget(t, frame) })
	})
	f := newFixtureWith(t, worker, 256, func(text string) string { return text })
	client := f.dialWarm()
	if budget := <-budgets; budget > timeout || budget < timeout-slack {
		t.Errorf("worker received a timeout of %v from an idle front end, client timeout is %v", budget, timeout)
	}
	release := f.stallLoop()
	client.Send("unread")
	time.Sleep(stall)
	release()
	if budget := <-budgets; budget > timeout-stall+slack {
		t.Errorf("worker received a timeout of %v, but the client's deadline is in %v", budget, timeout-stall)
	}
	if got := client.Receive(); !strings.Contains(got, "unread") {
		t.Error(got)
	}
}
