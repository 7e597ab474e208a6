package proxy

import (
	"context"
	"log/slog"
)

// CloseReason is why this side closed a client's connection, or refused one.
type CloseReason uint8

// The reasons.
const (
	CloseEvicted     CloseReason = iota // idle, to make room for another
	CloseUnread                         // the client does not read its responses
	CloseLingered                       // our side was closed, and the client did not close its own in time
	CloseOversent                       // the client went on sending after our side was closed
	RejectedFull                        // no room for another connection, and none idle
	RejectedDraining                    // no connection is accepted any more
	closeReasonCount                    // count of the values
)

// String is the reason as logs and metrics spell it.
func (r CloseReason) String() string {
	return [closeReasonCount]string{"evicted", "unread", "lingered", "oversent", "full", "draining"}[r]
}

// closeCounts count the connections that this side closed or refused.
type closeCounts struct {
	byReason   [closeReasonCount]uint64
	unanswered uint64 // requests that were open on them
}

// Closes are the connections of clients that this side closed or refused, by reason, and the requests that were open on
// them: with the exception of clients that do not read, there must be none.
func (p *Proxy) Closes() (byReason map[CloseReason]uint64, unanswered uint64) {
	byReason = map[CloseReason]uint64{}
	for reason, count := range p.closes.byReason {
		byReason[CloseReason(reason)] = count
	}
	return byReason, p.closes.unanswered
}

// closeClient is the one place that closes a client's connection. Nothing that a client waits for may be open on it,
// unless the client itself is the reason.
func (p *Proxy) closeClient(client *Client, reason CloseReason) {
	open := len(client.waiters)
	name := client.conn.Name()
	if !p.removeClient(client) {
		return
	}
	client.conn.Close()
	p.noteClose(name, reason, open)
}

// noteClose counts and logs a connection that was closed or refused.
func (p *Proxy) noteClose(client string, reason CloseReason, open int) {
	p.closes.byReason[reason]++
	p.closes.unanswered += uint64(open)
	level := slog.LevelDebug
	switch {
	case open > 0 && reason != CloseUnread:
		level = slog.LevelError
	case open > 0 || reason == CloseUnread || reason == RejectedFull:
		level = slog.LevelWarn
	}
	p.log.Log(context.Background(), level, "client connection closed", "client", client, "cause", reason.String(), "open", open)
}
