package syscalls

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Class is what an error of a system call means for the program.
type Class uint8

// The classes.
const (
	// Broken says that the connection has ended, or that the call can't succeed.
	Broken Class = iota
	// Interrupted says that the call did nothing and is to be made again at once.
	Interrupted
	// WouldBlock says that the call is to be made again once epoll reports the socket.
	WouldBlock
	// Exhausted says that this machine lacks a resource at the moment; the call may succeed a little later. It says
	// nothing of the other side.
	Exhausted
	// PeerClosed says, of accept, that a connection ended before it was accepted; the next one can be accepted at once.
	PeerClosed
)

// exhausted are the errors by which a call tells that this machine lacks descriptors, memory, ports or a route.
var exhausted = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EADDRNOTAVAIL}

// peerGone are the errors that accept passes on from a connection that it was about to accept (accept(2)).
var peerGone = []error{
	unix.ECONNABORTED, unix.ECONNRESET, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
	unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ENETDOWN, unix.ETIMEDOUT,
}

// acceptPauses are the other errors of accept that may pass: EPERM is a firewall's.
var acceptPauses = []error{unix.EPERM}

// connectPauses are the errors of connect and socket that may pass: without a free port or a route to the network,
// connect(2) fails at once and nothing was sent.
var connectPauses = []error{unix.EAGAIN, unix.ENETUNREACH, unix.ENETDOWN, unix.EPERM, unix.EACCES}

func isOneOf(err error, list []error) bool {
	for _, candidate := range list {
		if errors.Is(err, candidate) {
			return true
		}
	}
	return false
}

// ClassOf sorts an error of read, write, epoll_ctl, or of the making of a socket.
func ClassOf(err error) Class {
	switch {
	case errors.Is(err, unix.EINTR):
		return Interrupted
	case errors.Is(err, unix.EAGAIN):
		return WouldBlock
	case isOneOf(err, exhausted):
		return Exhausted
	}
	return Broken
}

// ClassOfAccept sorts an error of accept. Any error but one of a faulty call may pass.
func ClassOfAccept(err error) Class {
	if isOneOf(err, peerGone) {
		return PeerClosed
	}
	if isOneOf(err, acceptPauses) {
		return Exhausted
	}
	return ClassOf(err)
}

// ClassOfConnect sorts an error of connect, or of the socket that was to connect. WouldBlock says that the connect goes
// on by itself, as it does after EINTR.
func ClassOfConnect(err error) Class {
	switch {
	case errors.Is(err, unix.EINPROGRESS), errors.Is(err, unix.EINTR), errors.Is(err, unix.EALREADY):
		return WouldBlock
	case isOneOf(err, connectPauses):
		return Exhausted
	}
	return ClassOf(err)
}
