package storage

import "github.com/cockroachdb/pebble/v2"

// pendingWrite is a write that waits for the next batch.
type pendingWrite struct {
	mutations []mutation
	done      func(error) // called once, after the batch is on disk or with the error
	records   int         // records of requests among the mutations
}

// enqueue adds a write to the next batch and wakes the committer. On a closed or failed store it calls done at once.
func (s *Store) enqueue(p pendingWrite) {
	s.mu.Lock()
	err := s.failed
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

// write commits mutations and waits until they are on disk.
func (s *Store) write(mutations []mutation) error {
	result := make(chan error, 1)
	s.enqueue(pendingWrite{mutations: mutations, done: func(err error) { result <- err }})
	if s.options.Synchronous {
		s.Step()
	}
	return <-result
}

// commitLoop commits one batch after the other; writes that are queued during a sync go into the next batch.
func (s *Store) commitLoop() {
	defer close(s.committerDone)
	for range s.wake {
		for s.Step() {
		}
	}
}

// Step commits all queued writes as one batch and calls their callbacks. It reports whether there were any. Only the
// owner of a store with Options.Synchronous calls it.
func (s *Store) Step() bool {
	s.mu.Lock()
	writes, err := s.queue, s.failed
	s.queue = nil
	s.mu.Unlock()
	if len(writes) == 0 {
		return false
	}
	if err == nil {
		err = s.commitBatch(writes)
	}
	if err != nil {
		s.recordFailure(err)
	}
	for _, p := range writes {
		p.done(err)
	}
	return true
}

// recordFailure refuses all further writes: what a failed sync left on the disk is unknown.
func (s *Store) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.options.Log.Error("the state can't be written any more", "error", err)
	}
	s.failed = err
}

// commitBatch writes mutations together with the present service time and waits for the disk.
func (s *Store) commitBatch(writes []pendingWrite) (err error) {
	if s.libraryFailed.Load() {
		return ErrLibraryFailed
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

// addTo adds the mutation to a batch.
func (m mutation) addTo(batch *pebble.Batch) error {
	if m.value == nil {
		return batch.Delete(m.key, nil)
	}
	return batch.Set(m.key, m.value, nil)
}
