package platform

// ShutdownPhase is what a front end does after it was told to stop. Requests still come for a while, on new connections
// too, and every request that is accepted is answered.
type ShutdownPhase int

// Phases in their order; a front end may skip some.
const (
	Serving    ShutdownPhase = iota // no shutdown
	Draining                        // not ready any more; every request that comes is accepted
	GoingAway                       // clients are told to send no more; requests that cross that are accepted
	Answering                       // the platform is about to kill the process: open requests are answered as they stand
	Flushing                        // nothing is open: connections are closed after their last byte
	Terminated                      // every client has read all responses or has had its time: the process exits
)

// Times in seconds after the signal, as the platform states them for a planned stop.
const (
	// acceptWindow is for how long requests may still come: 0.4 on new connections, 0.2 more on open ones.
	acceptWindow = 0.65
	// crossingWindow is how long after clients are told to send no more the last of their requests may arrive.
	crossingWindow = 0.3
	// killDelay is the least time between the longest request timeout and the kill.
	killDelay = 0.7
	// maxCountedTimeout is the most of the longest request timeout that the platform waits for.
	maxCountedTimeout = 3.0
	// flushTime is kept before the kill, for the last responses to leave.
	flushTime = 0.25
)

// Shutdown is one shutdown under way.
type Shutdown struct {
	MaxRequestTimeout float64 // longest request timeout
	answeredAt        float64 // when all was answered; 0 before
}

// Outstanding is what a front end still has to do.
type Outstanding struct {
	Requests        bool // a request is open, or a part of a frame came
	UnreadResponses bool // some client has not read all of its responses
}

// Phase returns the phase at a time after the signal, in seconds. It never returns an earlier phase than before.
func (s *Shutdown) Phase(elapsed float64, left Outstanding) ShutdownPhase {
	killAt := min(s.MaxRequestTimeout, maxCountedTimeout) + killDelay
	if s.answeredAt > 0 {
		if !left.UnreadResponses || elapsed >= max(killAt, s.answeredAt+flushTime) {
			return Terminated
		}
		return Flushing
	}
	switch {
	case elapsed < acceptWindow:
		return Draining
	case elapsed >= acceptWindow+crossingWindow && !left.Requests:
		s.answeredAt = elapsed
		return Flushing
	case elapsed >= killAt-flushTime:
		s.answeredAt = elapsed
		return Answering
	}
	return GoingAway
}
