package storage

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strings"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"streamcleat/internal/units"
)

// replaceCorruptStore quarantines a corrupt store and creates a new one from the part that could be read. cause is the
// error that revealed the corruption.
func replaceCorruptStore(dir string, options Options, state *RecoveredState, cause error) (*Store, *RecoveredState, error) {
	path, err := quarantinePath(dir, options.FS)
	if err != nil {
		return nil, nil, fmt.Errorf("state folder %s: failed to quarantine corrupt store (%w): %w", dir, cause, err)
	}
	if err := options.FS.Rename(dir, path); err != nil {
		return nil, nil, fmt.Errorf("state folder %s: failed to quarantine corrupt store (%w): %w", dir, cause, err)
	}
	options.Log.Error("corrupt state quarantined, continuing with its readable part", "folder", path,
		"events", len(state.Records), "unread", state.UnreadableRecords, "error", cause)
	if err := options.FS.MkdirAll(dir, stateFolderMode); err != nil {
		return nil, nil, fmt.Errorf("state folder %s: %w", dir, err)
	}
	db, fence, err := openDatabase(dir, options)
	if err != nil {
		return nil, nil, fmt.Errorf("state folder %s: %w", dir, err)
	}
	state.QuarantinePath, state.Created, state.CleanShutdown = path, false, false
	s, err := newStore(dir, db, fence, options)
	if err != nil {
		return nil, nil, err
	}
	if err := s.restoreState(state); err != nil {
		_ = s.Close() // the restore error is returned
		return nil, nil, fmt.Errorf("state folder %s: restoring the readable part of a corrupt store: %w", dir, err)
	}
	return s, state, nil
}

// quarantinePath returns an unused path next to dir, to which a corrupt store can be renamed.
func quarantinePath(dir string, fs vfs.FS) (string, error) {
	for number := 1; ; number++ {
		path := fmt.Sprintf("%s.set-aside-%d", strings.TrimRight(dir, "/"), number)
		_, err := fs.Stat(path)
		if errors.Is(err, os.ErrNotExist) {
			return path, nil
		}
		if err != nil {
			return "", err
		}
	}
}

// restoreState writes the state that was read from a corrupt store into this new store as one batch.
func (s *Store) restoreState(state *RecoveredState) error {
	mutations, err := encodeRecords(state, s.now())
	if err != nil {
		return err
	}
	for entry, due := range state.LastFirings {
		mutations = append(mutations, encodeLastFiring(entry, due))
	}
	for i := range state.ScheduledRequests {
		scheduled := &state.ScheduledRequests[i]
		m, err := encodeScheduledRequest(&scheduled.Request, scheduled.Due, scheduled.Deadline)
		if err != nil {
			return err
		}
		mutations = append(mutations, m)
	}
	for number, entry := range state.AuditTrail {
		mutations = append(mutations, mutation{auditKey(number), entry})
	}
	batch := s.db.NewBatch()
	for _, m := range mutations {
		if err := batch.Set(m.key, m.value, nil); err != nil {
			return err
		}
	}
	return batch.Commit(pebble.Sync)
}

// encodeRecords returns the mutations that store recovered records with their ages at now. If the time since the first
// execution of a request is unknown, it is stored as infinite.
func encodeRecords(state *RecoveredState, now Timestamp) ([]mutation, error) {
	var all []mutation
	for _, recovered := range state.Records {
		record := recovered.Record
		if !recovered.Reliable {
			record.FirstExecutionAge = units.Seconds(math.Inf(1))
		}
		recordedAt := now
		recordedAt.ServiceTime -= float64(recovered.Age)
		mutations, err := encodeRecord(record, recordedAt)
		if err != nil {
			return nil, err
		}
		all = append(all, mutations...)
	}
	return all, nil
}
