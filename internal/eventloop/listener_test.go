package eventloop

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
	fronthttp "streamcleat/internal/ingress/http"
	"streamcleat/internal/proxy"
)

// dialUntilUp connects to an address at which somebody will listen soon.
func dialUntilUp(t *testing.T, addr string) net.Conn {
	t.Helper()
	var err error
	for range 200 {
		var conn net.Conn
		if conn, err = net.Dial("tcp", addr); err == nil {
			closeAtEnd(t, conn)
			return conn
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal(err)
	return nil
}

// A client whose connection is the very first is served as any other, and what must be known to serve it is.
func TestFirstConnectionIsServed(t *testing.T) {
	addr, err := probeAddress("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	onStart, hold, servers := make(chan struct{}), make(chan struct{}), make(chan *Server)
	go func() {
		server, err := Start(Settings{
			Listen: addr,
			Settings: proxy.Settings{
				Name:       "f",
				MaxClients: 4,
				Downstream: fronthttp.Limits{Message: http1.Limits{Head: 1000}},
				Dispatch:   dispatch.Settings{Deployment: &control.Deployment{FrontEnds: 1}},
			},
			holdOwnConnection: hold,
			OnStart:           func(*proxy.Proxy) { close(onStart) },
		})
		if err != nil {
			t.Error(err)
		}
		servers <- server
	}()
	conn := dialUntilUp(t, addr)
	if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	send(conn, "GET / HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n")
	got, err := io.ReadAll(conn)
	if !strings.HasPrefix(string(got), "HTTP/1.1 405") || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	select {
	case <-onStart:
	default:
		t.Error("served before what comes first")
	}
	close(hold)
	if server := <-servers; server != nil {
		if err := server.Stop(0); err != nil {
			t.Error(err)
		}
	}
}

// A front end that is stopped before its own first connection was let go ends all the same, and its goroutines with it.
func TestStopWithoutItsOwnConnection(t *testing.T) {
	addr, err := probeAddress("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	servers := make(chan *Server, 1)
	go func() {
		server, err := Start(Settings{
			Listen:            addr,
			Settings:          proxy.Settings{MaxClients: 4, Dispatch: dispatch.Settings{Deployment: &control.Deployment{FrontEnds: 1}}},
			holdOwnConnection: make(chan struct{}),
		})
		if err != nil {
			t.Error(err)
		}
		servers <- server
	}()
	dialUntilUp(t, addr)
	server := <-servers
	if server == nil {
		return
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(0) }()
	select {
	case err := <-stopped:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("it does not end")
	}
	if err := server.Do(func(*proxy.Proxy) {}); err == nil {
		t.Error("a function ran on a loop that has ended")
	}
}

// While an address is probed nobody can connect to it: a connection made then would be cut off.
func TestTryingAnAddressAcceptsNobody(t *testing.T) {
	addr, err := probeAddress("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if _, err := probeAddress(addr); err != nil {
				t.Error(err)
				return
			}
		}
	}()
	for range 2000 {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			closeAtEnd(t, conn)
			t.Error("a connection came up")
			break
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			t.Error(err)
			break
		}
	}
	close(stop)
	<-stopped
}
