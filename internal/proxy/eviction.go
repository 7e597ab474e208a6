package proxy

// EvictIdleClient closes the client connection that has been idle longest, where the settings allow it, and tells
// whether there was one. A connection with a request open, or on which a part of one came, is never closed; nor is one on
// which a request lies unread, or whose last response has not left, which closing would cut off.
func (p *Proxy) EvictIdleClient() bool {
	for p.settings.EvictIdleClients {
		oldest, idleSince := p.longestIdleClient()
		if oldest == nil {
			return false
		}
		p.readAhead(oldest)
		p.Flush()
		if since, idle := oldest.session.Idle(); oldest.closed || idle && since == idleSince {
			p.closeClient(oldest, CloseEvicted)
			return true
		}
	}
	return false
}

// longestIdleClient returns the client that has been idle longest, nil where none is idle.
func (p *Proxy) longestIdleClient() (oldest *Client, idleSince float64) {
	for _, client := range p.clients {
		if since, idle := client.session.Idle(); idle && client.conn.Unsent() == 0 && (oldest == nil || since < idleSince) {
			oldest, idleSince = client, since
		}
	}
	return oldest, idleSince
}
