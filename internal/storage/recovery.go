package storage

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/fxamacker/cbor/v2"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// ScheduledRequest is a request of the appliance's own schedules that was open when the previous process ended.
type ScheduledRequest struct {
	Request  dispatch.Request
	Due      time.Time
	Deadline time.Time // the request is not retried after this time
}

// RecoveredState is the state that earlier processes stored.
type RecoveredState struct {
	Records           []dispatch.RecoveredRecord
	ScheduledRequests []ScheduledRequest
	LastFirings       map[string]time.Time       // last minute fired, by schedule entry
	Replicas          []dispatch.ReplicaSnapshot // known replicas, with their current ages
	AuditTrail        [][]byte                   // entries of the registry's audit trail in order
	Config            []byte                     // configuration that was last in force
	Created           bool                       // the store did not exist before
	QuarantinePath    string                     // path of the corrupt store that was quarantined, or empty
	UnreadableRecords int                        // number of values that could not be decoded
	CleanShutdown     bool                       // the previous process closed the store
}

// newRecoveredState returns an empty state.
func newRecoveredState() *RecoveredState {
	return &RecoveredState{LastFirings: map[string]time.Time{}}
}

// stateReader reads the recovered state from a database.
type stateReader struct {
	db        *pebble.DB
	retention float64
	clock     func() Timestamp
	now       Timestamp // its service time is the last stored one
	state     *RecoveredState
}

// readState reads all stored state. On error it also returns the state read so far.
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

// readClock sets the current time. Its service time is that of the last write, because the time between two processes
// does not count as service time.
func (r *stateReader) readClock() error {
	r.now = r.clock()
	seconds, known, err := readServiceTime(r.db)
	if known {
		r.now.ServiceTime = seconds
	}
	return err
}

func (r *stateReader) readReplicas() error {
	value, err := readValue(r.db, replicasKey)
	if err != nil || value == nil {
		return err
	}
	r.state.Replicas = r.decodeReplicas(value)
	return nil
}

// decodeReplicas returns the known replicas with their ages. It returns none if their age is unknown or the list can't be
// decoded: replicas are only a hint, so an unreadable list is counted and does not fail the recovery.
func (r *stateReader) decodeReplicas(value []byte) []dispatch.ReplicaSnapshot {
	var stored storedReplicaList
	if err := cbor.Unmarshal(value, &stored); err != nil {
		r.countUnreadable()
		return nil
	}
	age, known := stored.RecordedAt.until(r.now)
	if !known {
		return nil
	}
	replicas := convertSlice(stored.Replicas, storedReplica.replica)
	for i := range replicas {
		replicas[i].Age += units.Seconds(age)
	}
	return replicas
}

// countUnreadable counts a value that could not be decoded. Such a value is skipped and does not fail the recovery.
func (r *stateReader) countUnreadable() { r.state.UnreadableRecords++ }

func (r *stateReader) readLastFirings() error {
	return iteratePrefix(r.db, firingPrefix, func(entry, value []byte) {
		due, ok := decodeLastFiring(value)
		if !ok {
			r.countUnreadable()
			return
		}
		r.state.LastFirings[string(entry)] = due
	})
}

func (r *stateReader) readScheduledRequests() error {
	return iteratePrefix(r.db, scheduledPrefix, func(_, value []byte) {
		var stored storedScheduledRequest
		if cbor.Unmarshal(value, &stored) != nil || stored.Request.ID == "" {
			r.countUnreadable()
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

// readRecords reads the request records that are still within the retention.
func (r *stateReader) readRecords() error {
	return iteratePrefix(r.db, recordPrefix, func(_, value []byte) {
		record, err := decodeRecord(value, r.now)
		if err != nil {
			r.countUnreadable()
			return
		}
		if record.Age < units.Seconds(r.retention) {
			r.state.Records = append(r.state.Records, record)
		}
	})
}

// readValue returns a copy of the value of key, or nil if the key does not exist.
func readValue(db *pebble.DB, key []byte) ([]byte, error) {
	value, closer, err := db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	value = bytes.Clone(value)
	_ = closer.Close() // releases Pebble's buffer after the copy
	return value, nil
}

// readServiceTime returns the last stored service time in seconds. known is false if there is none.
func readServiceTime(db *pebble.DB) (seconds float64, known bool, err error) {
	value, err := readValue(db, serviceTimeKey)
	if err != nil {
		return 0, false, err
	}
	seconds, known = decodeServiceTime(value)
	return seconds, known, nil
}

// iteratePrefix calls visit for every key with the prefix, in order. The key is passed without its prefix. Key and value
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
