package proxy

import (
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// Overflow connections: a few connections beyond the limit, on which each request is rejected, so that clients are told.

const (
	// overflowTimeout is the time in seconds that a client has to send its request on such a connection.
	overflowTimeout units.Seconds = 1
	// overflowRetryAfter is the retry time of its requests in seconds.
	overflowRetryAfter units.Seconds = 1
)

// isFull reports whether a new connection would exceed the limit although an idle one was evicted, if possible.
func (p *Proxy) isFull() bool {
	return len(p.clients)-p.overflow >= p.settings.MaxClients && !p.EvictIdleClient()
}

// rejectRequest rejects a request on an overflow connection, which takes no other.
func (p *Proxy) rejectRequest(client *Client, slot uint64, request *dispatch.Request) {
	client.session.Respond(p.host.Now(), slot, dispatch.Response{
		Kind: dispatch.Rejected, Cause: dispatch.CauseTooManyOpen, RetryAfter: overflowRetryAfter, Identity: request.Identity,
		Class: request.Class, Function: request.Function, Tenant: request.Tenant,
	})
	client.closeAfterLastResponse = true
	p.scheduleSend(client)
}

// closeIfOverdue closes an overflow connection whose client has not sent its request in time, and reports whether it did.
func (p *Proxy) closeIfOverdue(client *Client, now units.Seconds) bool {
	isOverdue := client.overflowSince > 0 && client.writeClosedAt == 0 && now-client.overflowSince > overflowTimeout
	if isOverdue {
		p.closeClient(client, RejectedFull)
	}
	return isOverdue
}
