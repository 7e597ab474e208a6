package platform

import (
	"testing"

	"streamcleat/internal/units"
)

func TestShutdown_Phases(t *testing.T) {
	open, unread, none := Outstanding{Requests: true, UnreadResponses: true}, Outstanding{UnreadResponses: true}, Outstanding{}
	type observation struct {
		elapsed units.Seconds
		left    Outstanding
		want    ShutdownPhase
	}
	for name, observations := range map[string][]observation{
		"idle: waits for new requests and requests in flight":                     {{0, none, Draining}, {0.6, none, Draining}, {0.7, none, GoingAway}, {0.9, open, GoingAway}, {1, none, Flushing}, {1.02, none, Terminated}},
		"long request and slow client":                                            {{0.7, open, GoingAway}, {2.1, open, GoingAway}, {2.2, unread, Flushing}, {2.25, unread, Flushing}, {2.3, none, Terminated}},
		"kill imminent: responds to open requests, does not wait for slow client": {{1, open, GoingAway}, {3.5, open, Responding}, {3.6, unread, Flushing}, {3.69, open, Flushing}, {3.75, unread, Terminated}},
	} {
		s := Shutdown{MaxRequestTimeout: 4} // capped at maxCountedTimeout
		for _, o := range observations {
			if got := s.Advance(o.elapsed, o.left); got != o.want {
				t.Errorf("%s: phase %[3]d at %[2]v, want %[4]d", name, o.elapsed, got, o.want)
			}
		}
	}
	early := Shutdown{MaxRequestTimeout: 0.4} // killed 1.1 s after the signal
	for _, o := range []observation{{0.86, open, Responding}, {1, unread, Flushing}, {1.08, unread, Terminated}} {
		if got := early.Advance(o.elapsed, o.left); got != o.want {
			t.Errorf("client that never reads, early kill: phase %[2]d at %[1]v, want %[3]d", o.elapsed, got, o.want)
		}
	}
	if s := (Shutdown{MaxRequestTimeout: 1.5}); s.Advance(2, open) != Responding {
		t.Error("phase does not account for the earlier kill of a shorter timeout")
	}
}
