package simulation

import "slices"

// unlimited is the number of bytes to a break of a connection that no fault breaks.
const unlimited = -1

// connection is one stream of bytes in each direction.
type connection struct {
	network    *network
	name       string
	ends       [2]*endpoint
	blackholed bool // all its packets are lost, and neither side learns of that
	harmed     bool // a fault concerns it
}

// segment is a part of a stream that travels together; nil data closes the direction.
type segment struct {
	data []byte
	due  float64
}

// endpoint is one side of a connection. Its process learns of what happens through the callbacks.
type endpoint struct {
	conn        *connection
	side        int
	process     *process
	incarnation int // of the process that has it

	onData     func([]byte)
	onClosed   func()       // the other side closed or broke it
	onFinished func()       // this side is over, whoever closed it
	onWrite    func([]byte) // sees what this side sends

	queue        []segment // towards the other side
	queuedBytes  int
	delivery     *event  // of the head of the queue
	blockedSince float64 // when the head of the queue first failed to get through; 0: not yet
	readRate     float64 // bytes a second that this side reads; 0: all
	breakAfter   int     // bytes that this side may still get before the connection breaks
	canSend      bool
	finished     bool // it is closed, by this side or by the other, and this side knows
}

func (e *endpoint) peer() *endpoint { return e.conn.ends[1-e.side] }

// write sends bytes. Now and then a segment is cut short.
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
		due = max(due, e.queue[len(e.queue)-1].due)
	}
	e.queue = append(e.queue, segment{data, due})
	e.queuedBytes += len(data)
	e.scheduleDelivery()
}

func (e *endpoint) scheduleDelivery() {
	if e.delivery == nil && len(e.queue) > 0 {
		s := e.conn.network.scheduler
		e.delivery = s.after(e.queue[0].due-s.now, e.conn.name, e.deliver)
	}
}

// retryDelivery tries the head of the queue again after a delay.
func (e *endpoint) retryDelivery(delay float64) {
	e.queue[0].due = e.conn.network.scheduler.now + delay
	e.scheduleDelivery()
}

func (e *endpoint) clearQueue() { e.queue, e.queuedBytes = nil, 0 }

// deliver brings the head of the queue to the other side, if it gets through.
func (e *endpoint) deliver() {
	e.delivery = nil
	peer, n := e.peer(), e.conn.network
	switch {
	case e.conn.blackholed || len(e.queue) == 0:
		e.clearQueue()
	case n.isCut(e.process.name, peer.process.name) || !peer.process.powered:
		e.waitForLink()
	case peer.process.incarnation != peer.incarnation: // nobody there knows the connection any more
		e.reset()
	case peer.process.paused: // the kernel keeps it
		e.retryDelivery(pausedRetry)
	default:
		e.blockedSince = 0
		if open := e.receive(e.dequeue()); open {
			e.scheduleDelivery()
		}
	}
}

// waitForLink tries again later, until the kernel gives the connection up.
func (e *endpoint) waitForLink() {
	now := e.conn.network.scheduler.now
	if e.blockedSince == 0 {
		e.blockedSince = now
	}
	if now-e.blockedSince > giveUpAfter {
		e.conn.reset()
		return
	}
	e.retryDelivery(redialDelay)
}

// dequeue takes the head of the queue. A slow reader delays the next segment.
func (e *endpoint) dequeue() []byte {
	data, now := e.queue[0].data, e.conn.network.scheduler.now
	e.queue = e.queue[1:]
	if len(e.queue) == 0 {
		e.queue = nil
	}
	if rate := e.peer().readRate; rate > 0 && len(data) > 0 && len(e.queue) > 0 {
		e.queue[0].due = max(e.queue[0].due, now+float64(len(data))/rate)
	}
	e.queuedBytes -= len(data)
	return data
}

// receive hands a segment to the other side. The result is false where that breaks the connection.
func (e *endpoint) receive(data []byte) (open bool) {
	peer := e.peer()
	e.conn.network.scheduler.trace(e.conn.name, data)
	switch {
	case data == nil: // whoever learns of it closes too
		if peer.canSend {
			peer.send(nil)
			peer.canSend = false
		}
		peer.onPeerGone()
	case peer.breakAfter >= 0 && len(data) >= peer.breakAfter:
		data = data[:peer.breakAfter]
		peer.breakAfter = unlimited
		if len(data) > 0 {
			peer.handOver(data)
		}
		e.conn.reset()
		return false
	default:
		if peer.breakAfter >= 0 {
			peer.breakAfter -= len(data)
		}
		peer.handOver(data)
	}
	return true
}

func (e *endpoint) handOver(data []byte) {
	if e.onData != nil && !e.finished {
		e.onData(data)
	}
}

// onPeerGone informs this side that the other closed or broke the connection.
func (e *endpoint) onPeerGone() {
	if e.finished {
		return
	}
	e.finish()
	if e.onClosed != nil && e.process.incarnation == e.incarnation {
		e.process.guard(e.onClosed)()
	}
}

// reset breaks the connection: this side learns of it now.
func (e *endpoint) reset() {
	e.clearQueue()
	e.onPeerGone()
}

// reset breaks the connection: both sides learn of it when the news reaches them, and what is written from now on is
// lost.
func (c *connection) reset() {
	c.blackholed = true
	for _, e := range c.ends {
		e.clearQueue()
	}
	for _, e := range c.ends {
		c.network.scheduler.after(c.network.delay(e.peer().process.name, e.process.name), c.name+" breaks", e.onPeerGone)
	}
}

// close ends this side; what was written still goes out before the other side learns of it.
func (e *endpoint) close() {
	if e.finished && !e.canSend {
		return
	}
	if e.canSend {
		e.send(nil)
	}
	e.finish()
}

// finish is the end of this side's use of the connection.
func (e *endpoint) finish() {
	e.canSend, e.finished = false, true
	if e.onFinished != nil {
		e.onFinished()
		e.onFinished = nil
	}
	e.conn.removeIfFinished()
}

// closeWrite closes this side's sending; it still reads.
func (e *endpoint) closeWrite() {
	if e.canSend {
		e.send(nil)
		e.canSend = false
	}
}

// vanish is what a kernel does for a process that ended: it answers the other side's packets by a reset.
func (e *endpoint) vanish() {
	if e.finished {
		return
	}
	e.clearQueue()
	peer := e.peer()
	if !e.conn.blackholed && !peer.finished {
		n := e.conn.network
		n.scheduler.after(n.delay(e.process.name, peer.process.name), e.conn.name+" breaks", e.tellPeerGone)
	}
	e.finish()
}

// tellPeerGone brings the news of a reset to the other side once it gets through.
func (e *endpoint) tellPeerGone() {
	n, peer := e.conn.network, e.peer()
	if n.isCut(e.process.name, peer.process.name) {
		n.scheduler.after(redialDelay, e.conn.name+" breaks", e.tellPeerGone)
		return
	}
	peer.onPeerGone()
}

// drop ends this side without any news to the other, as a machine that loses its power does.
func (e *endpoint) drop() {
	e.clearQueue()
	e.finish()
}

// breakSoon breaks the connection once this side has got so many more bytes.
func (e *endpoint) breakSoon(bytes int) {
	e.conn.harmed = true
	e.breakAfter = bytes
}

// blackhole loses all further packets of a connection; neither side learns of that.
func (c *connection) blackhole() {
	c.harmed = true
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

// unsent is the number of bytes that the sender's kernel has not taken.
func (e *endpoint) unsent() int { return max(e.queuedBytes-e.conn.network.buffer, 0) }
