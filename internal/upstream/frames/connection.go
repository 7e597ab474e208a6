package frames

import (
	"cmp"
	"slices"

	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// exchange is an attempt or load command.
type exchange struct {
	upstream.Exchange
	wireID     uint64      // identifies the exchange in the protocol's frames
	connection *connection // nil if none was available
}

// connection is a connection to a worker. It carries several concurrent exchanges.
type connection struct {
	upstream.Connection
	open     map[uint64]*exchange // by wire ID, including waiting ones
	waiting  []*exchange          // for the dial to complete, in order of arrival
	framer   framer
	ended    endedIDs
	draining bool // the worker is draining, was removed, changed its address or restarted: no new exchanges
	verified bool // reaches the same process as the connections established before it
}

// canCarry reports whether an exchange with the given wire ID may be added. A wire ID whose exchange ended a short time ago is
// refused, because a late or duplicate reply to that exchange would be taken for a reply to the new one.
func (c *connection) canCarry(now units.Seconds, wireID uint64, maxStreams int) bool {
	return len(c.open) < maxStreams && c.open[wireID] == nil && !c.ended.contains(now, wireID)
}

// remove removes an exchange, sent or waiting, if it is open on the connection.
func (c *connection) remove(e *exchange) {
	if c.open[e.wireID] != e {
		return
	}
	delete(c.open, e.wireID)
	c.waiting = slices.DeleteFunc(c.waiting, func(other *exchange) bool { return other == e })
}

// takeWaiting returns the exchanges that wait for the dial to complete, and clears the list. They remain open.
func (c *connection) takeWaiting() []*exchange {
	waiting := c.waiting
	c.waiting = nil
	return waiting
}

// takeOpen removes all open exchanges from the connection and returns them in order of their IDs.
func (c *connection) takeOpen() []*exchange {
	list := make([]*exchange, 0, len(c.open))
	for _, e := range c.open {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *exchange) int { return cmp.Compare(a.ID, b.ID) })
	clear(c.open)
	return list
}
