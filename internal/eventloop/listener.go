package eventloop

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/syscalls"
)

const (
	// listenBacklog is the maximum number of connections in the accept queue. The kernel's own limit may be lower.
	listenBacklog = 4096
	// maxAcceptsPerIteration is the maximum number of connections accepted before other sockets are served.
	maxAcceptsPerIteration = 64
	// The delay before accept is retried, after it failed for lack of a local resource, doubles between these bounds.
	initialAcceptBackoff = 10 * time.Millisecond
	maxAcceptBackoff     = 500 * time.Millisecond
	// addressInUseTimeout is the time for which Start waits for an address that is in use.
	addressInUseTimeout = time.Second
	// startTimeout is the time for which Start retries to open a socket while the machine lacks a resource.
	startTimeout = 5 * time.Second
)

// listener accepts clients' connections. No error of accept closes it.
type listener struct {
	server       *Server
	fd           int
	registration *registration // nil before listen and once closed
	backoff      time.Duration // 0 unless the last accept failed
	pausedSince  time.Time     // since when connections have waited for accept to recover; zero if none do
}

// openListener binds a socket to an address and returns the bound address, which differs if the port is 0. Connections
// are refused until listen is called.
func openListener(kernel syscalls.Kernel, address string) (l *listener, bound string, err error) {
	tcpAddr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, "", err
	}
	if tcpAddr.IP == nil {
		tcpAddr.IP = net.IPv4zero
	}
	family, sockaddr, err := sockaddrOf(tcpAddr.AddrPort())
	if err != nil {
		return nil, "", err
	}
	fd, err := kernel.Socket(family)
	if err != nil {
		return nil, "", os.NewSyscallError("socket", err)
	}
	if err := kernel.Bind(fd, sockaddr); err != nil {
		return nil, "", errors.Join(os.NewSyscallError("bind", err), kernel.Close(fd))
	}
	local, err := unix.Getsockname(fd)
	if err != nil {
		return nil, "", errors.Join(os.NewSyscallError("getsockname", err), kernel.Close(fd))
	}
	return &listener{fd: fd}, addrPortOf(local).String(), nil
}

// retryStart retries a call that fails because the machine lacks a resource, or because the address is in use: an earlier
// process may be about to exit, or a connection of some process may hold the port briefly.
func retryStart(call func() error) error {
	start := time.Now()
	for {
		err := call()
		timeout := time.Duration(0)
		switch {
		case errors.Is(err, unix.EADDRINUSE):
			timeout = addressInUseTimeout
		case syscalls.ClassOf(err) == syscalls.Exhausted, syscalls.ClassOf(err) == syscalls.Interrupted:
			timeout = startTimeout
		}
		if err == nil || time.Since(start) >= timeout {
			return err
		}
		time.Sleep(retryDelay)
	}
}

// listen starts to accept connections on the server's loop.
func (l *listener) listen(s *Server) error {
	if err := s.kernel.Listen(l.fd, listenBacklog); err != nil {
		return errors.Join(os.NewSyscallError("listen", err), s.kernel.Close(l.fd))
	}
	l.server = s
	l.registration = s.reactor.poller.register(l.fd, readEvents, l)
	return nil
}

// onEvents implements eventHandler. It accepts up to maxAcceptsPerIteration connections.
func (l *listener) onEvents(uint32) {
	for range maxAcceptsPerIteration {
		if l.registration == nil {
			return // closed while a connection was handled
		}
		fd, peer, err := l.server.kernel.Accept(l.fd)
		if err == nil {
			l.backoff = 0
			l.server.onAccepted(fd, addrPortOf(peer), l.pausedSince)
			continue
		}
		switch syscalls.ClassOfAccept(err) {
		case syscalls.Interrupted:
		case syscalls.PeerClosed:
			l.server.counters.abortedConnections.Add(1)
		case syscalls.WouldBlock:
			l.pausedSince = time.Time{}
			return
		default:
			l.pauseAccepting(err)
			return
		}
	}
}

// pauseAccepting leaves connections in the accept queue for a while, until resources are available again. It evicts an
// idle client if the settings allow that.
func (l *listener) pauseAccepting(err error) {
	if l.pausedSince.IsZero() {
		l.pausedSince = time.Now()
	}
	l.backoff = min(max(2*l.backoff, initialAcceptBackoff), maxAcceptBackoff)
	s := l.server
	s.counters.acceptFailures.Add(1)
	evicted := s.proxy.EvictIdleClient()
	s.log.Warn("accept paused", "address", s.settings.Listen, "error", err,
		"seconds", l.backoff.Seconds(), "evicted", evicted)
	s.reactor.poller.setInterest(l.registration, 0)
	s.reactor.timers.after(l.backoff, func() {
		if l.registration != nil {
			s.reactor.poller.setInterest(l.registration, readEvents)
		}
	})
}

// close stops listening. Connections that were not accepted are reset.
func (l *listener) close() {
	if l.registration == nil {
		return
	}
	l.server.reactor.poller.unregister(l.registration)
	l.registration = nil
}

// onAccepted hands an accepted connection to the proxy. waitedSince is when accept was paused, or zero if it was not.
func (s *Server) onAccepted(fd int, peer netip.AddrPort, waitedSince time.Time) {
	c := &connection{server: s, remoteAddr: peer, acceptDelayed: s.reactor.inputAge.waitedLong || !waitedSince.IsZero()}
	c.registration = s.reactor.poller.register(fd, readEvents, c)
	switch {
	case !waitedSince.IsZero(): // the kernel's arrival time is preferred, see connection.InputAge
		if _, err := s.kernel.LastReceived(fd); err != nil {
			c.unreadSince = waitedSince
		}
	case s.reactor.inputAge.age() > 0: // input may be as old as the connection
		c.unreadSince = s.reactor.inputAge.since
	case !c.registration.added:
		c.unreadSince = time.Now()
	}
	if c.client = s.proxy.Accept(c); c.client == nil {
		c.Close()
	}
}
