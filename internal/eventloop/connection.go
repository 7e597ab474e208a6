package eventloop

import (
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/proxy"
	"streamcleat/internal/syscalls"
	"streamcleat/internal/upstream"
)

const (
	// readSize is how many bytes are read from a connection in a turn: others wait for no more than that.
	readSize = 64 << 10
	// readEvents and writeEvents are what epoll is asked for; errors and hang-ups are reported in any case.
	readEvents  = unix.EPOLLIN
	writeEvents = unix.EPOLLOUT
	endEvents   = unix.EPOLLERR | unix.EPOLLHUP
)

// connection is one connection, of a client or to a worker. It implements proxy.Conn.
type connection struct {
	server       *Server
	registration *registration // nil once it is closed
	peer         netip.AddrPort
	output       []byte          // written and not taken by the kernel yet
	unreadSince  time.Time       // since when input may have waited though the loop ran; zero: it has not
	waited       bool            // its first bytes may have waited with it to be accepted
	client       *proxy.Client   // nil: it is to a worker
	upstreamID   upstream.ConnID // of a connection to a worker
}

func (c *connection) isOpen() bool { return c.registration != nil }

// onEvents implements eventHandler.
func (c *connection) onEvents(events uint32) {
	if events&(writeEvents|endEvents) != 0 && len(c.output) > 0 {
		c.flushOutput()
	}
	if events&(readEvents|endEvents) != 0 && c.isOpen() {
		c.readInput()
	}
}

// readInput reads what came, up to readSize, and hands it on.
func (c *connection) readInput() {
	buffer := c.server.readBuffer
	n, err := c.read(buffer)
	switch {
	case err == nil && n > 0:
		c.onData(buffer[:n])
		c.unreadSince, c.waited = time.Time{}, false
	case err == nil:
		c.onEnd(nil)
	case syscalls.ClassOf(err) == syscalls.WouldBlock:
	case syscalls.ClassOf(err) == syscalls.Exhausted:
		c.pauseReading()
	default:
		c.onEnd(err)
	}
}

// read reads from the socket; an interrupted call is made again.
func (c *connection) read(buffer []byte) (int, error) {
	for {
		n, err := c.server.kernel.Read(c.registration.fd, buffer)
		if err == nil || syscalls.ClassOf(err) != syscalls.Interrupted {
			return n, err
		}
	}
}

// pauseReading waits a little before it reads again: the kernel lacks memory for it at the moment.
func (c *connection) pauseReading() {
	reactor := c.server.reactor
	if c.unreadSince.IsZero() {
		c.unreadSince = time.Now()
	}
	reactor.watch(c.registration, c.registration.interest&^readEvents)
	reactor.after(retryPause, func() {
		if c.isOpen() {
			reactor.watch(c.registration, c.registration.interest|readEvents)
		}
	})
}

func (c *connection) onData(data []byte) {
	if c.client != nil {
		c.server.proxy.OnClientData(c.client, data)
	} else {
		c.server.proxy.OnUpstreamData(c.upstreamID, data)
	}
}

// onEnd closes a connection that the other side ended, or that broke, and reports it.
func (c *connection) onEnd(err error) {
	if !c.isOpen() {
		return
	}
	c.release()
	if c.client != nil {
		c.server.proxy.OnClientClosed(c.client)
		return
	}
	if err != nil {
		c.server.log.Debug("connection to a worker broke", "address", c.peer.String(), "error", err)
	}
	c.server.proxy.OnUpstreamClosed(c.upstreamID)
}

// release closes the socket. What was not sent is dropped.
func (c *connection) release() {
	c.server.reactor.unregister(c.registration)
	c.registration, c.output = nil, nil
}

// Write implements proxy.Conn. What the kernel does not take at once leaves later; where the connection has broken its
// end is reported before Write returns.
func (c *connection) Write(data []byte) {
	if !c.isOpen() {
		return
	}
	if len(c.output) > 0 {
		c.output = append(c.output, data...)
		return
	}
	rest, err := c.writeNow(data)
	if err != nil {
		c.onWriteError(rest, err)
	}
}

