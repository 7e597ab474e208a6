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
	// benchTurns are how often each side is measured, by turns: the better of each counts, for the machine's speed drifts.
	benchTurns = 3

	benchFrontConfig = `{"event_types":[{"name":"shop-event","target_time_s":1.5,"max_age_s":4}],
		"functions":[{"match":"*","lanes":64}]}`
	benchFrontClass = "shop-event"
)

// BenchRow compares the way through a front end with the direct one, front end over direct.
type BenchRow struct {
	Connections int         `json:"connections"`
	Direct      Measurement `json:"direct"`
	Front       Measurement `json:"front"`
	RateRatio   float64     `json:"rate_ratio"`
	P50Ratio    float64     `json:"p50_ratio"`
	P99Ratio    float64     `json:"p99_ratio"`
}

// Bench measures workers that answer at once, directly and through a front end, with numbers of connections.
func Bench(ctx context.Context, connections []int, requests int) ([]BenchRow, error) {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // temporary files
	workers, err := startIdleServers(dir)
	if err != nil {
		return nil, err
	}
	defer workers.close()
	c, err := config.Parse([]byte(benchFrontConfig), dir)
	if err != nil {
		return nil, err
	}
	frontEnd, err := eventloop.Start(benchSettings(c, workers))
	if err != nil {
		return nil, err
	}
	defer func() { _ = frontEnd.Stop(time.Second) }() // no request is open any more
	var rows []BenchRow
	for _, n := range connections {
		row, err := benchBothWays(ctx, workers, frontEnd.Addr(), n, requests)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// benchSettings are those of a front end before idle servers.
func benchSettings(c *config.Config, workers *idleServers) eventloop.Settings {
	return eventloop.Settings{Listen: anyPort, WorkersFile: workers.listPath, Settings: proxy.Settings{
		Name:       "front",
		Dispatch:   c.Dispatch(1),
		Upstream:   c.Upstream("front"),
		Downstream: c.Downstream(),
		MaxClients: benchMaxClients,
	}}
}

func frontEndURL(addr string) string { return "http://" + addr + "/events" }

// benchBothWays measures one number of connections.
func benchBothWays(ctx context.Context, workers *idleServers, frontEnd string, connections, requests int) (BenchRow, error) {
	row := BenchRow{Connections: connections}
	ways := []struct {
		side *Measurement
		url  func(number int) string
	}{
		{&row.Direct, func(number int) string {
			return "http://" + workers.addrs[number%benchWorkers] + "/v2/models/tally/infer"
		}},
		{&row.Front, func(int) string { return frontEndURL(frontEnd) }},
	}
	for turn := range benchTurns {
		for _, way := range ways {
			g := &generator{url: way.url, class: benchFrontClass, inFlight: connections, requests: requests,
				runName: fmt.Sprintf("%d-%d", connections, turn)}
			side, err := g.measure(ctx)
			if err != nil {
				return row, err
			}
			if side.Rate > way.side.Rate {
				*way.side = side
			}
		}
	}
	row.RateRatio = row.Front.Rate / row.Direct.Rate
	row.P50Ratio = row.Front.P50 / row.Direct.P50
	row.P99Ratio = row.Front.P99 / row.Direct.P99
	return row, nil
}
