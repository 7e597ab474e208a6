package eventloop

import "sync/atomic"

// counters count what the event loop met that it recovers from by itself.
type counters struct {
	acceptFailures       atomic.Uint64 // accept failed for want of a resource and was paused
	abortedConnections   atomic.Uint64 // ended before they were accepted
	registrationFailures atomic.Uint64 // epoll could not take a socket
	dialRetries          atomic.Uint64 // a socket or connect failed for want of a resource
	writeRetries         atomic.Uint64 // a write failed likewise
	slowTurns            atomic.Uint64 // turns that took longer than slowTurn
}

// Faults are totals, since the start, of what the event loop met and recovered from by itself.
type Faults struct {
	AcceptFailures, AbortedConnections, RegistrationFailures, DialRetries, WriteRetries, SlowTurns uint64
}

// Faults are the totals at this moment; any goroutine may ask for them.
func (s *Server) Faults() Faults {
	c := &s.counters
	return Faults{
		AcceptFailures:       c.acceptFailures.Load(),
		AbortedConnections:   c.abortedConnections.Load(),
		RegistrationFailures: c.registrationFailures.Load(),
		DialRetries:          c.dialRetries.Load(),
		WriteRetries:         c.writeRetries.Load(),
		SlowTurns:            c.slowTurns.Load(),
	}
}
