package eventloop

import "sync/atomic"

// counters counts faults that the event loop recovered from.
type counters struct {
	acceptFailures       atomic.Uint64 // accept failed for lack of a local resource and was paused
	abortedConnections   atomic.Uint64 // connections that ended before they were accepted
	registrationFailures atomic.Uint64 // epoll could not add or modify a socket
	dialRetries          atomic.Uint64 // socket or connect failed for lack of a local resource
	writeRetries         atomic.Uint64 // write failed for lack of a local resource
	slowIterations       atomic.Uint64 // iterations that took longer than slowIteration
}

// RecoveredErrors holds totals, since the start, of faults that the event loop recovered from.
type RecoveredErrors struct {
	AcceptFailures, AbortedConnections, RegistrationFailures, DialRetries, WriteRetries, SlowIterations uint64
}

// RecoveredErrors returns the current totals. It may be called from any goroutine.
func (s *Server) RecoveredErrors() RecoveredErrors {
	c := &s.counters
	return RecoveredErrors{
		AcceptFailures:       c.acceptFailures.Load(),
		AbortedConnections:   c.abortedConnections.Load(),
		RegistrationFailures: c.registrationFailures.Load(),
		DialRetries:          c.dialRetries.Load(),
		WriteRetries:         c.writeRetries.Load(),
		SlowIterations:       c.slowIterations.Load(),
	}
}
