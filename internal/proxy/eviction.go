package proxy

import "streamcleat/internal/units"

// EvictIdleClient closes the client connection that has been idle longest, if the settings allow it, and reports whether it
// closed one. It never closes a connection with an open or partially received request, unread input, or unsent response
// bytes.
func (p *Proxy) EvictIdleClient() bool {
	for p.settings.EvictIdleClients {
		oldest, idleSince := p.longestIdleClient()
		if oldest == nil {
			return false
		}
		complete := p.readAhead(oldest)
		p.Flush() // also allows the client to be read ahead again
		if since, idle := oldest.session.Idle(); oldest.closed || complete && idle && since == idleSince {
			p.closeClient(oldest, CloseEvicted)
			return true
		}
	}
	return false
}

// longestIdleClient returns the client that has been idle longest, nil if none is idle.
func (p *Proxy) longestIdleClient() (oldest *Client, idleSince units.Seconds) {
	for _, client := range p.clients {
		if since, idle := client.session.Idle(); idle && client.overflowSince == 0 && client.conn.Unsent() == 0 && (oldest == nil || since < idleSince) {
			oldest, idleSince = client, since
		}
	}
	return oldest, idleSince
}
