package proxy

import (
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/downstream/cloudevents"
	"streamcleat/internal/upstream"
)

// RecordStore keeps records on disk.
type RecordStore interface {
	// Commit stores records and then calls done once, from any goroutine. A Proxy has one commit under way at a time;
	// records that come meanwhile go into the next.
	Commit(records []dispatch.Record, done func(error))
}

// RequestHandler takes requests on behalf of a session.
type RequestHandler = cloudevents.RequestHandler

// Session is the state of one client connection, in whatever protocol. It has no socket and no clock.
type Session interface {
	// Feed takes bytes that the client sent.
	Feed(now float64, wall time.Time, data []byte)
	// Respond takes the final response to the request that RequestHandler.Submit took for the slot.
	Respond(now float64, slot uint64, response dispatch.Response)
	// Advance is called after responses came.
	Advance(now float64)
	// Output is what is to be sent.
	Output() []byte
	// Done tells that the connection is to be closed once all output is sent.
	Done() bool
	// Tick enforces the session's timeouts and tells whether there is output, or an end, since.
	Tick(now float64) bool
	// Drain asks the client to send no more requests; those that are open are answered.
	Drain()
	// Disconnected tells that the client left.
	Disconnected()
	// Idle tells that no request is open or half read, and since when.
	Idle() (since float64, idle bool)
}

// Transport carries the bytes of an UpstreamPool.
type Transport interface {
	upstream.Transport
	// Unsent counts bytes that were written to a connection and have not left.
	Unsent(conn upstream.ConnID) int
}

// UpstreamPool is the set of connections to workers, in whatever protocol. It has no socket and no clock.
type UpstreamPool interface {
	SetEndpoints(list *upstream.EndpointList)
	SendAttempt(now float64, attempt dispatch.Attempt)
	SendLoad(now float64, command dispatch.LoadCommand)
	// WaitingFor are the attempts that wait for a dial to end.
	WaitingFor(conn upstream.ConnID) []uint64
	// CancelUnsent takes an attempt back if no byte of it has left, and tells whether it did.
	CancelUnsent(attempt uint64) bool
	// Abandon drops an attempt or a load command whose result is no longer wanted.
	Abandon(now float64, id uint64)
	OnDialed(now float64, conn upstream.ConnID, err error)
	OnData(now float64, conn upstream.ConnID, data []byte)
	OnClosed(now float64, conn upstream.ConnID)
	Tick(now float64)
	// Pending tells that Flush has work to do.
	Pending() bool
	Flush()
	CloseAll(now float64)
	// Len counts the connections.
	Len() int
	// Check returns an error where the pool's state contradicts itself.
	Check() error
}

// Host is what a front end runs on: clocks, timers, sockets.
type Host interface {
	// Now is a monotonic clock in seconds.
	Now() float64
	// Wall is the time of day; it may jump.
	Wall() time.Time
	// SetTimer asks for a call of Proxy.Tick at a time; it replaces an earlier call of SetTimer.
	SetTimer(at float64)
	// After runs f on the front end's goroutine once so many seconds have passed.
	After(seconds float64, f func())
	// Post runs f on the front end's goroutine, soon. It may be called from any goroutine.
	Post(f func())
	// Dial opens a connection to a worker. Proxy.OnDialed follows, at once or later.
	Dial(conn upstream.ConnID, addr string)
	// Broadcast sends a datagram to every other front end; it may be lost.
	Broadcast(datagram []byte)
}

// Conn is one connection of the host.
type Conn interface {
	Write(data []byte)
	// Close closes the connection. The host reports nothing of it afterwards.
	Close()
	// CloseWrite closes our side behind what was written; the other side is still read.
	CloseWrite()
	// Unsent counts bytes that were written and have not left.
	Unsent() int
	// ReadAhead hands out bytes that came and were not handed over yet, or nil; open is false where the connection has
	// ended. It is for clients' connections only.
	ReadAhead() (data []byte, open bool)
	// InputAge is the longest time, in seconds, for which bytes that are handed over now may have waited to be read.
	InputAge() float64
	// Name is the address of the other side, for logs.
	Name() string
}
