package proxy

import "slices"

// Drain tells clients to send no more requests here; those that come all the same are taken.
func (p *Proxy) Drain() {
	p.drainClients()
	p.Flush()
}

// StopListening takes no more connections and requests; what is open goes on.
func (p *Proxy) StopListening() {
	p.draining = true
	p.dispatcher.Drain(p.host.Now())
	p.drainClients()
	p.Flush()
}

func (p *Proxy) drainClients() {
	for _, client := range p.clients {
		client.session.Drain()
		p.markForSend(client)
	}
}

// Terminate answers at once whatever is open. It follows StopListening, or Drain where requests are still taken.
func (p *Proxy) Terminate() {
	p.dispatcher.Terminate(p.host.Now())
	p.Flush()
}

// CloseClients closes our side of every connection behind its last response. What still comes is read and discarded:
// a connection that is closed over unread bytes is reset, and its responses may be lost.
func (p *Proxy) CloseClients() {
	for _, client := range p.clients {
		client.closeAfterLastResponse = true
		p.markForSend(client)
	}
	p.Flush()
}

// CloseUpstream closes all connections to workers, after Terminate.
func (p *Proxy) CloseUpstream() {
	p.pool.CloseAll(p.host.Now())
	p.Flush()
}

// Idle tells that nothing is open: no request, and on no connection a part of one.
func (p *Proxy) Idle() bool {
	return p.dispatcher.Idle() && !slices.ContainsFunc(p.clients, func(client *Client) bool {
		_, idle := client.session.Idle()
		return !idle && client.writeClosedAt == 0
	})
}

// AllSent tells that the kernel has taken all that was written to clients.
func (p *Proxy) AllSent() bool {
	return !slices.ContainsFunc(p.clients, func(client *Client) bool { return client.conn.Unsent() > 0 })
}

// HasClients tells that some client may not have read all of its responses.
func (p *Proxy) HasClients() bool { return len(p.clients) > 0 }
