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
	"testing"
	"time"

	"streamcleat/internal/units"
)

// watchFuncs implements WatchHandler with functions. Every line counts as useful.
type watchFuncs struct {
	request func() []byte
	onLine  func([]byte) error
}

func (f watchFuncs) ResumeRequest() []byte { return f.request() }

func (f watchFuncs) OnLine(line []byte, _ units.Seconds) (bool, error) { return true, f.onLine(line) }

func (f watchFuncs) OnUnavailable(error) {}

// closeAtEnd closes c when the test ends.
func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() }) // the test may have closed it
}

// listenLoopback listens on a free port until the test ends.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	return listener
}

// serveConnections starts a service that handles each connection with the next handler. It returns the service's address and
// a channel with the first line that each connection received.
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
			line, _ := bufio.NewReader(conn).ReadString('\n') // a truncated line is compared as is
			requests <- line
			handle(conn)
		}
	}()
	return listener.Addr().String(), requests
}

// send writes to a connection that the peer may have closed.
func send(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text) // the test checks what the peer receives
}

// wantText receives a string from a channel and compares it.
func wantText(t *testing.T, from <-chan string, want string) {
	t.Helper()
	select {
	case got := <-from:
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	case <-time.After(3 * time.Second):
		t.Fatalf("timeout waiting for %q", want)
	}
}

// The watch reconnects when the service closes the connection, stops sending or sends a malformed line, and requests the
// events after the last one processed. SetAddress switches to the new address. A truncated line is not processed: a
// truncated heartbeat is a number too, possibly an earlier position, and would confirm an outdated endpoint list as complete.
func TestDiscoveryWatch_ReconnectsFromLastPosition(t *testing.T) {
	keepOpen := func(conn net.Conn) { closeAtEnd(t, conn) }
	sendAndKeep := func(text string) func(net.Conn) {
		return func(conn net.Conn) {
			send(conn, text)
			keepOpen(conn)
		}
	}
	next, nextRequests := serveConnections(t, sendAndKeep("f\n"))
	first, requests := serveConnections(t,
		func(conn net.Conn) { // closes in the middle of a line
			send(conn, "a\nb")
			_ = conn.Close() // nothing is left to send
		},
		func(conn net.Conn) { // closes in the middle of a line that is well-formed so far
			send(conn, "b")
			_ = conn.Close() // nothing is left to send
		},
		sendAndKeep("c\nd"),   // stops sending in the middle of a line, after a complete one
		keepOpen,              // sends nothing at all
		sendAndKeep("bad ha"), // stops sending in the middle of a malformed line
		sendAndKeep("bad\n"),
		sendAndKeep("e\n"))
	var processed atomic.Int32
	lines := make(chan string, 10)
	watch := StartDiscoveryWatch(first, 150*time.Millisecond, watchFuncs{func() []byte { return fmt.Appendf(nil, "from %d\n", processed.Load()) }, func(line []byte) error {
		if strings.HasPrefix(string(line), "bad") {
			return errors.New("bad line")
		}
		processed.Add(1)
		lines <- string(line)
		return nil
	}}, slog.New(slog.DiscardHandler))
	defer watch.Close()
	for _, connection := range []struct {
		request string
		lines   []string
	}{
		{"from 0\n", []string{"a"}},
		{"from 1\n", nil},
		{"from 1\n", []string{"c"}},
		{"from 2\n", nil},
		{"from 2\n", nil},
		{"from 2\n", nil},
		{"from 2\n", []string{"e"}},
	} {
		wantText(t, requests, connection.request)
		for _, line := range connection.lines {
			wantText(t, lines, line)
		}
	}
	watch.SetAddress(next)
	wantText(t, nextRequests, "from 3\n")
	wantText(t, lines, "f")
}

// serveText starts a service that responds to each request with text. requested receives a value for each request.
func serveText(t *testing.T, text string) (addr string, requested chan struct{}) {
	t.Helper()
	listener := listenLoopback(t)
	requested = make(chan struct{}, 1000)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			closeAtEnd(t, conn)
			_, _ = bufio.NewReader(conn).ReadString('\n') // a truncated request counts too
			requested <- struct{}{}
			send(conn, text)
		}
	}()
	return listener.Addr().String(), requested
}

// startWatch watches an address until the test ends.
func startWatch(t *testing.T, addr string, onLine func([]byte) error) *DiscoveryWatch {
	t.Helper()
	watch := StartDiscoveryWatch(addr, time.Second, watchFuncs{func() []byte { return []byte("from 0\n") }, onLine}, slog.New(slog.DiscardHandler))
	t.Cleanup(watch.Close)
	return watch
}

func TestDiscoveryWatchSetAddress_InterruptsDialAndBackoff(t *testing.T) {
	for _, c := range []struct {
		name   string
		addr   string
		settle time.Duration // time until the watch is in this state
	}{
		{"dial", listenWithFullBacklog(t), 60 * time.Millisecond},
		{"backoff", "127.0.0.1:1", 860 * time.Millisecond}, // after several failures, so that the backoff is long
	} {
		t.Run(c.name, func(t *testing.T) {
			var watches []*DiscoveryWatch
			for range 8 { // the random backoff of a single watch may be short
				watches = append(watches, startWatch(t, c.addr, func([]byte) error { return nil }))
			}
			time.Sleep(c.settle)
			next, requested := serveText(t, "")
			start := time.Now()
			for _, watch := range watches {
				watch.SetAddress(next)
			}
			for range watches {
				select {
				case <-requested:
					if took := time.Since(start); took > 100*time.Millisecond {
						t.Errorf("new address requested after %v", took)
					}
				case <-time.After(2 * time.Second):
					t.Fatal("new address not requested")
				}
			}
		})
	}
}

// Lines of the old address that were received before SetAddress but not processed yet must not be processed after it.
func TestDiscoveryWatchSetAddress_DropsBufferedLines(t *testing.T) {
	old, _ := serveText(t, strings.Repeat("old\n", 1000))
	next, requested := serveText(t, "new\n")
	step := make(chan struct{})
	watch := startWatch(t, old, func(line []byte) error {
		if string(line) == "old" {
			<-step
		}
		return nil
	})
	release := sync.OnceFunc(func() { close(step) })
	t.Cleanup(release) // runs before the cleanup of the watch, which would hang while a line is blocked
	step <- struct{}{}
	addressSet := make(chan struct{})
	go func() {
		watch.SetAddress(next)
		close(addressSet)
	}()
	for waiting := true; waiting; {
		select {
		case step <- struct{}{}: // unblocks the line that is being processed
		case <-addressSet:
			waiting = false
		}
	}
	select {
	case step <- struct{}{}:
		t.Error("line of the old address processed after SetAddress")
		release()
	case <-requested:
	case <-time.After(2 * time.Second):
		t.Error("new address not requested")
	}
}

func TestBackoff_SpreadsOverDoublingBound(t *testing.T) {
	for failures, bound := range []time.Duration{100, 200, 400, 800, 800, 800} {
		bound *= time.Millisecond
		early, late := 0, 0
		for range 1000 {
			switch delay := backoff(failures); {
			case delay < 0 || delay >= bound:
				t.Fatalf("backoff of %v after %d failures, want [0, %v)", delay, failures, bound)
			case delay < bound/4:
				early++
			case delay >= bound*3/4:
				late++
			}
		}
		if early < 150 || late < 150 {
			t.Errorf("after %d failures: %d of 1000 backoffs in the first quarter of %v, %d in the last, want 150 each", failures, early, bound, late)
		}
	}
}
