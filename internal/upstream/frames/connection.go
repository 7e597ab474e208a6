package frames

import (
	"cmp"
	"slices"

	"streamcleat/internal/upstream"
)

// exchange is an attempt or load command.
type exchange struct {
	upstream.Exchange
	wireID     uint64      // identifies it in the protocol's frames
	connection *connection // nil if there was none for it
}

// connection is a connection to a worker. It carries several exchanges at a time.
type connection struct {
	upstream.Connection
	open     map[uint64]*exchange // by wire ID, including waiting ones
	waiting  []*exchange          // for the dial, in order of arrival
	framer   framer
	recent   recentIDs
	draining bool // the worker is draining, removed, moved or restarted: no new exchanges
}

// canCarry reports whether an exchange with the given wire ID may be added. A wire ID used recently is refused, because a
// late or duplicate reply to the earlier exchange would be taken for a reply to the new one.
func (c *connection) canCarry(wireID uint64, maxStreams int) bool {
	return len(c.open) < maxStreams && c.open[wireID] == nil && !c.recent.contains(wireID)
}

// remove removes an exchange, sent or waiting, if it is open on the connection.
func (c *connection) remove(e *exchange) {
	if c.open[e.wireID] != e {
		return
	}
	delete(c.open, e.wireID)
	c.waiting = slices.DeleteFunc(c.waiting, func(other *exchange) bool { return other == e })
	c.recent.add(e.wireID)
}

// takeWaiting returns the exchanges that wait for the dial and clears the list.
func (c *connection) takeWaiting() []*exchange {
	waiting := c.waiting
	c.waiting = nil
	return waiting
}

// takeOpen returns the open exchanges in the order of their IDs and removes them from the connection.
func (c *connection) takeOpen() []*exchange {
	list := make([]*exchange, 0, len(c.open))
	for _, e := range c.open {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *exchange) int { return cmp.Compare(a.ID, b.ID) })
	clear(c.open)
	return list
}

// maxRecentIDs is the number of wire IDs that a connection remembers after their exchanges ended.
const maxRecentIDs = 32

// recentIDs holds the wire IDs of the most recently ended exchanges.
type recentIDs struct {
	ring  [maxRecentIDs]uint64
	count int // IDs ever added
}

func (r *recentIDs) add(id uint64) {
	r.ring[r.count%maxRecentIDs] = id
	r.count++
}

func (r *recentIDs) contains(id uint64) bool {
	return slices.Contains(r.ring[:min(r.count, maxRecentIDs)], id)
}
