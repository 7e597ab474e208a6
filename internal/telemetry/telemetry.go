// Package telemetry turns ended events into metrics (Prometheus exposition) and spans (OpenTelemetry), made to find a
// cause: why deferred, why late, which worker.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"streamcleat/internal/dispatch"
)

// Settings of what is told.
type Settings struct {
	LatencyObjective func(eventType string) float64 // seconds; an event that took longer is late
	Spans            io.Writer                      // nil: no spans
	Share            float64                        // of events handled in time that are traced; all others are
	Gauges           func() map[string]float64      // figures of this moment, read at each scrape
}

// Recorder takes what ended. Its methods may be called from any goroutine.
type Recorder struct {
	set      Settings
	registry *prometheus.Registry
	events   *prometheus.CounterVec
	causes   *prometheus.CounterVec
	took     *prometheus.HistogramVec
	launches *prometheus.CounterVec
	warmth   *prometheus.CounterVec
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// New makes a teller.
func New(set Settings) (*Recorder, error) {
	t := &Recorder{set: set, registry: prometheus.NewRegistry()}
	t.events = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "streamcleat_events_total",
		Help: "Events that got their final answer, by type, outcome and whether that was past the target time."},
		[]string{"type", "outcome", "late"})
	t.causes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "streamcleat_causes_total",
		Help: "Events that were not handled, by cause and the worker of the last launch."}, []string{"cause", "worker"})
	t.took = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "streamcleat_event_seconds",
		Help:    "Time from an event's coming in to its final answer.",
		Buckets: []float64{.005, .01, .025, .05, .1, .25, .5, .75, 1, 1.5, 2, 3, 4, 6}}, []string{"type", "outcome"})
	t.launches = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "streamcleat_launches_total",
		Help: "Launches by worker and how they ended."}, []string{"worker", "result"})
	t.warmth = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "streamcleat_copies_met_total",
		Help: "How launches met their copy: warm, load or joined load."}, []string{"how"})
	t.registry.MustRegister(t.events, t.causes, t.took, t.launches, t.warmth, gauges{set.Gauges})
	if set.Spans != nil {
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(set.Spans))
		if err != nil {
			return nil, fmt.Errorf("traces: %w", err)
		}
		t.provider = sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
		t.tracer = t.provider.Tracer("streamcleat")
	}
	return t, nil
}

// Handler serves the metrics.
func (t *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Close writes out the spans that are still held.
func (t *Recorder) Close() error {
	if t.provider == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return t.provider.Shutdown(ctx)
}

// OnRequestEnd takes one event.
func (t *Recorder) OnRequestEnd(a dispatch.Response, tr *dispatch.Trace) {
	late := a.Elapsed > t.set.LatencyObjective(a.Class)
	kind := a.Class
	if a.Cause == dispatch.CauseUnknownClass {
		kind = "unknown" // what anybody may write must not make a series of its own
	}
	t.events.WithLabelValues(kind, a.Kind.String(), fmt.Sprint(late)).Inc()
	t.took.WithLabelValues(kind, a.Kind.String()).Observe(a.Elapsed)
	if a.Kind != dispatch.Succeeded {
		t.causes.WithLabelValues(a.Cause.String(), a.Worker).Inc()
	}
	if tr == nil {
		return
	}
	for _, s := range tr.Steps {
		if s.Worker != "" && s.What != "launched" {
			t.launches.WithLabelValues(s.Worker, s.What).Inc()
			if s.Detail != "" {
				t.warmth.WithLabelValues(s.Detail).Inc()
			}
		}
	}
	if t.tracer != nil && (late || a.Kind != dispatch.Succeeded || t.sampled(a.Identity)) {
		t.span(a, tr, late)
	}
}

// sampled draws a fixed share of identities, the same at every front end.
func (t *Recorder) sampled(id dispatch.Identity) bool {
	h := fnv.New32a()
	io.WriteString(h, id.String())
	return float64(h.Sum32())/(1<<32) < t.set.Share
}

// span writes an event as a span with one below it for each launch; waits and loads are events of the first.
func (t *Recorder) span(a dispatch.Response, tr *dispatch.Trace, late bool) {
	end := time.Now()
	began := end.Add(-seconds(a.Elapsed))
	ctx, root := t.tracer.Start(context.Background(), "event "+a.Class, trace.WithTimestamp(began),
		trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attribute.String("cloudevents.event_id", a.Identity.ID),
			attribute.String("cloudevents.event_source", a.Identity.Source), attribute.String("cloudevents.event_type", a.Class),
			attribute.String("streamcleat.function", a.Function), attribute.String("streamcleat.tenant", a.Tenant),
			attribute.String("streamcleat.outcome", a.Kind.String()), attribute.String("streamcleat.cause", a.Cause.String()),
			attribute.Bool("streamcleat.late", late), attribute.Int("streamcleat.launches", a.Attempts)))
	var launch trace.Span
	for _, s := range tr.Steps {
		at := began.Add(seconds(s.At))
		switch {
		case s.What == "launched":
			_, launch = t.tracer.Start(ctx, "launch "+s.Worker, trace.WithTimestamp(at), trace.WithSpanKind(trace.SpanKindClient),
				trace.WithAttributes(attribute.String("streamcleat.worker", s.Worker), attribute.String("streamcleat.belief", s.Detail)))
		case launch != nil && s.Worker != "":
			launch.SetAttributes(attribute.String("streamcleat.result", s.What), attribute.String("streamcleat.warmth", s.Detail))
			if s.What != "handled" {
				launch.SetStatus(codes.Error, s.What)
			}
			launch.End(trace.WithTimestamp(at))
			launch = nil
		default:
			root.AddEvent(s.What, trace.WithTimestamp(at), trace.WithAttributes(attribute.String("detail", s.Detail)))
		}
	}
	if launch != nil {
		launch.End(trace.WithTimestamp(end))
	}
	if a.Kind != dispatch.Succeeded {
		root.SetStatus(codes.Error, a.Cause.String())
	}
	root.End(trace.WithTimestamp(end))
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// gauges collects the figures of the moment.
type gauges struct{ read func() map[string]float64 }

func (g gauges) Describe(chan<- *prometheus.Desc) {}

func (g gauges) Collect(ch chan<- prometheus.Metric) {
	if g.read == nil {
		return
	}
	for name, v := range g.read() {
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc("streamcleat_"+name, "Figure of this moment.", nil, nil),
			prometheus.GaugeValue, v)
	}
}

// SpanFile opens a file for spans; it is appended to.
func SpanFile(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return nil, errors.Join(errors.New("traces"), err)
	}
	return f, nil
}
