package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"streamcleat/internal/config"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/storage"
)

const (
	recoveryBatch         = 1000 // records of one commit
	microsecondsPerSecond = 1e6
	unlimitedRetention    = 1e6 // seconds; longer than any measurement
)

// RecoveryRow is the measured recovery time for a number of stored requests.
type RecoveryRow struct {
	Requests    int     `json:"events"`
	Bytes       uint64  `json:"bytes"`
	OpenTime    float64 `json:"open_s"`    // reading the store
	RestoreTime float64 `json:"restore_s"` // restoring the state of the dispatcher
	PerRequest  float64 `json:"us_per_event"`
}

// BenchRecovery measures, for each size, the recovery of a dispatcher from a store with that number of requests.
func BenchRecovery(ctx context.Context, sizes []int) ([]RecoveryRow, error) {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // temporary files
	var rows []RecoveryRow
	for _, n := range sizes {
		path := filepath.Join(dir, strconv.Itoa(n))
		options := storage.Options{Retention: unlimitedRetention, NoSync: true}
		if err := fillStore(ctx, path, options, n); err != nil {
			return nil, err
		}
		row, err := measureRecovery(path, options)
		if err != nil {
			return nil, err
		}
		if row.Requests != n {
			return nil, fmt.Errorf("%d of %d requests recovered", row.Requests, n)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// fillStore creates a store with the records of n completed requests.
func fillStore(ctx context.Context, path string, options storage.Options, n int) error {
	store, _, err := storage.OpenStore(path, options)
	if err != nil {
		return err
	}
	var records []dispatch.Record
	for i := range n {
		records = append(records, dispatch.Record{Kind: dispatch.RecordRequestEnded, PossiblyExecuted: true, Response: dispatch.Response{
			Class:    benchStoreClass,
			Identity: dispatch.Identity{Source: "/till", ID: strconv.Itoa(i)},
			Body:     []byte(`{"model_name":"tally","outputs":[]}`),
		}})
		if len(records) == recoveryBatch || i == n-1 {
			if err := commitAndWait(store, records); err != nil {
				return err
			}
			records = nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return store.Close()
}

// measureRecovery opens a store and recovers a dispatcher from its records.
func measureRecovery(path string, options storage.Options) (RecoveryRow, error) {
	startedAt := time.Now()
	store, recovered, err := storage.OpenStore(path, options)
	if err != nil {
		return RecoveryRow{}, err
	}
	row := RecoveryRow{Requests: len(recovered.Records), Bytes: store.Size(), OpenTime: time.Since(startedAt).Seconds()}
	startedAt = time.Now()
	dispatcher := dispatch.New(config.Default().Dispatch(1), noEffects{}, 0)
	dispatcher.Recover(0, recovered.Records)
	row.RestoreTime = time.Since(startedAt).Seconds()
	row.PerRequest = (row.OpenTime + row.RestoreTime) / float64(max(row.Requests, 1)) * microsecondsPerSecond
	return row, store.Close()
}

// noEffects is a dispatch.Effects that does nothing.
type noEffects struct{}

// Respond implements dispatch.Effects.
func (noEffects) Respond(dispatch.WaiterID, dispatch.Response) {}

// SendAttempt implements dispatch.Effects.
func (noEffects) SendAttempt(dispatch.Attempt) {}

// SendLoad implements dispatch.Effects.
func (noEffects) SendLoad(dispatch.LoadCommand) {}

// Abandon implements dispatch.Effects.
func (noEffects) Abandon(uint64) {}

// CancelUnsent implements dispatch.Effects.
func (noEffects) CancelUnsent(uint64) bool { return false }

// Broadcast implements dispatch.Effects.
func (noEffects) Broadcast([]byte) {}

// Store implements dispatch.Effects.
func (noEffects) Store(dispatch.Record) {}

// OnRequestEnd implements dispatch.Effects.
func (noEffects) OnRequestEnd(dispatch.Response, *dispatch.Trace) {}
