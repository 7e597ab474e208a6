package eventloop

import "time"

// acceptBacklog tracks for how long connections may have waited to be accepted because there are more than one iteration accepts. The
// kernel keeps them in the order in which they were established: those behind the ones that waited at some time came later than that.
// The zero value stands for no backlog.
type acceptBacklog struct {
	since   time.Time // a connection that is accepted now has not waited since before
	next    time.Time // the same, once the connections have been accepted that waited then
	waiting int       // number of these
}

// onAccepted is called for each accepted connection. It returns the time before which the connection was not established, zero if there
// is no backlog.
func (b *acceptBacklog) onAccepted() (since time.Time) {
	if b.since.IsZero() {
		return time.Time{}
	}
	since = b.since
	if b.waiting--; b.waiting == 0 {
		b.since = b.next
	}
	return since
}

// onLeft is called when connections are left at the end of an iteration that began to accept at a time.
func (b *acceptBacklog) onLeft(startedAt time.Time, queueLength func() (int, error)) {
	if b.since.IsZero() {
		b.since = startedAt
	}
	if b.waiting > 0 {
		return
	}
	if waiting, err := queueLength(); err == nil && waiting > 0 {
		b.next, b.waiting = time.Now(), waiting
	}
}
