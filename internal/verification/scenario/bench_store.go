package scenario

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"runtime"
	"strconv"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/eventloop"
	"streamcleat/internal/storage"
)

const (
	benchStoreConfig = `{"event_types":[{"name":"price-reset","target_time_s":1.5,"max_age_s":4,"repeat":"at-most-once"}],
		"functions":[{"match":"*","lanes":64}]}`
	benchStoreClass     = "price-reset"
	benchStoreRetention = 600 // seconds
	bytesPerMegabyte    = 1 << 20
)

// StoreRow is the measurement of at-most-once requests in one store mode.
type StoreRow struct {
	Mode              string  `json:"way"`
	Connections       int     `json:"connections"`
	Rate              float64 `json:"rate"`
	P50               float64 `json:"p50_ms"`
	RateRatio         float64 `json:"rate_ratio"` // relative to the mode without a store
	SyncsPerRequest   float64 `json:"syncs_an_event"`
	RecordsPerRequest float64 `json:"notes_an_event"`
	HeapMegabytes     float64 `json:"heap_mb"`
}

// storeMode is a way of storing the records of at-most-once requests.
type storeMode struct {
	name      string
	usesStore bool
	noSync    bool // commits do not wait for the disk
	unbatched bool // each record is committed separately
}

var storeModes = []storeMode{
	{name: "no store"},
	{name: "a sync for each note", usesStore: true, unbatched: true},
	{name: "group commit", usesStore: true},
	{name: "no waiting for the disk", usesStore: true, noSync: true},
}

// unbatchedStore commits each record separately and waits for the disk each time, as the baseline for group commit.
type unbatchedStore struct{ store *storage.Store }

// Commit implements proxy.RecordStore.
func (s unbatchedStore) Commit(records []dispatch.Record, done func(error)) {
	go func() {
		for _, r := range records {
			if err := commitAndWait(s.store, []dispatch.Record{r}); err != nil {
				done(err)
				return
			}
		}
		done(nil)
	}()
}

// commitAndWait commits records and waits until the commit is complete.
func commitAndWait(store *storage.Store, records []dispatch.Record) error {
	done := make(chan error, 1)
	store.Commit(records, func(err error) { done <- err })
	return <-done
}

// BenchStore measures at-most-once requests through a front end in each store mode: without a store, with a sync for each
// record, with group commit, and with commits that do not wait for the disk.
func BenchStore(ctx context.Context, connections []int, requests int) ([]StoreRow, error) {
	b, err := newBench(benchStoreConfig)
	if err != nil {
		return nil, err
	}
	defer b.close()
	var rows []StoreRow
	for _, n := range connections {
		rateWithoutStore := 0.0
		for i, mode := range storeModes {
			settings := b.frontEndSettings()
			path := filepath.Join(b.tempDir, fmt.Sprintf("state-%d-%d", n, i))
			row, err := mode.measure(ctx, settings, path, n, requests, strconv.Itoa(i))
			if err != nil {
				return nil, err
			}
			if !mode.usesStore {
				rateWithoutStore = row.Rate
			}
			row.RateRatio = row.Rate / rateWithoutStore
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// measure runs the benchmark in one store mode, with the store at path.
func (m storeMode) measure(ctx context.Context, settings eventloop.Settings, path string, connections, requests int, runName string) (row StoreRow, err error) {
	row = StoreRow{Mode: m.name, Connections: connections}
	var store *storage.Store
	if m.usesStore {
		if store, _, err = storage.OpenStore(path, storage.Options{Retention: benchStoreRetention, NoSync: m.noSync}); err != nil {
			return row, err
		}
		settings.RecordStore = store
		if m.unbatched {
			settings.RecordStore = unbatchedStore{store}
		}
		defer func() { err = errors.Join(err, store.Close()) }()
	}
	frontEnd, err := eventloop.Start(settings)
	if err != nil {
		return row, err
	}
	defer func() { _ = frontEnd.Stop(time.Second) }() // no request is open
	g := &loadGenerator{
		url: func(int) string { return frontEndURL(frontEnd.Addr()) }, class: benchStoreClass, inFlight: connections,
		requests: requests, runName: runName,
	}
	measurement, err := g.measure(ctx)
	if err != nil {
		return row, err
	}
	row.Rate, row.P50 = measurement.Rate, measurement.P50
	counts, _, _, err := frontEnd.Counts()
	if err != nil {
		return row, err
	}
	if store != nil && counts.Succeeded > 0 {
		row.SyncsPerRequest = float64(store.CommittedBatches.Load()) / float64(counts.Succeeded)
		row.RecordsPerRequest = float64(store.CommittedRecords.Load()) / float64(counts.Succeeded)
	}
	row.HeapMegabytes = heapMegabytes()
	return row, nil
}

func heapMegabytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / bytesPerMegabyte
}
