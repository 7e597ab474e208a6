package fakes

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"streamcleat/internal/verification/invariants"
)

const (
	maxRequestBody = 1 << 20

	// truncatedResponse is the response of which FaultTruncateResponses sends a prefix. Its body is shorter than its
	// Content-Length.
	truncatedResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 400\r\n\r\n{\"a\":1}"
	// maxTruncatedBytes is the maximum length of that prefix. The prefix ends within the header.
	maxTruncatedBytes = 70
)

// inference is one attempt of a request at a worker.
type inference struct {
	w        *Worker
	rw       http.ResponseWriter
	r        *http.Request
	function string
	digest   string // of the requested version
	body     []byte
	record   invariants.Record
	status   int // of the response; 0 if there was none
}

// infer serves an attempt.
func (w *Worker) infer(rw http.ResponseWriter, r *http.Request) {
	c, err := w.newInference(rw, r)
	defer func() { c.recordEvent(invariants.AttemptEnded, c.status) }()
	if err != nil {
		abort()
	}
	q, stop := c.admit()
	if q == nil || !c.awaitStart(q, stop) {
		return
	}
	first := c.recordFirstExecution()
	if first {
		c.record.Digest = q.replicas.Digest
		c.recordEvent(invariants.Executed, 0)
	}
	c.execute(q, stop)
	c.respond(q, stop, first)
}

// newInference reads a request and records that the attempt has started.
func (w *Worker) newInference(rw http.ResponseWriter, r *http.Request) (*inference, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBody))
	c := &inference{
		w: w, rw: rw, r: r, body: body,
		function: r.PathValue("f"),
		digest:   strings.Trim(r.Header.Get("If-Match"), `"`),
	}
	c.record = invariants.Record{
		Worker:    w.config.Name,
		RequestID: unescape(r.Header.Get("Ce-Source")) + "#" + unescape(r.Header.Get("Ce-Id")),
		Class:     unescape(r.Header.Get("Ce-Type")),
		Function:  c.function,
		FrontEnd:  frontEndOf(r),
		CallID:    w.config.Recorder.NextCallID(),
		Digest:    c.digest,
	}
	c.recordEvent(invariants.AttemptStarted, 0)
	return c, err
}

func (c *inference) recordEvent(kind invariants.Kind, status int) {
	c.record.Kind, c.record.Status = kind, status
	c.w.config.Recorder.Add(c.record)
}

// fail responds with an error.
func (c *inference) fail(status int, timing, text string) {
	c.status = status
	c.w.reply(c.rw, status, timing, ErrorMessage{text})
}

// admit adds the request to the worker's queue. If the request is rejected or a fault prevents its execution, admit
// responds and returns nil. stop is closed when the worker's present process ends.
func (c *inference) admit() (q *queuedRequest, stop <-chan struct{}) {
	w := c.w
	w.mu.Lock()
	if !w.countArrival() {
		w.mu.Unlock()
		abort()
	}
	c.awaitFaultEnd()
	if _, reset := w.sampleFault(FaultReset); reset {
		w.mu.Unlock()
		resetConnection(c.rw)
		return nil, nil
	}
	versionFault, failsVersion := w.sampleFault(FaultVersionErrors)
	failsVersion = failsVersion && versionFault.Digest == c.digest
	if _, failsAll := w.sampleFault(FaultErrors); failsAll || failsVersion {
		w.mu.Unlock()
		c.fail(http.StatusInternalServerError, "", "the function failed")
		return nil, nil
	}
	q, rejection := w.enqueue(c.function, c.digest)
	stop = w.stop
	w.mu.Unlock()
	if q == nil {
		c.fail(rejection, "", http.StatusText(rejection))
	}
	return q, stop
}

// awaitFaultEnd waits until the worker is neither hanging nor suspended. After a hang it waits until the client cancels or
// the process ends, and aborts, as a hanging worker never responds to the requests that it accepted. The caller must hold
// the lock; awaitFaultEnd releases it while it waits.
func (c *inference) awaitFaultEnd() {
	w, cancelled := c.w, c.r.Context().Done()
	for _, kind := range []FaultKind{FaultHang, FaultSuspend} {
		fault, affected := w.sampleFault(kind)
		if !affected {
			continue
		}
		stop := w.stop
		w.mu.Unlock()
		select {
		case <-cancelled:
			abort()
		case <-stop:
			abort()
		case <-time.After(time.Until(fault.until)):
		}
		if kind == FaultHang {
			awaitEither(cancelled, stop)
			abort()
		}
		w.mu.Lock()
	}
}

