package schedule

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	cloudevents "github.com/cloudevents/sdk-go/v2/event"
	cehttp "github.com/cloudevents/sdk-go/v2/protocol/http"
)

// Result is the outcome of a firing as seen by its client.
type Result struct {
	Firing
	FrontEnd   string
	Status     int    // HTTP status of the last response; 0 if there was none
	Digest     string // digest of the version that the response names
	Latency    time.Duration
	Attempts   int
	Err        error
	Replayed   bool // the front end replayed its response to an earlier request of the same firing
	RetryAfter time.Duration
}

// Client sends firings to front ends over HTTP. Its fields must not be modified after the first firing.
type Client struct {
	Source         string   // CloudEvents source; must be the same for all clients of one crontab
	FrontEnds      []string // addresses, host:port
	HTTP           *http.Client
	Log            *slog.Logger
	DefaultTimeout time.Duration   // timeout of entries that set none
	MaxRetries     int             // retries after a rejection or a lost response
	AtMostOnce     map[string]bool // request classes that are not retried after a lost response
	// OnAttempt, if not nil, is called before each attempt with the time left until the client's deadline. The function
	// that it returns is called after the attempt with the status of the response, 0 if there was none, and the digest
	// that the response names.
	OnAttempt func(f Firing, frontEnd string, remaining time.Duration) func(status int, digest string, err error)
	OnResult  func(Result) // called with the result of each firing of Run; may be nil
}

const (
	// minAttemptTime is the minimum time left until the deadline for a retry. With less, the response would come too late.
	minAttemptTime = 100 * time.Millisecond
	// minRetryWait is the minimum wait before a retry. Retry-After may ask for a longer wait.
	minRetryWait = 20 * time.Millisecond
	// maxResponseBytes is the maximum number of bytes read from a response body so that its connection can be reused.
	maxResponseBytes = 1 << 20
	// maxPlanSleep limits the sleep until the next firing, as the wall clock may be set in the meantime.
	maxPlanSleep = time.Minute
	// minPlanSleep prevents Run from busy-waiting if it wakes up slightly before a firing is due.
	minPlanSleep = time.Millisecond
)

// CloudEvent returns the CloudEvent that represents a firing.
func CloudEvent(source string, f Firing) cloudevents.Event {
	e := cloudevents.New()
	e.SetSource(source)
	e.SetID(f.ID)
	e.SetType(f.Entry.Class)
	e.SetTime(f.Due.UTC())
	e.SetExtension("function", f.Entry.Function)
	if f.Entry.Tenant != "" {
		e.SetExtension("tenant", f.Entry.Tenant)
	}
	if len(f.Entry.Data) > 0 {
		_ = e.SetData("application/json", f.Entry.Data) // fails only for types other than []byte
	}
	return e
}

// Fire sends a firing and waits for its final response. After a rejection or a lost response it retries with the same ID at
// the same front end, which deduplicates the requests. If the connection to that front end is refused, it tries the next
// one in rendezvous order.
func (c *Client) Fire(ctx context.Context, f Firing) Result {
	timeout := f.Entry.Timeout
	if timeout == 0 {
		timeout = c.DefaultTimeout
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := Result{Firing: f}
	frontEnds := RendezvousOrder(c.FrontEnds, f.ID)
	next := 0
	for {
		result.FrontEnd = frontEnds[next%len(frontEnds)]
		result.Attempts++
		reached := c.attempt(ctx, &result, timeout-time.Since(start))
		result.Latency = time.Since(start)
		if !c.mayRetry(&result, reached) || ctx.Err() != nil || result.Latency+result.RetryAfter+minAttemptTime > timeout {
			return result
		}
		if !reached {
			next++
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(result.RetryAfter, minRetryWait)):
			if timeout-time.Since(start) < minAttemptTime {
				return result
			}
		}
	}
}

// mayRetry reports whether the outcome of an attempt allows a retry. It does not consider the deadline.
func (c *Client) mayRetry(result *Result, reached bool) bool {
	if result.Status != 0 && result.Status != http.StatusServiceUnavailable {
		return false // a final response
	}
	if result.Status == 0 && reached && c.AtMostOnce[result.Entry.Class] {
		return false // the request may have been executed
	}
	return result.Attempts <= c.MaxRetries
}

// attempt sends a firing once, stores the outcome in result and reports whether the front end was reached. Only a refused
// connection counts as not reached: the request cannot have been executed.
func (c *Client) attempt(ctx context.Context, result *Result, remaining time.Duration) (reached bool) {
	onEnd := func(int, string, error) {}
	if c.OnAttempt != nil {
		onEnd = c.OnAttempt(result.Firing, result.FrontEnd, remaining)
	}
	reached = c.send(ctx, result, remaining)
	onEnd(result.Status, result.Digest, result.Err)
	return reached
}

// send performs the HTTP request of an attempt.
func (c *Client) send(ctx context.Context, result *Result, remaining time.Duration) (reached bool) {
	result.Status, result.Err, result.RetryAfter, result.Digest = 0, nil, 0, ""
	e := CloudEvent(c.Source, result.Firing)
	if result.Attempts > 1 {
		e.SetExtension("repeat", "true")
	}
	req, err := cehttp.NewHTTPRequestFromEvent(ctx, "http://"+result.FrontEnd+"/events", e)
	if err != nil {
		result.Err = err
		return true
	}
	req.Header.Set("Prefer", "wait="+strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
	resp, err := c.HTTP.Do(req)
	if err != nil {
		result.Err = err
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read, or the connection is abandoned
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes)); err != nil {
		result.Err = fmt.Errorf("read response: %w", err)
		return true
	}
	result.Status = resp.StatusCode
	result.Digest = resp.Header.Get("Docker-Content-Digest")
	result.Replayed = resp.Header.Get("Idempotent-Replayed") != ""
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return true
}

// Run sends the due firings of a plan until ctx is done, then waits for the firings in flight. clock returns the current
// time, and durationUntil the real time that passes until that clock shows a given time.
func (c *Client) Run(ctx context.Context, p *Plan, clock func() time.Time, durationUntil func(time.Time) time.Duration) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for {
		for _, firing := range p.TakeDue(clock()) {
			inFlight.Go(func() { c.fireAndReport(context.WithoutCancel(ctx), firing) })
		}
		sleep := maxPlanSleep
		if next, ok := p.Next(); ok {
			sleep = min(max(durationUntil(next), minPlanSleep), sleep)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(sleep):
		}
	}
}

func (c *Client) fireAndReport(ctx context.Context, f Firing) {
	result := c.Fire(ctx, f)
	if c.OnResult != nil {
		c.OnResult(result)
	}
	if c.Log != nil {
		c.Log.Info("schedule fired", "request_id", f.ID, "status", result.Status, "attempts", result.Attempts, "latency", result.Latency,
			"error", result.Err)
	}
}
