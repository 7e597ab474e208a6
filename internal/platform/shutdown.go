package platform

import "streamcleat/internal/units"

// ShutdownPhase is a phase of a graceful shutdown. Every request accepted in any phase gets a response.
type ShutdownPhase int

// Phases in order. A shutdown may skip some.
const (
	Serving    ShutdownPhase = iota // no shutdown
	Draining                        // not ready, but still accepting connections and requests
	GoingAway                       // clients were sent go-away; requests sent before they received it are accepted
	Responding                      // the platform's kill is imminent: open requests get responses with their current state
	Flushing                        // no request is open: connections are closed once their output is sent
	Terminated                      // all clients have read their responses, or the time for that is over: the process exits
)

// Times in seconds after the signal, as the platform specifies them for a planned stop.
const (
	// acceptWindow is the time during which new requests may arrive: 0.4 on new connections and 0.2 more on open ones.
	acceptWindow = 0.65
	// inFlightWindow is the time after go-away during which requests already in flight may still arrive.
	inFlightWindow = 0.3
	// killDelay is the minimum time from the end of the longest request timeout until the platform's kill.
	killDelay = 0.7
	// maxCountedTimeout is the longest request timeout that the platform's kill waits for. Longer ones are cut off.
	maxCountedTimeout = 3.0
	// flushTime is the time reserved for sending the last responses before the kill.
	flushTime = 0.25
	// exitTime is how long before the kill the process exits, even if clients have not read their responses.
	exitTime = 0.05
)

// Shutdown is the state of a graceful shutdown.
type Shutdown struct {
	MaxRequestTimeout units.Seconds // in seconds
	respondedAt       units.Seconds // when the last open request got its response; 0 before
}

// Outstanding describes the work that a front end has left.
type Outstanding struct {
	Requests        bool // a request is open or a frame is incomplete
	UnreadResponses bool // a client has not read all of its responses
}

// Advance advances the shutdown to the given time after the signal, in seconds, and returns its phase. A shutdown never
// returns to an earlier phase.
func (s *Shutdown) Advance(elapsed units.Seconds, left Outstanding) ShutdownPhase {
	killAt := min(s.MaxRequestTimeout, maxCountedTimeout) + killDelay
	if s.respondedAt > 0 {
		if !left.UnreadResponses || elapsed >= max(killAt, s.respondedAt+flushTime)-exitTime {
			return Terminated
		}
		return Flushing
	}
	switch {
	case elapsed < acceptWindow:
		return Draining
	case elapsed >= acceptWindow+inFlightWindow && !left.Requests:
		s.respondedAt = elapsed
		return Flushing
	case elapsed >= killAt-flushTime:
		s.respondedAt = elapsed
		return Responding
	}
	return GoingAway
}
