package dispatch

import (
	"errors"
	"fmt"
)

// ErrInconsistent is wrapped by the errors of [Dispatcher.Check].
var ErrInconsistent = errors.New("dispatcher state is inconsistent")

// inconsistencies collects the errors of a check.
type inconsistencies []error

// addf adds one error.
func (f *inconsistencies) addf(format string, args ...any) {
	*f = append(*f, fmt.Errorf("%w: %s", ErrInconsistent, fmt.Sprintf(format, args...)))
}

// Waiters returns the number of waiters without a response.
func (d *Dispatcher) Waiters() int { return len(d.requestByWaiter) }

// Check verifies the invariants of the dispatcher's state, for tests and the simulation. It joins one [ErrInconsistent]
// for each violation. If full is set it also checks the cache, in time proportional to the number of cached responses.
func (d *Dispatcher) Check(full bool) error {
	var found inconsistencies
	waiters, inFlight := 0, 0
	for id, req := range d.requests {
		if req.id != id {
			found.addf("request %s is indexed as %s", req.id, id)
		}
		d.checkRequest(req, &found)
		d.checkWaiters(req, &found)
		waiters += len(req.waiters)
		if req.attempt != nil {
			inFlight++
		}
	}
	if waiters != len(d.requestByWaiter) {
		found.addf("%d waiters indexed, but open requests have %d", len(d.requestByWaiter), waiters)
	}
	if inFlight != len(d.inFlight) {
		found.addf("%d attempts indexed as in flight, but open requests have %d", len(d.inFlight), inFlight)
	}
	if len(d.openByIdentity) != len(d.requests) {
		found.addf("%d requests open, %d identities indexed", len(d.requests), len(d.openByIdentity))
	}
	d.checkTimers(&found)
	if full {
		d.checkLimits(&found)
	}
	return errors.Join(found...)
}

// checkRequest checks the state of one open request and its attempt.
func (d *Dispatcher) checkRequest(req *openRequest, found *inconsistencies) {
	identity := req.request.Identity
	switch state := req.state(); {
	case d.openByIdentity[identity] == nil:
		found.addf("open request %s not indexed by its identity", identity)
	case state == stateClosed:
		found.addf("closed request %s still indexed as open", identity)
	case !req.released && len(req.waiters) == 0:
		found.addf("open request %s has no waiter", identity)
	case !req.released && d.now > req.deadline+d.settings.ResponseMargin:
		found.addf("request %s still open %.3f s past its deadline", identity, d.now-req.deadline)
	}
	attempt := req.attempt
	if attempt != nil && (d.inFlight[attempt.id] != attempt || attempt.request != req) {
		found.addf("attempt of request %s not indexed as in flight", identity)
	}
}

// checkWaiters checks the waiters of one open request.
func (d *Dispatcher) checkWaiters(req *openRequest, found *inconsistencies) {
	for _, w := range req.waiters {
		if d.requestByWaiter[w.id] != req {
			found.addf("waiter %d of request %s not indexed", w.id, req.request.Identity)
		}
		if d.now > w.deadline+d.settings.ResponseMargin {
			found.addf("waiter %d of request %s still waiting %.3f s past its deadline", w.id, req.request.Identity, d.now-w.deadline)
		}
	}
}

// checkTimers checks that every attempt and load command has an armed timer.
func (d *Dispatcher) checkTimers(found *inconsistencies) {
	armed := map[uint64]bool{}
	for _, t := range d.timers {
		if t.kind == attemptDeadline || t.kind == loadDeadline {
			armed[t.key] = true
		}
	}
	for id := range d.inFlight {
		if !armed[id] {
			found.addf("attempt %d in flight without a timer", id)
		}
	}
	for id := range d.pendingLoads {
		if !armed[id] {
			found.addf("load command %d pending without a timer", id)
		}
	}
}

// checkLimits checks the cache, and the limits on open requests and cached bodies.
func (d *Dispatcher) checkLimits(found *inconsistencies) {
	bytes := 0
	for identity, cached := range d.cache.byIdentity {
		if cached.identity != identity || cached.superseded {
			found.addf("response of %s cached under %s", cached.identity, identity)
		}
		if !cached.bodyDropped {
			bytes += cached.bodySize()
		}
	}
	if bytes != d.cache.bodyBytes || bytes > d.cache.maxBodyBytes {
		found.addf("cached bodies have %d bytes, %d counted, %d allowed", bytes, d.cache.bodyBytes, d.cache.maxBodyBytes)
	}
	if len(d.requests) > d.settings.MaxOpen {
		found.addf("%d requests open, %d allowed", len(d.requests), d.settings.MaxOpen)
	}
}
