package proxy

import (
	"context"
	"log/slog"
)

// CloseReason is the reason why the front end closed or rejected a client connection.
type CloseReason uint8

// Reasons for closing or rejecting a client connection.
const (
	CloseEvicted         CloseReason = iota // idle, closed in favor of a new connection
	CloseUnreadResponses                    // the client left too many bytes of responses unread
	CloseLingerTimeout                      // the client did not close its side within the linger timeout
	CloseExcessInput                        // the client sent too many bytes after our side was closed
	RejectedFull                            // the connection limit is reached, and no connection is idle
	RejectedDraining                        // no connections are accepted while draining
	EndedBySession                          // our side was closed after a timeout, a malformed message or the client's wish
	EndedByShutdown                         // our side was closed after the last response
	closeReasonCount                        // number of values
)

// String returns the reason's name in logs.
func (r CloseReason) String() string {
	return [closeReasonCount]string{"evicted", "unread", "lingered", "oversent", "full", "draining", "ended", "shutdown"}[r]
}

// closeCounts counts the client connections that the front end closed or rejected.
type closeCounts struct {
	byReason   [closeReasonCount]uint64
	unanswered uint64 // requests that were open on the closed connections
}

// CloseCounts returns the number of client connections that the front end closed or rejected, by reason, and the number of
// requests that were open on them. Only a close with CloseUnreadResponses may leave requests without a response.
func (p *Proxy) CloseCounts() (byReason map[CloseReason]uint64, unanswered uint64) {
	byReason = map[CloseReason]uint64{}
	for reason, count := range p.closes.byReason {
		byReason[CloseReason(reason)] = count
	}
	return byReason, p.closes.unanswered
}

// closeClient closes a client connection. All closes initiated by the front end go through it, so that each is counted and
// logged. The client must have no open request, unless the close is the client's fault.
func (p *Proxy) closeClient(client *Client, reason CloseReason) {
	open := len(client.waiters)
	name := client.conn.RemoteAddr()
	if !p.removeClient(client) {
		return
	}
	client.conn.Close()
	p.recordClose(name, reason, open)
}

// recordClose counts and logs the close or rejection of a client connection. open is the number of its open requests.
func (p *Proxy) recordClose(client string, reason CloseReason, open int) {
	p.closes.byReason[reason]++
	p.closes.unanswered += uint64(open)
	level := slog.LevelDebug
	switch {
	case open > 0 && reason != CloseUnreadResponses:
		level = slog.LevelError
	case open > 0 || reason == CloseUnreadResponses || reason == RejectedFull:
		level = slog.LevelWarn
	case reason == CloseEvicted || reason == EndedBySession || reason == EndedByShutdown:
		level = slog.LevelInfo
	}
	p.log.Log(context.Background(), level, "client connection closed", "client", client, "cause", reason.String(), "open", open)
}
