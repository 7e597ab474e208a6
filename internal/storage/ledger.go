// Package storage keeps what must outlive the process: which events may have run, the final answers of events
// lately ended, the last firing of each timer entry and the box's own events that are still open. ledger.go says
// what is written and what a restart makes of it, without I/O; store.go has the disk.
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

// Stamp is a moment on clocks that a changed time of day does not move. Spans between stamps of one start of the
// machine are known; over a restart of the machine only the time of service is.
type Stamp struct {
	Run  float64 `cbor:"1,keyasint"` // seconds of service since the store was made
	Boot string  `cbor:"2,keyasint"` // which start of the machine
	Up   float64 `cbor:"3,keyasint"` // seconds since then
}

// since is the time from a stamp to a later one; false where it can't be known.
func (s Stamp) since(now Stamp) (float64, bool) {
	if s.Boot == "" || s.Boot != now.Boot || now.Up < s.Up {
		return 0, false
	}
	return now.Up - s.Up, true
}

// record is one event as it is kept.
type record struct {
	Kind     uint8            `cbor:"1,keyasint"`
	Source   string           `cbor:"2,keyasint"`
	ID       string           `cbor:"3,keyasint"`
	Type     string           `cbor:"4,keyasint"`
	Function string           `cbor:"5,keyasint,omitempty"`
	Tenant   string           `cbor:"6,keyasint,omitempty"`
	Outcome  uint8            `cbor:"7,keyasint,omitempty"`
	Cause    uint8            `cbor:"8,keyasint,omitempty"`
	Pause    float64          `cbor:"9,keyasint,omitempty"`
	Worker   string           `cbor:"10,keyasint,omitempty"`
	Launches int              `cbor:"11,keyasint,omitempty"`
	Fields   []dispatch.Field `cbor:"12,keyasint,omitempty"`
	Body     []byte           `cbor:"13,keyasint,omitempty"`
	MayRun   bool             `cbor:"14,keyasint,omitempty"`
	Ran      Stamp            `cbor:"15,keyasint"` // first launch that may have run
	At       Stamp            `cbor:"16,keyasint"` // when it was noted
	After    float64          `cbor:"17,keyasint,omitempty"`
	Binding  dispatch.Binding `cbor:"18,keyasint,omitempty"`
}

// own is an event whose source is the box itself: it is open until it has its answer, over restarts.
type own struct {
	Ask   dispatch.Ask `cbor:"1,keyasint"`
	Due   int64        `cbor:"2,keyasint"` // Unix seconds of the minute it was due
	Until int64        `cbor:"3,keyasint"` // and of when it is given up
}

// knowledge is what was believed of copies, and when.
type knowledge struct {
	At   Stamp            `cbor:"1,keyasint"`
	List []dispatch.Known `cbor:"2,keyasint"`
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
func noted(n dispatch.Note, now Stamp) ([]op, error) {
	a := n.Answer
	r := record{Kind: uint8(n.Kind), Source: a.Identity.Source, ID: a.Identity.ID, Type: a.EventType, Function: a.FunctionID,
		Tenant: a.Tenant, Outcome: uint8(a.Kind), Cause: uint8(a.Cause), Pause: a.Pause, Worker: a.Worker, Launches: a.Launches,
		Fields: a.Fields, Body: a.Body, MayRun: n.MayRun, Ran: now, At: now, After: a.After, Binding: a.Binding}
	r.Ran.Up -= n.RanAgo
	r.Ran.Run -= n.RanAgo
	value, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	hash := identity(a.Identity)
	return []op{{join(eventPrefix, hash), value}, {expiry(now.Run, hash), []byte{}}}, nil
}

// restored is what a restart makes of a record.
func restored(value []byte, now Stamp) (dispatch.Kept, error) {
	var r record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return dispatch.Kept{}, err
	}
	if r.ID == "" || r.Source == "" || r.Kind > uint8(dispatch.NoteEnded) || r.Outcome > uint8(dispatch.DeadLettered) {
		return dispatch.Kept{}, fmt.Errorf("record of event %q has no meaning", r.ID)
	}
	k := dispatch.Kept{Note: dispatch.Note{Kind: dispatch.NoteKind(r.Kind), MayRun: r.MayRun, Answer: dispatch.Answer{
		Identity: dispatch.Identity{Source: r.Source, ID: r.ID}, EventType: r.Type, FunctionID: r.Function, Tenant: r.Tenant,
		Kind: dispatch.Kind(r.Outcome), Cause: dispatch.Cause(r.Cause), Pause: r.Pause, Worker: r.Worker, Launches: r.Launches,
		Fields: r.Fields, Body: r.Body, After: r.After, Binding: r.Binding}}, Age: max(now.Run-r.At.Run, 0)}
	k.RanAgo, k.Reliable = r.Ran.since(now)
	return k, nil
}

// lapsed tells whether the record that an expiry entry points to has gone through its remembered time; false where
// a newer note took its place.
func lapsed(value []byte, entry float64, remember float64, now Stamp) bool {
	var r record
	if cbor.Unmarshal(value, &r) != nil {
		return true // it can't be read: nobody misses it
	}
	return math.Floor(max(r.At.Run, 0)*1000) <= entry && now.Run-r.At.Run >= remember
}

func fired(key string, due, until time.Time, ask *dispatch.Ask) ([]op, error) {
	ops := []op{{join(timerPrefix, []byte(key)), binary.BigEndian.AppendUint64(nil, uint64(due.Unix()))}}
	if ask != nil {
		value, err := cbor.Marshal(own{*ask, due.Unix(), until.Unix()})
		if err != nil {
			return nil, err
		}
		ops = append(ops, op{join(ownPrefix, identity(ask.Identity)), value})
	}
	return ops, nil
}
