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

// A client whose connection is the very first is served as any other, and what must be known to serve it is.
func TestFirstConnectionIsServed(t *testing.T) {
	addr, err := free("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	first, hold, started := make(chan struct{}), make(chan struct{}), make(chan *Server)
	go func() {
		s, err := Start(Settings{Listen: addr, Settings: proxy.Settings{Name: "f", MaxClients: 4,
			Downstream: fronthttp.Limits{Message: http1.Limits{Head: 1000}}, Dispatch: dispatch.Settings{Deployment: &control.Deployment{FrontEnds: 1}}}, knockAfter: hold,
			OnStart: func(*proxy.Proxy) { close(first) }})
		if err != nil {
			t.Error(err)
		}
		started <- s
	}()
	var c net.Conn
	for range 200 {
		if c, err = net.Dial("tcp", addr); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	c.Write([]byte("GET / HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n"))
	got, err := io.ReadAll(c)
	if !strings.HasPrefix(string(got), "HTTP/1.1 405") || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	select {
	case <-first:
	default:
		t.Error("served before what comes first")
	}
	close(hold)
	if s := <-started; s != nil {
		s.Stop(0)
	}
}

// While an address is tried nobody can connect to it: a connection made then would be cut off.
func TestTryingAnAddressAcceptsNobody(t *testing.T) {
	addr, err := free("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if _, err := free(addr); err != nil {
				t.Error(err)
				return
			}
		}
	}()
	for range 2000 {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			c.Close()
			t.Error("a connection came up")
			break
		} else if !errors.Is(err, syscall.ECONNREFUSED) {
			t.Error(err)
			break
		}
	}
	close(stop)
	<-ended
}
