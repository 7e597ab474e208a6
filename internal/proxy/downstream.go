package proxy

import (
	"slices"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

const (
	lingerTimeout     = 1.0     // seconds that a client has, after our side was closed, to read responses and close its side
	maxDiscardedBytes = 1 << 20 // maximum number of bytes that a client may send after our side was closed
	// maxReadAheadBytes is the number of bytes of a client that are read ahead of the event loop in one flush, or before it.
	maxReadAheadBytes = 16 << 10
)

// Client is a client connection.
type Client struct {
	conn                   Conn
	index                  int // in Proxy.clients
	session                Session
	waiters                map[uint64]dispatch.WaiterID // by the session's slot
	sendScheduled          bool                         // the client is in Proxy.clientsToSend
	closeAfterLastResponse bool
	writeClosedAt          units.Seconds // time at which our side was closed; 0: open
	discardedBytes         int           // bytes received after our side was closed
	overflowSince          units.Seconds // time at which it was accepted beyond MaxClients; 0: within the limit
	closed                 bool
	acceptedAt             units.Seconds
	timeoutDue             bool // a timeout of the session has passed, see applyTimeout
	load                   clientLoad
	readAheadIn            uint64 // the period in which the client was last read ahead of the event loop
	readAheadBytes         int    // number of bytes that were read ahead in it
}

// clientRequest identifies an open request by its connection and the session's slot.
type clientRequest struct {
	client *Client
	slot   uint64
}

// clientHandler passes the requests of a client connection to the dispatcher.
type clientHandler struct {
	proxy  *Proxy
	client *Client
}

// Submit implements downstream.RequestHandler.
func (h *clientHandler) Submit(slot uint64, request dispatch.Request) {
	p := h.proxy
	if h.client.overflowSince > 0 {
		p.rejectRequest(h.client, slot, &request)
		return
	}
	h.client.load.requests++
	p.lastWaiter++
	p.clientRequests[p.lastWaiter] = clientRequest{h.client, slot}
	h.client.waiters[slot] = p.lastWaiter
	now := p.host.Now() // read before InputAge: a suspension between the two makes the deadline early rather than late
	request.QueueTime = h.client.conn.InputAge()
	p.dispatcher.Submit(now, p.lastWaiter, request)
}

// Cancel implements downstream.RequestHandler.
func (h *clientHandler) Cancel(slot uint64) {
	if waiter, ok := h.client.waiters[slot]; ok {
		h.client.load.cancelled++
		delete(h.client.waiters, slot)
		delete(h.proxy.clientRequests, waiter)
		h.proxy.dispatcher.OnCancel(h.proxy.host.Now(), waiter)
	}
}

// Accept adds a client connection. It returns nil if the connection is rejected; the host must close it then.
func (p *Proxy) Accept(conn Conn) *Client {
	if p.draining {
		p.recordClose(conn.RemoteAddr(), RejectedDraining, 0)
		return nil
	}
	isOverflow := p.isAtLimit()
	if isOverflow && p.overflow >= p.settings.OverflowClients {
		p.recordClose(conn.RemoteAddr(), RejectedFull, 0)
		return nil
	}
	client := &Client{conn: conn, index: len(p.clients), acceptedAt: p.host.Now(), waiters: map[uint64]dispatch.WaiterID{}}
	if isOverflow {
		client.overflowSince = p.host.Now()
		p.overflow++
	}
	client.session = p.settings.NewSession(&clientHandler{p, client}, p.host.Now())
	p.clients = append(p.clients, client)
	return client
}

// OnClientData processes bytes from a client.
func (p *Proxy) OnClientData(client *Client, data []byte) {
	if client.closed {
		return
	}
	p.feed(client, data)
	p.Flush()
}

// OnClientClosed reports that a client connection was closed or lost.
func (p *Proxy) OnClientClosed(client *Client) {
	if p.removeClient(client) {
		p.Flush()
	}
}

// feed passes bytes to the client's session. Bytes that arrive after our side was closed are discarded, up to a limit.
func (p *Proxy) feed(client *Client, data []byte) {
	if client.writeClosedAt > 0 {
		client.discardedBytes += len(data)
		if client.discardedBytes > maxDiscardedBytes {
			p.closeClient(client, CloseExcessInput)
		}
		return
	}
	client.load.bytes += len(data)
	client.session.Feed(p.host.Now(), p.host.Wall(), data)
	p.scheduleSend(client)
}

// readAhead processes bytes that the client sent and that the host has not passed on yet, and reports whether none are left. It ends
// when maxReadAheadBytes have been read in the present period.
func (p *Proxy) readAhead(client *Client) (complete bool) {
	if client.readAheadIn != p.readAheadPeriod {
		client.readAheadIn, client.readAheadBytes = p.readAheadPeriod, 0
	}
	for !client.closed {
		if client.readAheadBytes >= maxReadAheadBytes {
			return false
		}
		data, open := client.conn.ReadAhead()
		if !open {
			p.removeClient(client) // the host will report the close too
			return true
		}
		if len(data) == 0 {
			return true
		}
		client.readAheadBytes += len(data)
		p.feed(client, data)
	}
	return true
}

// deliverResponse passes a response to its waiter, unless the request was canceled or its client disconnected.
func (p *Proxy) deliverResponse(to dispatch.WaiterID, response dispatch.Response) {
	if respond := p.internalWaiters[to]; respond != nil {
		delete(p.internalWaiters, to)
		respond(response)
		return
	}
	request, ok := p.clientRequests[to]
	if !ok {
		return
	}
	delete(p.clientRequests, to)
	delete(request.client.waiters, request.slot)
	request.client.session.Respond(p.host.Now(), request.slot, response)
	p.scheduleSend(request.client)
}

// scheduleSend makes the next flush send the output of the client's session.
func (p *Proxy) scheduleSend(client *Client) {
	if !client.sendScheduled {
		client.sendScheduled = true
		p.clientsToSend = append(p.clientsToSend, client)
	}
}

// send writes the output of a session and closes our side after the last response.
func (p *Proxy) send(client *Client) {
	if client.closed {
		return
	}
	if output := client.session.Output(); len(output) > 0 {
		client.conn.Write(output)
		if client.closed {
			return // the write failed
		}
		if client.conn.Unsent() > p.settings.Downstream.MaxUnread {
			p.closeClient(client, CloseUnreadResponses)
			return
		}
	}
	if client.writeClosedAt == 0 && client.conn.Unsent() == 0 && p.hasEnded(client) {
		// The client may still be sending: a full close could reset the connection and lose the response (RFC 9112 9.6).
		p.closeWrite(client)
	}
}

// closeWrite closes our side of a connection.
func (p *Proxy) closeWrite(client *Client) {
	client.writeClosedAt = p.host.Now()
	client.conn.CloseWrite()
	reason := EndedByShutdown
	if client.session.Done() {
		reason = EndedBySession
	}
	p.recordClose(client.conn.RemoteAddr(), reason, len(client.waiters))
}

// hasEnded reports whether our side is to be closed: no request is open, and none will be accepted or has been sent.
func (p *Proxy) hasEnded(client *Client) bool {
	if client.session.Done() {
		return true
	}
	if !client.closeAfterLastResponse || len(client.waiters) > 0 {
		return false
	}
	isRead := p.readAhead(client)
	return isRead && !client.closed && !client.sendScheduled // input may have led to a response
}

// sweepClients closes overdue overflow connections and connections past their linger timeout, and enforces the timeouts of
// the other sessions. It iterates backward, because removing a client moves the last one, which was already visited, to its
// place.
func (p *Proxy) sweepClients(now units.Seconds) {
	for _, client := range slices.Backward(p.clients) {
		if p.closeOverdueOverflow(client, now) {
			continue
		}
		if client.writeClosedAt > 0 && now-client.writeClosedAt > lingerTimeout {
			p.closeClient(client, CloseLingerTimeout)
			continue
		}
		if client.timeoutDue = client.session.TimedOut(now); client.timeoutDue {
			p.scheduleSend(client)
		} else if client.session.Tick(now) || client.closeAfterLastResponse {
			p.scheduleSend(client)
		}
	}
}

// applyTimeout enforces a timeout of a session that has passed, just before its output is sent, once all that its client has sent is
// read: the event loop may have been held up for longer than the timeout.
func (p *Proxy) applyTimeout(client *Client) {
	if !client.timeoutDue || client.closed {
		return
	}
	client.timeoutDue = false
	if p.readAhead(client) && !client.closed {
		client.session.Tick(p.host.Now())
	}
}

// removeClient removes a client connection and cancels its requests. It returns false if the connection was already removed.
func (p *Proxy) removeClient(client *Client) bool {
	if client.closed {
		return false
	}
	client.closed = true
	if client.overflowSince > 0 {
		p.overflow--
	}
	last := len(p.clients) - 1
	p.clients[client.index], p.clients[last].index = p.clients[last], client.index
	p.clients[last] = nil
	p.clients = p.clients[:last]
	client.session.Disconnected()
	return true
}
