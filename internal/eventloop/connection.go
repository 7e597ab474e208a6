package eventloop

import (
	"errors"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"streamcleat/internal/proxy"
	"streamcleat/internal/upstream"
)

// readAheadSize is how many bytes are read at a time ahead of the event loop.
const readAheadSize = 16 << 10

// connection is one connection, of a client or to a worker. It implements proxy.Conn.
type connection struct {
	conn       gnet.Conn
	loop       gnet.EventLoop
	client     *proxy.Client   // nil: it is to a worker
	upstreamID upstream.ConnID // of a connection to a worker
}

// Write implements proxy.Conn.
func (c *connection) Write(data []byte) {
	_, _ = c.conn.Write(data) // gnet closes a connection that breaks, and OnClose reports it
}

// Close implements proxy.Conn.
func (c *connection) Close() {
	c.conn.SetContext(nil)
	_ = c.loop.Close(c.conn) // the connection is gone in any case
}

// CloseWrite implements proxy.Conn.
func (c *connection) CloseWrite() {
	_ = unix.Shutdown(c.conn.Fd(), unix.SHUT_WR) // fails where the other side has closed, which OnClose reports
}

// Unsent implements proxy.Conn.
func (c *connection) Unsent() int { return c.conn.OutboundBuffered() }

// Name implements proxy.Conn.
func (c *connection) Name() string { return c.conn.RemoteAddr().String() }

// ReadAhead implements proxy.Conn: it reads from the socket what the event loop has not come to yet. OnTraffic takes
// all there is each time, so that nothing lies between the two.
func (c *connection) ReadAhead() (data []byte, open bool) {
	buffer := make([]byte, readAheadSize)
	n, err := unix.Read(c.conn.Fd(), buffer)
	switch {
	case n > 0:
		return buffer[:n], true
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		return nil, true
	}
	return nil, false
}
