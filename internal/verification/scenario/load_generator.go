package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"streamcleat/internal/verification/fakes"
)

const (
	benchWorkers      = 16
	benchFunctions    = 64
	benchMaxClients   = 1000
	maxBenchRetries   = 1000
	minWarmUpRequests = 50
)

// Measurement is the result of a load generator: requests per second, and latencies in milliseconds.
type Measurement struct {
	Rate float64 `json:"rate"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
}

// stubWorkers are workers that respond immediately, and the file with their endpoint list.
type stubWorkers struct {
	addrs    []string
	listPath string
	servers  []*http.Server
}

func startStubWorkers(dir string) (*stubWorkers, error) {
	s := &stubWorkers{listPath: filepath.Join(dir, "workers.json")}
	for range benchWorkers {
		listener, err := net.Listen("tcp", anyPort)
		if err != nil {
			s.close()
			return nil, err
		}
		server := &http.Server{Handler: http.HandlerFunc(respondImmediately)}
		go func() { _ = server.Serve(listener) }() // Serve returns when the server is closed
		s.servers = append(s.servers, server)
		s.addrs = append(s.addrs, listener.Addr().String())
	}
	list, err := json.Marshal([]fakes.TargetGroup{{Targets: s.addrs}})
	if err == nil {
		err = os.WriteFile(s.listPath, list, 0o644)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *stubWorkers) close() {
	for _, server := range s.servers {
		_ = server.Close() // no request is open
	}
}

func respondImmediately(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the client may have closed
	w.Header().Set("Server-Timing", "warm")
	_, _ = io.WriteString(w, `{"model_name":"tally","outputs":[]}`) // the client may have closed
}

// loadGenerator keeps a fixed number of requests in flight. It retries rejected requests until they succeed, and measures
// latencies from the first attempt.
type loadGenerator struct {
	url      func(number int) string
	class    string
	inFlight int
	requests int
	runName  string // makes the request identities of each measurement unique

	client *http.Client
	warmUp int // number of initial requests that are not measured

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram // microseconds
	firstErr  error
}

// measure sends the warm-up requests and the measured requests, and returns the measurement.
func (g *loadGenerator) measure(ctx context.Context) (Measurement, error) {
	g.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: g.inFlight}}
	defer g.client.CloseIdleConnections()
	g.latencies = hdrhistogram.New(1, maxLatency, latencyDigits)
	g.warmUp = max(g.inFlight, minWarmUpRequests)
	var running sync.WaitGroup
	numbers := make(chan int)
	startedAt := time.Now()
	for range g.inFlight {
		running.Go(func() {
			for number := range numbers {
				g.sendUntilSucceeded(ctx, number)
			}
		})
	}
	for number := range g.warmUp + g.requests {
		if number == g.warmUp {
			startedAt = time.Now()
		}
		numbers <- number
	}
	close(numbers)
	running.Wait()
	elapsed := time.Since(startedAt).Seconds()
	return Measurement{
		Rate: float64(g.requests) / elapsed,
		P50:  float64(g.latencies.ValueAtQuantile(50)) / microsecondsPerMillisecond,
		P99:  float64(g.latencies.ValueAtQuantile(99)) / microsecondsPerMillisecond,
	}, g.firstErr
}

func (g *loadGenerator) sendUntilSucceeded(ctx context.Context, number int) {
	startedAt := time.Now()
	status, err := http.StatusServiceUnavailable, error(nil)
	for attempt := 0; status == http.StatusServiceUnavailable && err == nil && attempt < maxBenchRetries; attempt++ {
		status, err = g.send(ctx, number)
	}
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%s: status %d", g.url(number), status)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil && g.firstErr == nil {
		g.firstErr = err
	}
	if number >= g.warmUp {
		_ = g.latencies.RecordValue(max(time.Since(startedAt).Microseconds(), 1)) // no latency exceeds its maximum
	}
}

func (g *loadGenerator) send(ctx context.Context, number int) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url(number), strings.NewReader(`{"count":1}`))
	if err != nil {
		return 0, err
	}
	req.Header.Set("ce-specversion", "1.0")
	req.Header.Set("ce-source", "/bench/"+g.runName)
	req.Header.Set("ce-id", strconv.Itoa(number))
	req.Header.Set("ce-type", g.class)
	req.Header.Set("ce-function", fmt.Sprintf("tally-%d", number%benchFunctions))
	req.Header.Set("Content-Type", "application/json")
	resp, err := g.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }() // it was read completely
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
