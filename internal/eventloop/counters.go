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

// RecoveredErrors are totals, since the start, of what the event loop met and recovered from by itself.
type RecoveredErrors struct {
	AcceptFailures, AbortedConnections, RegistrationFailures, DialRetries, WriteRetries, SlowIterations uint64
}

// RecoveredErrors are the totals at this moment; any goroutine may ask for them.
func (s *Server) RecoveredErrors() RecoveredErrors {
	c := &s.counters
	return RecoveredErrors{
		AcceptFailures:       c.acceptFailures.Load(),
		AbortedConnections:   c.abortedConnections.Load(),
		RegistrationFailures: c.registrationFailures.Load(),
		DialRetries:          c.dialRetries.Load(),
		WriteRetries:         c.writeRetries.Load(),
		SlowIterations:       c.slowTurns.Load(),
	}
}
