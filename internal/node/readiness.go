package node

import (
	"log/slog"
	"sync/atomic"

	"streamcleat/internal/eventloop"
	"streamcleat/internal/proxy"
	"streamcleat/internal/units"
)

// maxReadinessDelay is the time in seconds after the start from which a front end is ready although it can serve nobody: the
// platform expects nine in ten restarted front ends within 6 s.
const maxReadinessDelay units.Seconds = 5

// readiness decides what readiness queries are answered. A front end becomes ready once it may send requests to a worker,
// and stays so until it stops. Until then the platform sends its clients to other front ends.
type readiness struct {
	log       *slog.Logger
	isStopped atomic.Bool

	// The event loop owns the fields below.
	proxy     *proxy.Proxy // nil before the start
	startedAt units.Seconds
	reached   bool
}

// onStart is called on the event loop when the proxy has its endpoint list.
func (r *readiness) onStart(p *proxy.Proxy, now units.Seconds) { r.proxy, r.startedAt = p, now }

// onStop ends the readiness for good.
func (r *readiness) onStop() { r.isStopped.Store(true) }

// isReady is called on the event loop for each readiness query.
func (r *readiness) isReady() bool {
	if r.isStopped.Load() || r.proxy == nil {
		return false
	}
	if waited := eventloop.Now() - r.startedAt; !r.reached {
		canServe := r.proxy.CanServe()
		switch r.reached = canServe || waited > maxReadinessDelay; {
		case canServe:
			r.log.Info("ready", "after_seconds", float64(waited))
		case r.reached:
			r.log.Warn("ready although no worker holds a lease, requests are rejected", "after_seconds", float64(waited))
		}
	}
	return r.reached
}
