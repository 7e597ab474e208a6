package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/proxy"
	"streamcleat/internal/syscalls"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

const (
	// readSize is the maximum number of bytes read from a connection to a worker in one iteration, so that one connection cannot
	// starve the others.
	readSize = 64 << 10
	// clientReadSize is the same for a connection from a client. Clients are many, and each of their requests takes a decision.
	clientReadSize = 8 << 10

	readEvents  = unix.EPOLLIN
	writeEvents = unix.EPOLLOUT
	// closeEvents are always reported, regardless of the registered interest.
	closeEvents = unix.EPOLLERR | unix.EPOLLHUP
)

// connection is a connection from a client or to a worker. It implements proxy.Conn.
type connection struct {
	server        *Server
	registration  *registration // nil once closed
	remoteAddr    netip.AddrPort
	writeBuffer   []byte    // output that the kernel has not accepted yet
	unreadSince   time.Time // time since which input may have been left unread although the loop ran; zero if none has
	acceptDelayed bool      // the first input may have arrived well before the connection was accepted
	backlog       inputBacklog
	client        *proxy.Client   // nil if the connection is to a worker
	upstreamID    upstream.ConnID // set if the connection is to a worker
}

func (c *connection) isOpen() bool { return c.registration != nil }

// onEvents implements eventHandler.
func (c *connection) onEvents(events uint32) {
	if events&(writeEvents|closeEvents) != 0 && len(c.writeBuffer) > 0 {
		c.flushWriteBuffer()
	}
	if events&(readEvents|closeEvents) != 0 && c.isOpen() {
		c.readInput()
	}
}

// readInput reads up to readSize or clientReadSize bytes and passes them to the proxy.
func (c *connection) readInput() {
	buffer := c.server.readBuffer
	if c.client != nil {
		buffer = buffer[:clientReadSize]
	}
	n, err := c.read(buffer)
	switch {
	case err == nil && n > 0:
		polls := c.server.reactor.completePolls
		c.backlog.beforeRead(polls)
		readAt := time.Now()
		c.onData(buffer[:n])
		c.unreadSince, c.acceptDelayed = time.Time{}, false
		c.backlog.afterRead(polls, readAt, n == len(buffer))
	case err == nil:
		c.onClosed(nil)
	case syscalls.ClassOf(err) == syscalls.WouldBlock:
	case syscalls.ClassOf(err) == syscalls.Exhausted:
		c.pauseReading()
	default:
		c.onClosed(err)
	}
}

// read reads from the socket and retries interrupted calls.
func (c *connection) read(buffer []byte) (int, error) {
	for {
		n, err := c.server.kernel.Read(c.registration.fd, buffer)
		if err == nil || syscalls.ClassOf(err) != syscalls.Interrupted {
			return n, err
		}
	}
}

// pauseReading stops reading for retryDelay after a read failed for lack of kernel memory.
func (c *connection) pauseReading() {
	reactor := c.server.reactor
	if c.unreadSince.IsZero() {
		c.unreadSince = time.Now()
	}
	reactor.poller.setInterest(c.registration, c.registration.interest&^readEvents)
	reactor.timers.after(retryDelay, func() {
		if c.isOpen() {
			reactor.poller.setInterest(c.registration, c.registration.interest|readEvents)
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

// onClosed releases a connection that the peer closed or that failed, and notifies the proxy.
func (c *connection) onClosed(err error) {
	if !c.isOpen() {
		return
	}
	c.release()
	if c.client != nil {
		c.server.proxy.OnClientClosed(c.client)
		return
	}
	if err != nil {
		c.server.log.Debug("worker connection broken", "address", c.remoteAddr.String(), "error", err)
	}
	c.server.proxy.OnUpstreamClosed(c.upstreamID)
}

// release closes the socket and discards unsent output.
func (c *connection) release() {
	c.server.reactor.poller.unregister(c.registration)
	c.registration, c.writeBuffer = nil, nil
}

// Write implements proxy.Conn. Data that the kernel does not accept immediately is buffered. If the connection has failed,
// the proxy is notified of its close before Write returns.
func (c *connection) Write(data []byte) {
	if !c.isOpen() {
		return
	}
	if len(c.writeBuffer) > 0 {
		c.writeBuffer = append(c.writeBuffer, data...)
		return
	}
	rest, err := c.writeNow(data)
	if err != nil {
		c.onWriteError(rest, err)
	}
}

// flushWriteBuffer writes the buffered output.
func (c *connection) flushWriteBuffer() {
	rest, err := c.writeNow(c.writeBuffer)
	if err != nil {
		c.onWriteError(rest, err)
		return
	}
	c.writeBuffer = nil
	c.server.reactor.poller.setInterest(c.registration, c.registration.interest&^writeEvents)
}

// writeNow writes until all data is written or a call fails, and returns the unwritten data.
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

// onWriteError buffers the unwritten data after a transient error and closes the connection after any other error.
func (c *connection) onWriteError(rest []byte, err error) {
	class := syscalls.ClassOf(err)
	if class != syscalls.WouldBlock && class != syscalls.Exhausted {
		c.onClosed(err)
		return
	}
	if len(c.writeBuffer) == 0 {
		c.writeBuffer = append([]byte(nil), rest...) // the caller may reuse its slice
	} else {
		c.writeBuffer = rest
	}
	reactor := c.server.reactor
	if class == syscalls.WouldBlock {
		reactor.poller.setInterest(c.registration, c.registration.interest|writeEvents)
		return
	}
	c.server.counters.writeRetries.Add(1)
	reactor.poller.setInterest(c.registration, c.registration.interest&^writeEvents) // prevents a busy loop
	reactor.timers.after(retryDelay, func() {
		if c.isOpen() && len(c.writeBuffer) > 0 {
			c.flushWriteBuffer()
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
		_ = c.server.kernel.ShutdownWrite(c.registration.fd) // fails only after the peer closed, which epoll reports
	}
}

// Unsent implements proxy.Conn.
func (c *connection) Unsent() int { return len(c.writeBuffer) }

// InputAge implements proxy.Conn.
func (c *connection) InputAge() units.Seconds {
	estimate := &c.server.reactor.inputAge
	reportedAge := time.Duration(0)
	if (estimate.waitedLong || c.acceptDelayed) && c.isOpen() {
		if ago, err := c.server.kernel.LastReceived(c.registration.fd); err == nil && ago >= negligibleAge {
			reportedAge = ago
		}
	}
	// The clock is read after the system call, since the process may be suspended as the call returns.
	age := max(reportedAge, estimate.age())
	for _, since := range [...]time.Time{c.unreadSince, c.backlog.since} {
		if !since.IsZero() {
			age = max(age, time.Since(since))
		}
	}
	return units.Seconds(age.Seconds())
}

// RemoteAddr implements proxy.Conn.
func (c *connection) RemoteAddr() string { return c.remoteAddr.String() }

// ReadAhead implements proxy.Conn. It reads input from the socket that the event loop has not read yet. The returned slice
// is valid until the next ReadAhead on any connection.
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
