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

	// cutResponse is what FaultTruncateResponses sends the beginning of: its body is shorter than it says.
	cutResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 400\r\n\r\n{\"a\":1}"
	// maxCutBytes leaves the response incomplete within its head.
	maxCutBytes = 70
)

// inference is one attempt of a request at a worker, from its arrival to its end.
type inference struct {
	w        *Worker
	rw       http.ResponseWriter
	r        *http.Request
	function string
	digest   string // of the version that the front end wants
	body     []byte
	record   invariants.Record
	status   int // of the response; 0: none
}

// infer serves one attempt.
func (w *Worker) infer(rw http.ResponseWriter, r *http.Request) {
	c, err := w.newInference(rw, r)
	defer func() { c.note(invariants.AttemptEnded, c.status) }()
	if err != nil {
		abort()
	}
	q, stop := c.admit()
	if q == nil || !c.awaitStart(q, stop) {
		return
	}
	first := c.isFirst()
	if first {
		c.record.Digest = q.replicas.digest
		c.note(invariants.Executed, 0)
	}
	c.execute(q, stop)
	c.respond(q, stop, first)
}

// newInference reads a request and records its arrival.
func (w *Worker) newInference(rw http.ResponseWriter, r *http.Request) (*inference, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBody))
	c := &inference{
		w: w, rw: rw, r: r, body: body,
		function: r.PathValue("f"),
		digest:   strings.Trim(r.Header.Get("If-Match"), `"`),
	}
	c.record = invariants.Record{
		Worker:    w.spec.Name,
		RequestID: unescaped(r.Header.Get("Ce-Source")) + "#" + unescaped(r.Header.Get("Ce-Id")),
		Class:     unescaped(r.Header.Get("Ce-Type")),
		Function:  c.function,
		FrontEnd:  frontEndOf(r),
		CallID:    w.spec.Recorder.NextCallID(),
		Digest:    c.digest,
	}
	c.note(invariants.AttemptStarted, 0)
	return c, err
}

func (c *inference) note(kind invariants.Kind, status int) {
	c.record.Kind, c.record.Status = kind, status
	c.w.spec.Recorder.Add(c.record)
}

// fail answers with an error.
func (c *inference) fail(status int, timing, text string) {
	c.status = status
	c.w.reply(c.rw, status, timing, ErrorMessage{text})
}

// admit puts the request in the worker's queue, unless a fault meets it or it is rejected: then it is answered and the
// result is nil. stop is closed when the process ends that took the request.
func (c *inference) admit() (q *queuedRequest, stop <-chan struct{}) {
	w := c.w
	w.mu.Lock()
	if w.overloaded() {
		w.mu.Unlock()
		abort()
	}
	c.waitOutSilence()
	if _, reset := w.active(FaultReset); reset {
		w.mu.Unlock()
		hijackAndReset(c.rw)
		return nil, nil
	}
	versionFault, failsVersion := w.active(FaultVersionErrors)
	failsVersion = failsVersion && versionFault.Digest == c.digest
	if _, failsAll := w.active(FaultErrors); failsAll || failsVersion {
		w.mu.Unlock()
		c.fail(http.StatusInternalServerError, "", "the function failed")
		return nil, nil
	}
	q, refusal := w.enqueue(c.function, c.digest)
	stop = w.stop
	w.mu.Unlock()
	if q == nil {
		c.fail(refusal, "", http.StatusText(refusal))
	}
	return q, stop
}

// waitOutSilence waits until no fault keeps the worker silent. A hanging one never answers the requests that it took,
// also not when it is well again. The caller holds the lock, which is given up while it waits.
func (c *inference) waitOutSilence() {
	w, cancelled := c.w, c.r.Context().Done()
	for _, kind := range []FaultKind{FaultHang, FaultSuspend} {
		fault, silent := w.active(kind)
		if !silent {
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

// awaitStart waits for a replica and a core, and answers where the load failed.
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

// isFirst returns whether the request has its effect: it is not a repeat that the workers drop.
func (c *inference) isFirst() bool {
	spec := &c.w.spec
	return !spec.IdempotentByKeyClasses[c.record.Class] || spec.Deduplicator == nil || spec.Deduplicator.IsFirst(c.record.RequestID)
}

// execute takes the time of the work, and gives the replica back. It does not return where the process ends meanwhile.
func (c *inference) execute(q *queuedRequest, stop <-chan struct{}) {
	w := c.w
	w.mu.Lock()
	duration := q.replicas.function.MeanWork / w.spec.Speed / w.warmth() * (0.7 + 0.6*w.rng.Float64())
	if f, slow := w.active(FaultSlow); slow {
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

// respond sends the response, or what a fault leaves of it.
func (c *inference) respond(q *queuedRequest, stop <-chan struct{}, first bool) {
	w := c.w
	w.mu.Lock()
	_, loses := w.active(FaultLoseResponses)
	cut, cuts := w.active(FaultTruncateResponses)
	w.mu.Unlock()
	switch {
	case loses: // it ran, and nobody learns of it
		awaitEither(c.r.Context().Done(), stop)
		abort()
	case cuts:
		hijackAndCut(c.rw, []byte(cutResponse)[:min(cut.Bytes, maxCutBytes)])
	default:
		c.status = http.StatusOK
		w.nameVersion(c.rw, q.replicas.digest)
		w.reply(c.rw, http.StatusOK, q.startKind, c.response(q, first))
	}
}

func (c *inference) response(q *queuedRequest, first bool) InferResponse {
	m := InferResponse{ID: unescaped(c.r.Header.Get("Ce-Id")), ModelName: q.replicas.function.Name, Outputs: []struct{}{}}
	switch {
	case len(c.body) > 0:
		m.Parameters = &InferParameters{Bytes: len(c.body)}
	case !first:
		m.Parameters = &InferParameters{Repeat: true}
	}
	return m
}

// nameVersion names the version that ran or is ready. FaultMisreportDigest names another.
func (w *Worker) nameVersion(rw http.ResponseWriter, digest string) {
	if digest == "" {
		return
	}
	w.mu.Lock()
	if _, wrong := w.active(FaultMisreportDigest); wrong {
		digest = digest[:len(digest)-4] + "0000"
	}
	w.mu.Unlock()
	rw.Header().Set("Docker-Content-Digest", digest)
}

// frontEndOf is the name of the front end that sent a request.
func frontEndOf(r *http.Request) string {
	_, name, _ := strings.Cut(r.Header.Get("Via"), " ")
	return name
}

func unescaped(value string) string {
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

// abort breaks the connection; a handler that just returned would have answered 200.
func abort() { panic(http.ErrAbortHandler) }

// hijackAndReset resets the connection of a request.
func hijackAndReset(rw http.ResponseWriter) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	resetOnClose(conn)
	_ = conn.Close() // the connection is to be broken
}

// hijackAndCut sends the beginning of a response and closes the connection; without a beginning it resets it.
func hijackAndCut(rw http.ResponseWriter, beginning []byte) {
	if len(beginning) == 0 {
		hijackAndReset(rw)
		return
	}
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write(beginning) // the client may be gone
	_ = conn.Close()             // the connection is to be broken
}
