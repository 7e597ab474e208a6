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
)

const (
	// metricPrefix begins the name of every metric.
	metricPrefix = "streamcleat_"
	// unknownClass is the label of request classes that the configuration doesn't name: what anybody may write must
	// not make a series of its own.
	unknownClass = "unknown"
	// shutdownTimeout bounds the writing of the last spans, so that it can't hold up the end of the process.
	shutdownTimeout = 2 * time.Second
)

// durationBuckets span answers of a warm replica to the longest timeout in use, in seconds.
var durationBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, .75, 1, 1.5, 2, 3, 4, 6}

// Settings configure a [Recorder].
type Settings struct {
	LatencyObjective func(class string) float64 // seconds; a request that took longer is late
	Spans            io.Writer                  // nil: no spans
	SamplingRatio    float64                    // of requests that succeeded in time whose spans are written; those of all others are
	Gauges           func() map[string]float64  // gauges by name, read at each scrape; nil: none
}

// Recorder records ended requests. It is safe for concurrent use.
type Recorder struct {
	settings Settings
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	causes   *prometheus.CounterVec
	duration *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	starts   *prometheus.CounterVec
	provider *sdktrace.TracerProvider // nil: no spans
	tracer   trace.Tracer
}

// New returns a Recorder with a registry of its own.
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

// registerMetrics makes the metrics; their names, help texts and labels are read by dashboards and alerts.
func (r *Recorder) registerMetrics() {
	r.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: metricPrefix + "events_total",
		Help: "Events that got their final answer, by type, outcome and whether that was past the target time.",
	}, []string{"type", "outcome", "late"})
	r.causes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: metricPrefix + "causes_total",
		Help: "Events that were not handled, by cause and the worker of the last launch.",
	}, []string{"cause", "worker"})
	r.duration = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    metricPrefix + "event_seconds",
		Help:    "Time from an event's coming in to its final answer.",
		Buckets: durationBuckets,
	}, []string{"type", "outcome"})
	r.attempts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: metricPrefix + "launches_total",
		Help: "Launches by worker and how they ended.",
	}, []string{"worker", "result"})
	r.starts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: metricPrefix + "copies_met_total",
		Help: "How launches met their copy: warm, load or joined load.",
	}, []string{"how"})
	r.registry.MustRegister(r.requests, r.causes, r.duration, r.attempts, r.starts, gaugeCollector{r.settings.Gauges})
}

// Handler serves the metrics.
func (r *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}

// Close writes the spans that are still buffered.
func (r *Recorder) Close() error {
	if r.provider == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return r.provider.Shutdown(ctx)
}

// OnRequestEnd records one request; history is its trace, nil where none was kept.
func (r *Recorder) OnRequestEnd(response dispatch.Response, history *dispatch.Trace) {
	late := response.Elapsed > r.settings.LatencyObjective(response.Class)
	class := response.Class
	if response.Cause == dispatch.CauseUnknownClass {
		class = unknownClass
	}
	r.requests.WithLabelValues(class, response.Kind.String(), strconv.FormatBool(late)).Inc()
	r.duration.WithLabelValues(class, response.Kind.String()).Observe(response.Elapsed)
	if response.Kind != dispatch.Succeeded {
		r.causes.WithLabelValues(response.Cause.String(), response.Worker).Inc()
	}
	if history == nil {
		return
	}
	r.countAttempts(history.Steps)
	if r.tracer != nil && (late || response.Kind != dispatch.Succeeded || r.sampled(response.Identity)) {
		r.writeSpans(response, history.Steps, late)
	}
}

// countAttempts counts the attempts that ended, and how they found their replica.
func (r *Recorder) countAttempts(steps []dispatch.TraceStep) {
	for _, step := range steps {
		if step.Worker == "" || step.Event == dispatch.StepAttemptStarted {
			continue
		}
		r.attempts.WithLabelValues(step.Worker, step.Event).Inc()
		if step.Detail != "" {
			r.starts.WithLabelValues(step.Detail).Inc()
		}
	}
}

// gaugeCollector implements prometheus.Collector for gauges that are read at each scrape.
type gaugeCollector struct{ read func() map[string]float64 }

// Describe implements prometheus.Collector. It describes nothing: the names are known at the scrape only.
func (c gaugeCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c gaugeCollector) Collect(metrics chan<- prometheus.Metric) {
	if c.read == nil {
		return
	}
	for name, value := range c.read() {
		desc := prometheus.NewDesc(metricPrefix+name, "Figure of this moment.", nil, nil)
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value)
	}
}
