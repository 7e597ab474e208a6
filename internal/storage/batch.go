package storage

import "github.com/cockroachdb/pebble/v2"

// pendingWrite is a queued write, which is committed with the next batch.
type pendingWrite struct {
	mutations []mutation
	done      func(error) // called once, when the batch has been synced or has failed
	records   int         // number of request records among the mutations
}

// enqueue adds a write to the next batch and wakes the committer. If the store is closed or rejects writes, enqueue calls
// done immediately with the error.
func (s *Store) enqueue(p pendingWrite) {
	s.mu.Lock()
	err := s.writeErr
	if s.closed {
		err = ErrClosed
	}
	if err == nil {
		s.queue = append(s.queue, p)
	}
	s.mu.Unlock()
	if err != nil {
		p.done(err)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// write commits mutations and returns when they have been synced to disk or have failed.
func (s *Store) write(mutations []mutation) error {
	result := make(chan error, 1)
	s.enqueue(pendingWrite{mutations: mutations, done: func(err error) { result <- err }})
	if s.options.Synchronous {
		s.CommitPending()
	}
	return <-result
}

// commitLoop commits batches until the store is closed. Writes queued while a batch is synced form the next batch.
func (s *Store) commitLoop() {
	defer close(s.committerDone)
	for range s.wake {
		for s.CommitPending() {
		}
	}
}

// CommitPending commits all queued writes as one batch and calls their callbacks. It reports whether there were any. The
// owner of the store calls it if Options.Synchronous is set; otherwise only the committer goroutine does.
func (s *Store) CommitPending() bool {
	s.mu.Lock()
	writes, err := s.queue, s.writeErr
	s.queue = nil
	s.mu.Unlock()
	if len(writes) == 0 {
		return false
	}
	if err == nil {
		err = s.commitBatch(writes)
	}
	if err != nil {
		s.rejectWrites(err)
	}
	for _, p := range writes {
		p.done(err)
	}
	return true
}

// rejectWrites makes the store reject all writes with err until the database has been reopened, because the state on disk
// is unknown after a failed sync.
func (s *Store) rejectWrites(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr != nil {
		return
	}
	s.options.Log.Error("state write failed, rejecting writes until the state can be opened anew", "error", err)
	s.writeErr = err
	s.scheduleReopen()
}

// commitBatch commits the writes and the current service time as one batch and waits until it has been
// synced, unless Options.NoSync is set.
func (s *Store) commitBatch(writes []pendingWrite) (err error) {
	s.databaseMu.RLock()
	defer s.databaseMu.RUnlock()
	if s.engineFailed.Load() {
		return ErrEngineFailed
	}
	defer s.recoverPanic(&err)
	batch := s.db.NewBatch()
	for _, p := range writes {
		s.CommittedRecords.Add(int64(p.records))
		for _, m := range p.mutations {
			if err := m.addTo(batch); err != nil {
				return err
			}
		}
	}
	if err := batch.Set(serviceTimeKey, encodeServiceTime(s.now().ServiceTime), nil); err != nil {
		return err
	}
	s.CommittedBatches.Add(1)
	if s.options.NoSync {
		return batch.Commit(pebble.NoSync)
	}
	return batch.Commit(pebble.Sync)
}

// addTo adds m to batch as a set or a deletion.
func (m mutation) addTo(batch *pebble.Batch) error {
	if m.value == nil {
		return batch.Delete(m.key, nil)
	}
	return batch.Set(m.key, m.value, nil)
}
