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
	// benchRuns is the number of measurements of each side, in turn. The best of each counts, as the machine's speed
	// drifts.
	benchRuns = 3

	benchFrontConfig = `{"event_types":[{"name":"shop-event","target_time_s":1.5,"max_age_s":4}],
		"functions":[{"match":"*","lanes":64}]}`
	benchFrontClass = "shop-event"
)

// FrontEndRow compares requests through a front end with direct ones. Ratios are front end over direct.
type FrontEndRow struct {
	Connections int         `json:"connections"`
	Direct      Measurement `json:"direct"`
	FrontEnd    Measurement `json:"front"`
	RateRatio   float64     `json:"rate_ratio"`
	P50Ratio    float64     `json:"p50_ratio"`
	P99Ratio    float64     `json:"p99_ratio"`
}

// BenchFrontEnd measures workers that respond at once, directly and through a front end, for each number of connections.
func BenchFrontEnd(ctx context.Context, connections []int, requests int) ([]FrontEndRow, error) {
	b, err := newBench(benchFrontConfig)
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
		row, err := b.measureBothWays(ctx, frontEnd.Addr(), n, requests)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// bench is the environment of a benchmark of a front end.
type bench struct {
	folder  string // for temporary files
	config  *config.Config
	workers *idleServers
}

// newBench starts the workers of a benchmark. configuration is that of its front ends.
func newBench(configuration string) (*bench, error) {
	folder, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	b := &bench{folder: folder}
	if b.config, err = config.Parse([]byte(configuration), folder); err == nil {
		b.workers, err = startIdleServers(folder)
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
	_ = os.RemoveAll(b.folder) // temporary files
}

// frontEndSettings returns the settings of a front end for the workers.
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

// measureBothWays measures direct requests and those through a front end.
func (b *bench) measureBothWays(ctx context.Context, frontEnd string, connections, requests int) (FrontEndRow, error) {
	row := FrontEndRow{Connections: connections}
	ways := []struct {
		side *Measurement
		url  func(number int) string
	}{
		{&row.Direct, func(number int) string {
			return "http://" + b.workers.addrs[number%benchWorkers] + "/v2/models/tally/infer"
		}},
		{&row.FrontEnd, func(int) string { return frontEndURL(frontEnd) }},
	}
	for repetition := range benchRuns {
		for _, way := range ways {
			g := &generator{
				url: way.url, class: benchFrontClass, inFlight: connections, requests: requests,
				runName: fmt.Sprintf("%d-%d", connections, repetition),
			}
			side, err := g.measure(ctx)
			if err != nil {
				return row, err
			}
			if side.Rate > way.side.Rate {
				*way.side = side
			}
		}
	}
	row.RateRatio = row.FrontEnd.Rate / row.Direct.Rate
	row.P50Ratio = row.FrontEnd.P50 / row.Direct.P50
	row.P99Ratio = row.FrontEnd.P99 / row.Direct.P99
	return row, nil
}
