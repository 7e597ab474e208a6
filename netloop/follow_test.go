package netloop

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
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
		func(c net.Conn) { fmt.Fprintln(c, "bad"); hold(c) },
		func(c net.Conn) { fmt.Fprintln(c, "d"); hold(c) })
	var n atomic.Int32
	got := make(chan string, 10)
	f := Follow(first, 150*time.Millisecond, func() []byte { return fmt.Appendf(nil, "from %d\n", n.Load()) }, func(line []byte) error {
		if string(line) == "bad" {
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
	for _, c := range [][]string{{"from 0\n", "a", "b"}, {"from 2\n", "c"}, {"from 3\n"}, {"from 3\n", "d"}} {
		want(hello, c[0])
		for _, line := range c[1:] {
			want(got, line)
		}
	}
	f.Move(next)
	want(moved, "from 4\n")
	want(got, "e")
}
