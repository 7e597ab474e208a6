package eventloop

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"streamcleat/internal/proxy"
)

const (
	// ownConnectionTimeout bounds each step of the program's own first connection.
	ownConnectionTimeout = 5 * time.Second
	// idleTimer is the time of a timer before the proxy first sets it.
	idleTimer = time.Hour
)

// probeAddress finds out whether an address is free, and which one port 0 stands for: with ReusePort two programs would
// share it unseen. The socket of the probe is bound and never listens, so that no client can connect to it and be cut
// off when it is closed.
func probeAddress(addr string) (string, error) {
	tcpAddr, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return "", err
	}
	family, sockaddr := socketAddress(tcpAddr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", os.NewSyscallError("socket", err)
	}
	defer func() { _ = unix.Close(fd) }() // nothing was written to it
	// Connections of an earlier process may linger. Without the option the bind below fails and tells more.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := unix.Bind(fd, sockaddr); err != nil {
		return "", os.NewSyscallError("bind", err)
	}
	if tcpAddr.Port == 0 {
		if tcpAddr.Port, err = boundPort(fd); err != nil {
			return "", err
		}
	}
	return tcpAddr.String(), nil
}

// socketAddress is an address as the kernel takes it. Without an IP it is any IPv4 address.
func socketAddress(addr *net.TCPAddr) (family int, sockaddr unix.Sockaddr) {
	if ip := addr.IP.To4(); ip != nil || addr.IP == nil {
		v4 := &unix.SockaddrInet4{Port: addr.Port}
		copy(v4.Addr[:], ip)
		return unix.AF_INET, v4
	}
	v6 := &unix.SockaddrInet6{Port: addr.Port}
	copy(v6.Addr[:], addr.IP.To16())
	return unix.AF_INET6, v6
}

// boundPort is the port that the kernel chose for a socket.
func boundPort(fd int) (int, error) {
	sockaddr, err := unix.Getsockname(fd)
	if err != nil {
		return 0, os.NewSyscallError("getsockname", err)
	}
	switch bound := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return bound.Port, nil
	case *unix.SockaddrInet6:
		return bound.Port, nil
	}
	return 0, nil
}

// openOwnConnection makes gnet hand out the event loop, which it does with a connection only: the first one that comes
// in will do, and this is one if there is no other. It is a client that sends nothing and leaves.
func (s *Server) openOwnConnection() {
	if s.settings.holdOwnConnection != nil {
		select {
		case <-s.settings.holdOwnConnection:
		case <-s.backgroundCtx.Done():
			return
		}
	}
	dialer := net.Dialer{Timeout: ownConnectionTimeout}
	conn, err := dialer.DialContext(s.backgroundCtx, "tcp", s.settings.Listen)
	if err == nil {
		defer func() { _ = conn.Close() }() // nothing was written to it
		select {
		case <-s.begun:
			return
		case <-time.After(ownConnectionTimeout):
			err = errors.New("its first connection does not come up")
		}
	}
	select {
	case s.started <- err:
	default:
	}
}

// begin is called on the event loop with the first connection, which is then served as any other: it may be a
// client's.
func (s *Server) begin() {
	s.timer = time.AfterFunc(idleTimer, func() {
		s.postIfRunning(func() { s.proxy.Tick() })
	})
	s.proxy = proxy.New(s.settings.Settings, loopHost{s})
	s.unanswered = s.proxy.Unanswered()
	if s.settings.OnStart != nil {
		s.settings.OnStart(s.proxy)
	}
	s.background.Go(s.sweep)
	close(s.begun)
	s.started <- nil
}
