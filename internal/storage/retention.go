package storage

import (
	"bytes"
	"context"
	"errors"

	"github.com/cockroachdb/pebble/v2"
)

// Expire deletes records whose retention is over. It examines at most limit of them and returns how many it examined;
// fewer than limit means that no more are due.
func (s *Store) Expire(limit int) (examined int, err error) {
	if s.libraryFailed.Load() {
		return 0, ErrLibraryFailed
	}
	defer s.recoverPanic(&err)
	now := s.now()
	mutations, count, err := s.expiredRecords(limit, now)
	if err != nil || len(mutations) == 0 {
		return count, err
	}
	return count, s.write(mutations)
}

// expiredRecords returns the deletions of at most limit expiry keys that are due, with the records that have expired,
// and how many keys it examined.
func (s *Store) expiredRecords(limit int, now Timestamp) (mutations []mutation, examined int, err error) {
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

// expiredRecordKey returns the key of the record that an expiry key points to, or nil when there is none that has
// expired. A record that can't be read is left in place.
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
	_ = closer.Close() // releases the library's buffer; the value is no longer used
	if !expired {
		return nil
	}
	return key
}

// Size returns the bytes that the database takes on disk.
func (s *Store) Size() uint64 {
	if s.libraryFailed.Load() {
		return 0
	}
	return s.db.Metrics().DiskSpaceUsage()
}

// Compact frees the disk space of deleted expiry keys.
func (s *Store) Compact() (err error) {
	if err := s.Err(); err != nil {
		return err
	}
	defer s.recoverPanic(&err)
	return s.db.Compact(context.Background(), expiryPrefix, afterExpiryKeys, false)
}
