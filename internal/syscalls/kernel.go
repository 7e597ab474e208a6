package syscalls

import (
	"time"

	"golang.org/x/sys/unix"
)

// Kernel provides the system calls. All sockets are non-blocking and close-on-exec. Errors are unix.Errno values.
type Kernel interface {
	// Socket opens a TCP socket with TCP_NODELAY, which accepted sockets inherit.
	Socket(family int) (fd int, err error)
	// Bind binds a socket to an address with SO_REUSEADDR.
	Bind(fd int, address unix.Sockaddr) error
	Listen(fd, backlog int) error
	Accept(listener int) (fd int, peer unix.Sockaddr, err error)
	Connect(fd int, address unix.Sockaddr) error
	// SocketError returns and clears the pending error of a socket, which is the result of an asynchronous connect.
	SocketError(fd int) error
	Read(fd int, buffer []byte) (n int, err error)
	Write(fd int, data []byte) (n int, err error)
	ShutdownWrite(fd int) error
	// LastReceived returns the time since a connection last received data.
	LastReceived(fd int) (ago time.Duration, err error)
	// AcceptQueueLength returns the number of connections that a listener could accept now.
	AcceptQueueLength(listener int) (int, error)
	// Close closes a descriptor. The descriptor is released even if Close fails.
	Close(fd int) error
	EpollCreate() (epoll int, err error)
	EpollControl(epoll, operation, fd int, event *unix.EpollEvent) error
	// EpollWait waits for events. A negative number of milliseconds means no limit.
	EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (n int, err error)
	// EventFD opens an eventfd, which wakes an epoll instance when it is written to.
	EventFD() (fd int, err error)
	// Wake writes to an eventfd that EventFD opened.
	Wake(fd int) error
}

// Linux implements Kernel with the system calls of the operating system.
type Linux struct{}

// Socket implements Kernel.
func (Linux) Socket(family int) (int, error) {
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // failure only delays small messages
	}
	return fd, err
}

// Bind implements Kernel.
func (Linux) Bind(fd int, address unix.Sockaddr) error {
	// Connections of an earlier process may still be in TIME_WAIT. If setting the option fails, Bind reports the address in use.
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

// AcceptQueueLength implements Kernel.
func (Linux) AcceptQueueLength(listener int) (int, error) {
	info, err := unix.GetsockoptTCPInfo(listener, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return int(info.Unacked), nil // for a listener, the kernel states the length of the queue in this field
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

// Wake implements Kernel. The counter of an eventfd cannot overflow within the lifetime of a process.
func (Linux) Wake(fd int) error {
	one := [8]byte{1}
	_, err := unix.Write(fd, one[:])
	return err
}
