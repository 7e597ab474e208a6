package frames

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// connectionFor returns the connection for another exchange: an idle one if there is one; otherwise a new one, within
// the limits, so that a reset affects few exchanges; otherwise the one with the fewest exchanges. It returns nil if no
// connection is available.
func (p *Pool) connectionFor(now units.Seconds, worker control.WorkerID, wireID uint64) *connection {
	if !p.endpoints[worker].serving {
		return nil
	}
	best, count := p.leastLoaded(now, worker, wireID)
	atWorkerLimit := count >= p.limits.MaxPerWorker
	if best != nil && (len(best.open) == 0 || atWorkerLimit) {
		return best
	}
	if best == nil && (atWorkerLimit || p.isFull()) {
		p.closeOneIdle(worker)
	}
	if p.isFull() {
		return best
	}
	c := &connection{open: map[uint64]*exchange{}}
	p.Connections.Dial(now, c, worker, p.endpoints[worker].address)
	return c
}

// isFull reports whether the pool has as many connections as it may have.
func (p *Pool) isFull() bool { return p.Connections.Len() >= p.limits.MaxTotal }

// leastLoaded returns the connection with the fewest exchanges among those of a worker that can carry another exchange, nil
// if none can, and the number of the worker's connections.
func (p *Pool) leastLoaded(now units.Seconds, worker control.WorkerID, wireID uint64) (best *connection, count int) {
	for _, c := range p.Connections.ForWorker(worker) {
		if c.draining {
			continue
		}
		count++
		if !c.canCarry(now, wireID, p.limits.MaxStreams) || p.hasUnsent(c) {
			continue
		}
		if best == nil || len(c.open) < len(best.open) {
			best = c
		}
	}
	return best, count
}

// hasUnsent reports whether bytes that were written to an established connection are still buffered.
func (p *Pool) hasUnsent(c *connection) bool { return c.Established && p.transport.Unsent(c.ID) > 0 }

// closeOneIdle closes the idle connection to a worker that was dialed last, if there is one. It makes room for an exchange that
// no connection of the worker can carry: the idle ones have carried its wire ID recently. Without that, a client that repeats
// an ID would occupy another connection each time. Earlier connections stay, because they identify the worker's process.
func (p *Pool) closeOneIdle(worker control.WorkerID) {
	for _, c := range slices.Backward(p.Connections.ForWorker(worker)) {
		if c.Established && !c.draining && len(c.open) == 0 && !p.hasUnsent(c) {
			p.Connections.Close(c)
			p.reportDisconnection(c)
			return
		}
	}
}
