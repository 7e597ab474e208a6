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
	retrySuffix    = "+" // gives the retry of a request that ignores Retry-After a new identity
)

var tenants = []string{"kitaboshi-wear", "minato-shoes"}

// newClient returns a CloudEvents client whose attempts are recorded.
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

// recordEnd records the result of a call.
func (r *run) recordEnd(record invariants.Record, status int, digest string, err error) {
	record.Status = status
	if status == http.StatusOK {
		record.Digest = digest
	}
	switch {
	case status == 0 && errors.Is(err, context.Canceled):
		record.Kind = invariants.ClientCancelled
	case status == 0 && errors.Is(err, context.DeadlineExceeded):
		return // no record: the checker reports the missing response
	case status == 0:
		record.Kind, record.Outcome = invariants.ResponseReceived, invariants.Invalid
		r.recordFailure("%s: %v", record.RequestID, err)
	default:
		record.Kind, record.Outcome = invariants.ResponseReceived, outcomeFromStatus(status)
	}
	r.recorder.Add(record)
}

// frontEndAt returns the name of the front end at an address, or the address if there is none.
func (r *run) frontEndAt(addr string) string {
	if i := slices.Index(r.addrs, addr); i >= 0 {
		return frontEndName(i)
	}
	return addr
}

func outcomeFromStatus(status int) string {
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

// countResult adds the result of a request or firing to the measurements.
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
		_ = r.latency.RecordValue(max(result.Latency.Microseconds(), 1)) // the timeout is below its maximum
	}
	if outcomeFromStatus(result.Status) == invariants.Invalid && result.Status != 0 {
		r.failures = append(r.failures, fmt.Sprintf("%s: status %d", result.ID, result.Status))
	}
}

// trafficGenerator generates the requests of clients: classes follow the script's mix, functions a Zipf distribution.
type trafficGenerator struct {
	run        *run
	rng        *rand.Rand
	popularity *rand.Zipf
	client     *schedule.Client
}

// sendTraffic sends requests at the script's rate until the context ends, and waits for their results.
func (r *run) sendTraffic(ctx context.Context) {
	s := r.script
	rng := rand.New(rand.NewPCG(r.seed, trafficStream))
	t := &trafficGenerator{
		run: r, rng: rng, popularity: rand.NewZipf(rng, 1.2, 3, uint64(s.Functions-1)),
		client: r.newClient(trafficSource, s.Retries),
	}
	var sending sync.WaitGroup
	defer sending.Wait()
	for number := 0; s.Rate > 0; number++ {
		rate := s.Rate * float64(r.ratePercent.Load()) / normalRatePercent
		if !sleep(ctx, rng.ExpFloat64()/rate) {
			return
		}
		firing := t.drawRequest(number)
		cancelled := rng.Int64N(permilleBase) < r.cancelPermille.Load()
		cancelDelay := time.Duration(rng.Int64N(int64(maxCancelDelay)))
		sending.Go(func() {
			if cancelled {
				t.sendAndCancel(firing, cancelDelay)
			} else {
				r.countResult(t.send(context.Background(), firing))
			}
		})
	}
	<-ctx.Done()
}

// drawRequest returns a request with a random class, function and tenant.
func (t *trafficGenerator) drawRequest(number int) schedule.Firing {
	r := t.run
	class := t.drawClass()
	function := r.functions[t.popularity.Uint64()].Name
	if t.rng.Int64N(permilleBase) < r.hotFunctionPermille.Load() {
		function = r.functions[r.script.Functions+t.rng.IntN(hotFunctions)].Name
	}
	entry := &schedule.Entry{Class: class, Function: function, Tenant: tenants[t.rng.IntN(len(tenants))], Data: []byte(`{"count":1}`)}
	return schedule.Firing{Entry: entry, Due: time.Now(), ID: fmt.Sprintf("e-%d", number)}
}

func (t *trafficGenerator) drawClass() (class string) {
	sample := t.rng.Float64()
	for _, class = range fakes.RequestClasses() {
		fraction := t.run.script.ClassMix[class]
		if sample < fraction {
			break
		}
		sample -= fraction
	}
	return class
}

// sendAndCancel sends a request and cancels it after a delay. Its result is not counted.
func (t *trafficGenerator) sendAndCancel(firing schedule.Firing, delay time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.AfterFunc(delay, cancel)
	t.send(ctx, firing)
}

// send sends a request and returns its result. While clients ignore Retry-After, it immediately resends a rejected request
// with a new identity.
func (t *trafficGenerator) send(ctx context.Context, firing schedule.Firing) schedule.Result {
	result := t.client.Fire(ctx, firing)
	for t.run.ignoreRetryAfter.Load() && result.Status == http.StatusServiceUnavailable && result.Latency.Seconds() < requestTimeout {
		firing.ID += retrySuffix
		result = t.client.Fire(ctx, firing)
	}
	return result
}
