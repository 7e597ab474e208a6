package frames

import "streamcleat/internal/units"

// replyRetention is the time in seconds after the end of an exchange for which a connection does not carry its wire ID again.
// It is longer than a request's timeout and a partition of the network, after which a delayed reply arrives.
const replyRetention units.Seconds = 15

// endedIDs holds the wire IDs of the exchanges that were sent on a connection and ended there within replyRetention. The zero
// value holds none.
type endedIDs struct {
	byAge   []endedID                // the oldest first
	endedAt map[uint64]units.Seconds // time of the last end, by wire ID
}

// endedID is the wire ID of an exchange that ended at a time.
type endedID struct {
	id uint64
	at units.Seconds
}

// add adds the wire ID of an exchange that ends now, and removes those whose retention is over.
func (e *endedIDs) add(now units.Seconds, id uint64) {
	e.expire(now)
	if e.endedAt == nil {
		e.endedAt = map[uint64]units.Seconds{}
	}
	e.endedAt[id] = now
	e.byAge = append(e.byAge, endedID{id, now})
}

// contains reports whether an exchange with a wire ID ended within replyRetention.
func (e *endedIDs) contains(now units.Seconds, id uint64) bool {
	at, known := e.endedAt[id]
	return known && now-at < replyRetention
}

func (e *endedIDs) expire(now units.Seconds) {
	expired := 0
	for expired < len(e.byAge) && now-e.byAge[expired].at >= replyRetention {
		oldest := e.byAge[expired]
		if e.endedAt[oldest.id] == oldest.at { // it has not ended again since
			delete(e.endedAt, oldest.id)
		}
		expired++
	}
	e.byAge = e.byAge[expired:]
}
