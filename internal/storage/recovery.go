package storage

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/fxamacker/cbor/v2"

	"streamcleat/internal/dispatch"
)

// ScheduledRequest is a request of the appliance itself that had no answer when the last process ended.
type ScheduledRequest struct {
	Request  dispatch.Request
	Due      time.Time
	Deadline time.Time // when it is no longer retried
}

// RecoveredState is what an earlier process left.
type RecoveredState struct {
	Records           []dispatch.RecoveredRecord
	ScheduledRequests []ScheduledRequest
	LastFirings       map[string]time.Time       // by schedule entry: the last minute for which it fired
	Replicas          []dispatch.ReplicaSnapshot // replicas that were known, with their ages by now
	AuditTrail        [][]byte                   // entries of the registry's audit trail, in order
	Config            []byte                     // the last configuration that was in force
	Created           bool                       // there was no store
	QuarantinePath    string                     // where a corrupt store was moved; empty when there was none
	UnreadableRecords int                        // values that could not be decoded
	CleanShutdown     bool                       // the last process closed the store
}

// newRecoveredState returns the state of a store in which nothing was found.
func newRecoveredState() *RecoveredState {
	return &RecoveredState{LastFirings: map[string]time.Time{}}
}

// stateReader reads the state that an earlier process left in a database.
type stateReader struct {
	db        *pebble.DB
	retention float64
	clock     func() Timestamp
	now       Timestamp // with the service time that was last stored
	state     *RecoveredState
}

// readState reads everything out of a database. With an error it returns what was read before it.
func readState(db *pebble.DB, options Options) (*RecoveredState, error) {
	r := stateReader{db: db, retention: options.Retention, clock: options.Clock, state: newRecoveredState()}
	r.state.Created = true
	steps := []struct {
		name string
		read func() error
	}{
		{"format", r.readFormat},
		{"shutdown mark", r.readCleanShutdown},
		{"configuration", r.readConfig},
		{"service time", r.readClock},
		{"replicas", r.readReplicas},
		{"last firings", r.readLastFirings},
		{"scheduled requests", r.readScheduledRequests},
		{"audit trail", r.readAuditTrail},
		{"records", r.readRecords},
	}
	for _, step := range steps {
		err := step.read()
		if errors.Is(err, ErrUnsupportedFormat) {
			return r.state, err
		}
		if err != nil {
			return r.state, fmt.Errorf("reading the %s: %w", step.name, err)
		}
	}
	return r.state, nil
}

func (r *stateReader) readFormat() error {
	value, err := readValue(r.db, formatKey)
	if err != nil {
		return err
	}
	r.state.Created = value == nil
	if value != nil && string(value) != formatName {
		return fmt.Errorf("%w: %q", ErrUnsupportedFormat, value)
	}
	return nil
}

func (r *stateReader) readCleanShutdown() error {
	value, err := readValue(r.db, cleanShutdownKey)
	if err != nil {
		return err
	}
	r.state.CleanShutdown = value != nil
	return nil
}

func (r *stateReader) readConfig() (err error) {
	r.state.Config, err = readValue(r.db, configKey)
	return err
}

// readClock takes the present time, with the service time at the last write: time between processes is no service.
func (r *stateReader) readClock() error {
	r.now = r.clock()
	seconds, known, err := readServiceTime(r.db)
	if known {
		r.now.ServiceTime = seconds
	}
	return err
}

// readReplicas reads the known replicas. They are dropped when their age is unknown.
func (r *stateReader) readReplicas() error {
	value, err := readValue(r.db, replicasKey)
	if err != nil || value == nil {
		return err
	}
	var stored storedReplicaList
	if cbor.Unmarshal(value, &stored) != nil {
		r.state.UnreadableRecords++
		return nil
	}
	age, known := stored.RecordedAt.since(r.now)
	if !known {
		return nil
	}
	r.state.Replicas = convert(stored.Replicas, storedReplica.replica)
	for i := range r.state.Replicas {
		r.state.Replicas[i].Age += age
	}
	return nil
}

func (r *stateReader) readLastFirings() error {
	return iteratePrefix(r.db, firingPrefix, func(entry, value []byte) {
		due, ok := decodeLastFiring(value)
		if !ok {
			r.state.UnreadableRecords++
			return
		}
		r.state.LastFirings[string(entry)] = due
	})
}

func (r *stateReader) readScheduledRequests() error {
	return iteratePrefix(r.db, scheduledPrefix, func(_, value []byte) {
		var stored storedScheduledRequest
		if cbor.Unmarshal(value, &stored) != nil || stored.Request.ID == "" {
			r.state.UnreadableRecords++
			return
		}
		r.state.ScheduledRequests = append(r.state.ScheduledRequests, stored.scheduledRequest())
	})
}

func (r *stateReader) readAuditTrail() error {
	return iteratePrefix(r.db, auditPrefix, func(_, value []byte) {
		r.state.AuditTrail = append(r.state.AuditTrail, bytes.Clone(value))
	})
}

// readRecords reads the records of requests that are younger than the retention.
func (r *stateReader) readRecords() error {
	return iteratePrefix(r.db, recordPrefix, func(_, value []byte) {
		record, err := decodeRecord(value, r.now)
		if err != nil {
			r.state.UnreadableRecords++
			return
		}
		if record.Age < r.retention {
			r.state.Records = append(r.state.Records, record)
		}
	})
}

// readValue returns a copy of the value of a key, or nil when there is none.
func readValue(db *pebble.DB, key []byte) ([]byte, error) {
	value, closer, err := db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	value = bytes.Clone(value)
	_ = closer.Close() // releases the library's buffer; the copy is complete
	return value, nil
}

// readServiceTime returns the seconds of service that were last stored. It reports false when there are none.
func readServiceTime(db *pebble.DB) (seconds float64, known bool, err error) {
	value, err := readValue(db, serviceTimeKey)
	if err != nil {
		return 0, false, err
	}
	seconds, known = decodeServiceTime(value)
	return seconds, known, nil
}

// iteratePrefix visits every key with a prefix, in order. The visitor gets the key without its prefix; key and value
// are valid only during the call.
func iteratePrefix(db *pebble.DB, prefix []byte, visit func(key, value []byte)) error {
	upper := bytes.Clone(prefix)
	upper[len(upper)-1]++
	iterator, err := db.NewIter(&pebble.IterOptions{LowerBound: prefix, UpperBound: upper})
	if err != nil {
		return err
	}
	for valid := iterator.First(); valid; valid = iterator.Next() {
		value, err := iterator.ValueAndErr()
		if err != nil {
			return errors.Join(err, iterator.Close())
		}
		visit(iterator.Key()[len(prefix):], value)
	}
	return errors.Join(iterator.Error(), iterator.Close())
}
