package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"streamcleat/internal/dispatch"
)

const (
	// metricPrefix is the prefix of every metric name.
	metricPrefix = "streamcleat_"
	// unknownClass is the label value for request classes that are not configured. Without it, clients could create an
	// unlimited number of time series.
	unknownClass = "unknown"
)

// durationBuckets are the histogram buckets in seconds. They range from the latency of warm replicas to the longest timeout.
var durationBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, .75, 1, 1.5, 2, 3, 4, 6}

// registerMetrics creates and registers the metrics. Dashboards and alerts depend on their names and labels.
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
	r.attemptStarts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: metricPrefix + "copies_met_total",
		Help: "How launches met their copy: warm, load or joined load.",
	}, []string{"how"})
	r.registry.MustRegister(r.requests, r.causes, r.duration, r.attempts, r.attemptStarts, gaugeCollector{r.settings.Gauges})
}

// countAttempts counts the ended attempts of a request by result and by the state of the replica when they reached it.
func (r *Recorder) countAttempts(steps []dispatch.TraceStep) {
	for _, step := range steps {
		if step.Worker == "" || step.Event == dispatch.StepAttemptStarted {
			continue
		}
		r.attempts.WithLabelValues(step.Worker, step.Event).Inc()
		if step.Detail != "" {
			r.attemptStarts.WithLabelValues(step.Detail).Inc()
		}
	}
}

// gaugeCollector is a prometheus.Collector that reads its gauges at each scrape.
type gaugeCollector struct{ read func() map[string]float64 }

// Describe sends no descriptors, because the names are not known before a scrape. Prometheus therefore treats the collector
// as unchecked.
func (c gaugeCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values of the gauges.
func (c gaugeCollector) Collect(metrics chan<- prometheus.Metric) {
	if c.read == nil {
		return
	}
	for name, value := range c.read() {
		desc := prometheus.NewDesc(metricPrefix+name, "Figure of this moment.", nil, nil)
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value)
	}
}
