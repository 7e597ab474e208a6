package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"streamcleat/internal/config"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/proxy"
	"streamcleat/internal/storage"
)

// KeepRow compares the ways of keeping notes on disk for events that must not run twice.
type KeepRow struct {
	Way           string  `json:"way"`
	Connections   int     `json:"connections"`
	Rate          float64 `json:"rate"`
	P50           float64 `json:"p50_ms"`
	RateRatio     float64 `json:"rate_ratio"` // to no store
	SyncsAnEvent  float64 `json:"syncs_an_event"`
	NotesAnEvent  float64 `json:"notes_an_event"`
	HeapMegabytes float64 `json:"heap_mb"`
}

// one commits each note by itself, and waits for the disk each time: what group commit is compared with.
type oneByOne struct{ store *storage.Store }

func (o oneByOne) Commit(notes []dispatch.Record, done func(error)) {
	go func() {
		for _, n := range notes {
			ended := make(chan error, 1)
			o.store.Commit([]dispatch.Record{n}, func(err error) { ended <- err })
			if err := <-ended; err != nil {
				done(err)
				return
			}
		}
		done(nil)
	}()
}

// BenchKeeping measures at-most-once events through a front end: without a store, with each note synced by itself,
// with group commit, and with notes that nobody waits for the disk for.
func BenchKeeping(ctx context.Context, conns []int, events int) ([]KeepRow, error) {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	_, list, end, err := quickWorkers(dir)
	if err != nil {
		return nil, err
	}
	defer end()
	c, err := config.Parse([]byte(`{"event_types":[{"name":"price-reset","target_time_s":1.5,"max_age_s":4,"repeat":"at-most-once"}],
		"functions":[{"match":"*","lanes":64}]}`), dir)
	if err != nil {
		return nil, err
	}
	var rows []KeepRow
	for _, n := range conns {
		none := 0.0
		for way, name := range []string{"no store", "a sync for each note", "group commit", "no waiting for the disk"} {
			set := eventloop.Settings{Listen: "127.0.0.1:0", WorkersFile: list, Settings: proxy.Settings{Name: "front", Dispatch: c.Dispatch(1),
				Upstream: c.Upstream("front"), Downstream: c.Downstream(), MaxClients: 1000}}
			var store *storage.Store
			if way > 0 {
				folder := filepath.Join(dir, fmt.Sprintf("state-%d-%d", n, way))
				if store, _, err = storage.OpenStore(folder, storage.Options{Retention: 600, NoSync: way == 3}); err != nil {
					return nil, err
				}
				set.RecordStore = store
				if way == 1 {
					set.RecordStore = oneByOne{store}
				}
			}
			f, err := eventloop.Start(set)
			if err != nil {
				return nil, err
			}
			row := KeepRow{Way: name, Connections: n}
			side, err := drive(ctx, func(int) string { return "http://" + f.Addr() + "/events" }, "price-reset", n, events, fmt.Sprint(way))
			if err != nil {
				return nil, err
			}
			row.Rate, row.P50 = side.Rate, side.P50
			counts, _, _, err := f.Counts()
			if err != nil {
				return nil, err
			}
			if way == 0 {
				none = side.Rate
			}
			row.RateRatio = side.Rate / none
			if store != nil && counts.Succeeded > 0 {
				row.SyncsAnEvent = float64(store.Syncs.Load()) / float64(counts.Succeeded)
				row.NotesAnEvent = float64(store.Records.Load()) / float64(counts.Succeeded)
			}
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			row.HeapMegabytes = float64(m.HeapAlloc) / (1 << 20)
			f.Stop(time.Second)
			if store != nil {
				if err := store.Close(); err != nil {
					return nil, err
				}
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// RecoveryRow is how long a restart takes with so many events kept.
type RecoveryRow struct {
	Events   int     `json:"events"`
	Bytes    uint64  `json:"bytes"`
	Open     float64 `json:"open_s"`    // until the state is read
	Restore  float64 `json:"restore_s"` // until the core has it
	PerEvent float64 `json:"us_per_event"`
}

// BenchRecovery fills stores with events and measures the restart.
func BenchRecovery(ctx context.Context, sizes []int) ([]RecoveryRow, error) {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	c := config.Default()
	var rows []RecoveryRow
	for _, n := range sizes {
		folder := filepath.Join(dir, fmt.Sprint(n))
		opt := storage.Options{Retention: 1e6, NoSync: true}
		store, _, err := storage.OpenStore(folder, opt)
		if err != nil {
			return nil, err
		}
		var notes []dispatch.Record
		for i := range n {
			notes = append(notes, dispatch.Record{Kind: dispatch.RecordRequestEnded, MayHaveRun: true, Response: dispatch.Response{Class: "price-reset",
				Identity: dispatch.Identity{Source: "/till", ID: fmt.Sprint(i)}, Body: []byte(`{"model_name":"tally","outputs":[]}`)}})
			if len(notes) == 1000 || i == n-1 {
				ended := make(chan error, 1)
				store.Commit(notes, func(err error) { ended <- err })
				if err := <-ended; err != nil {
					return nil, err
				}
				notes = nil
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
		}
		if err := store.Close(); err != nil {
			return nil, err
		}
		at := time.Now()
		store, found, err := storage.OpenStore(folder, opt)
		if err != nil {
			return nil, err
		}
		row := RecoveryRow{Events: len(found.Records), Bytes: store.Size(), Open: time.Since(at).Seconds()}
		at = time.Now()
		core := dispatch.New(c.Dispatch(1), nothing{}, 0)
		core.Recover(0, found.Records)
		row.Restore = time.Since(at).Seconds()
		row.PerEvent = (row.Open + row.Restore) / float64(max(row.Events, 1)) * 1e6
		if err := store.Close(); err != nil {
			return nil, err
		}
		if row.Events != n {
			return nil, fmt.Errorf("%d of %d events came back", row.Events, n)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// nothing is an outside on which nothing happens.
type nothing struct{}

func (nothing) Respond(dispatch.WaiterID, dispatch.Response)    {}
func (nothing) SendAttempt(dispatch.Attempt)                    {}
func (nothing) SendLoad(dispatch.LoadCommand)                   {}
func (nothing) Abandon(uint64)                                  {}
func (nothing) CancelUnsent(uint64) bool                        { return false }
func (nothing) Broadcast([]byte)                                {}
func (nothing) Store(dispatch.Record)                           {}
func (nothing) OnRequestEnd(dispatch.Response, *dispatch.Trace) {}
