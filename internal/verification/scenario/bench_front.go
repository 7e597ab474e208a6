package scenario

import (
	"context"
	"fmt"
	"os"
	"time"

	"streamcleat/internal/config"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/proxy"
)

const (
	// benchRuns is the number of measurements of each target, taken alternately. The one with the highest rate counts,
	// because the speed of the machine varies over time.
	benchRuns = 3

	benchFrontEndConfig = `{"event_types":[{"name":"shop-event","target_time_s":1.5,"max_age_s":4}],
		"functions":[{"match":"*","lanes":64}]}`
	benchFrontEndClass = "shop-event"
)

// FrontEndRow compares requests through a front end with requests sent directly to workers. Ratios are front end divided by
// direct.
type FrontEndRow struct {
	Connections int         `json:"connections"`
	Direct      Measurement `json:"direct"`
	FrontEnd    Measurement `json:"front"`
	RateRatio   float64     `json:"rate_ratio"`
	P50Ratio    float64     `json:"p50_ratio"`
	P99Ratio    float64     `json:"p99_ratio"`
}

// BenchFrontEnd measures requests to workers that respond immediately, directly and through a front end, for each number of
// connections.
func BenchFrontEnd(ctx context.Context, connections []int, requests int) ([]FrontEndRow, error) {
	b, err := newBench(benchFrontEndConfig)
	if err != nil {
		return nil, err
	}
	defer b.close()
	frontEnd, err := eventloop.Start(b.frontEndSettings())
	if err != nil {
		return nil, err
	}
	defer func() { _ = frontEnd.Stop(time.Second) }() // no request is open
	var rows []FrontEndRow
	for _, n := range connections {
		row, err := b.measureDirectAndFrontEnd(ctx, frontEnd.Addr(), n, requests)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// bench is the environment of a front end benchmark.
type bench struct {
	tempDir string // removed by close
	config  *config.Config
	workers *stubWorkers
}

// newBench parses the configuration of the front ends and starts the workers of a benchmark.
func newBench(configuration string) (*bench, error) {
	tempDir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	b := &bench{tempDir: tempDir}
	if b.config, err = config.Parse([]byte(configuration), tempDir); err == nil {
		b.workers, err = startStubWorkers(tempDir)
	}
	if err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *bench) close() {
	if b.workers != nil {
		b.workers.close()
	}
	_ = os.RemoveAll(b.tempDir) // temporary files
}

// frontEndSettings returns the settings of a front end that routes to the workers of the benchmark.
func (b *bench) frontEndSettings() eventloop.Settings {
	return eventloop.Settings{Listen: anyPort, EndpointListFile: b.workers.listPath, Settings: proxy.Settings{
		Name:       "front",
		Dispatch:   b.config.Dispatch(1),
		Upstream:   b.config.Upstream("front"),
		Downstream: b.config.Downstream(),
		MaxClients: benchMaxClients,
	}}
}

func frontEndURL(addr string) string { return "http://" + addr + "/events" }

// measureDirectAndFrontEnd measures requests sent directly to workers and requests sent through a front end.
func (b *bench) measureDirectAndFrontEnd(ctx context.Context, frontEnd string, connections, requests int) (FrontEndRow, error) {
	row := FrontEndRow{Connections: connections}
	targets := []struct {
		measurement *Measurement
		url         func(number int) string
	}{
		{&row.Direct, func(number int) string {
			return "http://" + b.workers.addrs[number%benchWorkers] + "/v2/models/tally/infer"
		}},
		{&row.FrontEnd, func(int) string { return frontEndURL(frontEnd) }},
	}
	for repetition := range benchRuns {
		for _, target := range targets {
			g := &loadGenerator{
				url: target.url, class: benchFrontEndClass, inFlight: connections, requests: requests,
				runName: fmt.Sprintf("%d-%d", connections, repetition),
			}
			measurement, err := g.measure(ctx)
			if err != nil {
				return row, err
			}
			if measurement.Rate > target.measurement.Rate {
				*target.measurement = measurement
			}
		}
	}
	row.RateRatio = row.FrontEnd.Rate / row.Direct.Rate
	row.P50Ratio = row.FrontEnd.P50 / row.Direct.P50
	row.P99Ratio = row.FrontEnd.P99 / row.Direct.P99
	return row, nil
}
