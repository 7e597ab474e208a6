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
	// listenBacklog is the requested length of the accept queue. The kernel may limit it further.
	listenBacklog = 4096
	// acceptBudget is the time after which connections that still wait are accepted in the next iteration.
	acceptBudget = 5 * time.Millisecond
	// After accept fails for lack of a local resource, the delay before the next accept doubles between these bounds.
	initialAcceptBackoff = 10 * time.Millisecond
	maxAcceptBackoff     = 500 * time.Millisecond
	// roomDelay is the delay before the next accept while the limit of client connections is reached.
	roomDelay = 5 * time.Millisecond
	// addressInUseTimeout is the maximum time that Start waits for an address that is in use.
	addressInUseTimeout = time.Second
	// startTimeout is the maximum time that Start retries to open a socket while the machine lacks a resource.
	startTimeout = 5 * time.Second
)

// listener accepts connections from clients. It stays open whatever error accept returns.
type listener struct {
	server       *Server
	fd           int
	registration *registration // nil before listen and after close
	backoff      time.Duration // 0 unless the last accept failed
	backlog      acceptBacklog // connections that wait because one iteration accepts no more, or because accept fails
}

// openListener binds a socket to an address and returns the bound address, which has the selected port if the port was 0.
// Connections are refused until listen is called.
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

// retryStart retries a call that fails because the machine lacks a resource or the address is in use: an earlier process may
// be about to exit, or a connection of another process may occupy the port for a short time.
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

// listen starts to accept connections on the server's event loop.
func (l *listener) listen(s *Server) error {
	if err := s.kernel.Listen(l.fd, listenBacklog); err != nil {
		return errors.Join(os.NewSyscallError("listen", err), s.kernel.Close(l.fd))
	}
	l.server = s
	l.registration = s.reactor.poller.register(l.fd, readEvents, l)
	return nil
}

// onEvents implements eventHandler.
func (l *listener) onEvents(uint32) {
	startedAt := time.Now()
	if l.acceptWaiting(startedAt.Add(acceptBudget)) || l.registration == nil {
		l.backlog = acceptBacklog{}
		return
	}
	l.backlog.onLeft(startedAt, func() (int, error) { return l.server.kernel.AcceptQueueLength(l.fd) })
}

// acceptWaiting accepts connections until the given time, and reports whether none are left.
func (l *listener) acceptWaiting(until time.Time) (complete bool) {
	for !time.Now().After(until) {
		if l.registration == nil {
			return true // closed while an accepted connection was handled
		}
		if !l.server.proxy.HasRoom() {
			l.waitForRoom()
			return false
		}
		fd, peer, err := l.server.kernel.Accept(l.fd)
		if err == nil {
			l.backoff = 0
			l.server.onAccepted(fd, addrPortOf(peer), l.backlog.onAccepted())
			continue
		}
		switch syscalls.ClassOfAccept(err) {
		case syscalls.Interrupted:
		case syscalls.PeerClosed:
			l.server.counters.abortedConnections.Add(1)
		case syscalls.WouldBlock:
			return true
		default:
			l.pauseAccepting(err)
			return false
		}
	}
	return false
}

// waitForRoom stops accepting for roomDelay, while no client connection can make room for another one.
func (l *listener) waitForRoom() {
	s := l.server
	s.counters.acceptsDelayed.Add(1)
	s.reactor.poller.setInterest(l.registration, 0)
	s.reactor.timers.after(roomDelay, l.resumeAccepting)
}

// resumeAccepting accepts connections again.
func (l *listener) resumeAccepting() {
	if l.registration != nil {
		l.server.reactor.poller.setInterest(l.registration, readEvents)
	}
}

// pauseAccepting stops accepting for the backoff delay, so that resources can become available again; connections stay in
// the accept queue meanwhile. It evicts an idle client if the settings allow that.
func (l *listener) pauseAccepting(err error) {
	l.backoff = min(max(2*l.backoff, initialAcceptBackoff), maxAcceptBackoff)
	s := l.server
	s.counters.acceptFailures.Add(1)
	evicted := s.proxy.EvictIdleClient()
	s.log.Warn("accept paused", "address", s.settings.Listen, "error", err,
		"seconds", l.backoff.Seconds(), "evicted", evicted)
	s.reactor.poller.setInterest(l.registration, 0)
	s.reactor.timers.after(l.backoff, l.resumeAccepting)
}

// close stops listening. Connections that have not been accepted are reset.
func (l *listener) close() {
	if l.registration == nil {
		return
	}
	l.server.reactor.poller.unregister(l.registration)
	l.registration = nil
}

// onAccepted passes an accepted connection to the proxy. waitingSince is the time since which it may have waited to be accepted, or
// zero.
func (s *Server) onAccepted(fd int, peer netip.AddrPort, waitingSince time.Time) {
	c := &connection{server: s, remoteAddr: peer, acceptDelayed: s.reactor.inputAge.waitedLong || !waitingSince.IsZero()}
	c.registration = s.reactor.poller.register(fd, readEvents, c)
	switch {
	case !waitingSince.IsZero(): // the kernel reports when input arrived last, which may be long after the first
		c.unreadSince = waitingSince
	case s.reactor.inputAge.age() > 0: // input may have arrived as early as the connection
		c.unreadSince = s.reactor.inputAge.earliestArrival
	case !c.registration.added:
		c.unreadSince = time.Now()
	}
	if c.client = s.proxy.Accept(c); c.client == nil {
		c.Close()
	}
}
