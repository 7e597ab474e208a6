package simulation

import (
	"slices"

	"streamcleat/internal/units"
)

// noReset is the value of bytesUntilReset without a fault.
const noReset = -1

// connection is a connection between two processes.
type connection struct {
	network    *network
	name       string
	ends       [2]*endpoint
	blackholed bool // all its packets are lost silently
	faulty     bool // a fault has affected it
}

// segment is a part of a stream. Nil data closes the direction.
type segment struct {
	data []byte
	due  float64
}

// endpoint is one side of a connection. It notifies its process by callbacks.
type endpoint struct {
	conn        *connection
	side        int
	process     *process
	incarnation int // of the process that opened it

	onData     func([]byte)
	onClosed   func()       // the other side closed or reset it
	onFinished func()       // this side is closed, by either process
	onWrite    func([]byte) // observes the data that this side sends

	queue           []segment // towards the other side
	queuedBytes     int
	delivery        *event        // of the head of the queue
	blockedSince    units.Seconds // time since which the link has been partitioned; 0: it is not
	readRate        float64       // bytes per second that this side reads; 0: unlimited
	bytesUntilReset int           // bytes that this side still receives before the connection is reset
	canSend         bool
	finished        bool // closed by this side, or by the other one with this side's knowledge
}

func (e *endpoint) peer() *endpoint { return e.conn.ends[1-e.side] }

// write sends data in segments of random size.
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

// send queues a segment; nil closes the direction.
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
	case peer.process.suspended: // its kernel buffers the data
		e.retryDelivery(suspendedRetryDelay)
	default:
		e.blockedSince = 0
		if open := e.receive(e.dequeue()); open {
			e.scheduleDelivery()
		}
	}
}

// retryWhilePartitioned retries later, or resets the connection after connectionTimeout.
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

// dequeue removes the head of the queue. A slow reader delays the next segment.
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

// receive passes a segment to the other side. It returns false if that resets the connection.
func (e *endpoint) receive(data []byte) bool {
	peer := e.peer()
	e.conn.network.scheduler.trace(e.conn.name, data)
	switch {
	case data == nil: // the other side closes as well
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

// onPeerClosed notifies this side that the other one closed or reset the connection.
func (e *endpoint) onPeerClosed() {
	if e.finished {
		return
	}
	e.finish()
	if e.onClosed != nil && e.process.incarnation == e.incarnation {
		e.process.whileRunning(e.onClosed)()
	}
}

// reset resets this side of the connection.
func (e *endpoint) reset() {
	e.clearQueue()
	e.onPeerClosed()
}

// reset resets the connection. Both sides are notified after the network's delay. Data written from now on is lost.
func (c *connection) reset() {
	c.blackholed = true
	for _, e := range c.ends {
		e.clearQueue()
	}
	for _, e := range c.ends {
		c.network.scheduler.after(c.network.delay(e.peer().process.name, e.process.name), c.name+" breaks", e.onPeerClosed)
	}
}

// close closes this side. Written data is delivered before the other side is notified.
func (e *endpoint) close() {
	if e.finished && !e.canSend {
		return
	}
	if e.canSend {
		e.send(nil)
	}
	e.finish()
}

// finish ends this side's use of the connection.
func (e *endpoint) finish() {
	e.canSend, e.finished = false, true
	if e.onFinished != nil {
		e.onFinished()
		e.onFinished = nil
	}
	e.conn.removeIfFinished()
}

// closeWrite closes the direction towards the other side. This side still receives.
func (e *endpoint) closeWrite() {
	if e.canSend {
		e.send(nil)
		e.canSend = false
	}
}

// resetByKernel resets the connection of a process that ended, as its kernel does.
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

// notifyPeer notifies the other side of a reset, once no partition prevents that.
func (e *endpoint) notifyPeer() {
	n, peer := e.conn.network, e.peer()
	if n.isPartitioned(e.process.name, peer.process.name) {
		n.scheduler.after(partitionRetryDelay, e.conn.name+" breaks", e.notifyPeer)
		return
	}
	peer.onPeerClosed()
}

// dropSilently ends this side without a notification of the other, like a machine that loses power.
func (e *endpoint) dropSilently() {
	e.clearQueue()
	e.finish()
}

// resetAfterBytes resets the connection after this side has received a number of further bytes.
func (e *endpoint) resetAfterBytes(bytes int) {
	e.conn.faulty = true
	e.bytesUntilReset = bytes
}

// blackhole drops all further packets of the connection silently.
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

// unsent returns the number of bytes that do not fit into the kernel's send buffer.
func (e *endpoint) unsent() int { return max(e.queuedBytes-e.conn.network.buffer, 0) }
