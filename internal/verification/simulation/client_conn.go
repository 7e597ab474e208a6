package simulation

import (
	"fmt"
	"slices"

	"streamcleat/internal/http1"
	"streamcleat/internal/units"
	"streamcleat/internal/verification/fakes"
)

// clientConn is a client's connection to a front end.
type clientConn struct {
	client    *client
	end       *endpoint // nil until the connection is established
	frontEnd  *frontEnd
	calls     []*clientCall // in flight, in sending order
	responses *http1.Framer
	closed    bool
	usedAt    units.Seconds // time at which the latest call was sent
}

// reusableConn returns a connection for a call of a request, or nil if a new one must be dialed. It is an idle connection,
// or at random one on which the call is pipelined.
func (c *client) reusableConn(f *frontEnd, r *request) *clientConn {
	mayShare := r.class != fakes.ClassAtMostOnce && r.timeout == 0
	for _, conn := range c.conns {
		if conn.frontEnd != f || conn.closed || c.scheduler.now-conn.usedAt >= clientIdleTimeout/2 {
			continue
		}
		if len(conn.calls) == 0 {
			return conn
		}
		if mayShare && conn.end != nil && len(conn.calls) < maxPipelined && c.rng.IntN(6) == 0 {
			return conn
		}
	}
	return nil
}

// dial opens a new connection for a call.
func (c *client) dial(call *clientCall) {
	conn := &clientConn{
		client: c, frontEnd: call.frontEnd, calls: []*clientCall{call}, usedAt: c.scheduler.now,
		responses: http1.NewResponseFramer(messageLimits),
	}
	call.conn = conn
	c.conns = append(c.conns, conn)
	c.site.network.dial(&c.process, call.frontEnd.addr, requestTimeout, conn.onDialed)
}

func (c *clientConn) onDialed(e *endpoint, err error) {
	switch {
	case err != nil:
		c.onClosed()
		return
	case c.closed:
		e.close()
		return
	}
	c.end = e
	e.readRate = c.client.readRate
	e.conn.faulty = e.conn.faulty || c.client.readRate > 0
	e.onData = c.onData
	e.onClosed = func() {
		e.close()
		c.onClosed()
	}
	for _, call := range c.calls {
		c.write(call)
	}
}

// send sends a call on the connection, once it is established.
func (c *clientConn) send(call *clientCall) {
	call.conn, c.usedAt = c, c.client.scheduler.now
	c.calls = append(c.calls, call)
	if c.end != nil {
		c.write(call)
	}
}

func (c *clientConn) write(call *clientCall) {
	r := call.request
	body, prefer := fmt.Sprintf(`{"count":%d}`, r.number), ""
	if r.timeout > 0 { // the time that remains when the request is written
		prefer = fmt.Sprintf("Prefer: wait=%.3f\r\n", max(call.sentAt+r.timeout-c.client.scheduler.now, 0))
	}
	c.end.write(fmt.Appendf(nil, "POST /events HTTP/1.1\r\nHost: f\r\nce-specversion: 1.0\r\nce-source: %s\r\nce-id: %s\r\nce-type: %s\r\n"+
		"ce-function: %s\r\nce-tenant: shop\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		clientSource, r.id, r.class, r.function, prefer, len(body), body))
}

func (c *clientConn) onData(data []byte) {
	s := c.client.site
	c.responses.Feed(data)
	for {
		m, err := c.responses.Next()
		switch {
		case err != nil:
			s.violation("client", "%s received a malformed response from %s: %v", c.client.name, c.frontEnd.name, err)
			c.end.close()
			c.onClosed()
			return
		case m == nil:
			return
		case len(c.calls) == 0:
			s.violation("client", "%s received a response without a request, status %d", c.client.name, m.Status)
			return
		}
		call := c.calls[0]
		c.calls = c.calls[1:]
		c.client.onResponse(call, m)
		if m.Close {
			c.end.close()
			c.onClosed()
			return
		}
	}
}

// closeByClient closes the connection at the client's side, cancels its calls and retries them after a delay.
func (c *clientConn) closeByClient(retryDelay units.Seconds, target retryTarget) {
	for _, call := range c.calls {
		if !call.ended {
			call.end()
			c.client.site.endCancelledCall(call)
			c.client.retry(call.request, retryDelay, target)
		}
	}
	if c.end != nil {
		c.end.close()
	}
	c.onClosed()
}

// onClosed removes a closed connection. Calls in flight end without a response and are retried.
func (c *clientConn) onClosed() {
	if c.closed {
		return
	}
	c.closed = true
	client := c.client
	if i := slices.Index(client.conns, c); i >= 0 {
		client.conns = slices.Delete(client.conns, i, i+1)
	}
	for _, call := range c.calls {
		if call.ended {
			continue
		}
		call.end()
		client.site.endLostCall(call)
		client.retry(call.request, units.Seconds(minLostRetryDelay+client.rng.Float64()*lostRetryJitter), anyFrontEnd)
	}
	c.calls = nil
}
