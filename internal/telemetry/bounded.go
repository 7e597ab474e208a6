package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// RateLimited passes on at most so many records a second, against a flood that fills a disk or takes the only core. The
// first one after a flood tells how many were left out.
func RateLimited(h slog.Handler, perSecond int) slog.Handler {
	return &bounded{Handler: h, rate: &rate{most: perSecond}}
}

type bounded struct {
	slog.Handler
	*rate
}

type rate struct {
	mu      sync.Mutex
	most, n int
	out     int
	second  time.Time
}

// take tells whether one more record may pass at a time, and how many were left out before it.
func (r *rate) take(at time.Time) (ok bool, out int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := at.Truncate(time.Second); !s.Equal(r.second) {
		r.second, r.n = s, 0
	}
	if r.n >= r.most {
		r.out++
		return false, 0
	}
	r.n++
	out, r.out = r.out, 0
	return true, out
}

// Handle implements slog.Handler.
func (b *bounded) Handle(ctx context.Context, rec slog.Record) error {
	ok, out := b.take(rec.Time)
	if !ok {
		return nil
	}
	if out > 0 {
		rec = rec.Clone()
		rec.AddAttrs(slog.Int("left_out_before", out))
	}
	return b.Handler.Handle(ctx, rec)
}

// WithAttrs implements slog.Handler.
func (b *bounded) WithAttrs(a []slog.Attr) slog.Handler {
	return &bounded{b.Handler.WithAttrs(a), b.rate}
}

// WithGroup implements slog.Handler.
func (b *bounded) WithGroup(name string) slog.Handler {
	return &bounded{b.Handler.WithGroup(name), b.rate}
}
