package dispatch

import (
	"streamcleat/control"
	"streamcleat/internal/units"
)

// cachedResponse is the final response to a request, retained so that a retry gets the same response.
type cachedResponse struct {
	identity         Identity
	response         Response
	expiresAt        units.Seconds
	possiblyExecuted bool          // by some attempt
	firstExecutedAt  units.Seconds // start of the first such attempt
	bodyDropped      bool          // the body is no longer counted in responseCache.bodyBytes
	superseded       bool          // a later request of the same identity has ended
}

// mustReplay reports whether a retry gets the cached response instead of being executed. Only a rejected request may be
// executed again.
func (c *cachedResponse) mustReplay() bool { return c.response.Kind != Rejected }

// failIfRepeatUnsafe turns a cached rejection into a failure once a retry could have a duplicate effect.
func (c *cachedResponse) failIfRepeatUnsafe(class *control.RequestClass, now units.Seconds) {
	if c.response.Kind == Rejected && c.possiblyExecuted && isRepeatUnsafe(class, c.firstExecutedAt, now) {
		c.response.Kind, c.response.Cause = Failed, CauseResponseExpired
	}
}

// isRepeatUnsafe reports whether another request of the same identity could have a duplicate effect, after one that was first
// executed at a time. With an idempotency key, it could once workers may have discarded the key, and on workers outside of the
// deduplication scope of the first execution, which the router does not know for another request.
func isRepeatUnsafe(class *control.RequestClass, firstExecutedAt, now units.Seconds) bool {
	switch class.Semantics {
	case control.Idempotent:
		return false
	case control.IdempotentByKey:
		return class.DeduplicationScope != control.ScopeFleet || now >= firstExecutedAt+class.DeduplicationWindow
	case control.AtMostOnce:
	}
	return true
}

// bodySize returns the number of bytes that the response adds to responseCache.bodyBytes.
func (c *cachedResponse) bodySize() int { return len(c.response.Body) }

// responseCache holds the final responses of ended requests. Responses expire after the deduplication window; the total
// size of their bodies is bounded by maxBodyBytes.
type responseCache struct {
	classes      map[string]*control.RequestClass
	maxBodyBytes int
	byIdentity   map[Identity]*cachedResponse
	byAge        []*cachedResponse // all responses, the oldest first
	withBody     []*cachedResponse // responses whose body is counted in bodyBytes, the oldest first
	bodyBytes    int
}

func newResponseCache(classes map[string]*control.RequestClass, maxBodyBytes int) responseCache {
	return responseCache{
		classes:      classes,
		maxBodyBytes: maxBodyBytes,
		byIdentity:   map[Identity]*cachedResponse{},
	}
}

// len returns the number of cached identities.
func (c *responseCache) len() int { return len(c.byIdentity) }

// get returns the cached response of an identity, even if it has expired; nil if there is none.
func (c *responseCache) get(identity Identity) *cachedResponse { return c.byIdentity[identity] }

// lookup returns the cached response of an identity; nil if there is none or it has expired.
func (c *responseCache) lookup(identity Identity, now units.Seconds) *cachedResponse {
	cached := c.byIdentity[identity]
	if cached != nil && cached.expiresAt <= now {
		return nil
	}
	return cached
}

// replace adds a response and supersedes an earlier one of the same identity.
func (c *responseCache) replace(cached *cachedResponse) {
	if earlier := c.byIdentity[cached.identity]; earlier != nil {
		earlier.superseded = true
		c.dropBody(earlier)
	}
	c.add(cached)
}

// add adds a response and drops the oldest bodies while their total size exceeds the limit.
func (c *responseCache) add(cached *cachedResponse) {
	cached.response.AwaitsRecord = false
	c.byIdentity[cached.identity] = cached
	c.byAge = append(c.byAge, cached)
	c.withBody = append(c.withBody, cached)
	c.bodyBytes += cached.bodySize()
	for c.bodyBytes > c.maxBodyBytes && len(c.withBody) > 0 {
		oldest := c.withBody[0]
		c.withBody = c.withBody[1:]
		c.dropBody(oldest)
	}
}

// dropBody drops the body of a response. An idempotent request is removed from the cache, so that a retry is executed
// again; any other stays cached as a failure.
func (c *responseCache) dropBody(cached *cachedResponse) {
	if cached.bodyDropped {
		return
	}
	c.bodyBytes -= cached.bodySize()
	cached.bodyDropped = true
	if cached.bodySize() == 0 {
		return
	}
	cached.response.Body, cached.response.Fields = nil, nil
	cached.response.Kind, cached.response.Cause = Failed, CauseResponseExpired
	class := c.classes[cached.response.Class]
	if class != nil && class.Semantics == control.Idempotent {
		c.remove(cached)
	}
}

// remove removes a response unless a later one has replaced it.
func (c *responseCache) remove(cached *cachedResponse) {
	if c.byIdentity[cached.identity] == cached {
		delete(c.byIdentity, cached.identity)
	}
}

// expire removes expired and superseded responses.
func (c *responseCache) expire(now units.Seconds) {
	expired := 0
	for expired < len(c.byAge) && (c.byAge[expired].expiresAt <= now || c.byAge[expired].superseded) {
		cached := c.byAge[expired]
		c.remove(cached)
		c.dropBody(cached)
		c.byAge[expired] = nil
		expired++
	}
	c.byAge = c.byAge[expired:]
	for len(c.withBody) > 0 && c.withBody[0].bodyDropped {
		c.withBody = c.withBody[1:]
	}
}

// cacheResponse caches the final response to a request for the deduplication window.
func (d *Dispatcher) cacheResponse(req *openRequest, response Response) {
	if d.settings.DeduplicationWindow <= 0 { // clients never reuse an identity
		return
	}
	d.cache.replace(&cachedResponse{
		identity:         req.request.Identity,
		response:         response,
		expiresAt:        d.now + d.settings.DeduplicationWindow,
		possiblyExecuted: req.possiblyExecuted,
		firstExecutedAt:  req.firstExecutedAt,
	})
}
