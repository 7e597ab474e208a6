package eventloop

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/downstream/cloudevents"
	"streamcleat/internal/http1"
	"streamcleat/internal/proxy"
	"streamcleat/internal/syscalls"
)

// freeAddress returns a loopback address that is not in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// startSettings returns the settings of a front end without workers.
func startSettings(addr string) Settings {
	return Settings{
		Listen: addr,
		Settings: proxy.Settings{
			Name:       "f",
			MaxClients: 4000,
			Downstream: cloudevents.Limits{Message: http1.Limits{Head: 1000}, RequestTimeout: 5, IdleTimeout: 5},
			Dispatch:   dispatch.Settings{Deployment: &control.Deployment{FrontEnds: 1}},
		},
	}
}

// Every connection that is established while the front end starts is served, from the first on, and only after OnStart: the
// listener is not closed and reopened, and does not accept before the front end is ready.
func TestStart_ServesEveryEstablishedConnection(t *testing.T) {
	addr := freeAddress(t)
	var started atomic.Bool
	served, stop := make(chan int, 1), make(chan struct{})
	go func() {
		n := 0
		defer func() { served <- n }()
		for {
			select {
			case <-stop:
				return
			default:
			}
			conn, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				if !errors.Is(err, syscall.ECONNREFUSED) || n > 0 {
					t.Error(err)
				}
				continue
			}
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n") // the read reports a failure
			got, err := io.ReadAll(conn)
			if !strings.HasPrefix(string(got), "HTTP/1.1 405") || err != nil || !started.Load() {
				t.Errorf("connection %d got %q, %v; OnStart called: %v", n, got, err, started.Load())
			}
			if err := conn.Close(); err != nil {
				t.Error(err)
			}
			n++
		}
	}()
	time.Sleep(20 * time.Millisecond)
	settings := startSettings(addr)
	settings.OnStart = func(*proxy.Proxy) { started.Store(true) }
	server, err := Start(settings)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	close(stop)
	if n := <-served; n == 0 {
		t.Error("no connection established")
	}
	if err := server.Stop(0); err != nil {
		t.Error(err)
	}
}

// A front end that is stopped immediately after its start ends, with all its goroutines, and runs no further tasks.
func TestStop_ImmediatelyAfterStart(t *testing.T) {
	server, err := Start(startSettings("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(0) }()
	select {
	case err := <-stopped:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("Stop did not return within 3 s")
	}
	if err := server.Do(func(*proxy.Proxy) {}); !errors.Is(err, ErrLoopEnded) {
		t.Errorf("Do after Stop: %v, want ErrLoopEnded", err)
	}
}

// No connection may be established before listen is called, since it would be reset.
func TestOpenListener_RefusesConnectionsBeforeListen(t *testing.T) {
	kernel := syscalls.Linux{}
	l, addr, err := openListener(kernel, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for range 200 {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			closeAtEnd(t, conn)
			t.Fatal("connection established before listen")
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatal(err)
		}
	}
	if err := kernel.Close(l.fd); err != nil {
		t.Error(err)
	}
}

func TestStart_WaitsForAddressInUse(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(200*time.Millisecond, func() {
		if err := busy.Close(); err != nil {
			t.Error(err)
		}
	})
	server, err := Start(startSettings(busy.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Stop(0); err != nil {
		t.Error(err)
	}
}
