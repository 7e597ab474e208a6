// Package units defines the unit in which a front end measures time.
package units

import "time"

// Seconds is a time of a front end's monotonic clock, or a duration, in seconds. The wire formats have fractions of seconds
// in floating point, and routing decisions must be bit-identical in the bench's simulator and over sockets. Times and
// durations therefore keep this form from the event loop to the router. Unix times are documented as such where they
// occur.
type Seconds float64

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }
