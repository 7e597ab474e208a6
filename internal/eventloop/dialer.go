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

// errDialTimeout is the error of a connection that did not come up in time.
var errDialTimeout = errors.New("connection not established in time")

// dial is a connection to a worker that is being established. Its end is reported once, on the loop.
type dial struct {
	server       *Server
	id           upstream.ConnID
	addr         netip.AddrPort
	deadline     time.Time
	registration *registration // nil while there is no socket
	ended        bool
}

// startDial connects to a worker. The proxy is told of the end, never before startDial returns.
func (s *Server) startDial(id upstream.ConnID, address string) {
	d := &dial{server: s, id: id, deadline: time.Now().Add(time.Duration(s.settings.Upstream.DialTimeout * float64(time.Second)))}
	s.dials[id] = d
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		s.background.Go(func() { d.resolve(address) })
		return
	}
	d.addr = addr
	s.reactor.after(0, d.connect) // the proxy is in the middle of a call
}

// resolve looks up a name off the loop and connects to the first address that it stands for.
func (d *dial) resolve(address string) {
	ctx, cancel := context.WithDeadline(d.server.backgroundCtx, d.deadline)
	defer cancel()
	addr, err := lookUp(ctx, address)
	d.server.postIfRunning(func() {
		if d.addr = addr; err != nil {
			d.fail(err)
			return
		}
		d.connect()
	})
}

// lookUp finds the first address, of IPv4 where there is one, that host:port stands for.
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

// connect makes a socket and has the kernel connect it. Where this machine lacks a resource for that it is tried again
// until the dial's time is up: nothing was sent, and it says nothing of the worker.
func (d *dial) connect() {
	if d.ended {
		return
	}
	family, sockaddr, err := socketAddress(d.addr)
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
		d.registration = d.server.reactor.register(fd, writeEvents, d)
		return // a connection that is up at once is reported as one that comes up
	}
	_ = kernel.Close(fd) // nothing was written to it
	d.onConnectError("connect", err)
}

// onConnectError tries again after an error that may pass, and ends the dial after any other.
func (d *dial) onConnectError(call string, err error) {
	err = fmt.Errorf("%s: %w", d.addr, os.NewSyscallError(call, err))
	if syscalls.ClassOfConnect(err) != syscalls.Exhausted {
		d.fail(err)
		return
	}
	if time.Now().Add(retryPause).After(d.deadline) {
		d.fail(errors.Join(upstream.ErrLocal, err))
		return
	}
	d.server.counters.dialRetries.Add(1)
	d.server.reactor.after(retryPause, d.connect)
}

// onEvents implements eventHandler: the connect has ended.
func (d *dial) onEvents(uint32) {
	registered := d.registration
	if err := d.server.kernel.SocketError(registered.fd); err != nil {
		d.fail(fmt.Errorf("%s: %w", d.addr, os.NewSyscallError("connect", err)))
		return
	}
	d.finish()
	c := &connection{server: d.server, registration: registered, peer: d.addr, upstreamID: d.id}
	registered.handler = c
	d.server.reactor.watch(registered, readEvents)
	d.server.proxy.OnDialed(d.id, c, nil)
}

// finish notes that the dial has ended.
func (d *dial) finish() {
	d.ended, d.registration = true, nil
	delete(d.server.dials, d.id)
}

// fail gives the socket back and reports that the dial failed.
func (d *dial) fail(err error) {
	if d.ended {
		return
	}
	if d.registration != nil {
		d.server.reactor.unregister(d.registration)
	}
	d.finish()
	d.server.log.Debug("worker not connected", "address", d.addr.String(), "error", err)
	d.server.proxy.OnDialed(d.id, nil, err)
}

// expireDials ends the dials whose time is up: a connection that never comes up must not hold its descriptor.
func (s *Server) expireDials(now time.Time) {
	for _, id := range sortedKeys(s.dials) {
		if d := s.dials[id]; d != nil && now.After(d.deadline) {
			d.fail(errDialTimeout)
		}
	}
}
