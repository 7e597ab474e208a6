package proxy

import (
	"slices"

	"streamcleat/internal/dispatch"
)

const (
	lingerSeconds     = 1.0     // a client may still read for so long after the last response
	maxDiscardedBytes = 1 << 20 // that a client may send meanwhile
	maxReadAheadBytes = 1 << 20 // read from one client at a time ahead of the event loop
)

// Client is one client connection.
type Client struct {
	conn                   Conn
	index                  int // in Proxy.clients
	session                Session
	waiters                map[uint64]dispatch.WaiterID // by the session's slot
	markedForSend          bool                         // is in Proxy.clientsToSend
	closeAfterLastResponse bool
	writeClosedAt          float64 // when our side was closed; 0 before
	discardedBytes         int     // that came since
	closed                 bool
}

// clientRequest is where the response to a client's request goes.
type clientRequest struct {
	client *Client
	slot   uint64
}

// clientHandler hands the requests of one client connection to the dispatcher.
type clientHandler struct {
	proxy  *Proxy
	client *Client
}

// Submit implements RequestHandler.
func (h *clientHandler) Submit(slot uint64, request dispatch.Request) {
	p := h.proxy
	p.lastWaiter++
	p.clientRequests[p.lastWaiter] = clientRequest{h.client, slot}
	h.client.waiters[slot] = p.lastWaiter
	request.QueueTime = h.client.conn.InputAge()
	p.dispatcher.Submit(p.host.Now(), p.lastWaiter, request)
}

// Cancel implements RequestHandler.
func (h *clientHandler) Cancel(slot uint64) {
	if waiter, ok := h.client.waiters[slot]; ok {
		delete(h.client.waiters, slot)
		delete(h.proxy.clientRequests, waiter)
		h.proxy.dispatcher.OnCancel(h.proxy.host.Now(), waiter)
	}
}

// Accept takes a client's connection. It returns nil where there is no room for it; the host closes it then.
func (p *Proxy) Accept(conn Conn) *Client {
	if p.draining {
		p.noteClose(conn.Name(), RejectedDraining, 0)
		return nil
	}
	if len(p.clients) >= p.settings.MaxClients && !p.EvictIdleClient() {
		p.noteClose(conn.Name(), RejectedFull, 0)
		return nil
	}
	client := &Client{conn: conn, index: len(p.clients), waiters: map[uint64]dispatch.WaiterID{}}
	client.session = p.settings.NewSession(&clientHandler{p, client}, p.host.Now())
	p.clients = append(p.clients, client)
	return client
}

// OnClientData takes bytes from a client.
func (p *Proxy) OnClientData(client *Client, data []byte) {
	if client.closed {
		return
	}
	p.feed(client, data)
	p.Flush()
}

// OnClientClosed tells that a client's connection closed or broke.
func (p *Proxy) OnClientClosed(client *Client) {
	if p.removeClient(client) {
		p.Flush()
	}
}

// feed hands bytes to the client's session. What comes after the end of the session is discarded, within bounds.
func (p *Proxy) feed(client *Client, data []byte) {
	if client.writeClosedAt > 0 {
		client.discardedBytes += len(data)
		if client.discardedBytes > maxDiscardedBytes {
			p.closeClient(client, CloseOversent)
		}
		return
	}
	client.session.Feed(p.host.Now(), p.host.Wall(), data)
	p.markForSend(client)
}

// readAhead takes what a client sent and the host has not handed over, within bounds.
func (p *Proxy) readAhead(client *Client) {
	for read := 0; !client.closed && read < maxReadAheadBytes; {
		data, open := client.conn.ReadAhead()
		if !open {
			p.removeClient(client) // the host reports its end too, later
			return
		}
		if len(data) == 0 {
			return
		}
		read += len(data)
		p.feed(client, data)
	}
}

// respond hands a response to whoever waits for it, if anybody still does.
func (p *Proxy) respond(to dispatch.WaiterID, response dispatch.Response) {
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
	p.markForSend(request.client)
}

// markForSend has the next flush send a client what its session has to say.
func (p *Proxy) markForSend(client *Client) {
	if !client.markedForSend {
		client.markedForSend = true
		p.clientsToSend = append(p.clientsToSend, client)
	}
}

// send writes the output of a session and closes our side behind its last response.
func (p *Proxy) send(client *Client) {
	if client.closed {
		return
	}
	if output := client.session.Output(); len(output) > 0 {
		client.conn.Write(output)
		if client.closed {
			return // the write broke it
		}
		if client.conn.Unsent() > p.settings.Downstream.MaxUnread {
			p.closeClient(client, CloseUnread)
			return
		}
	}
	ended := client.session.Done() || client.closeAfterLastResponse && len(client.waiters) == 0
	if ended && client.writeClosedAt == 0 && client.conn.Unsent() == 0 {
		// The client may still be sending: a close now could take the response from it (RFC 9112 9.6).
		client.writeClosedAt = p.host.Now()
		client.conn.CloseWrite()
	}
}

// sweepClients closes connections whose time to linger is up and enforces the timeouts of the other sessions. It goes
// from the end: a client that is removed is replaced by one that was already looked at.
func (p *Proxy) sweepClients(now float64) {
	for _, client := range slices.Backward(p.clients) {

		if client.writeClosedAt > 0 && now-client.writeClosedAt > lingerSeconds {
			p.closeClient(client, CloseLingered)
			continue
		}
		if client.session.Tick(now) || client.closeAfterLastResponse {
			p.markForSend(client)
		}
	}
}

// removeClient forgets a connection and cancels its requests; it tells whether the connection was still known.
func (p *Proxy) removeClient(client *Client) bool {
	if client.closed {
		return false
	}
	client.closed = true
	last := len(p.clients) - 1
	p.clients[client.index], p.clients[last].index = p.clients[last], client.index
	p.clients[last] = nil
	p.clients = p.clients[:last]
	client.session.Disconnected()
	return true
}
