package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"

	"streamcleat/internal/http1"
	"streamcleat/internal/verification/fakes"
	"streamcleat/internal/verification/invariants"
)

const (
	clientSource      = "/tills" // of all requests of clients
	maxCalls          = 6        // of one request
	retryWindow       = 3        // multiple of the timeout for which a request is retried
	maxPipelined      = 3        // calls on one connection
	usualCancelShare  = 0.02     // of requests whose client cancels
	minClientTimeout  = 0.4      // seconds that a client says it waits
	brokenRetryDelay  = 0.02     // seconds from a broken connection to a retry, at least
	brokenRetrySpread = 0.3      // seconds over which such retries are spread
	closedRetryDelay  = 0.05     // seconds from a connection that a client closed to a retry
	eagerRetryDelay   = 0.01     // seconds from a rejection to a retry by clients that ignore Retry-After
	reconnectDelay    = 0.01     // seconds until clients that dropped all connections retry
	maxStartDelay     = 0.2      // seconds over which the clients' first requests are spread
	maxDuplicateDelay = 0.1      // seconds from a request to its duplicate
)

// request is what a client wants done, over all its calls.
type request struct {
	id, class, function string
	number              int // among the client's
	calls               int
	frontEnd            int
	firstSent           float64
	retryUntil          float64 // no call begins later
	timeout             float64 // that the client states; 0: none, and it waits as long as the class may take
	duplicated          bool    // sent by two programs, neither of which knows where the other sent it
	cancelAfter         float64 // seconds from each call until the client cancels it; 0: it waits
	rechecks            int     // repeats after the response, to see that it is the same
}

// mayMove returns whether a retry may go to another front end. What must not run twice stays with its front end, which
// knows it.
func (r *request) mayMove() bool {
	if r.class == fakes.ClassAtMostOnce {
		return false
	}
	return !r.duplicated || r.class != fakes.ClassIdempotentByKey
}

// clientCall is one call of a request, with its response.
type clientCall struct {
	request    *request
	number     uint64
	frontEnd   *frontEnd
	processTag string // of the front end's process that it was sent to
	sentAt     float64
	ended      bool
	timeout    *event
	conn       *clientConn
}

// record returns the record of something that happened to the call.
func (c *clientCall) record(kind invariants.Kind) invariants.Record {
	return invariants.Record{
		Kind: kind, CallID: c.number, RequestID: clientSource + "#" + c.request.id, Class: c.request.class,
		FrontEnd: c.processTag,
	}
}

// end ends the call.
func (c *clientCall) end() {
	c.ended = true
	c.timeout.cancel()
}

// client is a program that sends requests at random times, retries what was rejected or lost as the request's class
// allows, and now and then repeats a request whose response it knows.
type client struct {
	process
	site      *site
	rng       *rand.Rand
	functions *rand.Zipf // popularity of functions
	rate      float64    // requests a second
	conns     []*clientConn
	requests  int     // so far
	readRate  float64 // bytes a second that it reads; 0: all
	finishing bool    // it begins no further requests
}

func clientName(number int) string { return fmt.Sprintf("till-%d", number) }

func (s *site) newClient(number int) *client {
	name := clientName(number)
	c := &client{
		process: process{scheduler: s.scheduler, name: name, powered: true, running: true}, site: s,
		rng: newRand(s.script.Seed, name), rate: s.script.Rate / float64(s.script.Clients),
	}
	c.functions = rand.NewZipf(c.rng, 1.2, 2, uint64(len(s.functions)-1))
	c.after(c.rng.Float64()*maxStartDelay, "begins", c.sendNext)
	return c
}

// classShares are the shares of the request classes, in the order of the draw.
var classShares = []struct {
	class string
	share float64
}{{fakes.ClassIdempotent, 0.5}, {fakes.ClassIdempotentByKey, 0.3}, {fakes.ClassAtMostOnce, 0.2}}

func (c *client) drawClass() (class string) {
	draw := c.rng.Float64()
	for _, s := range classShares {
		class = s.class
		if draw < s.share {
			break
		}
		draw -= s.share
	}
	return class
}

// sendNext sends a new request and schedules the one after it.
func (c *client) sendNext() {
	if c.finishing {
		return
	}
	rate := c.rate * max(c.site.rateFactor, 1)
	c.after(c.rng.ExpFloat64()/rate, "next", c.sendNext)
	r := c.drawRequest()
	c.send(r)
	if r.duplicated { // another program of the same machine sends the same request
		duplicate := *r
		duplicate.timeout = 0
		duplicate.cancelAfter, duplicate.rechecks = 0, 0
		c.after(c.rng.Float64()*maxDuplicateDelay, "twin", func() { c.send(&duplicate) })
	}
}

func (c *client) drawRequest() *request {
	c.requests++
	now := c.scheduler.now
	r := &request{
		class:      c.drawClass(),
		id:         fmt.Sprintf("%s-%d", c.name, c.requests),
		number:     c.requests,
		function:   c.site.functions[c.functions.Uint64()].Name,
		frontEnd:   c.rng.IntN(len(c.site.frontEnds)),
		firstSent:  now,
		retryUntil: now + retryWindow*requestTimeout,
	}
	if c.rng.Float64() < max(c.site.cancelShare, usualCancelShare) {
		r.cancelAfter = 0.01 + c.rng.Float64()*requestTimeout
	}
	if c.rng.IntN(6) == 0 {
		r.rechecks = 1 + c.rng.IntN(2)
	}
	r.duplicated = c.rng.IntN(12) == 0
	if c.rng.IntN(8) == 0 {
		r.timeout = minClientTimeout + (requestTimeout-minClientTimeout)*c.rng.Float64()
	}
	return r
}

