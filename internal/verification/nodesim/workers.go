package nodesim

import (
	"bytes"
	"maps"
	"slices"

	"streamcleat/internal/upstream"
	"streamcleat/internal/verification/nodetest"
	"streamcleat/internal/verification/workerframes"
)

const (
	maxWork     = 0.04 // seconds that an attempt usually runs
	maxSlowWork = 2.5  // seconds that a slow attempt runs, beyond the timeout of some requests
	maxLoadTime = 0.1  // seconds
	// maxSecondReplyDelay is the time in seconds between a reply and a second copy of it.
	maxSecondReplyDelay = 0.3

	slowProbability        = 0.03
	secondReplyProbability = 0.1
	// lateReplyProbability is the probability of a reply to an attempt that was canceled before the reply.
	lateReplyProbability = 0.5
	missProbability      = 0.06
	rejectProbability    = 0.03
	failProbability      = 0.03
)

// workers holds the state of all workers, which run their attempts alike.
type workers struct {
	simulation *simulation
	conns      map[upstream.ConnID]*workerConn
	attempts   map[uint64]*attempt // open attempts by ID, on all connections
	executed   map[string]bool     // bodies of at-most-once requests that may have run
	attempted  map[uint64]bool     // IDs of at-most-once requests that were received
	ranOnce    map[uint64]string   // bodies of at-most-once requests that ran, by ID
	lastLoadID uint64
}

// workerConn is a connection to a worker. It implements proxy.Conn.
type workerConn struct {
	promptConn
	workers *workers
	id      upstream.ConnID
	closed  bool
}

// attempt is an attempt that a worker received.
type attempt struct {
	frame workerframes.Frame
	conn  *workerConn
}

func newWorkers(s *simulation) workers {
	return workers{
		simulation: s, conns: map[upstream.ConnID]*workerConn{}, attempts: map[uint64]*attempt{}, executed: map[string]bool{},
		attempted: map[uint64]bool{}, ranOnce: map[uint64]string{},
	}
}

// accept accepts a connection.
func (w *workers) accept(id upstream.ConnID) {
	conn := &workerConn{workers: w, id: id}
	w.conns[id] = conn
	w.simulation.proxy.OnDialed(id, conn, nil)
}

// resetConnection resets a random connection.
func (w *workers) resetConnection() {
	ids := slices.Sorted(maps.Keys(w.conns))
	if len(ids) == 0 {
		return
	}
	conn := w.conns[ids[w.simulation.random.IntN(len(ids))]]
	conn.end()
	w.simulation.proxy.OnUpstreamClosed(conn.id)
}

// Write implements proxy.Conn.
func (c *workerConn) Write(data []byte) {
	c.workers.simulation.After(networkDelay, func() {
		if c.closed {
			return
		}
		for in := bytes.NewReader(data); in.Len() > 0; {
			frame, err := workerframes.Read(in)
			if err != nil {
				c.workers.simulation.violate("frame: %v", err)
				return
			}
			c.receive(frame)
		}
	})
}

// Close implements proxy.Conn.
func (c *workerConn) Close() { c.workers.simulation.After(networkDelay, c.end) }

// CloseWrite implements proxy.Conn.
func (c *workerConn) CloseWrite() { c.Close() }

// end ends the connection and the attempts on it.
func (c *workerConn) end() {
	c.closed = true
	delete(c.workers.conns, c.id)
	maps.DeleteFunc(c.workers.attempts, func(_ uint64, a *attempt) bool { return a.conn == c })
}

func (c *workerConn) receive(frame workerframes.Frame) {
	w, s := c.workers, c.workers.simulation
	switch frame.Command() {
	case workerframes.CommandAttempt:
		c.receiveAttempt(frame)
	case workerframes.CommandCancel:
		if a := w.attempts[frame.ID()]; a != nil && a.conn == c {
			delete(w.attempts, frame.ID())
		}
	case workerframes.CommandPing:
		c.send(frame.Reply(workerframes.ReplyPong, "", nil))
	case workerframes.CommandLoad:
		w.lastLoadID = frame.ID()
		s.After(s.upTo(maxLoadTime), func() { c.send(frame.Reply(workerframes.ReplySucceeded, nodetest.OneReplica, nil)) })
	}
}

// receiveAttempt starts an attempt. Its ID must have no other open attempt, and its request must not have run if it must not
// run twice.
func (c *workerConn) receiveAttempt(frame workerframes.Frame) {
	w, s := c.workers, c.workers.simulation
	id, body := frame.ID(), string(frame.Body)
	if other := w.attempts[id]; other != nil {
		s.violate("two attempts under %016x at once: %q and %q", id, other.frame.Body, body)
	}
	code, fields, executes := s.drawReply()
	if other, ran := w.ranOnce[id]; ran && executes {
		s.violate("at-most-once request %016x ran with %q and then with %q", id, other, body)
	}
	if frame.Field("queue") == s.settings.AtMostOnce {
		w.recordAtMostOnce(id, body, executes)
	}
	a := &attempt{frame: frame, conn: c}
	w.attempts[id] = a
	work := s.upTo(maxWork)
	if s.chance(slowProbability) {
		work = s.upTo(maxSlowWork)
	}
	var result []byte
	if code == workerframes.ReplySucceeded {
		result = frame.Body
	}
	s.After(work, func() { c.finish(a, frame.Reply(code, fields, result)) })
}

// recordAtMostOnce records an attempt of an at-most-once request.
func (w *workers) recordAtMostOnce(id uint64, body string, executes bool) {
	w.attempted[id] = true
	if !executes {
		return
	}
	if w.executed[body] {
		w.simulation.violate("at-most-once request %016x with %q ran twice", id, body)
	}
	w.executed[body], w.ranOnce[id] = true, body
}

// drawReply returns the code and fields of the reply to an attempt, and whether the attempt is executed.
func (s *simulation) drawReply() (code byte, fields string, executes bool) {
	switch {
	case s.chance(missProbability):
		return workerframes.ReplyReplicaMissing, "", false
	case s.chance(rejectProbability):
		return workerframes.ReplyRejected, "", false
	case s.chance(failProbability):
		return workerframes.ReplyFailed, "", true
	}
	return workerframes.ReplySucceeded, "detail=hit", true
}

// finish sends the reply to an attempt, possibly twice. The reply to a canceled one may be sent as well: the cancellation
// crossed it.
func (c *workerConn) finish(a *attempt, reply []byte) {
	w, s := c.workers, c.workers.simulation
	if w.attempts[a.frame.ID()] == a {
		delete(w.attempts, a.frame.ID())
	} else {
		if c.closed || !s.chance(lateReplyProbability) {
			return
		}
		s.report.LateReplies++
	}
	c.send(reply)
	if s.chance(secondReplyProbability) {
		s.After(s.upTo(maxSecondReplyDelay), func() { c.send(reply) })
	}
}

// send sends a frame to the front end.
func (c *workerConn) send(data []byte) {
	s := c.workers.simulation
	s.After(networkDelay, func() {
		if !c.closed {
			s.proxy.OnUpstreamData(c.id, data)
		}
	})
}
