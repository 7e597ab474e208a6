package syscalls

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Class classifies an error of a system call by how the caller has to react.
type Class uint8

const (
	// Broken means that the connection has ended or the call cannot succeed.
	Broken Class = iota
	// Interrupted means that the call had no effect and should be retried at once.
	Interrupted
	// WouldBlock means that the call should be retried once epoll reports the socket.
	WouldBlock
	// Exhausted means that this machine lacks a resource and the call may succeed a little later. It says nothing about
	// the peer.
	Exhausted
	// PeerClosed means that a connection ended before it was accepted. The next one can be accepted at once.
	PeerClosed
)

// exhaustedErrors report that this machine lacks descriptors, memory, ports or epoll watches.
var exhaustedErrors = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EADDRNOTAVAIL}

// pendingConnectionErrors are errors of the connection to be accepted, which accept passes on; see accept(2).
var pendingConnectionErrors = []error{
	unix.ECONNABORTED, unix.ECONNRESET, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
	unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ENETDOWN, unix.ETIMEDOUT,
}

// transientAcceptErrors are the other transient errors of accept. A firewall returns EPERM.
var transientAcceptErrors = []error{unix.EPERM}

// transientConnectErrors are the transient errors of connect and socket. Without a free port or a route, connect fails at
// once and sends nothing; see connect(2).
var transientConnectErrors = []error{unix.EAGAIN, unix.ENETUNREACH, unix.ENETDOWN, unix.EPERM, unix.EACCES}

func isAny(err error, targets []error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// ClassOf classifies an error of read, write, epoll_ctl, or of opening a listening socket.
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

// ClassOfConnect classifies an error of connect, or of opening the socket for it. WouldBlock means that the connect
// continues in the background, as it also does after EINTR.
func ClassOfConnect(err error) Class {
	switch {
	case errors.Is(err, unix.EINPROGRESS), errors.Is(err, unix.EINTR), errors.Is(err, unix.EALREADY):
		return WouldBlock
	case isAny(err, transientConnectErrors):
		return Exhausted
	}
	return ClassOf(err)
}
