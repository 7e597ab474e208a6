// Package syscalls has the system calls on sockets that the program makes by itself, behind one narrow interface, and
// sorts their errors. It holds no state. The event loop uses sockets through it alone, so that a double (package faults)
// can have each call fail as its manual page says it may.
package syscalls

import (
	"time"

	"golang.org/x/sys/unix"
)

// Kernel makes system calls. All sockets are non-blocking and closed on exec. Errors are unix.Errno values.
type Kernel interface {
	// Socket makes a TCP socket of an address family that sends small writes at once; those accepted on it do too.
	Socket(family int) (fd int, err error)
	// Bind binds a socket to an address at which connections of an earlier process may linger.
	Bind(fd int, address unix.Sockaddr) error
	Listen(fd, backlog int) error
	Accept(listener int) (fd int, peer unix.Sockaddr, err error)
	Connect(fd int, address unix.Sockaddr) error
	// SocketError is the pending error of a socket, which it clears: how a connect ended.
	SocketError(fd int) error
	Read(fd int, buffer []byte) (n int, err error)
	Write(fd int, data []byte) (n int, err error)
	ShutdownWrite(fd int) error
	// LastReceived is how long ago a connection received data last.
	LastReceived(fd int) (ago time.Duration, err error)
	// Close closes a descriptor, which is free afterwards whatever it returns.
	Close(fd int) error
	EpollCreate() (epoll int, err error)
	EpollControl(epoll, operation, fd int, event *unix.EpollEvent) error
	// EpollWait waits for events; milliseconds below 0 wait for ever.
	EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (n int, err error)
	// EventFD makes a descriptor that wakes up an epoll instance when it is written to.
	EventFD() (fd int, err error)
	// Wake writes to a descriptor of EventFD.
	Wake(fd int) error
}

// Linux makes the system calls of the operating system.
type Linux struct{}

// Socket implements Kernel.
func (Linux) Socket(family int) (int, error) {
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // without it small frames only wait longer
	}
	return fd, err
}

// Bind implements Kernel.
func (Linux) Bind(fd int, address unix.Sockaddr) error {
	// Connections of an earlier process may linger. Without the option the bind fails and tells more.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	return unix.Bind(fd, address)
}

// Listen implements Kernel.
func (Linux) Listen(fd, backlog int) error { return unix.Listen(fd, backlog) }

// Accept implements Kernel.
func (Linux) Accept(listener int) (int, unix.Sockaddr, error) {
	return unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

// Connect implements Kernel.
func (Linux) Connect(fd int, address unix.Sockaddr) error { return unix.Connect(fd, address) }

// SocketError implements Kernel.
func (Linux) SocketError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

// Read implements Kernel.
func (Linux) Read(fd int, buffer []byte) (int, error) { return unix.Read(fd, buffer) }

// Write implements Kernel.
func (Linux) Write(fd int, data []byte) (int, error) { return unix.Write(fd, data) }

// ShutdownWrite implements Kernel.
func (Linux) ShutdownWrite(fd int) error { return unix.Shutdown(fd, unix.SHUT_WR) }

// LastReceived implements Kernel.
func (Linux) LastReceived(fd int) (time.Duration, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, nil
}

// Close implements Kernel.
func (Linux) Close(fd int) error { return unix.Close(fd) }

// EpollCreate implements Kernel.
func (Linux) EpollCreate() (int, error) { return unix.EpollCreate1(unix.EPOLL_CLOEXEC) }

// EpollControl implements Kernel.
func (Linux) EpollControl(epoll, operation, fd int, event *unix.EpollEvent) error {
	return unix.EpollCtl(epoll, operation, fd, event)
}

// EpollWait implements Kernel.
func (Linux) EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	return unix.EpollWait(epoll, events, milliseconds)
}

// EventFD implements Kernel.
func (Linux) EventFD() (int, error) { return unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC) }

// Wake implements Kernel. The counter of an eventfd can't overflow in the life of a process.
func (Linux) Wake(fd int) error {
	one := [8]byte{1}
	_, err := unix.Write(fd, one[:])
	return err
}
