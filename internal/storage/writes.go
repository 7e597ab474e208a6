package storage

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"streamcleat/internal/dispatch"
)

// Firing is a firing of a schedule entry and the request that it triggers.
type Firing struct {
	Entry    string
	Due      time.Time
	Deadline time.Time // the request is not retried after this time
	Request  dispatch.Request
}

// Commit stores request records asynchronously. It calls done once: with nil when the records have been synced to disk,
// or with the error. It implements proxy.RecordStore.
func (s *Store) Commit(records []dispatch.Record, done func(error)) {
	now := s.now()
	p := pendingWrite{done: done, records: len(records)}
	for _, record := range records {
		mutations, err := encodeRecord(record, now)
		if err != nil {
			done(err)
			return
		}
		p.mutations = append(p.mutations, mutations...)
	}
	s.enqueue(p)
}

// RecordFirings stores firings and their open requests in one batch. The requests must be submitted only after it has
// returned nil; otherwise an entry could fire a second time after a crash.
func (s *Store) RecordFirings(firings []Firing) error {
	var mutations []mutation
	for i := range firings {
		f := &firings[i]
		request, err := encodeScheduledRequest(&f.Request, f.Due, f.Deadline)
		if err != nil {
			return err
		}
		mutations = append(mutations, encodeLastFiring(f.Entry, f.Due), request)
	}
	return s.write(mutations)
}

// ScheduledRequestDone deletes the open scheduled request with the given identity. It does not wait for the sync:
// if a crash loses the deletion, the request is submitted again, which is harmless.
func (s *Store) ScheduledRequestDone(id dispatch.Identity) {
	deletion := mutation{joinKey(scheduledPrefix, identityHash(id)), nil}
	s.enqueue(pendingWrite{mutations: []mutation{deletion}, done: func(error) {}})
}

// AppendAudit stores the entry of the registry's audit trail that has the given zero-based number.
func (s *Store) AppendAudit(number int, entry []byte) error {
	return s.write([]mutation{{auditKey(number), entry}})
}

// SaveConfig stores the configuration in force.
func (s *Store) SaveConfig(document []byte) error { return s.write([]mutation{{configKey, document}}) }

// SaveReplicas stores the known replicas. Like every write, it also stores the current service time, from which the
// next process continues.
func (s *Store) SaveReplicas(replicas []dispatch.ReplicaSnapshot) error {
	value, err := cbor.Marshal(storedReplicaList{RecordedAt: s.now(), Replicas: convertSlice(replicas, newStoredReplica)})
	if err != nil {
		return fmt.Errorf("encoding replicas: %w", err)
	}
	return s.write([]mutation{{replicasKey, value}})
}
