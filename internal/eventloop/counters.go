package eventloop

import "sync/atomic"

// counters counts errors from which the event loop recovered, and slow iterations.
type counters struct {
	acceptFailures       atomic.Uint64 // accept failed for lack of a local resource, and accepting was paused
	abortedConnections   atomic.Uint64 // connections that closed before they were accepted
	registrationFailures atomic.Uint64 // epoll_ctl failed to add or modify a descriptor
	dialRetries          atomic.Uint64 // socket or connect failed transiently, mostly for lack of a local resource
	writeRetries         atomic.Uint64 // write failed for lack of a local resource
	acceptsDelayed       atomic.Uint64 // connections waited because the limit was reached and no other could be closed
	droppedDatagrams     atomic.Uint64 // datagrams of peers dropped because too many waited for the event loop
	slowIterations       atomic.Uint64 // iterations that took longer than slowIteration
}

// RecoveredErrors holds the totals, since the start of the server, of errors from which the event loop recovered.
type RecoveredErrors struct {
	AcceptFailures, AbortedConnections, RegistrationFailures, DialRetries, WriteRetries, AcceptsDelayed, DroppedDatagrams, SlowIterations uint64
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
		AcceptsDelayed:       c.acceptsDelayed.Load(),
		DroppedDatagrams:     c.droppedDatagrams.Load(),
		SlowIterations:       c.slowIterations.Load(),
	}
}
