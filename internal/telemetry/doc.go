// Package telemetry exports metrics (Prometheus) and spans (OpenTelemetry) of ended requests, which show why a request was
// rejected or slow, and on which worker. It also limits the rate of log records and writes them asynchronously, so that
// logging does not slow down the process.
//
// The package owns the metrics registry and the span exporter of one process. The appliance reports each ended request to a
// [Recorder] and serves [Recorder.Handler]. The node and serve commands wrap their log handlers with [RateLimited] and write
// their log through an [AsyncWriter].
package telemetry
