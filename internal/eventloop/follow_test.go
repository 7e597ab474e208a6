package eventloop

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A service that breaks off, falls silent or tells what can't be read is asked again from where it got to; one that
// moved is asked at its new address.
func TestFollowAsksAgain(t *testing.T) {
	serve := func(plays ...func(net.Conn)) (addr string, hello chan string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		hello = make(chan string, 10)
		go func() {
			for _, play := range plays {
				c, err := l.Accept()
				if err != nil {
					return
				}
				line, _ := bufio.NewReader(c).ReadString('\n')
				hello <- line
				play(c)
			}
		}()
		return l.Addr().String(), hello
	}
	hold := func(c net.Conn) { t.Cleanup(func() { c.Close() }) }
	next, moved := serve(func(c net.Conn) { fmt.Fprintln(c, "e"); hold(c) })
	first, hello := serve(
		func(c net.Conn) { fmt.Fprint(c, "a\nb"); c.Close() }, // breaks off; what is cut off is for line to judge
		func(c net.Conn) { fmt.Fprintln(c, "c"); hold(c) },    // falls silent
		func(c net.Conn) { hold(c) },                          // says nothing at all
		func(c net.Conn) { fmt.Fprint(c, "bad ha"); hold(c) }, // falls silent in the middle of a line
		func(c net.Conn) { fmt.Fprintln(c, "bad"); hold(c) },
		func(c net.Conn) { fmt.Fprintln(c, "d"); hold(c) })
	var n atomic.Int32
	got := make(chan string, 10)
	f := Watch(first, 150*time.Millisecond, func() []byte { return fmt.Appendf(nil, "from %d\n", n.Load()) }, func(line []byte) error {
		if strings.HasPrefix(string(line), "bad") {
			return errors.New("bad line")
		}
		n.Add(1)
		got <- string(line)
		return nil
	}, slog.New(slog.DiscardHandler))
	defer f.Close()
	want := func(from chan string, text string) {
		t.Helper()
		select {
		case s := <-from:
			if s != text {
				t.Errorf("%q, want %q", s, text)
			}
		case <-time.After(3 * time.Second):
			t.Fatalf("%q did not come", text)
		}
	}
	for _, c := range [][]string{{"from 0\n", "a", "b"}, {"from 2\n", "c"}, {"from 3\n"}, {"from 3\n"}, {"from 3\n"}, {"from 3\n", "d"}} {
		want(hello, c[0])
		for _, line := range c[1:] {
			want(got, line)
		}
	}
	f.Move(next)
	want(moved, "from 4\n")
	want(got, "e")
}

// watched listens and tells when it was asked for news.
func watched(t *testing.T, tells string) (addr string, asked chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	asked = make(chan struct{}, 1000)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			bufio.NewReader(c).ReadString('\n')
			asked <- struct{}{}
			fmt.Fprint(c, tells)
		}
	}()
	return l.Addr().String(), asked
}

// deaf is an address at which dials hang: its queue of connections is full and nobody takes them.
func deaf(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	for range 5 {
		if c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond); err == nil {
			t.Cleanup(func() { c.Close() })
		} else {
			return addr
		}
	}
	t.Fatal("dials do not hang")
	return ""
}

func follower(t *testing.T, addr string, line func([]byte) error) *DiscoveryWatch {
	f := Watch(addr, time.Second, func() []byte { return []byte("from 0\n") }, line, slog.New(slog.DiscardHandler))
	t.Cleanup(f.Close)
	return f
}

// A move does not wait for the dial to the old address, nor for the pause after one that failed.
func TestMoveEndsTheDialAndThePause(t *testing.T) {
	hangs := deaf(t)
	for name, old := range map[string]string{"dial": hangs, "pause": "127.0.0.1:1"} {
		var list []*DiscoveryWatch
		for range 8 { // chance lets a pause end by itself
			list = append(list, follower(t, old, func([]byte) error { return nil }))
		}
		if time.Sleep(60 * time.Millisecond); name == "pause" {
			time.Sleep(800 * time.Millisecond) // by then the pauses are long
		}
		next, asked := watched(t, "")
		began := time.Now()
		for _, f := range list {
			f.Move(next)
		}
		for range list {
			select {
			case <-asked:
				if took := time.Since(began); took > 100*time.Millisecond {
					t.Errorf("%s: asked after %v", name, took)
				}
			case <-time.After(2 * time.Second):
				t.Fatalf("%s: the new address was not asked", name)
			}
		}
	}
}

// What the old address told, and lies read, must not act after the move.
func TestNothingOldIsTakenAfterAMove(t *testing.T) {
	old, _ := watched(t, strings.Repeat("old\n", 1000))
	next, asked := watched(t, "new\n")
	step := make(chan struct{})
	var lines atomic.Int32
	f := follower(t, old, func(line []byte) error {
		if string(line) == "old" {
			<-step
			lines.Add(1)
		}
		return nil
	})
	step <- struct{}{}
	moved := make(chan struct{})
	go func() { f.Move(next); close(moved) }()
	for in := true; in; {
		select {
		case step <- struct{}{}: // the line that is being taken
		case <-moved:
			in = false
		}
	}
	select {
	case step <- struct{}{}:
		t.Error("a line of the old address was taken after the move")
		close(step)
	case <-asked:
	case <-time.After(2 * time.Second):
		t.Error("the new address was not asked")
	}
}

// Hundreds of watchers that lose a service together come back spread out, and soon.
func TestBackoff(t *testing.T) {
	for failed, most := range []time.Duration{100, 200, 400, 800, 800, 800} {
		most *= time.Millisecond
		early, late := 0, 0
		for range 1000 {
			switch d := backoff(failed); {
			case d < 0 || d >= most:
				t.Fatalf("%v after %d tries", d, failed)
			case d < most/4:
				early++
			case d >= most*3/4:
				late++
			}
		}
		if early < 150 || late < 150 {
			t.Errorf("after %d tries %d of 1000 pauses are in the first quarter of %v and %d in the last", failed, early, most, late)
		}
	}
}
