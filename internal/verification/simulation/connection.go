package simulation

import (
	"slices"

	"streamcleat/internal/units"
)

// noReset is the value of bytesUntilReset while no fault is to reset the connection.
const noReset = -1

// connection is a simulated TCP connection between two processes.
type connection struct {
	network    *network
	name       string
	ends       [2]*endpoint
	blackholed bool // all packets are dropped silently
	faulty     bool // the connection was affected by a fault
}

// segment is a part of the byte stream in one direction. Nil data closes the direction.
type segment struct {
	data []byte
	due  float64
}

// endpoint is one side of a connection. It notifies its process through callbacks.
type endpoint struct {
	conn        *connection
	side        int
	process     *process
	incarnation int // of the process when the connection was opened

	onData     func([]byte)
	onClosed   func()       // the other side closed or reset the connection
	onFinished func()       // this side was closed by either process
	onWrite    func([]byte) // observes the data written by this side

	queue           []segment // segments in flight to the other side
	queuedBytes     int
	delivery        *event        // delivery of the head of the queue
	blockedSince    units.Seconds // start of the partition that blocks the queue; 0: none
	readRate        float64       // bytes per second at which this side reads; 0: unlimited
	bytesUntilReset int           // bytes that this side receives before a fault resets the connection
	canSend         bool
	finished        bool // closed by this side, or this side was notified that the other one closed or reset it
}

func (e *endpoint) peer() *endpoint { return e.conn.ends[1-e.side] }

// write sends data in segments, some of them of random size.
func (e *endpoint) write(data []byte) {
	if !e.canSend || e.finished || len(data) == 0 {
		return
	}
	if e.onWrite != nil {
		e.onWrite(data)
	}
	rng := e.conn.network.rng
	for len(data) > 0 {
		n := min(len(data), segmentBytes)
		if rng.IntN(8) == 0 {
			n = 1 + rng.IntN(n)
		}
		e.send(slices.Clone(data[:n]))
		data = data[n:]
	}
}

// send queues a segment for delivery. Nil data closes the direction.
func (e *endpoint) send(data []byte) {
	n := e.conn.network
	due := n.scheduler.now + n.delay(e.process.name, e.peer().process.name)
	if len(e.queue) > 0 {
		due = max(due, units.Seconds(e.queue[len(e.queue)-1].due))
	}
	e.queue = append(e.queue, segment{data, float64(due)})
	e.queuedBytes += len(data)
	e.scheduleDelivery()
}

func (e *endpoint) scheduleDelivery() {
	if e.delivery == nil && len(e.queue) > 0 {
		s := e.conn.network.scheduler
		e.delivery = s.after(units.Seconds(e.queue[0].due)-s.now, e.conn.name, e.deliver)
	}
}

// retryDelivery retries the delivery of the head of the queue after a delay.
func (e *endpoint) retryDelivery(delay units.Seconds) {
	e.queue[0].due = float64(e.conn.network.scheduler.now + delay)
	e.scheduleDelivery()
}

func (e *endpoint) clearQueue() { e.queue, e.queuedBytes = nil, 0 }

// deliver delivers the head of the queue to the other side, unless a fault prevents that.
func (e *endpoint) deliver() {
	e.delivery = nil
	peer, n := e.peer(), e.conn.network
	switch {
	case e.conn.blackholed || len(e.queue) == 0:
		e.clearQueue()
	case n.isPartitioned(e.process.name, peer.process.name) || !peer.process.powered:
		e.retryWhilePartitioned()
	case peer.process.incarnation != peer.incarnation: // the other process has ended
		e.reset()
	case peer.process.suspended: // the kernel buffers the data for the process
		e.retryDelivery(suspendedRetryDelay)
	default:
		e.blockedSince = 0
		if open := e.receive(e.dequeue()); open {
			e.scheduleDelivery()
		}
	}
}

// retryWhilePartitioned retries the delivery later, or resets the connection if connectionTimeout has passed.
func (e *endpoint) retryWhilePartitioned() {
	now := e.conn.network.scheduler.now
	if e.blockedSince == 0 {
		e.blockedSince = now
	}
	if now-e.blockedSince > connectionTimeout {
		e.conn.reset()
		return
	}
	e.retryDelivery(partitionRetryDelay)
}

// dequeue removes the head of the queue. If the other side's read rate is limited, the next segment is delayed.
func (e *endpoint) dequeue() []byte {
	data, now := e.queue[0].data, e.conn.network.scheduler.now
	e.queue = e.queue[1:]
	if len(e.queue) == 0 {
		e.queue = nil
	}
	if rate := e.peer().readRate; rate > 0 && len(data) > 0 && len(e.queue) > 0 {
		e.queue[0].due = float64(max(units.Seconds(e.queue[0].due), now+units.Seconds(float64(len(data))/rate)))
	}
	e.queuedBytes -= len(data)
	return data
}

