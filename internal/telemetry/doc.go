// Package telemetry turns ended requests into metrics (Prometheus exposition) and spans (OpenTelemetry), made to find a
// cause: why a request was rejected, why it was late, on which worker. It also limits the rate of log records.
//
// It owns the metrics registry and the span exporter of one process. The appliance reports each ended request to a
// [Recorder] and serves [Recorder.Handler]; every program wraps its log handler with [RateLimited].
package telemetry
