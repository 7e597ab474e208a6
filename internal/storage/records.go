package storage

import (
	"time"

	"streamcleat/internal/dispatch"
)

// The types in this file are the records on disk. Their CBOR keys and the order of their fields are part of the stored
// format: a change of either loses data or needs a migration. Fields of dispatch may be renamed freely, because each
// value passes through the conversions below. The numbers of dispatch.NoteKind, dispatch.Kind and dispatch.Cause are
// stored as they are.

// storedEvent is one event: launched and still open, or ended with its answer.
type storedEvent struct {
	Kind     uint8         `cbor:"1,keyasint"` // dispatch.NoteKind
	Source   string        `cbor:"2,keyasint"`
	ID       string        `cbor:"3,keyasint"`
	Type     string        `cbor:"4,keyasint"`
	Function string        `cbor:"5,keyasint,omitempty"`
	Tenant   string        `cbor:"6,keyasint,omitempty"`
	Outcome  uint8         `cbor:"7,keyasint,omitempty"` // dispatch.Kind
	Cause    uint8         `cbor:"8,keyasint,omitempty"` // dispatch.Cause
	Pause    float64       `cbor:"9,keyasint,omitempty"`
	Worker   string        `cbor:"10,keyasint,omitempty"`
	Launches int           `cbor:"11,keyasint,omitempty"`
	Fields   []storedField `cbor:"12,keyasint,omitempty"`
	Body     []byte        `cbor:"13,keyasint,omitempty"`
	MayRun   bool          `cbor:"14,keyasint,omitempty"`
	Ran      Timestamp     `cbor:"15,keyasint"` // first launch that may have run
	At       Timestamp     `cbor:"16,keyasint"` // when it was noted
	After    float64       `cbor:"17,keyasint,omitempty"`
	Binding  storedBinding `cbor:"18,keyasint,omitempty"` // written also where it is zero: the encoder omits no structs
}

// storedOpenRequest is an event whose source is the box itself: it is open until it has its answer, over restarts.
type storedOpenRequest struct {
	Request storedRequest `cbor:"1,keyasint"`
	Due     int64         `cbor:"2,keyasint"` // Unix seconds of the minute it was due
	Until   int64         `cbor:"3,keyasint"` // Unix seconds of the time at which it is given up
}

// storedReplicas is what was believed of replicas, and when. No list is stored as null.
type storedReplicas struct {
	At   Timestamp       `cbor:"1,keyasint"`
	List []storedReplica `cbor:"2,keyasint"`
}

// storedField is a dispatch.Field.
type storedField struct {
	Name  string `cbor:"Name"`
	Value string `cbor:"Value"`
}

// storedBinding is a dispatch.Binding.
type storedBinding struct {
	ID       string `cbor:"ID"`
	Version  string `cbor:"Version"`
	Digest   string `cbor:"Digest"`
	Function string `cbor:"Function"`
}

// storedFunction is a dispatch.Function.
type storedFunction struct {
	Lanes  int     `cbor:"Lanes"`
	Memory float64 `cbor:"Memory"`
	Load   float64 `cbor:"Load"`
}

// storedRequest is a dispatch.Ask. The source and id of its identity stand beside its other keys.
type storedRequest struct {
	Source   string         `cbor:"Source"`
	ID       string         `cbor:"ID"`
	Type     string         `cbor:"Type"`
	Tenant   string         `cbor:"Tenant"`
	Function string         `cbor:"Function"`
	Wait     float64        `cbor:"Wait"`
	Fields   []storedField  `cbor:"Fields"` // null where there is none
	Body     []byte         `cbor:"Body"`   // null where there is none
	Repeated bool           `cbor:"Repeated"`
	Stated   storedFunction `cbor:"Stated"`
	Work     float64        `cbor:"Work"`
	Alone    bool           `cbor:"Alone"`
}

// storedReplica is a dispatch.Known.
type storedReplica struct {
	Function string        `cbor:"Function"`
	Binding  storedBinding `cbor:"Binding"`
	Lanes    int           `cbor:"Lanes"`
	Load     float64       `cbor:"Load"`
	Worker   string        `cbor:"Worker"`
	Started  float64       `cbor:"Started"`
	Age      float64       `cbor:"Age"`
}

// convert applies a conversion to each element. A nil list stays nil and an empty one empty: they differ on disk.
func convert[From, To any](list []From, f func(From) To) []To {
	if list == nil {
		return nil
	}
	out := make([]To, len(list))
	for i := range list {
		out[i] = f(list[i])
	}
	return out
}

