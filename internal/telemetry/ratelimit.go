package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// leftOutKey is the log key of how many records were dropped before the one that has it.
const leftOutKey = "left_out_before"

// RateLimited passes on at most so many log records a second, so that a flood neither fills the disk nor takes the only
// core. The first record after a flood tells how many were dropped.
func RateLimited(handler slog.Handler, perSecond int) slog.Handler {
	return &rateLimitedHandler{Handler: handler, limiter: &recordLimiter{perSecond: perSecond}}
}

// rateLimitedHandler is a slog.Handler whose derived handlers share one limiter.
type rateLimitedHandler struct {
	slog.Handler
	limiter *recordLimiter
}

// recordLimiter counts the records of the current second. It is safe for concurrent use.
type recordLimiter struct {
	mu        sync.Mutex
	perSecond int
	second    time.Time
	passed    int // in this second
	dropped   int // since the last record that passed
}

// allow tells whether one more record may pass, and how many were dropped before it.
func (l *recordLimiter) allow(at time.Time) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := at.Truncate(time.Second); !second.Equal(l.second) {
		l.second, l.passed = second, 0
	}
	if l.passed >= l.perSecond {
		l.dropped++
		return false, 0
	}
	l.passed++
	dropped, l.dropped = l.dropped, 0
	return true, dropped
}

// Handle implements slog.Handler.
func (h *rateLimitedHandler) Handle(ctx context.Context, record slog.Record) error {
	ok, dropped := h.limiter.allow(record.Time)
	if !ok {
		return nil
	}
	if dropped > 0 {
		record = record.Clone()
		record.AddAttrs(slog.Int(leftOutKey, dropped))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithGroup(name), limiter: h.limiter}
}
