package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// errInvalidRecord is returned for a record that can be decoded but has missing or out-of-range values.
var errInvalidRecord = errors.New("invalid record")

// mutation sets a key of the database, or deletes it if value is nil.
type mutation struct{ key, value []byte }

// encodeRecord returns the mutations that store a record. A record replaces an older one of the same request. The
// expiry key of the older record remains; when it comes due, it does not delete the newer record (see hasExpired).
func encodeRecord(record dispatch.Record, now Timestamp) ([]mutation, error) {
	value, err := cbor.Marshal(newStoredRecord(record, now))
	if err != nil {
		return nil, fmt.Errorf("encoding record of request %q: %w", record.Response.Identity.ID, err)
	}
	hash := identityHash(record.Response.Identity)
	return []mutation{{joinKey(recordPrefix, hash), value}, {expiryKey(now.ServiceTime, hash), []byte{}}}, nil
}

// decodeRecord decodes a stored record and computes its age at now.
func decodeRecord(value []byte, now Timestamp) (dispatch.RecoveredRecord, error) {
	var stored storedRecord
	if err := cbor.Unmarshal(value, &stored); err != nil {
		return dispatch.RecoveredRecord{}, fmt.Errorf("decoding record: %w", err)
	}
	if stored.ID == "" || stored.Source == "" ||
		stored.Kind > uint8(dispatch.RecordRequestEnded) || stored.ResponseKind > uint8(dispatch.Failed) {
		return dispatch.RecoveredRecord{}, fmt.Errorf("%w of request %q", errInvalidRecord, stored.ID)
	}
	recovered := dispatch.RecoveredRecord{
		Record: stored.record(),
		Age:    units.Seconds(max(now.ServiceTime-stored.RecordedAt.ServiceTime, 0)),
	}
	age, reliable := stored.FirstExecutionAt.until(now)
	recovered.FirstExecutionAge, recovered.Reliable = units.Seconds(age), reliable
	return recovered, nil
}

// hasExpired reports whether a stored record is older than the retention. keyTime is the time in the expiry key,
// in milliseconds. If a newer record has replaced the one for which the key was written, hasExpired returns false.
func hasExpired(value []byte, keyTime, retention float64, now Timestamp) bool {
	var stored storedRecord
	if cbor.Unmarshal(value, &stored) != nil {
		return true // an unreadable record is not worth keeping
	}
	recordedAt := stored.RecordedAt.ServiceTime
	return math.Floor(max(recordedAt, 0)*expiryUnitsPerSecond) <= keyTime && now.ServiceTime-recordedAt >= retention
}

// encodeLastFiring returns the mutation that stores the last minute for which a schedule entry fired.
func encodeLastFiring(entry string, due time.Time) mutation {
	return mutation{joinKey(firingPrefix, []byte(entry)), binary.BigEndian.AppendUint64(nil, uint64(due.Unix()))}
}

// decodeLastFiring decodes a value of encodeLastFiring. It returns false for a value of the wrong length.
func decodeLastFiring(value []byte) (time.Time, bool) {
	if len(value) != uint64Size {
		return time.Time{}, false
	}
	return time.Unix(int64(binary.BigEndian.Uint64(value)), 0), true
}

// encodeScheduledRequest returns the mutation that stores an open request of the appliance's own schedules.
func encodeScheduledRequest(request *dispatch.Request, due, deadline time.Time) (mutation, error) {
	stored := storedScheduledRequest{Request: newStoredRequest(request), Due: due.Unix(), Deadline: deadline.Unix()}
	value, err := cbor.Marshal(stored)
	if err != nil {
		return mutation{}, fmt.Errorf("encoding scheduled request %q: %w", request.ID, err)
	}
	return mutation{joinKey(scheduledPrefix, identityHash(request.Identity)), value}, nil
}

// encodeServiceTime encodes a service time in seconds.
func encodeServiceTime(seconds float64) []byte {
	return binary.BigEndian.AppendUint64(nil, math.Float64bits(seconds))
}

// decodeServiceTime decodes a value of encodeServiceTime. It returns false for a value of the wrong length.
func decodeServiceTime(value []byte) (float64, bool) {
	if len(value) != uint64Size {
		return 0, false
	}
	return math.Float64frombits(binary.BigEndian.Uint64(value)), true
}

// convertSlice converts each element of list. A nil list stays nil and an empty one empty, because they are encoded
// differently.
func convertSlice[From, To any](list []From, convert func(From) To) []To {
	if list == nil {
		return nil
	}
	converted := make([]To, len(list))
	for i := range list {
		converted[i] = convert(list[i])
	}
	return converted
}

func newStoredField(f dispatch.Field) storedField { return storedField{Name: f.Name, Value: f.Value} }

func (f storedField) field() dispatch.Field { return dispatch.Field{Name: f.Name, Value: f.Value} }

func newStoredBinding(b dispatch.Binding) storedBinding {
	return storedBinding{ID: b.ID, Version: b.Version, Digest: b.Digest, Function: b.Function}
}

