package dispatch

import (
	"errors"
	"fmt"
)

// ErrInconsistent is what [Dispatcher.Check] finds: state that contradicts itself.
var ErrInconsistent = errors.New("dispatcher state is inconsistent")

// inconsistencies collects what a check finds.
type inconsistencies []error

// addf adds one finding.
func (f *inconsistencies) addf(format string, args ...any) {
	*f = append(*f, fmt.Errorf("%w: %s", ErrInconsistent, fmt.Sprintf(format, args...)))
}

// Waiters is how many waiters have no response yet.
func (d *Dispatcher) Waiters() int { return len(d.requestByWaiter) }

// Check returns errors, each an [ErrInconsistent], for state that contradicts itself; it is for tests and the
// simulation. Where full is set it also checks the cache, which takes time by the number of cached responses.
func (d *Dispatcher) Check(full bool) error {
	var found inconsistencies
	waiters, inFlight := 0, 0
	for id, req := range d.requests {
		if req.id != id {
			found.addf("request %s is held as %s", req.id, id)
		}
		d.checkRequest(req, &found)
		d.checkWaiters(req, &found)
		waiters += len(req.waiters)
		if req.attempt != nil {
			inFlight++
		}
	}
	if waiters != len(d.requestByWaiter) {
		found.addf("%d waiters are known, %d belong to open requests", len(d.requestByWaiter), waiters)
	}
	if inFlight != len(d.inFlight) {
		found.addf("%d attempts are in flight, %d of open requests", len(d.inFlight), inFlight)
	}
	if len(d.openByIdentity) != len(d.requests) {
		found.addf("%d requests are open, %d identities", len(d.requests), len(d.openByIdentity))
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
		found.addf("request %s is open and not found by its identity", identity)
	case state == stateClosed:
		found.addf("request %s has ended and is open", identity)
	case !req.released && len(req.waiters) == 0:
		found.addf("request %s is open and has no waiter", identity)
	case !req.released && d.now > req.deadline+d.settings.ResponseMargin:
		found.addf("request %s is open %.3f s past its deadline", identity, d.now-req.deadline)
	}
	attempt := req.attempt
	if attempt != nil && (d.inFlight[attempt.id] != attempt || attempt.request != req) {
		found.addf("request %s has an attempt in flight that is not known", identity)
	}
}

// checkWaiters checks the waiters of one open request.
func (d *Dispatcher) checkWaiters(req *openRequest, found *inconsistencies) {
	for _, w := range req.waiters {
		if d.requestByWaiter[w.id] != req {
			found.addf("waiter %d of request %s is not known", w.id, req.request.Identity)
		}
		if d.now > w.deadline+d.settings.ResponseMargin {
			found.addf("waiter %d of request %s waits %.3f s past its deadline", w.id, req.request.Identity, d.now-w.deadline)
		}
	}
}

// checkTimers checks that every attempt and load command has a timeout.
func (d *Dispatcher) checkTimers(found *inconsistencies) {
	armed := map[uint64]bool{}
	for _, t := range d.timers {
		if t.kind == attemptDeadline || t.kind == loadDeadline {
			armed[t.key] = true
		}
	}
	for id := range d.inFlight {
		if !armed[id] {
			found.addf("attempt %d is in flight without a timeout", id)
		}
	}
	for id := range d.pendingLoads {
		if !armed[id] {
			found.addf("load command %d is pending without a timeout", id)
		}
	}
}

// checkLimits checks the cache and the limits on what is open and cached.
func (d *Dispatcher) checkLimits(found *inconsistencies) {
	bytes := 0
	for identity, cached := range d.cache.byIdentity {
		if cached.identity != identity || cached.superseded {
			found.addf("the response of %s is cached for %s", cached.identity, identity)
		}
		if !cached.bodyDropped {
			bytes += cached.bodySize()
		}
	}
	if bytes != d.cache.bodyBytes || bytes > d.cache.maxBodyBytes {
		found.addf("cached bodies hold %d bytes, %d are counted, %d allowed", bytes, d.cache.bodyBytes, d.cache.maxBodyBytes)
	}
	if len(d.requests) > d.settings.MaxOpen {
		found.addf("%d requests are open, %d allowed", len(d.requests), d.settings.MaxOpen)
	}
}