// receive delivers a segment to the other side. It returns false if a fault resets the connection at this segment.
func (e *endpoint) receive(data []byte) bool {
	peer := e.peer()
	e.conn.network.scheduler.trace(e.conn.name, data)
	switch {
	case data == nil: // the other side also closes its direction
		if peer.canSend {
			peer.send(nil)
			peer.canSend = false
		}
		peer.onPeerClosed()
	case peer.bytesUntilReset >= 0 && len(data) >= peer.bytesUntilReset:
		data = data[:peer.bytesUntilReset]
		peer.bytesUntilReset = noReset
		if len(data) > 0 {
			peer.deliverData(data)
		}
		e.conn.reset()
		return false
	default:
		if peer.bytesUntilReset >= 0 {
			peer.bytesUntilReset -= len(data)
		}
		peer.deliverData(data)
	}
	return true
}

func (e *endpoint) deliverData(data []byte) {
	if e.onData != nil && !e.finished {
		e.onData(data)
	}
}

// onPeerClosed ends this side of the connection and notifies its process that the other side closed or reset it.
func (e *endpoint) onPeerClosed() {
	if e.finished {
		return
	}
	e.finish()
	if e.onClosed != nil && e.process.incarnation == e.incarnation {
		e.process.whileRunning(e.onClosed)()
	}
}

// reset ends this side of the connection after a reset by the other side's kernel.
func (e *endpoint) reset() {
	e.clearQueue()
	e.onPeerClosed()
}

// reset resets the connection and discards queued and future data. Both sides are notified after the network's delay.
func (c *connection) reset() {
	c.blackholed = true
	for _, e := range c.ends {
		e.clearQueue()
	}
	for _, e := range c.ends {
		c.network.scheduler.after(c.network.delay(e.peer().process.name, e.process.name), c.name+" breaks", e.onPeerClosed)
	}
}

// close closes this side. Data that was already written is delivered before the other side is notified.
func (e *endpoint) close() {
	if e.finished && !e.canSend {
		return
	}
	if e.canSend {
		e.send(nil)
	}
	e.finish()
}

// finish marks this side as closed, and removes the connection once both sides are closed.
func (e *endpoint) finish() {
	e.canSend, e.finished = false, true
	if e.onFinished != nil {
		e.onFinished()
		e.onFinished = nil
	}
	e.conn.removeIfFinished()
}

// closeWrite closes the direction to the other side. This side continues to receive.
func (e *endpoint) closeWrite() {
	if e.canSend {
		e.send(nil)
		e.canSend = false
	}
}

// resetByKernel resets the connection as the kernel does when this side's process ends.
func (e *endpoint) resetByKernel() {
	if e.finished {
		return
	}
	e.clearQueue()
	peer := e.peer()
	if !e.conn.blackholed && !peer.finished {
		n := e.conn.network
		n.scheduler.after(n.delay(e.process.name, peer.process.name), e.conn.name+" breaks", e.notifyPeer)
	}
	e.finish()
}

// notifyPeer notifies the other side of a reset. During a partition it retries until the partition has ended.
func (e *endpoint) notifyPeer() {
	n, peer := e.conn.network, e.peer()
	if n.isPartitioned(e.process.name, peer.process.name) {
		n.scheduler.after(partitionRetryDelay, e.conn.name+" breaks", e.notifyPeer)
		return
	}
	peer.onPeerClosed()
}

// dropSilently ends this side without notifying the other one, like a machine that loses power.
func (e *endpoint) dropSilently() {
	e.clearQueue()
	e.finish()
}

// resetAfterBytes arms a fault that resets the connection after this side has received the given number of bytes.
func (e *endpoint) resetAfterBytes(bytes int) {
	e.conn.faulty = true
	e.bytesUntilReset = bytes
}

// blackhole drops all further packets of the connection without a reset.
func (c *connection) blackhole() {
	c.faulty = true
	c.blackholed = true
}

func (c *connection) removeIfFinished() {
	if !c.ends[0].finished || !c.ends[1].finished {
		return
	}
	if i := slices.Index(c.network.conns, c); i >= 0 {
		c.network.conns = slices.Delete(c.network.conns, i, i+1)
	}
}

// unsent returns the number of queued bytes that exceed the kernel's send buffer.
func (e *endpoint) unsent() int { return max(e.queuedBytes-e.conn.network.buffer, 0) }
