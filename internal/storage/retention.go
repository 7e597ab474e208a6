package storage

import (
	"bytes"
	"context"
	"errors"

	"github.com/cockroachdb/pebble/v2"
)

// Expire deletes records that are older than the retention. It examines at most limit expiry keys and returns how many
// it examined; a result below limit means that no more are due.
func (s *Store) Expire(limit int) (examined int, err error) {
	mutations, count, err := s.expiryDeletions(limit, s.now())
	if err != nil || len(mutations) == 0 {
		return count, err
	}
	return count, s.write(mutations)
}

// expiryDeletions returns the mutations that delete up to limit due expiry keys and their expired records, and the number
// of keys examined.
func (s *Store) expiryDeletions(limit int, now Timestamp) (mutations []mutation, examined int, err error) {
	s.databaseMu.RLock()
	defer s.databaseMu.RUnlock()
	if s.engineFailed.Load() {
		return nil, 0, ErrEngineFailed
	}
	defer s.recoverPanic(&err)
	upper := expiryKey(max(now.ServiceTime-s.options.Retention, 0), nil)
	iterator, err := s.db.NewIter(&pebble.IterOptions{LowerBound: expiryPrefix, UpperBound: upper})
	if err != nil {
		return nil, 0, err
	}
	for valid := iterator.First(); valid && examined < limit; valid = iterator.Next() {
		examined++
		key := bytes.Clone(iterator.Key())
		mutations = append(mutations, mutation{key, nil})
		if record := s.expiredRecordKey(key, now); record != nil {
			mutations = append(mutations, mutation{record, nil})
		}
	}
	return mutations, examined, errors.Join(iterator.Error(), iterator.Close())
}

// expiredRecordKey returns the key of the record that an expiry key refers to, or nil if the record does not exist, can't
// be read from the database or has not expired.
func (s *Store) expiredRecordKey(expiry []byte, now Timestamp) []byte {
	keyTime, hash, ok := parseExpiryKey(expiry)
	if !ok {
		return nil
	}
	key := joinKey(recordPrefix, hash)
	value, closer, err := s.db.Get(key)
	if err != nil {
		return nil
	}
	expired := hasExpired(value, keyTime, s.options.Retention, now)
	_ = closer.Close() // releases Pebble's buffer
	if !expired {
		return nil
	}
	return key
}

// Size returns the size of the database on disk in bytes.
func (s *Store) Size() uint64 {
	s.databaseMu.RLock()
	defer s.databaseMu.RUnlock()
	if s.engineFailed.Load() {
		return 0
	}
	return s.db.Metrics().DiskSpaceUsage()
}

// Compact compacts the expiry index to reclaim the disk space of deleted keys.
func (s *Store) Compact() (err error) {
	if err := s.Err(); err != nil {
		return err
	}
	s.databaseMu.RLock()
	defer s.databaseMu.RUnlock()
	defer s.recoverPanic(&err)
	return s.db.Compact(context.Background(), expiryPrefix, expiryPrefixEnd, false)
}
