package appliance

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"streamcleat/internal/dispatch"
)

const (
	statisticsSeconds = 60         // length of the history in seconds
	maxLatencyMicros  = 60_000_000 // upper bound of the latency histogram
	latencyDigits     = 2          // significant digits of the latency histogram
	microsPerSecond   = 1e6
)

// requestStatistics has the numbers of ended requests for each second of the last minute and the distribution of latencies
// since the start. The console shows them.
type requestStatistics struct {
	current secondCounts // the current second
	ring    [statisticsSeconds]secondCounts
	written int                     // number of seconds written to the ring since the start
	latency *hdrhistogram.Histogram // of succeeded requests since the start, in microseconds
}

// secondCounts counts the requests that ended within one second. Late is always 0. It remains, as it is part of the
// documented JSON.
type secondCounts struct {
	Succeeded int `json:"Handled"`
	Rejected  int `json:"Deferred"`
	Failed    int `json:"DeadLettered"`
	Late      int `json:"Late"`
}

func newRequestStatistics() requestStatistics {
	return requestStatistics{latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
}

// record counts an ended request.
func (s *requestStatistics) record(response dispatch.Response) {
	switch response.Kind {
	case dispatch.Succeeded:
		s.current.Succeeded++
		// The histogram omits latencies above its upper bound.
		_ = s.latency.RecordValue(max(int64(response.Elapsed*microsPerSecond), 1))
	case dispatch.Rejected:
		s.current.Rejected++
	case dispatch.Failed:
		s.current.Failed++
	}
}

// endSecond moves the counts of the current second into the ring and starts the next one.
func (s *requestStatistics) endSecond() {
	s.ring[s.written%len(s.ring)] = s.current
	s.written++
	s.current = secondCounts{}
}

// lastSeconds returns the counts of the last minute, oldest second first.
func (s *requestStatistics) lastSeconds() []secondCounts {
	var counts []secondCounts
	n := min(s.written, len(s.ring))
	for i := range n {
		counts = append(counts, s.ring[(s.written-n+i)%len(s.ring)])
	}
	return counts
}

// latencyQuantiles returns the latency quantiles in milliseconds, by name ("p50").
func (s *requestStatistics) latencyQuantiles() map[string]float64 {
	quantiles := map[string]float64{}
	for _, q := range []float64{50, 90, 99} {
		quantiles[fmt.Sprintf("p%g", q)] = float64(s.latency.ValueAtQuantile(q)) / 1000
	}
	return quantiles
}

// onRequestEnd records an ended request. It is called on the event loop of the request's server.
func (a *Appliance) onRequestEnd(response dispatch.Response, trace *dispatch.Trace) {
	a.recorder.OnRequestEnd(response, trace)
	a.functions.recordResult(response)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.statistics.record(response)
}
