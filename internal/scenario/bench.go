package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"streamcleat/internal/config"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/proxy"
)

// Side is one side of a comparison: events a second, and latencies in ms.
type Side struct {
	Rate float64 `json:"rate"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
}

// BenchRow compares the way through a front end with the straight one, front end over direct.
type BenchRow struct {
	Connections int     `json:"connections"`
	Direct      Side    `json:"direct"`
	Front       Side    `json:"front"`
	RateRatio   float64 `json:"rate_ratio"`
	P50Ratio    float64 `json:"p50_ratio"`
	P99Ratio    float64 `json:"p99_ratio"`
}

const (
	benchWorkers   = 16
	benchFunctions = 64
)

// Bench measures workers that answer at once, straight and through a front end, in turns within one run.
func Bench(ctx context.Context, conns []int, events int) ([]BenchRow, error) {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	addrs, list, end, err := quickWorkers(dir)
	if err != nil {
		return nil, err
	}
	defer end()
	c, err := config.Parse([]byte(`{"event_types":[{"name":"shop-event","target_time_s":1.5,"max_age_s":4}],
		"functions":[{"match":"*","lanes":64}]}`), dir)
	if err != nil {
		return nil, err
	}
	f, err := eventloop.Start(eventloop.Settings{Listen: "127.0.0.1:0", WorkersFile: list, Settings: proxy.Settings{Name: "front", Dispatch: c.Dispatch(1),
		Upstream: c.Upstream("front"), Downstream: c.Downstream(), MaxClients: 1000}})
	if err != nil {
		return nil, err
	}
	defer f.Stop(time.Second)
	var rows []BenchRow
	for _, n := range conns {
		row := BenchRow{Connections: n}
		// Turn about, and the better of each side: the machine's pace drifts.
		direct := func(no int) string {
			return "http://" + addrs[no%benchWorkers] + "/v2/models/tally/infer"
		}
		through := func(int) string { return "http://" + f.Addr() + "/events" }
		for turn := range 3 {
			for _, way := range []struct {
				side *Side
				url  func(no int) string
			}{{&row.Direct, direct}, {&row.Front, through}} {
				s, err := drive(ctx, way.url, "shop-event", n, events, fmt.Sprintf("%d-%d", n, turn))
				if err != nil {
					return nil, err
				}
				if s.Rate > way.side.Rate {
					*way.side = s
				}
			}
		}
		row.RateRatio, row.P50Ratio, row.P99Ratio = row.Front.Rate/row.Direct.Rate, row.Front.P50/row.Direct.P50,
			row.Front.P99/row.Direct.P99
		rows = append(rows, row)
	}
	return rows, nil
}

// quickWorkers are workers that answer at once, and the file that lists them.
func quickWorkers(dir string) (addrs []string, list string, end func(), err error) {
	var servers []*http.Server
	end = func() {
		for _, s := range servers {
			s.Close()
		}
	}
	for range benchWorkers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			end()
			return nil, "", nil, err
		}
		worker := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			w.Header().Set("Server-Timing", "warm")
			io.WriteString(w, `{"model_name":"tally","outputs":[]}`)
		})}
		go worker.Serve(l)
		servers = append(servers, worker)
		addrs = append(addrs, l.Addr().String())
	}
	list = filepath.Join(dir, "workers.json")
	line, err := json.Marshal([]map[string]any{{"targets": addrs}})
	if err == nil {
		err = os.WriteFile(list, line, 0o644)
	}
	if err != nil {
		end()
		return nil, "", nil, err
	}
	return addrs, list, end, nil
}

// drive keeps so many events out at a time. A deferred one is sent again until it is handled; only handled ones
// count, and their time runs from the first try.
func drive(ctx context.Context, url func(no int) string, kind string, conns, events int, run string) (Side, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns}}
	defer client.CloseIdleConnections()
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var first error
	var wait sync.WaitGroup
	warm := max(conns, 50) // not counted
	work := make(chan int)
	began := time.Now()
	for range conns {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for no := range work {
				at := time.Now()
				status, err := 503, error(nil)
				for try := 0; status == 503 && err == nil && try < 1000; try++ {
					status, err = once(ctx, client, url(no), kind, run, no)
				}
				if err == nil && status != 200 {
					err = fmt.Errorf("%s: status %d", url(no), status)
				}
				mu.Lock()
				if err != nil && first == nil {
					first = err
				}
				if no >= warm {
					hist.RecordValue(max(time.Since(at).Microseconds(), 1))
				}
				mu.Unlock()
			}
		}()
	}
	for no := range warm + events {
		if no == warm {
			began = time.Now()
		}
		work <- no
	}
	close(work)
	wait.Wait()
	took := time.Since(began).Seconds()
	return Side{Rate: float64(events) / took, P50: float64(hist.ValueAtQuantile(50)) / 1000,
		P99: float64(hist.ValueAtQuantile(99)) / 1000}, first
}

func once(ctx context.Context, client *http.Client, url, kind, run string, no int) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"count":1}`))
	if err != nil {
		return 0, err
	}
	for _, h := range [][2]string{{"ce-specversion", "1.0"}, {"ce-source", "/bench/" + run}, {"ce-id", fmt.Sprint(no)},
		{"ce-type", kind}, {"ce-function", fmt.Sprintf("tally-%d", no%benchFunctions)},
		{"Content-Type", "application/json"}} {
		req.Header.Set(h[0], h[1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
