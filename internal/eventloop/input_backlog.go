package eventloop

import "time"

// inputBacklog tracks for how long input of a connection may have been left unread because a read returned as much as one iteration
// reads. Input that is read next may be as old as the first of these reads.
type inputBacklog struct {
	since time.Time // time of the first read; zero if all input was read
	poll  uint64    // number of complete polls at the last read
}

// beforeRead is called for a read, with the number of complete polls so far. If a complete poll since the last read did not report the
// connection, nothing was left unread then.
func (b *inputBacklog) beforeRead(polls uint64) {
	if polls > b.poll+1 {
		b.since = time.Time{}
	}
}

// afterRead is called once the input of a read at a time was passed on. full tells that the read returned as much as one iteration
// reads.
func (b *inputBacklog) afterRead(polls uint64, readAt time.Time, full bool) {
	b.poll = polls
	switch {
	case !full:
		b.since = time.Time{}
	case b.since.IsZero():
		b.since = readAt
	}
}
