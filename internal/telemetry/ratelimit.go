package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// droppedRecordsKey is the key of the log attribute with the number of records dropped before this one.
const droppedRecordsKey = "left_out_before"

// RateLimited returns a handler that passes at most perSecond records per second to handler, to bound the disk space and CPU
// time that logging takes. The first record after dropped ones states their number in an attribute.
func RateLimited(handler slog.Handler, perSecond int) slog.Handler {
	return &rateLimitedHandler{Handler: handler, limiter: &recordLimiter{perSecond: perSecond}}
}

// rateLimitedHandler is a slog.Handler. Handlers derived from it share its limiter.
type rateLimitedHandler struct {
	slog.Handler
	limiter *recordLimiter
}

// recordLimiter is a fixed-window rate limiter with windows of one second. It is safe for concurrent use.
type recordLimiter struct {
	mu          sync.Mutex
	perSecond   int
	windowStart time.Time
	admitted    int // records admitted in this window
	dropped     int // records dropped since the last admitted one
}

// allow reports whether a record is admitted, and how many records were dropped since the last admitted one.
func (l *recordLimiter) allow(at time.Time) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if window := at.Truncate(time.Second); !window.Equal(l.windowStart) {
		l.windowStart, l.admitted = window, 0
	}
	if l.admitted >= l.perSecond {
		l.dropped++
		return false, 0
	}
	l.admitted++
	dropped, l.dropped = l.dropped, 0
	return true, dropped
}

// Handle passes the record to the wrapped handler, or drops it.
func (h *rateLimitedHandler) Handle(ctx context.Context, record slog.Record) error {
	ok, dropped := h.limiter.allow(record.Time)
	if !ok {
		return nil
	}
	if dropped > 0 {
		record = record.Clone()
		record.AddAttrs(slog.Int(droppedRecordsKey, dropped))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs returns a derived handler that shares the limiter.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup returns a derived handler that shares the limiter.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithGroup(name), limiter: h.limiter}
}
