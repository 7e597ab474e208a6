package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"

	"streamcleat/internal/http1"
	"streamcleat/internal/units"
	"streamcleat/internal/verification/fakes"
	"streamcleat/internal/verification/invariants"
)

const (
	clientSource         = "/tills" // ce-source of all client requests
	maxCalls             = 6        // per request
	retryWindow          = 3        // period in which a request is retried, as a multiple of the timeout
	maxPipelined         = 3        // maximum number of calls in flight on one connection
	normalCancelFraction = 0.02     // fraction of requests that are cancelled
	minClientTimeout     = 0.4      // seconds
	minLostRetryDelay    = 0.02     // seconds from the loss of a connection to the retry
	lostRetryJitter      = 0.3      // seconds; maximum random addition to minLostRetryDelay
	closedRetryDelay     = 0.05     // seconds from a client's closing of its connection to the retry
	immediateRetryDelay  = 0.01     // seconds from a rejection to the retry, by clients that ignore Retry-After
	reconnectDelay       = 0.01     // seconds from FaultReconnect to the retry
	maxStartDelay        = 0.2      // seconds; the clients' first requests are spread over this period
	maxDuplicateDelay    = 0.1      // seconds from a request to its duplicate
)

// retryTarget selects the front end of a retry.
type retryTarget int

const (
	sameFrontEnd retryTarget = iota
	anyFrontEnd
)

// request is a request of a client with the state of its retries.
type request struct {
	id, class, function string
	number              int // sequence number among the client's requests
	calls               int
	frontEnd            int
	firstSent           float64
	retryUntil          units.Seconds // latest time of a retry
	timeout             units.Seconds // sent by the client; 0: none, so that the timeout of the class applies
	duplicated          bool          // also sent by a second, independent program
	cancelAfter         float64       // seconds from each call to its cancellation; 0: not cancelled
	repeats             int           // number of calls after the response, which must get the same response
}

// mayChangeFrontEnd reports whether a retry may go to another front end. At-most-once requests stay with the front end
// that has the record of their earlier calls.
func (r *request) mayChangeFrontEnd() bool {
	if r.class == fakes.ClassAtMostOnce {
		return false
	}
	return !r.duplicated || r.class != fakes.ClassIdempotentByKey
}

// clientCall is one call of a request.
type clientCall struct {
	request     *request
	number      uint64
	frontEnd    *frontEnd
	processName string // process of the front end when the call was sent
	sentAt      units.Seconds
	ended       bool
	timeout     *event
	conn        *clientConn
}

// record returns a record of the given kind for the checker of invariants.
func (c *clientCall) record(kind invariants.Kind) invariants.Record {
	return invariants.Record{
		Kind: kind, CallID: c.number, RequestID: clientSource + "#" + c.request.id, Class: c.request.class,
		FrontEnd: c.processName,
	}
}

// end marks the call as ended and cancels its timeout.
func (c *clientCall) end() {
	c.ended = true
	c.timeout.cancel()
}

// client sends requests at random times, retries rejected and lost ones as their class permits, and sometimes repeats a
// request after its response.
type client struct {
	process
	site      *site
	rng       *rand.Rand
	functions *rand.Zipf // popularity of functions
	rate      float64    // requests per second
	conns     []*clientConn
	requests  int     // number of requests so far
	readRate  float64 // bytes per second at which responses are read; 0: unlimited
	finishing bool    // no new requests are sent
}

func clientName(number int) string { return fmt.Sprintf("till-%d", number) }

func (s *site) newClient(number int) *client {
	name := clientName(number)
	c := &client{
		process: process{scheduler: s.scheduler, name: name, powered: true, running: true}, site: s,
		rng: newRand(s.script.Seed, name), rate: s.script.Rate / float64(s.script.Clients),
	}
	c.functions = rand.NewZipf(c.rng, 1.2, 2, uint64(len(s.functions)-1))
	c.after(units.Seconds(c.rng.Float64()*maxStartDelay), "begins", c.sendNext)
	return c
}

// classFractions is the distribution of request classes, in the order in which drawClass accumulates it.
var classFractions = []struct {
	class    string
	fraction float64
}{{fakes.ClassIdempotent, 0.5}, {fakes.ClassIdempotentByKey, 0.3}, {fakes.ClassAtMostOnce, 0.2}}

func (c *client) drawClass() (class string) {
	draw := c.rng.Float64()
	for _, s := range classFractions {
		class = s.class
		if draw < s.fraction {
			break
		}
		draw -= s.fraction
	}
	return class
}

// sendNext sends a new request and schedules the next one.
func (c *client) sendNext() {
	if c.finishing {
		return
	}
	rate := c.rate * max(c.site.rateFactor, 1)
	c.after(units.Seconds(c.rng.ExpFloat64()/rate), "next", c.sendNext)
	r := c.drawRequest()
	c.send(r)
	if r.duplicated { // by another program on the client's machine
		duplicate := *r
		duplicate.timeout = 0
		duplicate.cancelAfter, duplicate.repeats = 0, 0
		c.after(units.Seconds(c.rng.Float64()*maxDuplicateDelay), "twin", func() { c.send(&duplicate) })
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
		firstSent:  float64(now),
		retryUntil: now + retryWindow*requestTimeout,
	}
	if c.rng.Float64() < max(c.site.cancelFraction, normalCancelFraction) {
		r.cancelAfter = 0.01 + c.rng.Float64()*requestTimeout
	}
	if c.rng.IntN(6) == 0 {
		r.repeats = 1 + c.rng.IntN(2)
	}
	r.duplicated = c.rng.IntN(12) == 0
	if c.rng.IntN(8) == 0 {
		r.timeout = units.Seconds(minClientTimeout + (requestTimeout-minClientTimeout)*c.rng.Float64())
	}
	return r
}