// awaitStart waits until the request holds a replica and a core. If the load failed, it responds and returns false.
func (c *inference) awaitStart(q *queuedRequest, stop <-chan struct{}) bool {
	select {
	case signal := <-q.start:
		if signal == startFailed {
			c.fail(http.StatusNotFound, StartLoadFailed, "the load failed")
			return false
		}
	case <-c.r.Context().Done():
		c.w.cancel(q)
		abort()
	case <-stop:
		abort()
	}
	return true
}

// recordFirstExecution records the request with the deduplicator, and returns false if it is a duplicate that must have no
// second effect.
func (c *inference) recordFirstExecution() bool {
	config := &c.w.config
	return !config.IdempotentByKeyClasses[c.record.Class] || config.Deduplicator == nil || config.Deduplicator.IsFirst(c.record.RequestID)
}

// execute waits for the execution time of the request and releases the replica and the core. It aborts if the process ends
// meanwhile.
func (c *inference) execute(q *queuedRequest, stop <-chan struct{}) {
	w := c.w
	w.mu.Lock()
	duration := q.replicas.Function.MeanWork / w.config.Speed / w.capacityFraction() * (0.7 + 0.6*w.rng.Float64())
	if f, slow := w.sampleFault(FaultSlow); slow {
		duration *= max(f.Slowdown, 1)
	}
	w.mu.Unlock()
	select {
	case <-time.After(seconds(duration)):
	case <-stop:
		abort()
	}
	w.mu.Lock()
	w.finish(q)
	w.mu.Unlock()
}

// respond sends the response, unless a fault loses or truncates it.
func (c *inference) respond(q *queuedRequest, stop <-chan struct{}, first bool) {
	w := c.w
	w.mu.Lock()
	_, lost := w.sampleFault(FaultLoseResponses)
	truncation, truncated := w.sampleFault(FaultTruncateResponses)
	w.mu.Unlock()
	switch {
	case lost:
		awaitEither(c.r.Context().Done(), stop)
		abort()
	case truncated:
		truncateResponse(c.rw, []byte(truncatedResponse)[:min(truncation.Bytes, maxTruncatedBytes)])
	default:
		c.status = http.StatusOK
		w.setDigestHeader(c.rw, q.replicas.Digest)
		w.reply(c.rw, http.StatusOK, q.startKind, c.response(q, first))
	}
}

func (c *inference) response(q *queuedRequest, first bool) InferResponse {
	m := InferResponse{ID: unescape(c.r.Header.Get("Ce-Id")), ModelName: q.replicas.Function.Name, Outputs: []struct{}{}}
	switch {
	case len(c.body) > 0:
		m.Parameters = &InferParameters{Bytes: len(c.body)}
	case !first:
		m.Parameters = &InferParameters{Repeat: true}
	}
	return m
}

// setDigestHeader sets the header with the digest of the version that was executed or loaded. FaultMisreportDigest makes it
// set another digest.
func (w *Worker) setDigestHeader(rw http.ResponseWriter, digest string) {
	if digest == "" {
		return
	}
	w.mu.Lock()
	if _, wrong := w.sampleFault(FaultMisreportDigest); wrong {
		digest = digest[:len(digest)-4] + "0000"
	}
	w.mu.Unlock()
	rw.Header().Set("Docker-Content-Digest", digest)
}

// frontEndOf returns the name of the front end that sent a request.
func frontEndOf(r *http.Request) string {
	_, name, _ := strings.Cut(r.Header.Get("Via"), " ")
	return name
}

// unescape decodes the percent-encoding of a header's value. It returns a malformed value unchanged.
func unescape(value string) string {
	if s, err := url.PathUnescape(value); err == nil {
		return s
	}
	return value
}

func awaitEither(a, b <-chan struct{}) {
	select {
	case <-a:
	case <-b:
	}
}
