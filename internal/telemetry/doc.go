// Package telemetry exports metrics (Prometheus) and spans (OpenTelemetry) of ended requests. They show why a request was
// rejected or slow, and on which worker. The package also keeps logging from slowing down the process: it limits the rate
// of log records and writes them asynchronously.
//
// It owns the metrics registry and the span exporter of one process. The appliance reports each ended request to a
// [Recorder] and serves [Recorder.Handler]. The node and serve commands wrap their log handlers with [RateLimited], and
// their log output goes through an [AsyncWriter].
package telemetry
