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

// listenWithFullBacklog listens on loopback and fills the accept queue, so that further dials do not complete.
func listenWithFullBacklog(t *testing.T) (addr string) {
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
	addr = addrPortOf(bound).String()
	for range 8 {
		conn, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			return addr
		}
		closeAtEnd(t, conn)
	}
	t.Fatal("accept queue did not fill up")
	return ""
}

func TestDial_TimeoutReleasesSocket(t *testing.T) {
	settings := startSettings("127.0.0.1:0")
	settings.Upstream.DialTimeout = 0.3
	server, err := Start(settings)
	if err != nil {
		t.Fatal(err)
	}
	addr := listenWithFullBacklog(t)
	const firstID, dialCount = upstream.ConnID(1000), 5
	openDials := func() (dials, sockets int) {
		if err := server.Do(func(*proxy.Proxy) { dials, sockets = len(server.dials), len(server.reactor.poller.registrations) }); err != nil {
			t.Fatal(err)
		}
		return dials, sockets
	}
	_, socketsBefore := openDials()
	err = server.Do(func(*proxy.Proxy) {
		for i := range upstream.ConnID(dialCount) {
			server.startDial(firstID+i, addr)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if dials, sockets := openDials(); dials != dialCount || sockets != socketsBefore+dialCount {
		t.Errorf("%d dials in progress on %d sockets, want %d each", dials, sockets-socketsBefore, dialCount)
	}
	time.Sleep(600 * time.Millisecond)
	if dials, sockets := openDials(); dials != 0 || sockets != socketsBefore {
		t.Errorf("%d dials on %d sockets after the timeout, want none", dials, sockets-socketsBefore)
	}
	if err := server.Stop(0); err != nil {
		t.Error(err)
	}
}
