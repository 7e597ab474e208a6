package soak

import (
	"math/rand/v2"
	"strings"
	"sync"
)

// repeatFraction is the fraction of idempotent requests that have the ID of the one sent to the same process before them, as
// bad clients send it. The other classes never repeat an ID, since the front end knows of no execution after a request's end.
const repeatFraction = 0.1

// lastID holds the ID of the idempotent request that was last sent to a front end. The zero value holds none.
type lastID struct {
	mu      sync.Mutex
	process string
	id      uint64
}

// next returns the ID of the next idempotent request to a process: that of the last one if repeat is set and the process has
// received one, and otherwise the given new ID.
func (l *lastID) next(process string, id uint64, repeat bool) (next uint64, repeated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if repeat && l.process == process {
		return l.id, true
	}
	l.process, l.id = process, id
	return id, false
}

// spell returns the hexadecimal digits of an ID in lower or upper case, which mean the same.
func spell(id uint64, random *rand.Rand) string {
	if random.IntN(2) == 0 {
		return requestName(id)
	}
	return strings.ToUpper(requestName(id))
}
