// Package units holds the unit in which a front end counts time.
package units

import "time"

// Seconds is an instant of a front end's monotonic clock, or a span of time, in seconds. Routing decisions compute with
// fractions of seconds in floating point, as the wire states them, and must come out bit-equal on the bench and on
// sockets, so instants and spans keep that form from the event loop to the router. Instants of Unix time are marked so
// where they occur.
type Seconds float64

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }
