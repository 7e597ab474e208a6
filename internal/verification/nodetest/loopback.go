package nodetest

import (
	"io"
	"net"
	"testing"
	"time"
)

// exitTimeout limits the time that a front end may take to shut down.
const exitTimeout = 4 * time.Second

// Listen listens on a free loopback port until the test ends.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, listener)
	return listener
}

// CloseAtEnd closes c when the test ends.
func CloseAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() }) // the test may have closed it already
}

// Close closes a connection and reports an error to the test.
func Close(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

// Reset closes a TCP connection with a reset.
func Reset(t *testing.T, conn net.Conn) {
	t.Helper()
	if tcp, ok := conn.(*net.TCPConn); !ok {
		t.Errorf("%T is not a TCP connection", conn)
	} else if err := tcp.SetLinger(0); err != nil {
		t.Error(err)
	}
	Close(t, conn)
}

// WaitForExit waits for the end of a front end that was told to stop. It fails the test if the front end ends with an error
// or does not end within exitTimeout.
func WaitForExit(t *testing.T, done <-chan error) {
	t.Helper()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(exitTimeout):
		t.Error("front end did not exit in time")
	}
}
