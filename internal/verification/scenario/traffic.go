package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"streamcleat/internal/schedule"
	"streamcleat/internal/verification/fakes"
	"streamcleat/internal/verification/invariants"
)

const (
	trafficSource  = "/tills"
	maxCancelDelay = 60 * time.Millisecond
	retrySuffix    = "+" // of the identity of a request that comes back at once
)

var tenants = []string{"kitaboshi-wear", "minato-shoes"}

// newClient returns a CloudEvents client whose calls are recorded.
func (r *run) newClient(source string, retries int) *schedule.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	return &schedule.Client{
		Source: source, FrontEnds: r.addrs, HTTP: &http.Client{Transport: transport},
		DefaultTimeout: toDuration(requestTimeout), MaxRetries: retries, AtMostOnce: map[string]bool{fakes.ClassAtMostOnce: true},
		OnAttempt: func(f schedule.Firing, addr string, timeout time.Duration) func(int, string, error) {
			record := invariants.Record{
				Kind: invariants.RequestSent, RequestID: source + "#" + f.ID, Class: f.Entry.Class,
				Function: f.Entry.Function, FrontEnd: r.frontEndAt(addr), CallID: r.recorder.NextCallID(), Timeout: timeout.Seconds(),
			}
			r.recorder.Add(record)
			return func(status int, digest string, err error) { r.recordEnd(record, status, digest, err) }
		},
	}
}

// recordEnd records how a call ended.
func (r *run) recordEnd(record invariants.Record, status int, digest string, err error) {
	record.Status = status
	if status == http.StatusOK {
		record.Digest = digest
	}
	switch {
	case status == 0 && errors.Is(err, context.Canceled):
		record.Kind = invariants.ClientCancelled
	case status == 0 && errors.Is(err, context.DeadlineExceeded):
		return // nobody answered in time: the checker finds no response
	case status == 0:
		record.Kind, record.Outcome = invariants.ResponseReceived, invariants.Invalid
		r.fail("%s: %v", record.RequestID, err)
	default:
		record.Kind, record.Outcome = invariants.ResponseReceived, outcomeOf(status)
	}
	r.recorder.Add(record)
}

// frontEndAt is the name of the front end at an address.
func (r *run) frontEndAt(addr string) string {
	if i := slices.Index(r.addrs, addr); i >= 0 {
		return frontEndName(i)
	}
	return addr
}

func outcomeOf(status int) string {
	switch status {
	case http.StatusOK:
		return invariants.Succeeded
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return invariants.Rejected
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return invariants.Failed
	}
	return invariants.Invalid
}

// countResult counts the result of a firing.
func (r *run) countResult(result schedule.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firings++
	succeeded := result.Status == http.StatusOK
	inTime := succeeded && result.Latency.Seconds() <= latencyObjective
	number := int(r.recorder.Now()-result.Latency.Seconds()) / slotSeconds
	s := r.slots[number]
	s.firings++
	if inTime {
		s.inTime++
		r.inTime++
	}
	r.slots[number] = s
	if succeeded {
		_ = r.latency.RecordValue(max(result.Latency.Microseconds(), 1)) // no request waits for longer than it holds
	}
	if outcomeOf(result.Status) == invariants.Invalid && result.Status != 0 {
		r.failures = append(r.failures, fmt.Sprintf("%s: status %d", result.ID, result.Status))
	}
}

// traffic draws the requests of clients at random times, of classes by the script's mix, for functions of uneven
// popularity.
type traffic struct {
	run        *run
	rng        *rand.Rand
	popularity *rand.Zipf
	client     *schedule.Client
}

// sendTraffic sends requests until the context ends, and waits for their results.
func (r *run) sendTraffic(ctx context.Context) {
	s := r.script
	rng := rand.New(rand.NewPCG(r.seed, trafficStream))
	t := &traffic{
		run: r, rng: rng, popularity: rand.NewZipf(rng, 1.2, 3, uint64(s.Functions-1)),
		client: r.newClient(trafficSource, s.Retries),
	}
	var sending sync.WaitGroup
	defer sending.Wait()
	for number := 0; s.Rate > 0; number++ {
		rate := s.Rate * float64(r.ratePercent.Load()) / usualRatePercent
		if !sleep(ctx, rng.ExpFloat64()/rate) {
			return
		}
		firing := t.draw(number)
		cancels := rng.Int64N(thousandths) < r.cancelShare.Load()
		cancelAfter := time.Duration(rng.Int64N(int64(maxCancelDelay)))
		sending.Go(func() { t.send(firing, cancels, cancelAfter) })
	}
	<-ctx.Done()
}

// draw draws a request.
func (t *traffic) draw(number int) schedule.Firing {
	r := t.run
	class := t.drawClass()
	function := r.functions[t.popularity.Uint64()].Name
	if t.rng.Int64N(thousandths) < r.hotShare.Load() {
		function = r.functions[r.script.Functions+t.rng.IntN(hotFunctions)].Name
	}
	entry := &schedule.Entry{Class: class, Function: function, Tenant: tenants[t.rng.IntN(len(tenants))], Data: []byte(`{"count":1}`)}
	return schedule.Firing{Entry: entry, Due: time.Now(), ID: fmt.Sprintf("e-%d", number)}
}

func (t *traffic) drawClass() (class string) {
	draw := t.rng.Float64()
	for _, class = range fakes.RequestClasses() {
		share := t.run.script.Mix[class]
		if draw < share {
			break
		}
		draw -= share
	}
	return class
}

// send sends a request and waits for its result. Clients that ignore Retry-After come back at once, each time as another
// request.
func (t *traffic) send(firing schedule.Firing, cancels bool, cancelAfter time.Duration) {
	r := t.run
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if cancels {
		time.AfterFunc(cancelAfter, cancel)
	}
	result := t.client.Fire(ctx, firing)
	for r.ignoreRetryAfter.Load() && result.Status == http.StatusServiceUnavailable && result.Latency.Seconds() < requestTimeout {
		firing.ID += retrySuffix
		result = t.client.Fire(ctx, firing)
	}
	if !cancels {
		r.countResult(result)
	}
}
