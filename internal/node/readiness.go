package node

import (
	"log/slog"
	"sync/atomic"

	"streamcleat/internal/eventloop"
	"streamcleat/internal/proxy"
	"streamcleat/internal/units"
)

// maxReadinessDelay is the time in seconds after the start from which a front end reports that it is ready even if it can't
// serve requests yet: the platform expects nine in ten restarted front ends to be ready within 6 s.
const maxReadinessDelay units.Seconds = 5

// readiness determines the responses to readiness queries. A front end becomes ready once it may send requests to a worker
// and remains ready until it is stopped. While it is not ready, the platform sends its clients to other front ends.
type readiness struct {
	log       *slog.Logger
	isStopped atomic.Bool

	// The fields below are only accessed on the event loop.
	proxy     *proxy.Proxy // nil until onStart
	startedAt units.Seconds
	wasReady  bool // has been ready since the start
}

// onStart is called on the event loop when the proxy has its endpoint list.
func (r *readiness) onStart(p *proxy.Proxy, now units.Seconds) { r.proxy, r.startedAt = p, now }

// onStop makes the front end permanently unready.
func (r *readiness) onStop() { r.isStopped.Store(true) }

// isReady is called on the event loop for each readiness query.
func (r *readiness) isReady() bool {
	if r.isStopped.Load() || r.proxy == nil {
		return false
	}
	if waited := eventloop.Now() - r.startedAt; !r.wasReady {
		canServe := r.proxy.CanServe()
		switch r.wasReady = canServe || waited > maxReadinessDelay; {
		case canServe:
			r.log.Info("ready", "after_seconds", float64(waited))
		case r.wasReady:
			r.log.Warn("ready although no worker holds a lease, requests are rejected", "after_seconds", float64(waited))
		}
	}
	return r.wasReady
}
