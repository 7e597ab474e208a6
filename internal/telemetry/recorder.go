package telemetry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// shutdownTimeout limits how long the export of the last spans can delay the exit of the process.
const shutdownTimeout = 2 * time.Second

// Settings configures a [Recorder].
type Settings struct {
	// LatencyObjective returns the latency objective of a request class in seconds.
	LatencyObjective func(class string) float64
	// Spans is the writer to which spans are exported. If nil, no spans are exported.
	Spans io.Writer
	// SamplingRatio is the fraction of the requests that succeeded within their latency objective whose spans are exported.
	// The spans of all other requests are always exported.
	SamplingRatio float64
	// Gauges returns the values of gauges by name. It is called at each scrape and may be nil.
	Gauges func() map[string]float64
}

// Recorder exports metrics and spans of ended requests. It is safe for concurrent use.
type Recorder struct {
	settings      Settings
	registry      *prometheus.Registry
	requests      *prometheus.CounterVec
	causes        *prometheus.CounterVec
	duration      *prometheus.HistogramVec
	attempts      *prometheus.CounterVec
	attemptStarts *prometheus.CounterVec
	provider      *sdktrace.TracerProvider // nil if spans are disabled
	tracer        trace.Tracer             // nil if spans are disabled
}

// New returns a Recorder with its own metrics registry.
func New(settings Settings) (*Recorder, error) {
	r := &Recorder{settings: settings, registry: prometheus.NewRegistry()}
	r.registerMetrics()
	if settings.Spans == nil {
		return r, nil
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(settings.Spans))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSpans, err)
	}
	r.provider = sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	r.tracer = r.provider.Tracer("streamcleat")
	return r, nil
}

// Handler returns a handler that serves the metrics in the Prometheus exposition format.
func (r *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}

// Close exports the buffered spans and stops the exporter.
func (r *Recorder) Close() error {
	if r.provider == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return r.provider.Shutdown(ctx)
}

// OnRequestEnd records an ended request. history is its trace, or nil if none was retained.
func (r *Recorder) OnRequestEnd(response dispatch.Response, requestTrace *dispatch.Trace) {
	overObjective := response.Elapsed > units.Seconds(r.settings.LatencyObjective(response.Class))
	class := response.Class
	if response.Cause == dispatch.CauseUnknownClass {
		class = unknownClass
	}
	r.requests.WithLabelValues(class, response.Kind.String(), strconv.FormatBool(overObjective)).Inc()
	r.duration.WithLabelValues(class, response.Kind.String()).Observe(float64(response.Elapsed))
	if response.Kind != dispatch.Succeeded {
		r.causes.WithLabelValues(response.Cause.String(), response.Worker).Inc()
	}
	if requestTrace == nil {
		return
	}
	r.countAttempts(requestTrace.Steps)
	if r.tracer != nil && (overObjective || response.Kind != dispatch.Succeeded || r.isSampled(response.Identity)) {
		r.writeSpans(response, requestTrace.Steps, overObjective)
	}
}
