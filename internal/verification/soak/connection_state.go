package soak

import (
	"net"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a connection whose peer has closed its side, as the kernel states it.
const tcpCloseWait = 8

// isClosedByPeer reports whether the kernel has received the end of a connection, which a reader that is delayed may not know yet. A
// request that is sent from then on is none that the front end could have taken.
func isClosedByPeer(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true // the connection was closed here
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpCloseWait
	})
	return closed || err != nil
}
