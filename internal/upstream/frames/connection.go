package frames

import (
	"cmp"
	"slices"

	"streamcleat/internal/upstream"
)

// exchange is one attempt or load command.
type exchange struct {
	upstream.Exchange
	wireID     uint64      // by which the worker knows it
	connection *connection // that carries it or is being dialed for it; nil where there is none
}

// connection carries several exchanges at a time.
type connection struct {
	upstream.Connection
	open     map[uint64]*exchange // by wire id; before it is established, those that wait
	waiting  []*exchange          // for the dial, in the order they came
	framer   framer
	recent   recentIDs
	detached bool // its worker drains, is gone or restarted: nothing more is sent on it
}

// canCarry reports whether an exchange with the wire id may be added. An id that was in use lately is refused: a late or
// duplicate reply to the earlier exchange would be taken for a reply to the next.
func (c *connection) canCarry(id uint64, maxStreams int) bool {
	return len(c.open) < maxStreams && c.open[id] == nil && !c.recent.contains(id)
}

// remove takes an exchange off the connection, if it is on it, whether it was sent or waits.
func (c *connection) remove(e *exchange) {
	if c.open[e.wireID] != e {
		return
	}
	delete(c.open, e.wireID)
	c.waiting = slices.DeleteFunc(c.waiting, func(other *exchange) bool { return other == e })
	c.recent.add(e.wireID)
}

// takeWaiting empties the list of those that wait for the dial.
func (c *connection) takeWaiting() []*exchange {
	waiting := c.waiting
	c.waiting = nil
	return waiting
}

// takeOpen empties the connection of its exchanges and returns them in the order of their numbers.
func (c *connection) takeOpen() []*exchange {
	list := make([]*exchange, 0, len(c.open))
	for _, e := range c.open {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *exchange) int { return cmp.Compare(a.ID, b.ID) })
	clear(c.open)
	return list
}

// maxRecentIDs is how many ids a connection remembers after their exchanges ended.
const maxRecentIDs = 32

// recentIDs are the wire ids of the exchanges that ended last.
type recentIDs struct {
	ring  [maxRecentIDs]uint64
	count int // of all that were added
}

func (r *recentIDs) add(id uint64) {
	r.ring[r.count%maxRecentIDs] = id
	r.count++
}

func (r *recentIDs) contains(id uint64) bool {
	return slices.Contains(r.ring[:min(r.count, maxRecentIDs)], id)
}
