package proxy

import (
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// RecordStore makes records durable.
type RecordStore interface {
	// Commit stores records and then calls done once, from any goroutine. A Proxy has at most one commit under way.
	Commit(records []dispatch.Record, done func(error))
}

// Session is the protocol state of a client connection. It does no I/O and reads no clock.
type Session interface {
	// Feed processes bytes that the client sent.
	Feed(now units.Seconds, wall time.Time, data []byte)
	// Respond delivers the final response to the request that was passed to downstream.RequestHandler.Submit with the slot.
	Respond(now units.Seconds, slot uint64, response dispatch.Response)
	// Advance is called after calls of Feed or Respond, before Output.
	Advance(now units.Seconds)
	// Output returns the bytes to be sent and removes them from the session.
	Output() []byte
	// Done reports whether the connection is to be closed once all output is sent.
	Done() bool
	// TimedOut reports whether Tick would end the connection or reject incomplete input. Input that the host has not passed on yet
	// may prevent that.
	TimedOut(now units.Seconds) bool
	// Tick enforces the session's timeouts. It reports whether there may be new output or the session is done.
	Tick(now units.Seconds) bool
	// Drain asks the client to send no more requests. Open requests still get their responses.
	Drain()
	// Disconnected reports that the connection was closed or lost.
	Disconnected()
	// Idle reports whether no request is open or partially received, and since when.
	Idle() (since units.Seconds, idle bool)
	// IsNew reports whether no message has been received completely.
	IsNew() bool
}

// Transport provides connections to workers for an UpstreamPool.
type Transport interface {
	upstream.Transport
	// Unsent returns the number of bytes that were written to a connection and that the kernel has not accepted.
	Unsent(conn upstream.ConnID) int
}

// UpstreamPool manages the connections to workers for one protocol. It does no I/O and reads no clock.
type UpstreamPool interface {
	SetEndpoints(list *upstream.EndpointList)
	SendAttempt(now units.Seconds, attempt dispatch.Attempt)
	SendLoad(now units.Seconds, command dispatch.LoadCommand)
	// WaitingFor returns the attempts that wait for a connection to be dialed.
	WaitingFor(conn upstream.ConnID) []uint64
	// CancelUnsent cancels an attempt if no byte of it was written, and reports whether it did.
	CancelUnsent(attempt uint64) bool
	// Abandon drops an attempt or load command, whose result is then not reported.
	Abandon(now units.Seconds, id uint64)
	OnDialed(now units.Seconds, conn upstream.ConnID, err error)
	OnData(now units.Seconds, conn upstream.ConnID, data []byte)
	OnClosed(now units.Seconds, conn upstream.ConnID)
	Tick(now units.Seconds)
	// Pending reports whether Flush has work to do.
	Pending() bool
	Flush()
	CloseAll(now units.Seconds)
	// Len returns the number of connections.
	Len() int
	// Check verifies the invariants of the pool's state.
	Check() error
}

// Host provides a front end with clocks, timers and sockets.
type Host interface {
	// Now returns the time of a monotonic clock in seconds.
	Now() units.Seconds
	// Wall returns the wall-clock time, which may be stepped.
	Wall() time.Time
	// SetTimer schedules a call of Proxy.Tick and replaces an earlier schedule.
	SetTimer(at units.Seconds)
	// After runs f on the front end's goroutine after a number of seconds.
	After(seconds units.Seconds, f func())
	// Post schedules f to run on the front end's goroutine. It may be called from any goroutine.
	Post(f func())
	// Dial opens a connection to a worker. The host calls Proxy.OnDialed with the result, possibly before Dial returns.
	Dial(conn upstream.ConnID, addr string)
	// Broadcast sends a datagram to every other front end. Delivery is not guaranteed.
	Broadcast(datagram []byte)
}

// Conn is a connection of the host.
type Conn interface {
	Write(data []byte)
	// Close closes the connection. The host reports no further events for it.
	Close()
	// CloseWrite closes our side once the bytes written so far are sent. Input is still read.
	CloseWrite()
	// Unsent returns the number of bytes that were written and that the kernel has not accepted.
	Unsent() int
	// ReadAhead returns received bytes that the host has not passed on yet, nil if there are none. open is false if the
	// connection has ended. ReadAhead is for client connections only.
	ReadAhead() (data []byte, open bool)
	// InputAge returns the maximum time, in seconds, for which the bytes that are being passed on may have been buffered.
	InputAge() units.Seconds
	// RemoteAddr returns the address of the other side, for logs.
	RemoteAddr() string
}
