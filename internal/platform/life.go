package platform

// ShutdownPhase is what a front end does after it was told to stop, by the seconds since. Requests come for a while yet, on new
// connections too, and all that is taken is answered.
type ShutdownPhase int

const (
	Serving    ShutdownPhase = iota // as ever
	Draining                        // not ready any more; all that comes is taken
	GoingAway                       // clients are told to send no more here; what crosses that is taken
	Answering                       // the platform is about to kill: what is open is answered as it stands
	Flushing                        // nothing is open: connections are closed behind their last byte
	Terminated                      // every client has read it all, or has had its time: the process ends
)

// Times in seconds, as the platform states them for a planned stop.
const (
	callsFor = 0.65 // for which requests may still come: 0.4 on new connections, 0.2 more on open ones
	crossFor = 0.3  // and in which the last of them may cross the telling
	killPast = 0.7  // a kill comes no sooner than this after the longest time that a client waits
	waitMost = 3.0  // of which no more than this counts
	sparedBy = 0.25 // kept before the kill, for the last answers to leave
)

// Shutdown is one stop under way.
type Shutdown struct {
	MaxAge float64 // longest time that a client waits for an answer
	quiet  float64 // when all was answered; 0 before
}

// Outstanding is what a front end still has to do.
type Outstanding struct {
	Requests        bool // an event is open, or a part of a frame came
	UnreadResponses bool // some client has not read all that it was told
}

// Phase tells what holds since seconds after the signal. It never goes back.
func (s *Shutdown) Phase(since float64, left Outstanding) ShutdownPhase {
	kill := min(s.MaxAge, waitMost) + killPast
	switch {
	case s.quiet > 0 && (!left.UnreadResponses || since >= max(kill, s.quiet+sparedBy)):
		return Terminated
	case s.quiet > 0:
		return Flushing
	case since < callsFor:
		return Draining
	case since >= callsFor+crossFor && !left.Requests:
		s.quiet = since
		return Flushing
	case since >= kill-sparedBy:
		s.quiet = since
		return Answering
	}
	return GoingAway
}
