package frames

import (
	"errors"
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// outcomes maps reply codes to outcomes. Replies with other codes are ignored.
var outcomes = map[replyCode]control.Outcome{
	replySucceeded: control.Succeeded, replyReplicaMissing: control.ReplicaMissing,
	replyRejected: control.Rejected, replyFailed: control.Failed, replyNotSent: control.NotSent,
}

// startTypes maps the values of fieldStart to start types.
var startTypes = map[string]control.StartType{
	"hit": control.WarmStart, "spawn": control.ColdStart,
	"pending": control.JoinedColdStart, "spawn_failed": control.StartFailed,
}

// OnDialed handles the result of a dial.
func (p *Pool) OnDialed(now units.Seconds, id upstream.ConnID, err error) {
	c := p.Connections.FinishDial(now, id, err)
	switch {
	case c == nil:
	case errors.Is(err, upstream.ErrLocalResources):
		p.Connections.Remove(c)
		p.failForLocalResources(c)
	case err != nil:
		p.Connections.Remove(c)
		p.failOpen(c)
	default:
		p.verifyEstablished(c)
		for _, e := range c.takeWaiting() {
			p.write(c, e)
		}
		p.checkIdle(now, c)
	}
}

// failForLocalResources reports the exchanges that waited for a dial which failed for lack of local resources. Attempts are
// reported as not sent, because the failure says nothing about the worker and its replicas. Load commands are reported as
// unreachable, so that another worker is tried.
func (p *Pool) failForLocalResources(c *connection) {
	for _, e := range c.takeOpen() {
		if e.IsLoad {
			p.Exchanges.FinishLost(e)
		} else {
			p.Exchanges.Finish(e, dispatch.WorkerReply{Outcome: control.NotSent}, 0)
		}
	}
}

// OnData handles data received from a worker.
func (p *Pool) OnData(now units.Seconds, id upstream.ConnID, data []byte) {
	c := p.Connections.Get(id)
	if c == nil || !c.Established {
		return
	}
	c.framer.feed(data)
	for p.Connections.Contains(c) {
		r, ok, err := c.framer.next()
		if err != nil { // frame boundaries can no longer be determined
			p.closeLost(c)
			return
		}
		if !ok {
			break
		}
		p.verifyLaterConnections(c)
		p.onReply(now, c, r)
	}
	c.framer.compact()
}

// onReply handles one reply. A reply to no open exchange is late, a duplicate or unsolicited, and is ignored.
func (p *Pool) onReply(now units.Seconds, c *connection, r reply) {
	e := c.open[r.id]
	outcome, known := outcomes[r.code]
	if e == nil || !known {
		return
	}
	delete(c.open, r.id)
	c.ended.add(now, r.id)
	if e.IsLoad {
		p.Exchanges.Finish(e, dispatch.WorkerReply{Outcome: outcome}, fieldCount(r.fields, fieldReplicas))
	} else {
		result := dispatch.WorkerReply{Outcome: outcome, Start: startTypes[fieldValue(r.fields, fieldStart)]}
		if r.code == replySucceeded {
			result.Body = slices.Clone(r.body)
		}
		p.Exchanges.Finish(e, result, 0)
	}
	if p.Connections.Contains(c) {
		p.checkIdle(now, c)
	}
}

// OnClosed handles a connection that the worker closed or that failed. An incomplete reply on it is discarded.
func (p *Pool) OnClosed(_ units.Seconds, id upstream.ConnID) {
	c := p.Connections.Get(id)
	if c == nil {
		return
	}
	p.Connections.Remove(c)
	p.reportDisconnection(c)
	p.failOpen(c)
}

// reportDisconnection reports that the last verified connection to a worker has ended, if c was that connection. It does
// so whichever side closed it, because another process may have the worker's address when the next connection is dialed.
//
// Connections that are not verified remain. They count as those of the process that is assumed from now on.
func (p *Pool) reportDisconnection(c *connection) {
	if !c.Established || c.draining || p.hasVerified(c.Worker) {
		return
	}
	p.handler.OnDisconnected(c.Worker)
	p.setVerified(c.Worker)
}

// verifyEstablished verifies a connection that was just established if there is no other to its worker. Beside others it is
// uncertain which process it reaches, until one of them receives a message, for which they are pinged if the handler wants it.
func (p *Pool) verifyEstablished(c *connection) {
	c.verified = !p.hasVerified(c.Worker)
	if !c.verified {
		p.uncertain[c.Worker] = true
		if p.handler.OnProcessUncertain(c.Worker) {
			p.pingVerified(c.Worker)
		}
	}
}

// pingVerified sends a ping on the verified connections to a worker. The replies belong to no exchange.
func (p *Pool) pingVerified(worker control.WorkerID) {
	for _, c := range p.Connections.ForWorker(worker) {
		if c.Established && c.verified && !c.draining {
			p.transport.Write(c.ID, encodeFrame(commandPing, p.nextLoadWireID(), "", nil))
		}
	}
}

// verifyLaterConnections verifies the other connections to the worker of a verified one, which has received a message: its
// process was alive when they were established at its address.
func (p *Pool) verifyLaterConnections(c *connection) {
	if !p.uncertain[c.Worker] || !c.verified || c.draining {
		return
	}
	p.setVerified(c.Worker)
	p.handler.OnProcessConfirmed(c.Worker)
}

// setVerified makes all established connections to a worker count as verified, those that are draining apart.
func (p *Pool) setVerified(worker control.WorkerID) {
	delete(p.uncertain, worker)
	for _, c := range p.Connections.ForWorker(worker) {
		c.verified = c.verified || c.Established && !c.draining
	}
}

// hasVerified reports whether a connection to a worker is established, verified and not draining.
func (p *Pool) hasVerified(worker control.WorkerID) bool {
	return slices.ContainsFunc(p.Connections.ForWorker(worker), func(c *connection) bool {
		return c.Established && c.verified && !c.draining
	})
}
