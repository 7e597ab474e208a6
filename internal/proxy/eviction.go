package proxy

import "streamcleat/internal/units"

// maxEvictionTries is the number of connections whose unread input is examined for one that can be evicted.
const maxEvictionTries = 8

// EvictIdleClient closes a client connection to make room, if the settings allow it, and reports whether it closed one: the one that
// has gone longest without a complete message since it was accepted or, if there is none, the one that has been idle longest. It never
// closes a connection with an open request, unread input or unsent response bytes.
func (p *Proxy) EvictIdleClient() bool {
	if !p.settings.EvictIdleClients {
		return false
	}
	for range maxEvictionTries {
		oldest, since := p.evictionCandidate()
		if oldest == nil {
			return false
		}
		complete := p.readAhead(oldest)
		p.Flush() // also allows the client to be read ahead again
		if oldest.closed || complete && oldest.evictableSince() == since {
			p.closeClient(oldest, CloseEvicted)
			return true
		}
	}
	return false
}

// evictability tells whether and in which order a client connection may be evicted: new ones first, then by time.
type evictability struct {
	allowed bool
	isNew   bool // no complete message was received
	since   units.Seconds
}

// before reports whether a connection is to be evicted before another one.
func (e evictability) before(other evictability) bool {
	switch {
	case !e.allowed || !other.allowed:
		return e.allowed
	case e.isNew != other.isNew:
		return e.isNew
	default:
		return e.since < other.since
	}
}

// evictableSince returns the evictability of a client. A connection that has completed no message may be evicted within its first one,
// which the client knows not to be whole.
func (client *Client) evictableSince() evictability {
	if client.overflowSince > 0 || client.conn.Unsent() > 0 {
		return evictability{}
	}
	if client.session.IsNew() {
		return evictability{allowed: true, isNew: true, since: client.acceptedAt}
	}
	since, idle := client.session.Idle()
	return evictability{allowed: idle, since: since}
}

// evictionCandidate returns the client connection to be evicted first, nil if there is none.
func (p *Proxy) evictionCandidate() (first *Client, since evictability) {
	for _, client := range p.clients {
		if e := client.evictableSince(); e.before(since) {
			first, since = client, e
		}
	}
	return first, since
}
