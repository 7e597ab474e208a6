package appliance

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"streamcleat/internal/telemetry"
)

// readHeaderTimeout is the time limit for reading a request head on the console's socket and the metrics address.
const readHeaderTimeout = 5 * time.Second

// startTelemetry creates the recorder and starts the exporters that are configured.
func (a *Appliance) startTelemetry() error {
	settings := telemetry.Settings{Gauges: a.gauges, LatencyObjective: a.latencyObjective}
	if traces := a.config.Traces; traces != nil {
		file, err := telemetry.SpanFile(a.config.Path(traces.File))
		if err != nil {
			return err
		}
		settings.Spans, settings.SamplingRatio = file, traces.SamplingRatio
		a.closers = append(a.closers, func() error { return errors.Join(a.recorder.Close(), file.Close()) })
	}
	var err error
	if a.recorder, err = telemetry.New(settings); err != nil {
		return err
	}
	if a.config.Metrics == nil {
		return nil
	}
	return a.startMetricsServer(a.config.Metrics.Address)
}

// latencyObjective returns the latency objective of a request class in seconds, or 0 if it has none.
func (a *Appliance) latencyObjective(class string) float64 {
	for _, c := range a.config.RequestClasses {
		if c.Name == class {
			return c.LatencyObjective
		}
	}
	return 0
}

// gauges returns the current values of the gauge metrics, by name.
func (a *Appliance) gauges() map[string]float64 {
	values := map[string]float64{}
	for _, server := range a.runningServers() {
		counts, clients, workers, err := server.Counts()
		if err != nil {
			continue
		}
		values["open_events"] += float64(counts.Open)
		values["launches_out"] += float64(counts.InFlight)
		values["answers_kept"] += float64(counts.Cached)
		values["answers_kept_bytes"] += float64(counts.CachedBytes)
		values["client_connections"] += float64(clients)
		values["worker_connections"] += float64(workers)
		for _, count := range counts.SendsDenied {
			values["sends_refused"] += float64(count)
		}
		recoveredErrors := server.RecoveredErrors()
		values["accept_failures"] += float64(recoveredErrors.AcceptFailures)
		values["dial_retries"] += float64(recoveredErrors.DialRetries)
		values["slow_turns"] += float64(recoveredErrors.SlowIterations)
	}
	if a.store != nil {
		values["state_bytes"] = float64(a.store.Size())
	}
	return values
}

// startMetricsServer serves the metrics on a separate address.
func (a *Appliance) startMetricsServer(address string) error {
	server := &http.Server{Addr: address, Handler: a.recorder.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	go a.serveHTTP(server, listener)
	a.closers = append(a.closers, server.Close)
	return nil
}

// serveHTTP serves until the server is closed.
func (a *Appliance) serveHTTP(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		a.log.Error("HTTP server stopped", "address", listener.Addr().String(), "error", err)
	}
}
