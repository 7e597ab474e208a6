package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"streamcleat/internal/syscalls"
	"streamcleat/internal/upstream"
)

// errDialTimeout is reported if a connection is not established within the dial timeout.
var errDialTimeout = errors.New("dial timeout")

// dial is an attempt to connect to a worker. Its result is reported to the proxy once, on the event loop.
type dial struct {
	server       *Server
	id           upstream.ConnID
	addr         netip.AddrPort
	deadline     time.Time
	cancelLookup context.CancelFunc // nil unless the address is a host name
	registration *registration      // nil while there is no socket
	ended        bool
}

// startDial starts to connect to a worker. The result is reported to the proxy after startDial has returned.
func (s *Server) startDial(id upstream.ConnID, address string) {
	d := &dial{server: s, id: id, deadline: time.Now().Add(s.settings.Upstream.DialTimeout.Duration())}
	s.dials[id] = d
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		d.startLookup(address)
		return
	}
	d.addr = addr
	s.reactor.timers.after(0, d.connect) // deferred: the proxy must not be called back from within its own call
}

// startLookup resolves a host name on a goroutine of its own and then connects to the address on the event loop.
func (d *dial) startLookup(address string) {
	ctx, cancel := context.WithDeadline(context.Background(), d.deadline)
	d.cancelLookup = cancel
	d.server.background.Go(func() {
		defer cancel()
		addr, err := lookUp(ctx, address)
		d.server.postIfRunning(func() {
			if d.addr = addr; err != nil {
				d.fail(err)
				return
			}
			d.connect()
		})
	})
}

// lookUp resolves host:port and returns its first IPv4 address, or its first address if it has no IPv4 address.
func lookUp(ctx context.Context, address string) (netip.AddrPort, error) {
	host, service, err := net.SplitHostPort(address)
	if err != nil {
		return netip.AddrPort{}, err
	}
	port, err := net.DefaultResolver.LookupPort(ctx, "tcp", service)
	if err != nil {
		return netip.AddrPort{}, err
	}
	addrs, err := net.DefaultResolver.LookupNetIP(ctx, "ip", host)
	if err != nil {
		return netip.AddrPort{}, err
	}
	best := addrs[0]
	for _, addr := range addrs {
		if addr.Unmap().Is4() {
			best = addr
			break
		}
	}
	return netip.AddrPortFrom(best, uint16(port)), nil
}

// connect opens a socket and starts to connect it. If the local machine lacks a resource, connect is retried until the
// dial's deadline: nothing was sent, and the failure does not indicate a fault of the worker.
func (d *dial) connect() {
	if d.ended {
		return
	}
	family, sockaddr, err := sockaddrOf(d.addr)
	if err != nil {
		d.fail(err)
		return
	}
	kernel := d.server.kernel
	fd, err := kernel.Socket(family)
	if err != nil {
		d.onConnectError("socket", err)
		return
	}
	err = kernel.Connect(fd, sockaddr)
	if err == nil || syscalls.ClassOfConnect(err) == syscalls.WouldBlock {
		d.registration = d.server.reactor.poller.register(fd, writeEvents, d)
		return // epoll also reports a connection that is established immediately
	}
	_ = kernel.Close(fd) // nothing was written to it
	d.onConnectError("connect", err)
}

// onConnectError schedules a retry after a transient error and fails the dial after any other error.
func (d *dial) onConnectError(call string, err error) {
	err = fmt.Errorf("%s: %w", d.addr, os.NewSyscallError(call, err))
	if syscalls.ClassOfConnect(err) != syscalls.Exhausted {
		d.fail(err)
		return
	}
	if time.Now().Add(retryDelay).After(d.deadline) {
		d.fail(errors.Join(upstream.ErrLocalResources, err))
		return
	}
	d.server.counters.dialRetries.Add(1)
	d.server.reactor.timers.after(retryDelay, d.connect)
}

// onEvents implements eventHandler. It is called when the connect has completed or failed.
func (d *dial) onEvents(uint32) {
	reg := d.registration
	if err := d.server.kernel.SocketError(reg.fd); err != nil {
		d.fail(fmt.Errorf("%s: %w", d.addr, os.NewSyscallError("connect", err)))
		return
	}
	d.finish()
	c := &connection{server: d.server, registration: reg, remoteAddr: d.addr, upstreamID: d.id}
	reg.handler = c
	d.server.reactor.poller.setInterest(reg, readEvents)
	d.server.proxy.OnDialed(d.id, c, nil)
}

// finish marks the dial as ended and removes it from the server.
func (d *dial) finish() {
	d.ended, d.registration = true, nil
	delete(d.server.dials, d.id)
}

// fail closes the socket and reports the failure to the proxy.
func (d *dial) fail(err error) {
	if d.ended {
		return
	}
	if d.registration != nil {
		d.server.reactor.poller.unregister(d.registration)
	}
	d.finish()
	d.server.log.Debug("worker dial failed", "address", d.addr.String(), "error", err)
	d.server.proxy.OnDialed(d.id, nil, err)
}

// expireDials fails the dials whose deadline has passed and closes their sockets.
func (s *Server) expireDials(now time.Time) {
	for _, id := range sortedKeys(s.dials) {
		if d := s.dials[id]; d != nil && now.After(d.deadline) {
			d.fail(errDialTimeout)
		}
	}
}

// cancelLookups cancels the name lookups in progress, whose results are no longer needed.
func (s *Server) cancelLookups() {
	for _, d := range s.dials {
		if d.cancelLookup != nil {
			d.cancelLookup()
		}
	}
}
