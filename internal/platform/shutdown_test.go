package platform

import (
	"testing"
)

func TestShutdownPhases(t *testing.T) {
	open, unread, none := Outstanding{Requests: true, UnreadResponses: true}, Outstanding{UnreadResponses: true}, Outstanding{}
	type observation struct {
		elapsed float64
		left    Outstanding
		want    ShutdownPhase
	}
	for i, observations := range [][]observation{
		// Nothing is open: requests within the window, and those that cross the notice, are waited for.
		{{0, none, Draining}, {0.6, none, Draining}, {0.7, none, GoingAway}, {0.9, open, GoingAway}, {1, none, Flushing}, {1.02, none, Terminated}},
		// A request is open for long, and a client reads slowly.
		{{0.7, open, GoingAway}, {2.1, open, GoingAway}, {2.2, unread, Flushing}, {2.25, unread, Flushing}, {2.3, none, Terminated}},
		// The kill is near: what is open is answered, and a client that has not read by then is not waited for.
		{{1, open, GoingAway}, {3.5, open, Answering}, {3.6, unread, Flushing}, {3.69, open, Flushing}, {3.75, unread, Terminated}},
	} {
		s := Shutdown{MaxRequestTimeout: 4} // counts as 3
		for _, o := range observations {
			if got := s.Phase(o.elapsed, o.left); got != o.want {
				t.Errorf("case %d: %v after the signal: %d, want %d", i, o.elapsed, got, o.want)
			}
		}
	}
	if s := (Shutdown{MaxRequestTimeout: 1.5}); s.Phase(2, open) != Answering {
		t.Error("an earlier kill is not expected")
	}
}
