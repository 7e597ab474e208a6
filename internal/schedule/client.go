package schedule

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net/http"
	"sort"
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
	Replayed   bool // answered from an earlier asker of the same firing
	RetryAfter time.Duration
}

// Client fires events at front ends over HTTP. Its fields are set before the first firing.
type Client struct {
	Source         string   // CloudEvents source; the same for all clients of one crontab
	FrontEnds      []string // host:port of the front ends
	HTTP           *http.Client
	Log            *slog.Logger
	DefaultTimeout time.Duration   // how long it waits where the entry does not say
	MaxRetries     int             // further tries after a deferral or a lost answer, with the same identity
	AtMostOnce     map[string]bool // event types that are not tried again after a lost answer
	// OnAttempt is told of each try with the time that the client still waits; what it returns is told the status that
	// came back, 0 where none did, and the digest that the answer names. It may be nil.
	OnAttempt func(f Firing, front string, left time.Duration) func(status int, digest string, err error)
	OnResult  func(Result) // told of each firing that Run made; may be nil
}

// leastWait is what must be left of a client's time for another try: no answer could come back in less.
const leastWait = 100 * time.Millisecond

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
		e.SetData("application/json", f.Entry.Data)
	}
	return e
}

// RendezvousOrder orders front ends for an identity alike at every client, by the highest of a hash of both: two clients
// that fire the same minute ask the same front end, which joins the two.
func RendezvousOrder(fronts []string, id string) []string {
	type ranked struct {
		front string
		rank  uint64
	}
	list := make([]ranked, len(fronts))
	for i, f := range fronts {
		h := fnv.New64a()
		io.WriteString(h, f)
		h.Write([]byte{0})
		io.WriteString(h, id)
		x := h.Sum64()
		x = (x ^ x>>33) * 0xff51afd7ed558ccd
		list[i] = ranked{f, x ^ x>>33}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].rank > list[j].rank || list[i].rank == list[j].rank && list[i].front < list[j].front
	})
	out := make([]string, len(list))
	for i, r := range list {
		out[i] = r.front
	}
	return out
}

// Fire sends one firing and waits for its end. A deferral and a lost connection are tried again, the next time at
// the same front end (its memory knows the event), or at the next by rank where it can't be reached.
func (c *Client) Fire(ctx context.Context, f Firing) Result {
	wait := f.Entry.Timeout
	if wait == 0 {
		wait = c.DefaultTimeout
	}
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	out := Result{Firing: f}
	fronts := RendezvousOrder(c.FrontEnds, f.ID)
	at := 0
	for {
		out.FrontEnd, out.Attempts = fronts[at%len(fronts)], out.Attempts+1
		left := wait - time.Since(begin)
		tried := func(int, string, error) {}
		if c.OnAttempt != nil {
			tried = c.OnAttempt(f, out.FrontEnd, left)
		}
		reached := c.try(ctx, &out, left)
		tried(out.Status, out.Digest, out.Err)
		out.Latency = time.Since(begin)
		final := out.Status != 0 && out.Status != http.StatusServiceUnavailable
		lost := out.Status == 0 && reached && c.AtMostOnce[f.Entry.Class] // it may have run
		if final || lost || out.Attempts > c.MaxRetries || ctx.Err() != nil || out.Latency+out.RetryAfter+leastWait > wait {
			break
		}
		if !reached {
			at++
		}
		out.Latency = time.Since(begin)
		select {
		case <-ctx.Done():
		case <-time.After(max(out.RetryAfter, 20*time.Millisecond)):
			if wait-time.Since(begin) < leastWait {
				return out
			}
		}
	}
	return out
}

func (c *Client) try(ctx context.Context, out *Result, left time.Duration) (reached bool) {
	out.Status, out.Err, out.RetryAfter, out.Digest = 0, nil, 0, ""
	e := CloudEvent(c.Source, out.Firing)
	if out.Attempts > 1 {
		e.SetExtension("repeat", "true")
	}
	req, err := cehttp.NewHTTPRequestFromEvent(ctx, "http://"+out.FrontEnd+"/events", e)
	if err != nil {
		out.Err = err
		return true
	}
	req.Header.Set("Prefer", "wait="+strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	resp, err := c.HTTP.Do(req)
	if err != nil {
		out.Err = err
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<20)); err != nil {
		out.Err = fmt.Errorf("answer cut off: %w", err)
		return true
	}
	out.Status = resp.StatusCode
	out.Digest = resp.Header.Get("Docker-Content-Digest")
	out.Replayed = resp.Header.Get("Idempotent-Replayed") != ""
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		out.RetryAfter = time.Duration(n) * time.Second
	}
	return true
}

// Run fires what the plan has due until the context ends, then waits for what is out. clock is the time of day and
// until turns a wait of that clock into a real one.
func (c *Client) Run(ctx context.Context, p *Plan, clock func() time.Time, until func(time.Time) time.Duration) {
	var out sync.WaitGroup
	defer out.Wait()
	for {
		for _, f := range p.Due(clock()) {
			out.Add(1)
			go func() {
				defer out.Done()
				o := c.Fire(context.WithoutCancel(ctx), f)
				if c.OnResult != nil {
					c.OnResult(o)
				}
				if c.Log != nil {
					c.Log.Info("fired", "event", f.ID, "status", o.Status, "tries", o.Attempts, "took", o.Latency, "error", o.Err)
				}
			}()
		}
		pause := time.Minute // the clock may be set meanwhile
		if next, ok := p.Next(); ok {
			pause = min(max(until(next), time.Millisecond), pause)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}