// flushOutput writes what could not be written before.
func (c *connection) flushOutput() {
	rest, err := c.writeNow(c.output)
	if err != nil {
		c.onWriteError(rest, err)
		return
	}
	c.output = nil
	c.server.reactor.watch(c.registration, c.registration.interest&^writeEvents)
}

// writeNow writes until all is written or a call fails, and returns what is left.
func (c *connection) writeNow(data []byte) (rest []byte, err error) {
	for len(data) > 0 {
		n, err := c.server.kernel.Write(c.registration.fd, data)
		if err != nil && syscalls.ClassOf(err) == syscalls.Interrupted {
			continue
		}
		if err != nil {
			return data, err
		}
		data = data[n:]
	}
	return nil, nil
}

// onWriteError keeps what is left for later, or ends the connection where it broke.
func (c *connection) onWriteError(rest []byte, err error) {
	class := syscalls.ClassOf(err)
	if class != syscalls.WouldBlock && class != syscalls.Exhausted {
		c.onEnd(err)
		return
	}
	if len(c.output) == 0 {
		c.output = append([]byte(nil), rest...) // the caller may use its bytes again
	} else {
		c.output = rest
	}
	reactor := c.server.reactor
	if class == syscalls.WouldBlock {
		reactor.watch(c.registration, c.registration.interest|writeEvents)
		return
	}
	c.server.counters.writeRetries.Add(1)
	reactor.watch(c.registration, c.registration.interest&^writeEvents) // it would be reported at once
	reactor.after(retryPause, func() {
		if c.isOpen() && len(c.output) > 0 {
			c.flushOutput()
		}
	})
}

// Close implements proxy.Conn.
func (c *connection) Close() {
	if c.isOpen() {
		c.release()
	}
}

// CloseWrite implements proxy.Conn.
func (c *connection) CloseWrite() {
	if c.isOpen() {
		_ = c.server.kernel.ShutdownWrite(c.registration.fd) // fails where the other side has closed, which is reported
	}
}

// Unsent implements proxy.Conn.
func (c *connection) Unsent() int { return len(c.output) }

// InputAge implements proxy.Conn.
func (c *connection) InputAge() float64 {
	age := c.server.reactor.inputAge()
	if !c.unreadSince.IsZero() {
		age = max(age, time.Since(c.unreadSince))
	}
	if (c.server.reactor.blockedLong || c.waited) && c.isOpen() {
		if ago, err := c.server.kernel.LastReceived(c.registration.fd); err == nil && ago >= negligibleAge {
			age = max(age, ago)
		}
	}
	return age.Seconds()
}

// Name implements proxy.Conn.
func (c *connection) Name() string { return c.peer.String() }

// ReadAhead implements proxy.Conn: it reads from the socket what the event loop has not come to yet. What it returns is
// valid until the next call, for any connection.
func (c *connection) ReadAhead() (data []byte, open bool) {
	if !c.isOpen() {
		return nil, false
	}
	n, err := c.read(c.server.readAheadBuffer)
	if err != nil {
		class := syscalls.ClassOf(err)
		return nil, class == syscalls.WouldBlock || class == syscalls.Exhausted
	}
	return c.server.readAheadBuffer[:n], n > 0
}

// socketPeer is the other side of a socket as accept tells it.
func socketPeer(address unix.Sockaddr) netip.AddrPort {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// errNotAnAddress is the error of an address that has no IP.
var errNotAnAddress = errors.New("not an IP address and port")

// socketAddress is an address as the kernel takes it.
func socketAddress(addr netip.AddrPort) (family int, sockaddr unix.Sockaddr, err error) {
	ip := addr.Addr().Unmap()
	switch {
	case ip.Is4():
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: ip.As4()}, nil
	case ip.Is6():
		return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: ip.As16()}, nil
	}
	return 0, nil, errNotAnAddress
}
