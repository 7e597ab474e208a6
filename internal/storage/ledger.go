// Package storage keeps what must outlive the process: which events may have run, the final answers of events
// lately ended, the last firing of each timer entry and the box's own events that are still open. ledger.go says
// what is written and what a restart makes of it, without I/O; records.go has the form of what is written; store.go
// has the disk.
package storage

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"streamcleat/internal/dispatch"
)

// Timestamp is a moment on clocks that a changed time of day does not move. Spans between stamps of one start of the
// machine are known; over a restart of the machine only the time of service is.
type Timestamp struct {
	Run  float64 `cbor:"1,keyasint"` // seconds of service since the store was made
	Boot string  `cbor:"2,keyasint"` // which start of the machine
	Up   float64 `cbor:"3,keyasint"` // seconds since then
}

// since is the time from a stamp to a later one; false where it can't be known.
func (s Timestamp) since(now Timestamp) (float64, bool) {
	if s.Boot == "" || s.Boot != now.Boot || now.Up < s.Up {
		return 0, false
	}
	return now.Up - s.Up, true
}

// op is one change of the store; a nil value deletes.
type op struct{ key, value []byte }

// Keys: e/HASH a record, x/RUN/HASH its place in the order of expiry, t/ENTRY the last minute that a timer entry
// fired for, o/HASH an open event of the box, h/NUMBER
// an entry of the handlers' audit trail, m/... about the store itself.
var (
	eventPrefix  = []byte("e/")
	expiryPrefix = []byte("x/")
	timerPrefix  = []byte("t/")
	ownPrefix    = []byte("o/")
	trailPrefix  = []byte("h/")
	formKey      = []byte("m/form")
	runKey       = []byte("m/run")
	configKey    = []byte("m/config")
	knownKey     = []byte("m/known")
)

const form = "streamcleat 1"

func identity(i dispatch.Identity) []byte {
	h := fnv.New128a()
	fmt.Fprintf(h, "%d:%s%s", len(i.Source), i.Source, i.ID)
	return h.Sum(nil)
}

func join(prefix, rest []byte) []byte {
	return append(append(make([]byte, 0, len(prefix)+len(rest)), prefix...), rest...)
}

func expiry(at float64, hash []byte) []byte {
	key := binary.BigEndian.AppendUint64(append([]byte{}, expiryPrefix...), uint64(max(at, 0)*1000))
	return append(append(key, '/'), hash...)
}

// noted is what a note writes. An event's newer note takes the place of the older; the older's place in the order
// of expiry stays and is passed over when its time comes.
func noted(n dispatch.Record, now Timestamp) ([]op, error) {
	value, err := cbor.Marshal(storeNote(n, now))
	if err != nil {
		return nil, err
	}
	hash := identity(n.Response.Identity)
	return []op{{join(eventPrefix, hash), value}, {expiry(now.Run, hash), []byte{}}}, nil
}

// restored is what a restart makes of a record.
func restored(value []byte, now Timestamp) (dispatch.RecoveredRecord, error) {
	var r storedEvent
	if err := cbor.Unmarshal(value, &r); err != nil {
		return dispatch.RecoveredRecord{}, err
	}
	if r.ID == "" || r.Source == "" || r.Kind > uint8(dispatch.RecordRequestEnded) || r.Outcome > uint8(dispatch.Failed) {
		return dispatch.RecoveredRecord{}, fmt.Errorf("record of event %q has no meaning", r.ID)
	}
	k := dispatch.RecoveredRecord{Record: r.note(), Age: max(now.Run-r.At.Run, 0)}
	k.FirstRunAgo, k.Reliable = r.Ran.since(now)
	return k, nil
}

// lapsed tells whether the record that an expiry entry points to has gone through its remembered time; false where
// a newer note took its place.
func lapsed(value []byte, entry float64, remember float64, now Timestamp) bool {
	var r storedEvent
	if cbor.Unmarshal(value, &r) != nil {
		return true // it can't be read: nobody misses it
	}
	return math.Floor(max(r.At.Run, 0)*1000) <= entry && now.Run-r.At.Run >= remember
}

func fired(key string, due, until time.Time, ask *dispatch.Request) ([]op, error) {
	ops := []op{{join(timerPrefix, []byte(key)), binary.BigEndian.AppendUint64(nil, uint64(due.Unix()))}}
	if ask != nil {
		value, err := cbor.Marshal(storedOpenRequest{storeRequest(ask), due.Unix(), until.Unix()})
		if err != nil {
			return nil, err
		}
		ops = append(ops, op{join(ownPrefix, identity(ask.Identity)), value})
	}
	return ops, nil
}
