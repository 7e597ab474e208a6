package openinference

import (
	"errors"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
	"streamcleat/internal/units"
	"streamcleat/internal/upstream"
)

// OnDialed handles the result of a dial.
func (p *Pool) OnDialed(now units.Seconds, id upstream.ConnID, err error) {
	c := p.Connections.FinishDial(now, id, err)
	switch {
	case c == nil:
	case err != nil:
		p.remove(c)
		if c.exchange != nil {
			p.failDial(c.exchange, err)
		}
	case c.exchange == nil:
		p.setIdle(now, c)
	default:
		p.write(now, c, c.exchange)
	}
}

// failDial reports an exchange whose dial failed. If the dial of an attempt failed for lack of local resources, the attempt
// is reported as not sent, since the failure says nothing about the worker and its replicas.
func (p *Pool) failDial(e *exchange, err error) {
	if errors.Is(err, upstream.ErrLocalResources) && !e.IsLoad {
		p.Exchanges.Finish(e, dispatch.WorkerReply{Outcome: control.NotSent}, 0)
		return
	}
	p.Exchanges.FinishLost(e)
}

// OnData handles bytes from a worker.
func (p *Pool) OnData(now units.Seconds, id upstream.ConnID, data []byte) {
	c := p.Connections.Get(id)
	if c == nil || !c.Established {
		return
	}
	if c.exchange == nil { // unsolicited bytes would be read as the response to the next request
		p.removeIdle(c)
		p.close(c)
		return
	}
	c.framer.Feed(data)
	message, err := c.framer.Next()
	if message == nil && err == nil {
		return
	}
	p.finish(now, c, message, err)
}

// finish ends the exchange of a connection with its response, or with the error from parsing the response.
func (p *Pool) finish(now units.Seconds, c *connection, message *http1.Message, err error) {
	e := c.exchange
	c.exchange = nil
	if err != nil || message.Close || !c.framer.Idle() || p.draining[c.Worker] {
		p.close(c)
	} else {
		p.setIdle(now, c)
	}
	switch {
	case err != nil: // the worker may have executed the request
		p.Exchanges.FinishLost(e)
	case e.IsLoad:
		outcome, replicas := ParseLoadResponse(message, e.digest)
		p.Exchanges.Finish(e, dispatch.WorkerReply{Outcome: outcome}, replicas)
	default:
		p.Exchanges.Finish(e, ParseInferResponse(message), 0)
	}
}

// OnClosed handles a connection that the worker closed or that failed. The close completes a response without a length.
func (p *Pool) OnClosed(now units.Seconds, id upstream.ConnID) {
	c := p.Connections.Get(id)
	if c == nil {
		return
	}
	e := c.exchange
	if message, err := c.framer.End(); e != nil && err == nil && message != nil {
		p.finish(now, c, message, nil)
		return
	}
	p.removeIdle(c)
	p.remove(c)
	if e != nil {
		p.Exchanges.FinishLost(e)
	}
}
