package eventloop

import (
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/proxy"
	"streamcleat/internal/upstream"
)

// listenWithFullQueue listens on loopback and fills the queue of connections that are not accepted: further ones never
// come up.
func listenWithFullQueue(t *testing.T) (addr string) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, os.NewFile(uintptr(fd), "listener"))
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = socketPeer(bound).String()
	for range 8 {
		conn, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			return addr
		}
		closeAtEnd(t, conn)
	}
	t.Fatal("the queue takes any number")
	return ""
}

// A connection that never comes up holds its descriptor no longer than a dial may take.
func TestDialThatNeverComesUpEnds(t *testing.T) {
	settings := startSettings("127.0.0.1:0")
	settings.Upstream.DialTimeout = 0.3
	server, err := Start(settings)
	if err != nil {
		t.Fatal(err)
	}
	addr := listenWithFullQueue(t)
	const firstID, dials = upstream.ConnID(1000), 5
	watched := func() (dials, sockets int) {
		if err := server.Do(func(*proxy.Proxy) { dials, sockets = len(server.dials), len(server.reactor.registrations) }); err != nil {
			t.Fatal(err)
		}
		return dials, sockets
	}
	_, before := watched()
	err = server.Do(func(*proxy.Proxy) {
		for i := range upstream.ConnID(dials) {
			server.startDial(firstID+i, addr)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if underWay, sockets := watched(); underWay != dials || sockets != before+dials {
		t.Errorf("%d dials are under way on %d sockets", underWay, sockets-before)
	}
	time.Sleep(600 * time.Millisecond)
	if underWay, sockets := watched(); underWay != 0 || sockets != before {
		t.Errorf("%d dials on %d sockets are left", underWay, sockets-before)
	}
	if err := server.Stop(0); err != nil {
		t.Error(err)
	}
}