// send sends a call of a request, on an open connection if one is reusable.
func (c *client) send(r *request) {
	r.calls++
	f, timeout := c.site.frontEnds[r.frontEnd], requestTimeout
	if r.timeout > 0 {
		timeout = float64(r.timeout)
	}
	call := &clientCall{request: r, number: c.site.recorder.NextCallID(), frontEnd: f, processName: f.processName(), sentAt: c.scheduler.now}
	conn := c.reusableConn(f, r)
	record := call.record(invariants.RequestSent)
	record.Function, record.Timeout = r.function, timeout
	c.site.recorder.Add(record)
	c.site.beginOperation(call)
	call.timeout = c.after(units.Seconds(timeout), "gives up "+r.id, func() { c.onTimeout(call) })
	if r.cancelAfter > 0 {
		c.after(units.Seconds(r.cancelAfter), "leaves "+r.id, func() { c.cancel(call) })
	}
	if conn == nil {
		c.dial(call)
	} else {
		conn.send(call)
	}
}

// outcomeByStatus maps the expected HTTP statuses to outcomes.
var outcomeByStatus = map[int]string{
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
	outcome, known := outcomeByStatus[m.Status]
	if !known {
		outcome = invariants.Invalid
		c.site.violation("client", "%s: status %d: %s", r.id, m.Status, m.Body)
	}
	record := call.record(invariants.ResponseReceived)
	record.Status, record.Outcome, record.Digest = m.Status, outcome, m.Header.Get("Docker-Content-Digest")
	c.site.recorder.Add(record)
	c.site.endOperation(call, outcome)
	switch {
	case outcome == invariants.Rejected:
		c.onRejected(r, m)
	case r.repeats > 0 && outcome != invariants.Invalid:
		r.repeats--
		c.retry(r, units.Seconds(closedRetryDelay+c.rng.Float64()), sameFrontEnd)
	}
}

// onRejected retries a request with status 503 after the response's Retry-After. If clients ignore Retry-After, it retries
// any rejected request immediately.
func (c *client) onRejected(r *request, m *http1.Message) {
	retryAfter, err := strconv.ParseFloat(m.Header.Get("Retry-After"), 64)
	if err != nil {
		c.site.violation("client", "%s: rejected without Retry-After", r.id)
	}
	if c.site.ignoreRetryAfter {
		c.retry(r, immediateRetryDelay, anyFrontEnd)
	} else if m.Status == http.StatusServiceUnavailable {
		c.retry(r, units.Seconds(retryAfter+c.rng.Float64()*0.2), anyFrontEnd)
	}
}

// retry schedules a retry of a request, unless its retries are exhausted. With anyFrontEnd, the retry may go to another
// front end if mayChangeFrontEnd permits it.
func (c *client) retry(r *request, delay units.Seconds, target retryTarget) {
	at := c.scheduler.now + delay
	if at > r.retryUntil || r.calls >= maxCalls || c.finishing && at > units.Seconds(c.site.script.Seconds+retryPeriod) {
		return
	}
	frontEnds := len(c.site.frontEnds)
	if target == anyFrontEnd && r.mayChangeFrontEnd() && frontEnds > 1 && c.rng.IntN(3) == 0 {
		// Front ends share no state, so another front end doesn't know when the workers' deduplication window ends.
		if r.class == fakes.ClassIdempotentByKey {
			windowEnd := units.Seconds(r.firstSent) + c.site.script.DeduplicationWindow - requestTimeout
			if at >= windowEnd {
				return
			}
			r.retryUntil = min(r.retryUntil, windowEnd)
		}
		r.frontEnd = (r.frontEnd + 1) % frontEnds
	}
	c.after(delay, "asks again for "+r.id, func() { c.send(r) })
}

// onTimeout ends a call whose timeout has expired, closes its connection and retries the request.
func (c *client) onTimeout(call *clientCall) {
	if call.ended {
		return
	}
	call.ended = true
	c.site.endTimedOutCall(call)
	if call.conn.closed {
		return
	}
	call.conn.closeByClient(closedRetryDelay, anyFrontEnd)
	c.retry(call.request, closedRetryDelay, anyFrontEnd)
}

// cancel cancels a call by closing its connection.
func (c *client) cancel(call *clientCall) {
	if call.ended {
		return
	}
	call.end()
	c.site.endCancelledCall(call)
	if !call.conn.closed {
		call.conn.closeByClient(closedRetryDelay, anyFrontEnd)
	}
}

// reconnect closes all connections and retries their calls.
func (c *client) reconnect() {
	for _, conn := range slices.Clone(c.conns) {
		conn.closeByClient(reconnectDelay, sameFrontEnd)
	}
}

// closeIdle closes the connections that have no calls in flight.
func (c *client) closeIdle() {
	for _, conn := range slices.Clone(c.conns) {
		if len(conn.calls) == 0 && conn.end != nil {
			conn.closeByClient(0, sameFrontEnd)
		}
	}
}
