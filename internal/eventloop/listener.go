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
	// listenBacklog is how many connections may wait to be accepted; the kernel's own limit may be lower.
	listenBacklog = 4096
	// maxAcceptsPerTurn is how many connections are accepted before others are served.
	maxAcceptsPerTurn = 64
	// Pauses of accepting after it failed for want of a resource double from the first to the longest.
	firstAcceptPause   = 10 * time.Millisecond
	longestAcceptPause = 500 * time.Millisecond
	// addressTimeout is for how long the start waits for an address that is in use.
	addressTimeout = time.Second
	// startTimeout is for how long the start asks again for a socket where the machine lacks a resource.
	startTimeout = 5 * time.Second
)

// listener is the socket at which clients connect. Nothing that accept fails with ends it.
type listener struct {
	server       *Server
	fd           int
	registration *registration // nil before watch, and once it is closed
	pause        time.Duration // after the last failure; 0: the last accept did not fail
	pausedSince  time.Time     // since when connections wait that could not be accepted; zero: none do
}

// openListener binds an address, and tells which one port 0 stands for. Nobody can connect before listen.
func openListener(kernel syscalls.Kernel, address string) (l *listener, bound string, err error) {
	tcpAddr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, "", err
	}
	if tcpAddr.IP == nil {
		tcpAddr.IP = net.IPv4zero
	}
	family, sockaddr, err := socketAddress(tcpAddr.AddrPort())
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
	return &listener{fd: fd}, socketPeer(local).String(), nil
}

// retryStart makes calls again that fail because the machine lacks a resource at the moment, or because the address is
// still in use: an earlier process may be about to end, or a connection of any process may have the port for a moment.
func retryStart(call func() error) error {
	began := time.Now()
	for {
		err := call()
		timeout := time.Duration(0)
		switch {
		case errors.Is(err, unix.EADDRINUSE):
			timeout = addressTimeout
		case syscalls.ClassOf(err) == syscalls.Exhausted, syscalls.ClassOf(err) == syscalls.Interrupted:
			timeout = startTimeout
		}
		if err == nil || time.Since(began) >= timeout {
			return err
		}
		time.Sleep(retryPause)
	}
}

// listen lets clients connect from now on, and accepts them on the loop of a server.
func (l *listener) listen(s *Server) error {
	if err := s.kernel.Listen(l.fd, listenBacklog); err != nil {
		return errors.Join(os.NewSyscallError("listen", err), s.kernel.Close(l.fd))
	}
	l.server = s
	l.registration = s.reactor.register(l.fd, readEvents, l)
	return nil
}

// onEvents implements eventHandler: it accepts what waits, within bounds.
func (l *listener) onEvents(uint32) {
	for range maxAcceptsPerTurn {
		if l.registration == nil {
			return // closed by what a connection brought
		}
		fd, peer, err := l.server.kernel.Accept(l.fd)
		if err == nil {
			l.pause = 0
			l.server.onAccepted(fd, socketPeer(peer), l.pausedSince)
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

// pauseAccepting leaves connections where they wait for a while, so that what lacks can come back. An idle client makes
// room where the settings allow that.
func (l *listener) pauseAccepting(err error) {
	if l.pausedSince.IsZero() {
		l.pausedSince = time.Now()
	}
	l.pause = min(max(2*l.pause, firstAcceptPause), longestAcceptPause)
	s := l.server
	s.counters.acceptFailures.Add(1)
	evicted := s.proxy.EvictIdleClient()
	s.log.Warn("connections are not accepted for a while", "address", s.settings.Listen, "error", err,
		"seconds", l.pause.Seconds(), "evicted", evicted)
	s.reactor.watch(l.registration, 0)
	s.reactor.after(l.pause, func() {
		if l.registration != nil {
			s.reactor.watch(l.registration, readEvents)
		}
	})
}

// close ends listening. Connections that were not accepted are reset.
func (l *listener) close() {
	if l.registration == nil {
		return
	}
	l.server.reactor.unregister(l.registration)
	l.registration = nil
}

// onAccepted takes a connection into service that may have waited for that; waitedSince is zero where it has not.
func (s *Server) onAccepted(fd int, peer netip.AddrPort, waitedSince time.Time) {
	c := &connection{server: s, peer: peer, waited: s.reactor.blockedLong || !waitedSince.IsZero()}
	c.registration = s.reactor.register(fd, readEvents, c)
	switch {
	case !waitedSince.IsZero(): // the kernel tells how long ago what is read came, if it can
		if _, err := s.kernel.LastReceived(fd); err != nil {
			c.unreadSince = waitedSince
		}
	case s.reactor.inputAge() > 0: // what was sent on it may be as old as the connection
		c.unreadSince = s.reactor.inputSince
	case !c.registration.added:
		c.unreadSince = time.Now()
	}
	if c.client = s.proxy.Accept(c); c.client == nil {
		c.Close()
	}
}
