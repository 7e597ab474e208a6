package dispatch

import "streamcleat/control"

// cachedResponse is what is remembered of a request after its end, so that a repeat gets the same response.
type cachedResponse struct {
	identity    Identity
	response    Response
	expiresAt   float64
	mayHaveRun  bool    // some attempt may have run
	firstRunAt  float64 // when the first of these started
	bodyDropped bool    // no longer counted in the cache's bytes; the body, if there was one, was dropped for room or age
	superseded  bool    // a later request of the same identity has ended
}

// mustReplay tells whether a repeat gets the cached response instead of running again. Only a rejection lets a request
// run again, and one with an idempotency key only while the workers still remember its first run: past that, the cached
// response becomes a failure.
func (c *cachedResponse) mustReplay(class *control.RequestClass, now float64) bool {
	if c.response.Kind != Rejected {
		return true
	}
	if c.mayHaveRun && deduplicationExpired(class, c.firstRunAt, now) {
		c.response.Kind, c.response.Cause = Failed, CauseResponseExpired
		return true
	}
	return false
}

// deduplicationExpired tells whether workers may have forgotten the first run of a request with an idempotency key, so
// that a further run would take effect twice.
func deduplicationExpired(class *control.RequestClass, firstRunAt, now float64) bool {
	return class.Semantics == control.IdempotentByKey && now >= firstRunAt+class.DeduplicationWindow
}

// bodySize is the number of bytes that the response counts in the cache.
func (c *cachedResponse) bodySize() int { return len(c.response.Body) }

// responseCache holds the final responses of ended requests, each for a limited time and their bodies within a limit of
// bytes.
type responseCache struct {
	classes      map[string]*control.RequestClass
	maxBodyBytes int
	byIdentity   map[Identity]*cachedResponse
	byAge        []*cachedResponse // all, the one that ended first in front
	withBody     []*cachedResponse // those that still count in bodyBytes, likewise
	bodyBytes    int
}

func newResponseCache(classes map[string]*control.RequestClass, maxBodyBytes int) responseCache {
	return responseCache{
		classes:      classes,
		maxBodyBytes: maxBodyBytes,
		byIdentity:   map[Identity]*cachedResponse{},
	}
}

// len is the number of identities that are remembered.
func (c *responseCache) len() int { return len(c.byIdentity) }

// get returns what is remembered of an identity, be it expired; nil: nothing.
func (c *responseCache) get(identity Identity) *cachedResponse { return c.byIdentity[identity] }

// lookup returns the response to replay for an identity; nil: none, or it has expired.
func (c *responseCache) lookup(identity Identity, now float64) *cachedResponse {
	cached := c.byIdentity[identity]
	if cached != nil && cached.expiresAt <= now {
		return nil
	}
	return cached
}

// replace adds the end of a request and drops an earlier one of the same identity.
func (c *responseCache) replace(cached *cachedResponse) {
	if earlier := c.byIdentity[cached.identity]; earlier != nil {
		earlier.superseded = true
		c.dropBody(earlier)
	}
	c.add(cached)
}

// add adds the end of a request and drops the oldest bodies beyond the limit.
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

// dropBody drops the body of a response. A repeat of a request that may run again then runs anew; any other is
// remembered as a failure.
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

// remove forgets a response unless a later one has taken its place.
func (c *responseCache) remove(cached *cachedResponse) {
	if c.byIdentity[cached.identity] == cached {
		delete(c.byIdentity, cached.identity)
	}
}

// expire forgets what no repeat may ask for any more.
func (c *responseCache) expire(now float64) {
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

// cacheResponse remembers the end of a request for the deduplication window.
func (d *Dispatcher) cacheResponse(req *openRequest, response Response) {
	if d.settings.DeduplicationWindow <= 0 { // no repeat comes under the same identity
		return
	}
	d.cache.replace(&cachedResponse{
		identity:   req.request.Identity,
		response:   response,
		expiresAt:  d.now + d.settings.DeduplicationWindow,
		mayHaveRun: req.mayHaveRun,
		firstRunAt: req.firstRunAt,
	})
}
