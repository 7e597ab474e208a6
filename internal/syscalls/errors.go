package syscalls

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Class is the class of a system call's error. It tells how the caller has to react.
type Class uint8

const (
	// Broken means that the connection has ended or the call cannot succeed. It is the class of all other errors.
	Broken Class = iota
	// Interrupted means that the call had no effect and should be retried immediately.
	Interrupted
	// WouldBlock means that the call should be retried when epoll reports the socket as ready.
	WouldBlock
	// Exhausted means that the local machine lacks a resource and the call may succeed a little later. It does not indicate
	// a fault of the peer.
	Exhausted
	// PeerClosed means that a connection ended before it was accepted. The next one can be accepted immediately.
	PeerClosed
)

// exhaustedErrors report that the local machine lacks descriptors, memory, ports or epoll watches.
var exhaustedErrors = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EADDRNOTAVAIL}

// pendingConnectionErrors are errors of the pending connection that accept returns; see accept(2).
var pendingConnectionErrors = []error{
	unix.ECONNABORTED, unix.ECONNRESET, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
	unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ENETDOWN, unix.ETIMEDOUT,
}

// transientAcceptErrors are the other transient errors of accept. EPERM is caused by a firewall.
var transientAcceptErrors = []error{unix.EPERM}

// transientConnectErrors are the transient errors of connect and socket. Without a free port or a route, connect fails
// immediately and sends nothing; see connect(2).
var transientConnectErrors = []error{unix.EAGAIN, unix.ENETUNREACH, unix.ENETDOWN, unix.EPERM, unix.EACCES}

func isAny(err error, targets []error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// ClassOf classifies an error of read, write or epoll_ctl, or of opening a listening socket.
func ClassOf(err error) Class {
	switch {
	case errors.Is(err, unix.EINTR):
		return Interrupted
	case errors.Is(err, unix.EAGAIN):
		return WouldBlock
	case isAny(err, exhaustedErrors):
		return Exhausted
	}
	return Broken
}

// ClassOfAccept classifies an error of accept.
func ClassOfAccept(err error) Class {
	if isAny(err, pendingConnectionErrors) {
		return PeerClosed
	}
	if isAny(err, transientAcceptErrors) {
		return Exhausted
	}
	return ClassOf(err)
}

// ClassOfConnect classifies an error of connect, or of opening its socket. WouldBlock means that connect continues in the
// background, which it also does after EINTR.
func ClassOfConnect(err error) Class {
	switch {
	case errors.Is(err, unix.EINPROGRESS), errors.Is(err, unix.EINTR), errors.Is(err, unix.EALREADY):
		return WouldBlock
	case isAny(err, transientConnectErrors):
		return Exhausted
	}
	return ClassOf(err)
}