func storeField(f dispatch.Field) storedField { return storedField{Name: f.Name, Value: f.Value} }

func (f storedField) field() dispatch.Field { return dispatch.Field{Name: f.Name, Value: f.Value} }

func storeBinding(b dispatch.Binding) storedBinding {
	return storedBinding{ID: b.ID, Version: b.Version, Digest: b.Digest, Function: b.Function}
}

func (b storedBinding) binding() dispatch.Binding {
	return dispatch.Binding{ID: b.ID, Version: b.Version, Digest: b.Digest, Function: b.Function}
}

func storeFunction(f dispatch.FunctionProfile) storedFunction {
	return storedFunction{Lanes: f.Concurrency, Memory: f.MemoryMB, Load: f.LoadTime}
}

func (f storedFunction) function() dispatch.FunctionProfile {
	return dispatch.FunctionProfile{Concurrency: f.Lanes, MemoryMB: f.Memory, LoadTime: f.Load}
}

func storeRequest(a *dispatch.Request) storedRequest {
	return storedRequest{Source: a.Identity.Source, ID: a.Identity.ID, Type: a.Class, Tenant: a.Tenant, Function: a.Function,
		Wait: a.Timeout, Fields: convert(a.Fields, storeField), Body: a.Body, Repeated: a.Retried, Stated: storeFunction(a.StatedProfile),
		Work: a.ExpectedWork, Alone: a.RejectDuplicates}
}

func (r storedRequest) request() dispatch.Request {
	return dispatch.Request{Identity: dispatch.Identity{Source: r.Source, ID: r.ID}, Class: r.Type, Tenant: r.Tenant, Function: r.Function,
		Timeout: r.Wait, Fields: convert(r.Fields, storedField.field), Body: r.Body, Retried: r.Repeated, StatedProfile: r.Stated.function(),
		ExpectedWork: r.Work, RejectDuplicates: r.Alone}
}

func (o storedOpenRequest) open() ScheduledRequest {
	return ScheduledRequest{Request: o.Request.request(), Due: time.Unix(o.Due, 0), Deadline: time.Unix(o.Until, 0)}
}

func storeReplica(k dispatch.ReplicaSnapshot) storedReplica {
	return storedReplica{Function: k.Function, Binding: storeBinding(k.Binding), Lanes: k.Concurrency, Load: k.LoadTime, Worker: k.Worker,
		Started: k.WorkerStartedAt, Age: k.Age}
}

func (r storedReplica) replica() dispatch.ReplicaSnapshot {
	return dispatch.ReplicaSnapshot{Function: r.Function, Binding: r.Binding.binding(), Concurrency: r.Lanes, LoadTime: r.Load, Worker: r.Worker,
		WorkerStartedAt: r.Started, Age: r.Age}
}

// storeNote is the record of a note that is made now.
func storeNote(n dispatch.Record, now Timestamp) storedEvent {
	a := n.Response
	r := storedEvent{Kind: uint8(n.Kind), Source: a.Identity.Source, ID: a.Identity.ID, Type: a.Class, Function: a.Function,
		Tenant: a.Tenant, Outcome: uint8(a.Kind), Cause: uint8(a.Cause), Pause: a.RetryAfter, Worker: a.Worker, Launches: a.Attempts,
		Fields: convert(a.Fields, storeField), Body: a.Body, MayRun: n.MayHaveRun, Ran: now, At: now, After: a.Elapsed,
		Binding: storeBinding(a.Binding)}
	r.Ran.Up -= n.FirstRunAgo
	r.Ran.Run -= n.FirstRunAgo
	return r
}

// note is what the record tells but for the time since the first launch, which depends on the clock.
func (r *storedEvent) note() dispatch.Record {
	return dispatch.Record{Kind: dispatch.RecordKind(r.Kind), MayHaveRun: r.MayRun, Response: dispatch.Response{
		Identity: dispatch.Identity{Source: r.Source, ID: r.ID}, Class: r.Type, Function: r.Function, Tenant: r.Tenant,
		Kind: dispatch.ResponseKind(r.Outcome), Cause: dispatch.Cause(r.Cause), RetryAfter: r.Pause, Worker: r.Worker, Attempts: r.Launches,
		Fields: convert(r.Fields, storedField.field), Body: r.Body, Elapsed: r.After, Binding: r.Binding.binding()}}
}
