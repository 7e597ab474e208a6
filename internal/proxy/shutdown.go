package proxy

import "slices"

// Drain asks clients to send no more requests. Requests that arrive nevertheless are accepted.
func (p *Proxy) Drain() {
	p.drainClients()
	p.Flush()
}

// StopListening rejects new connections and requests. Open requests continue.
func (p *Proxy) StopListening() {
	p.draining = true
	p.dispatcher.Drain(p.host.Now())
	p.drainClients()
	p.Flush()
}

// drainClients asks every client to send no more requests.
func (p *Proxy) drainClients() {
	for _, client := range p.clients {
		client.session.Drain()
		p.scheduleSend(client)
	}
}

// Terminate ends every open request immediately. It is called after StopListening, or after Drain if requests are accepted
// until the end.
func (p *Proxy) Terminate() {
	p.dispatcher.Terminate(p.host.Now())
	p.Flush()
}

// CloseClients closes our side of every client connection after its last response. Further input is read and discarded,
// because closing a connection with unread input resets it and may lose responses.
func (p *Proxy) CloseClients() {
	for _, client := range p.clients {
		client.closeAfterLastResponse = true
		p.scheduleSend(client)
	}
	p.Flush()
}

// CloseUpstream closes all connections to workers. It is called after Terminate.
func (p *Proxy) CloseUpstream() {
	p.pool.CloseAll(p.host.Now())
	p.Flush()
}

// Idle reports whether no request is open or partially received.
func (p *Proxy) Idle() bool {
	return p.dispatcher.Idle() && !slices.ContainsFunc(p.clients, func(client *Client) bool {
		_, idle := client.session.Idle()
		return !idle && client.writeClosedAt == 0
	})
}

// AllSent reports whether the kernel has accepted all bytes written to clients.
func (p *Proxy) AllSent() bool {
	return !slices.ContainsFunc(p.clients, func(client *Client) bool { return client.conn.Unsent() > 0 })
}

// HasClients reports whether client connections remain. Their clients may not have read all responses.
func (p *Proxy) HasClients() bool { return len(p.clients) > 0 }
