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

// Result is how a firing ended for its client. Status is 0 where no answer came.
type Result struct {
	Firing
	FrontEnd   string
	Status     int
	Digest     string // of the version that the answer names
	Latency    time.Duration
	Attempts   int
	Err        error
	Replayed   bool // answered from an earlier request of the same firing
	RetryAfter time.Duration
}

// Client fires events at front ends over HTTP. Its fields are set before the first firing.
type Client struct {
	Source         string   // CloudEvents source; the same for all clients of one crontab
	FrontEnds      []string // host:port of the front ends
	HTTP           *http.Client
	Log            *slog.Logger
	DefaultTimeout time.Duration   // how long it waits where the entry does not say
	MaxRetries     int             // after a rejection or a lost answer, with the same identity
	AtMostOnce     map[string]bool // request classes that are not retried after a lost answer
	// OnAttempt is called at each attempt with the time that the client still waits; the function that it returns is
	// called with the status that came back, 0 where none did, and the digest that the answer names. It may be nil.
	OnAttempt func(f Firing, frontEnd string, remaining time.Duration) func(status int, digest string, err error)
	OnResult  func(Result) // called for each firing that Run made; may be nil
}

const (
	// minAttemptTime must be left of a client's time for a retry: no answer could come back in less.
	minAttemptTime = 100 * time.Millisecond
	// minRetryPause is the pause before a retry where no Retry-After asks for more.
	minRetryPause = 20 * time.Millisecond
	// maxAnswerBytes of an answer's body are read, so that the connection can be used again.
	maxAnswerBytes = 1 << 20
	// maxPlanPause bounds the sleep until the next firing: the wall clock may be set meanwhile.
	maxPlanPause = time.Minute
	// minPlanPause keeps Run from spinning where the clock has not quite reached a minute.
	minPlanPause = time.Millisecond
)

// CloudEvent writes a firing as a CloudEvent.
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
		_ = e.SetData("application/json", f.Entry.Data) // bytes are taken as they are; only other types can fail
	}
	return e
}

// Fire sends one firing and waits for its end. A rejection and a lost connection are retried, at the same front end
// (which deduplicates) or at the next in rendezvous order where that one can't be reached.
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
		case <-time.After(max(result.RetryAfter, minRetryPause)):
			if timeout-time.Since(start) < minAttemptTime {
				return result
			}
		}
	}
}

// mayRetry reports whether an attempt's outcome allows another one, time apart.
func (c *Client) mayRetry(result *Result, reached bool) bool {
	if result.Status != 0 && result.Status != http.StatusServiceUnavailable {
		return false // a final answer
	}
	if result.Status == 0 && reached && c.AtMostOnce[result.Entry.Class] {
		return false // it may have run
	}
	return result.Attempts <= c.MaxRetries
}

// attempt sends a firing once and reports whether the front end was reached.
func (c *Client) attempt(ctx context.Context, result *Result, remaining time.Duration) (reached bool) {
	onEnd := func(int, string, error) {}
	if c.OnAttempt != nil {
		onEnd = c.OnAttempt(result.Firing, result.FrontEnd, remaining)
	}
	reached = c.send(ctx, result, remaining)
	onEnd(result.Status, result.Digest, result.Err)
	return reached
}

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
	defer func() { _ = resp.Body.Close() }() // the answer was read, or its connection is given up
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		result.Err = fmt.Errorf("answer cut off: %w", err)
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

// Run fires what the plan has due until the context ends, then waits for the firings under way. clock is the time of
// day and until turns a wait of that clock into a real one.
func (c *Client) Run(ctx context.Context, p *Plan, clock func() time.Time, until func(time.Time) time.Duration) {
	var underWay sync.WaitGroup
	defer underWay.Wait()
	for {
		for _, firing := range p.Due(clock()) {
			underWay.Go(func() { c.fireAndReport(context.WithoutCancel(ctx), firing) })
		}
		pause := maxPlanPause
		if next, ok := p.Next(); ok {
			pause = min(max(until(next), minPlanPause), pause)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (c *Client) fireAndReport(ctx context.Context, f Firing) {
	result := c.Fire(ctx, f)
	if c.OnResult != nil {
		c.OnResult(result)
	}
	if c.Log != nil {
		c.Log.Info("fired", "request_id", f.ID, "status", result.Status, "attempts", result.Attempts, "latency", result.Latency,
			"error", result.Err)
	}
}