func (b storedBinding) binding() dispatch.Binding {
	return dispatch.Binding{ID: b.ID, Version: b.Version, Digest: b.Digest, Function: b.Function}
}

func newStoredFunctionProfile(p dispatch.FunctionProfile) storedFunctionProfile {
	return storedFunctionProfile{Concurrency: p.Concurrency, MemoryMB: p.MemoryMB, LoadTime: float64(p.LoadTime)}
}

func (p storedFunctionProfile) profile() dispatch.FunctionProfile {
	return dispatch.FunctionProfile{Concurrency: p.Concurrency, MemoryMB: p.MemoryMB, LoadTime: units.Seconds(p.LoadTime)}
}

func newStoredRequest(r *dispatch.Request) storedRequest {
	return storedRequest{
		Source:           r.Source,
		ID:               r.ID,
		Class:            r.Class,
		Tenant:           r.Tenant,
		Function:         r.Function,
		Timeout:          float64(r.Timeout),
		Fields:           convertSlice(r.Fields, newStoredField),
		Body:             r.Body,
		Retried:          r.Retried,
		StatedProfile:    newStoredFunctionProfile(r.StatedProfile),
		ExpectedWork:     float64(r.ExpectedWork),
		RejectDuplicates: r.RejectDuplicates,
	}
}

func (r storedRequest) request() dispatch.Request {
	return dispatch.Request{
		Identity:         dispatch.Identity{Source: r.Source, ID: r.ID},
		Class:            r.Class,
		Tenant:           r.Tenant,
		Function:         r.Function,
		Timeout:          units.Seconds(r.Timeout),
		Fields:           convertSlice(r.Fields, storedField.field),
		Body:             r.Body,
		Retried:          r.Retried,
		StatedProfile:    r.StatedProfile.profile(),
		ExpectedWork:     units.Seconds(r.ExpectedWork),
		RejectDuplicates: r.RejectDuplicates,
	}
}

func (r storedScheduledRequest) scheduledRequest() ScheduledRequest {
	return ScheduledRequest{Request: r.Request.request(), Due: time.Unix(r.Due, 0), Deadline: time.Unix(r.Deadline, 0)}
}

func newStoredReplica(r dispatch.ReplicaSnapshot) storedReplica {
	return storedReplica{
		Function:        r.Function,
		Binding:         newStoredBinding(r.Binding),
		Concurrency:     r.Concurrency,
		LoadTime:        float64(r.LoadTime),
		Worker:          r.Worker,
		WorkerStartedAt: float64(r.WorkerStartedAt),
		Age:             float64(r.Age),
	}
}

func (r storedReplica) replica() dispatch.ReplicaSnapshot {
	return dispatch.ReplicaSnapshot{
		Function:        r.Function,
		Binding:         r.Binding.binding(),
		Concurrency:     r.Concurrency,
		LoadTime:        units.Seconds(r.LoadTime),
		Worker:          r.Worker,
		WorkerStartedAt: units.Seconds(r.WorkerStartedAt),
		Age:             units.Seconds(r.Age),
	}
}

// newStoredRecord returns the stored form of a record written at now.
func newStoredRecord(record dispatch.Record, now Timestamp) storedRecord {
	response := record.Response
	firstExecutionAt := now
	firstExecutionAt.Uptime -= float64(record.FirstExecutionAge)
	firstExecutionAt.ServiceTime -= float64(record.FirstExecutionAge)
	return storedRecord{
		Kind:             uint8(record.Kind),
		Source:           response.Identity.Source,
		ID:               response.Identity.ID,
		Class:            response.Class,
		Function:         response.Function,
		Tenant:           response.Tenant,
		ResponseKind:     uint8(response.Kind),
		Cause:            uint8(response.Cause),
		RetryAfter:       float64(response.RetryAfter),
		Worker:           response.Worker,
		Attempts:         response.Attempts,
		Fields:           convertSlice(response.Fields, newStoredField),
		Body:             response.Body,
		MayHaveExecuted:  record.PossiblyExecuted,
		FirstExecutionAt: firstExecutionAt,
		RecordedAt:       now,
		Elapsed:          float64(response.Elapsed),
		Binding:          newStoredBinding(response.Binding),
	}
}

// record returns the dispatch record without its FirstExecutionAge, which depends on the current time.
func (r *storedRecord) record() dispatch.Record {
	return dispatch.Record{
		Kind:             dispatch.RecordKind(r.Kind),
		PossiblyExecuted: r.MayHaveExecuted,
		Response: dispatch.Response{
			Identity:   dispatch.Identity{Source: r.Source, ID: r.ID},
			Class:      r.Class,
			Function:   r.Function,
			Tenant:     r.Tenant,
			Kind:       dispatch.ResponseKind(r.ResponseKind),
			Cause:      dispatch.Cause(r.Cause),
			RetryAfter: units.Seconds(r.RetryAfter),
			Worker:     r.Worker,
			Attempts:   r.Attempts,
			Fields:     convertSlice(r.Fields, storedField.field),
			Body:       r.Body,
			Elapsed:    units.Seconds(r.Elapsed),
			Binding:    r.Binding.binding(),
		},
	}
}