// send sends one call of a request.
func (c *client) send(r *request) {
	r.calls++
	f, timeout := c.site.frontEnds[r.frontEnd], requestTimeout
	if r.timeout > 0 {
		timeout = r.timeout
	}
	call := &clientCall{request: r, number: c.site.recorder.NextCallID(), frontEnd: f, processTag: f.processTag(), sentAt: c.scheduler.now}
	conn := c.reusableConn(f, r)
	record := call.record(invariants.RequestSent)
	record.Function, record.Timeout = r.function, timeout
	c.site.recorder.Add(record)
	c.site.callSent(call)
	call.timeout = c.after(timeout, "gives up "+r.id, func() { c.onTimeout(call) })
	if r.cancelAfter > 0 {
		c.after(r.cancelAfter, "leaves "+r.id, func() { c.cancel(call) })
	}
	if conn == nil {
		c.dial(call)
	} else {
		conn.send(call)
	}
}

// outcomes are the outcomes of statuses.
var outcomes = map[int]string{
	http.StatusOK:                 invariants.Succeeded,
	http.StatusServiceUnavailable: invariants.Rejected,
	http.StatusTooManyRequests:    invariants.Rejected,
	http.StatusBadGateway:         invariants.Failed,
	http.StatusGatewayTimeout:     invariants.Failed,
}

func (c *client) onResponse(call *clientCall, m *http1.Message) {
	call.timeout.cancel()
	if call.ended {
		return
	}
	call.ended = true
	r := call.request
	outcome, known := outcomes[m.Status]
	if !known {
		outcome = invariants.Invalid
		c.site.violation("client", "%s: status %d: %s", r.id, m.Status, m.Body)
	}
	record := call.record(invariants.ResponseReceived)
	record.Status, record.Outcome, record.Digest = m.Status, outcome, m.Header.Get("Docker-Content-Digest")
	c.site.recorder.Add(record)
	c.site.callAnswered(call, outcome)
	switch {
	case outcome == invariants.Rejected:
		c.onRejected(r, m)
	case r.rechecks > 0 && outcome != invariants.Invalid:
		r.rechecks--
		c.retry(r, closedRetryDelay+c.rng.Float64(), false)
	}
}

// onRejected retries a request after the time that the response states, or at once by clients that ignore it.
func (c *client) onRejected(r *request, m *http1.Message) {
	retryAfter, err := strconv.ParseFloat(m.Header.Get("Retry-After"), 64)
	if err != nil {
		c.site.violation("client", "%s: deferred without a time to come back", r.id)
	}
	if c.site.ignoreRetryAfter {
		c.retry(r, eagerRetryDelay, true)
	} else if m.Status == http.StatusServiceUnavailable {
		c.retry(r, retryAfter+c.rng.Float64()*0.2, true)
	}
}

// retry sends a request once more after a delay, to another front end where that is allowed and drawn.
func (c *client) retry(r *request, delay float64, move bool) {
	at := c.scheduler.now + delay
	if at > r.retryUntil || r.calls >= maxCalls || c.finishing && at > c.site.script.Seconds+lastRetry {
		return
	}
	frontEnds := len(c.site.frontEnds)
	if move && r.mayMove() && frontEnds > 1 && c.rng.IntN(3) == 0 {
		// Front ends share nothing: one that never heard of the request can't know when workers forget it.
		if r.class == fakes.ClassIdempotentByKey {
			forgotten := r.firstSent + c.site.script.DeduplicationWindow - requestTimeout
			if at >= forgotten {
				return
			}
			r.retryUntil = min(r.retryUntil, forgotten)
		}
		r.frontEnd = (r.frontEnd + 1) % frontEnds
	}
	c.after(delay, "asks again for "+r.id, func() { c.send(r) })
}

// onTimeout ends a call whose time is up.
func (c *client) onTimeout(call *clientCall) {
	if call.ended {
		return
	}
	call.ended = true
	c.site.callUnanswered(call)
	if call.conn.closed {
		return
	}
	call.conn.closeByClient(closedRetryDelay, true)
	c.retry(call.request, closedRetryDelay, true)
}

// cancel ends a call whose client hangs up.
func (c *client) cancel(call *clientCall) {
	if call.ended {
		return
	}
	call.end()
	c.site.callCancelled(call)
	if !call.conn.closed {
		call.conn.closeByClient(closedRetryDelay, true)
	}
}

// reconnect drops all connections; the calls that waited on them are retried.
func (c *client) reconnect() {
	for _, conn := range slices.Clone(c.conns) {
		conn.closeByClient(reconnectDelay, false)
	}
}

// closeIdle closes the connections that no call waits on.
func (c *client) closeIdle() {
	for _, conn := range slices.Clone(c.conns) {
		if len(conn.calls) == 0 && conn.end != nil {
			conn.closeByClient(0, false)
		}
	}
}
