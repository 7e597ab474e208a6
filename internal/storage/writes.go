package storage

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"streamcleat/internal/dispatch"
)

// Firing is one minute for which a schedule entry fired and the request that it makes.
type Firing struct {
	Entry    string
	Due      time.Time
	Deadline time.Time // when the request is no longer retried
	Request  dispatch.Request
}

// Commit stores records of requests. It calls done once they are on disk, or with the error that prevents it. It
// implements proxy.RecordStore.
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

// RecordFirings stores that schedule entries have fired and that their requests are open, as one batch. The requests
// may be submitted only after it has returned without an error.
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

// ScheduledRequestDone stores that a request of the appliance itself has its answer. It does not wait for the disk,
// since submitting the request again after a crash does no harm.
func (s *Store) ScheduledRequestDone(id dispatch.Identity) {
	deletion := mutation{joinKey(scheduledPrefix, identityHash(id)), nil}
	s.enqueue(pendingWrite{mutations: []mutation{deletion}, done: func(error) {}})
}

// AppendAudit stores an entry of the registry's audit trail under its number, counted from 0.
func (s *Store) AppendAudit(number int, entry []byte) error {
	return s.write([]mutation{{auditKey(number), entry}})
}

// SaveConfig stores the configuration in force.
func (s *Store) SaveConfig(document []byte) error { return s.write([]mutation{{configKey, document}}) }

// SaveReplicas stores the known replicas and, as every write does, the service time from which a restart counts.
func (s *Store) SaveReplicas(replicas []dispatch.ReplicaSnapshot) error {
	value, err := cbor.Marshal(storedReplicaList{RecordedAt: s.now(), Replicas: convert(replicas, newStoredReplica)})
	if err != nil {
		return fmt.Errorf("encoding the replicas: %w", err)
	}
	return s.write([]mutation{{replicasKey, value}})
}
