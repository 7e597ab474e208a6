package eventloop

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// closeAtEnd closes something with the test.
func closeAtEnd(t *testing.T, c io.Closer) {
	t.Cleanup(func() { _ = c.Close() }) // the test may have closed it already
}

// listenLoopback listens on a free port for the time of the test.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	return listener
}

// serveConnections is a service that treats each of its connections by the next of some functions, and hands out the
// line that each began with.
func serveConnections(t *testing.T, handlers ...func(net.Conn)) (addr string, requests chan string) {
	t.Helper()
	listener := listenLoopback(t)
	requests = make(chan string, 10)
	go func() {
		for _, handle := range handlers {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n') // one that breaks off is compared as far as it came
			requests <- line
			handle(conn)
		}
	}()
	return listener.Addr().String(), requests
}

// send writes to a connection that the other side may have left.
func send(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text) // what matters is what the other side makes of it
}

// wantText waits for a text on a channel.
func wantText(t *testing.T, from chan string, want string) {
	t.Helper()
	select {
	case got := <-from:
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	case <-time.After(3 * time.Second):
		t.Fatalf("%q did not come", want)
	}
}

// A service that breaks off, falls silent or sends what can't be read is asked again from where it got to; one that
// moved is asked at its new address.
func TestFollowAsksAgain(t *testing.T) {
	keepOpen := func(conn net.Conn) { closeAtEnd(t, conn) }
	sendAndKeep := func(text string) func(net.Conn) {
		return func(conn net.Conn) {
			send(conn, text)
			keepOpen(conn)
		}
	}
	next, nextRequests := serveConnections(t, sendAndKeep("e\n"))
	first, requests := serveConnections(t,
		func(conn net.Conn) { // breaks off; what is cut off is for the line's reader to judge
			send(conn, "a\nb")
			_ = conn.Close() // all was sent
		},
		sendAndKeep("c\n"),    // falls silent
		keepOpen,              // sends nothing at all
		sendAndKeep("bad ha"), // falls silent in the middle of a line
		sendAndKeep("bad\n"),
		sendAndKeep("d\n"))
	var taken atomic.Int32
	lines := make(chan string, 10)
	watch := StartDiscoveryWatch(first, 150*time.Millisecond, func() []byte { return fmt.Appendf(nil, "from %d\n", taken.Load()) }, func(line []byte) error {
		if strings.HasPrefix(string(line), "bad") {
			return errors.New("bad line")
		}
		taken.Add(1)
		lines <- string(line)
		return nil
	}, slog.New(slog.DiscardHandler))
	defer watch.Close()
	for _, connection := range []struct {
		request string
		lines   []string
	}{
		{"from 0\n", []string{"a", "b"}},
		{"from 2\n", []string{"c"}},
		{"from 3\n", nil},
		{"from 3\n", nil},
		{"from 3\n", nil},
		{"from 3\n", []string{"d"}},
	} {
		wantText(t, requests, connection.request)
		for _, line := range connection.lines {
			wantText(t, lines, line)
		}
	}
	watch.SetAddress(next)
	wantText(t, nextRequests, "from 4\n")
	wantText(t, lines, "e")
}

// watchedService listens, answers each request with a text and tells when it was asked.
func watchedService(t *testing.T, text string) (addr string, asked chan struct{}) {
	t.Helper()
	listener := listenLoopback(t)
	asked = make(chan struct{}, 1000)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			closeAtEnd(t, conn)
			_, _ = bufio.NewReader(conn).ReadString('\n') // a request that breaks off counts too
			asked <- struct{}{}
			send(conn, text)
		}
	}()
	return listener.Addr().String(), asked
}

// hangingAddress is an address at which dials hang: its queue of connections is full and nobody accepts them.
func hangingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) }) // nothing was written to it
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	sockaddr, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", sockaddr.(*syscall.SockaddrInet4).Port)
	for range 5 {
		conn, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			return addr
		}
		closeAtEnd(t, conn)
	}
	t.Fatal("dials do not hang")
	return ""
}

// startWatch watches an address for the time of the test.
func startWatch(t *testing.T, addr string, onLine func([]byte) error) *DiscoveryWatch {
	t.Helper()
	watch := StartDiscoveryWatch(addr, time.Second, func() []byte { return []byte("from 0\n") }, onLine, slog.New(slog.DiscardHandler))
	t.Cleanup(watch.Close)
	return watch
}

// A move does not wait for the dial to the old address, nor for the pause after one that failed.
func TestMoveEndsTheDialAndThePause(t *testing.T) {
	for _, c := range []struct {
		name   string
		addr   string
		settle time.Duration // until the watch is in that state
	}{
		{"dial", hangingAddress(t), 60 * time.Millisecond},
		{"pause", "127.0.0.1:1", 860 * time.Millisecond}, // by then the pauses are long
	} {
		t.Run(c.name, func(t *testing.T) {
			var watches []*DiscoveryWatch
			for range 8 { // chance lets a pause end by itself
				watches = append(watches, startWatch(t, c.addr, func([]byte) error { return nil }))
			}
			time.Sleep(c.settle)
			next, asked := watchedService(t, "")
			began := time.Now()
			for _, watch := range watches {
				watch.SetAddress(next)
			}
			for range watches {
				select {
				case <-asked:
					if took := time.Since(began); took > 100*time.Millisecond {
						t.Errorf("asked after %v", took)
					}
				case <-time.After(2 * time.Second):
					t.Fatal("the new address was not asked")
				}
			}
		})
	}
}

// What the old address sent, and lies read, must not act after the move.
func TestNothingOldIsTakenAfterAMove(t *testing.T) {
	old, _ := watchedService(t, strings.Repeat("old\n", 1000))
	next, asked := watchedService(t, "new\n")
	step := make(chan struct{})
	watch := startWatch(t, old, func(line []byte) error {
		if string(line) == "old" {
			<-step
		}
		return nil
	})
	release := sync.OnceFunc(func() { close(step) })
	t.Cleanup(release) // before the watch's own: a line that still waits would hold it up
	step <- struct{}{}
	moved := make(chan struct{})
	go func() {
		watch.SetAddress(next)
		close(moved)
	}()
	for moving := true; moving; {
		select {
		case step <- struct{}{}: // the line that is being taken
		case <-moved:
			moving = false
		}
	}
	select {
	case step <- struct{}{}:
		t.Error("a line of the old address was taken after the move")
		release()
	case <-asked:
	case <-time.After(2 * time.Second):
		t.Error("the new address was not asked")
	}
}

// Hundreds of watchers that lose a service together come back spread out, and soon.
func TestBackoff(t *testing.T) {
	for failed, bound := range []time.Duration{100, 200, 400, 800, 800, 800} {
		bound *= time.Millisecond
		early, late := 0, 0
		for range 1000 {
			switch pause := backoff(failed); {
			case pause < 0 || pause >= bound:
				t.Fatalf("%v after %d tries", pause, failed)
			case pause < bound/4:
				early++
			case pause >= bound*3/4:
				late++
			}
		}
		if early < 150 || late < 150 {
			t.Errorf("after %d tries %d of 1000 pauses are in the first quarter of %v and %d in the last", failed, early, bound, late)
		}
	}
}
