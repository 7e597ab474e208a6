package proxy

import (
	"context"
	"log/slog"

	"streamcleat/internal/dispatch"
)

// dispatchEffects implements dispatch.Effects for a Proxy.
type dispatchEffects struct{ proxy *Proxy }

// Respond implements dispatch.Effects.
func (e dispatchEffects) Respond(to dispatch.WaiterID, response dispatch.Response) {
	e.proxy.respondOnceStored(to, response)
}

// SendAttempt implements dispatch.Effects.
func (e dispatchEffects) SendAttempt(attempt dispatch.Attempt) {
	p := e.proxy
	if attempt.AwaitsRecord && p.settings.RecordStore != nil {
		p.sendOnceStored(&attempt)
		return
	}
	p.outgoingAttempts = append(p.outgoingAttempts, pendingEffect{attempt: &attempt})
}

// SendLoad implements dispatch.Effects.
func (e dispatchEffects) SendLoad(command dispatch.LoadCommand) {
	e.proxy.pool.SendLoad(e.proxy.host.Now(), command)
}

// Abandon implements dispatch.Effects.
func (e dispatchEffects) Abandon(id uint64) {
	e.proxy.cancelPending(id)
	e.proxy.pool.Abandon(e.proxy.host.Now(), id)
}

// CancelUnsent implements dispatch.Effects.
func (e dispatchEffects) CancelUnsent(attempt uint64) bool {
	return e.proxy.cancelPending(attempt) || e.proxy.pool.CancelUnsent(attempt)
}

// Store implements dispatch.Effects.
func (e dispatchEffects) Store(record dispatch.Record) { e.proxy.storeRecord(record) }

// Broadcast implements dispatch.Effects.
func (e dispatchEffects) Broadcast(message []byte) { e.proxy.broadcast(message) }

// OnRequestEnd implements dispatch.Effects.
func (e dispatchEffects) OnRequestEnd(response dispatch.Response, trace *dispatch.Trace) {
	p := e.proxy
	if p.settings.OnRequestEnd != nil {
		p.settings.OnRequestEnd(response, trace)
	}
	level := slog.LevelDebug
	if response.Kind != dispatch.Succeeded {
		level = slog.LevelInfo
	}
	if p.log.Enabled(context.Background(), slog.LevelDebug) || response.Kind != dispatch.Succeeded {
		p.log.Log(context.Background(), level, "request ended", "request_id", response.Identity.String(),
			"outcome", response.Kind.String(), "cause", response.Cause.String(), "function", response.Function,
			"worker", response.Worker, "attempts", response.Attempts, "seconds", float64(response.Elapsed))
	}
}
