package proxy

import (
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// Overflow connections are a few connections beyond the limit. Their requests are rejected with a response, so that clients
// learn why.

const (
	// overflowTimeout is the time, in seconds, that a client has to send its request on an overflow connection.
	overflowTimeout units.Seconds = 1
	// overflowRetryAfter is the Retry-After, in seconds, of the rejections.
	overflowRetryAfter units.Seconds = 1
)

// isAtLimit reports whether the connection limit is reached and no idle connection can be evicted. At the limit it evicts one
// if possible.
func (p *Proxy) isAtLimit() bool {
	return len(p.clients)-p.overflow >= p.settings.MaxClients && !p.EvictIdleClient()
}

// HasRoom reports whether a new client connection can be accepted: the limit is not reached, or another connection may be evicted. If it
// can't, it is better left waiting, since closing it would lose the requests that were already sent on it.
func (p *Proxy) HasRoom() bool {
	if p.draining || len(p.clients)-p.overflow < p.settings.MaxClients || p.overflow < p.settings.OverflowClients {
		return true
	}
	if !p.settings.EvictIdleClients {
		return false
	}
	candidate, _ := p.evictionCandidate()
	return candidate != nil
}

// rejectRequest rejects a request on an overflow connection and closes the connection after the response.
func (p *Proxy) rejectRequest(client *Client, slot uint64, request *dispatch.Request) {
	client.session.Respond(p.host.Now(), slot, dispatch.Response{
		Kind: dispatch.Rejected, Cause: dispatch.CauseTooManyOpen, RetryAfter: overflowRetryAfter, Identity: request.Identity,
		Class: request.Class, Function: request.Function, Tenant: request.Tenant,
	})
	client.closeAfterLastResponse = true
	p.scheduleSend(client)
}

// closeOverdueOverflow closes an overflow connection whose client has not sent its request in time, and reports whether it did.
func (p *Proxy) closeOverdueOverflow(client *Client, now units.Seconds) bool {
	if client.overflowSince == 0 || client.writeClosedAt > 0 || now-client.overflowSince <= overflowTimeout {
		return false
	}
	if isRead := p.readAhead(client); !isRead || client.closed || client.closeAfterLastResponse {
		return client.closed
	}
	p.closeClient(client, RejectedFull)
	return true
}
