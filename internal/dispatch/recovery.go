package dispatch

import (
	"math"

	"streamcleat/control"
)

// RecordKind is what a record is about.
type RecordKind uint8

// The kinds of records.
const (
	RecordAttemptStarted RecordKind = iota // an attempt is about to be sent: from now on the request may have run
	RecordRequestEnded                     // the request has its final response
)

// Record is what must outlive the process. It is stored before the attempt or response that it is about; where that
// says AwaitsRecord, it may be sent only once the record is durable.
type Record struct {
	Kind        RecordKind
	Response    Response // Identity, Class and Function are always set; the rest for RecordRequestEnded
	MayHaveRun  bool     // some attempt may have run
	FirstRunAgo float64  // seconds since the first of these started
}

// RecoveredRecord is a record that was read back after a restart.
type RecoveredRecord struct {
	Record
	Age      float64 // seconds of service since it was stored: how much of the deduplication window is used up
	Reliable bool    // FirstRunAgo counts from now and can be trusted; else any time may have passed
}

// ReplicaSnapshot is a replica that a front end believes to be loaded: what one process hands to the next.
type ReplicaSnapshot struct {
	Function        string // the function's ID for routing
	Binding         Binding
	Concurrency     int
	LoadTime        float64
	Worker          string
	WorkerStartedAt float64 // Unix seconds of the worker's start; 0: long ago
	Age             float64 // seconds since the replica was last seen
}

// recordAttempt stores that a request may have run.
func (d *Dispatcher) recordAttempt(req *openRequest) {
	record := Record{
		Kind: RecordAttemptStarted,
		Response: Response{
			Identity: req.request.Identity,
			Class:    req.request.Class,
			Function: req.request.Function,
			Tenant:   req.request.Tenant,
			Binding:  req.binding,
		},
		MayHaveRun: true,
	}
	if req.mayHaveRun {
		record.FirstRunAgo = d.now - req.firstRunAt
	}
	req.recorded = true
	d.effects.Store(record)
}

// recordEnd stores the final response of a request.
func (d *Dispatcher) recordEnd(req *openRequest, response Response) {
	record := Record{Kind: RecordRequestEnded, Response: response, MayHaveRun: req.mayHaveRun}
	if req.mayHaveRun {
		record.FirstRunAgo = d.now - req.firstRunAt
	}
	d.effects.Store(record)
}

// Recover takes the records of an earlier process, before the first request. An attempt without an end may have run:
//
//   - an idempotent request runs again when a client repeats it;
//   - one with an idempotency key does too, as long as the workers are sure to remember its first run;
//   - an at-most-once request fails.
//
// Recover returns the requests that failed so.
func (d *Dispatcher) Recover(now float64, records []RecoveredRecord) (failed []Response) {
	d.advance(now)
	for i := range records {
		record := &records[i]
		window := d.settings.DeduplicationWindow - record.Age
		class := d.classes[record.Response.Class]
		if window <= 0 || class == nil {
			continue
		}
		cached := &cachedResponse{
			identity:   record.Response.Identity,
			response:   record.Response,
			expiresAt:  d.now + window,
			mayHaveRun: record.MayHaveRun,
			firstRunAt: math.Inf(-1),
		}
		if record.Reliable {
			cached.firstRunAt = d.now - record.FirstRunAgo
		}
		if record.Kind == RecordAttemptStarted {
			if d.recoverAttempt(cached, class) {
				failed = append(failed, cached.response)
			}
		}
		d.cache.add(cached)
	}
	return failed
}

// recoverAttempt sets the response to a request whose attempt has no recorded end, and tells whether it is a failure.
func (d *Dispatcher) recoverAttempt(cached *cachedResponse, class *control.RequestClass) (failed bool) {
	cached.response.Kind = Rejected
	cached.response.Cause = CauseRestarted
	cached.response.RetryAfter = d.settings.Deployment.MaxRetryAfter
	// A repeat may meet a worker that never knew the first run, unless the whole fleet deduplicates.
	forgotten := class.Semantics == control.IdempotentByKey &&
		(class.DeduplicationScope != control.ScopeFleet || deduplicationExpired(class, cached.firstRunAt, d.now))
	failed = class.Semantics == control.AtMostOnce || forgotten
	if failed {
		cached.response.Kind, cached.response.RetryAfter = Failed, 0
	}
	return failed
}

// StoredRecords are the records that a restart must find, by what this process knows: requests that may have run, and
// how requests ended.
func (d *Dispatcher) StoredRecords() map[Identity]Record {
	records := map[Identity]Record{}
	for identity, cached := range d.cache.byIdentity {
		if cached.expiresAt <= d.now || cached.bodyDropped {
			continue
		}
		record := Record{Kind: RecordRequestEnded, Response: cached.response, MayHaveRun: cached.mayHaveRun}
		if cached.response.Cause == CauseRestarted { // it is on disk as the attempt that an earlier process recorded
			record.Kind = RecordAttemptStarted
		}
		records[identity] = record
	}
	for _, req := range d.requests {
		if req.recorded {
			response := d.newResponse(req, Rejected, CauseResponded)
			records[req.request.Identity] = Record{Kind: RecordAttemptStarted, Response: response, MayHaveRun: true}
		}
	}
	return records
}

// ReplicaSnapshots are the replicas that the router believes to be loaded. startedAt tells a worker's start in Unix
// seconds.
func (d *Dispatcher) ReplicaSnapshots(startedAt func(control.WorkerID) float64) []ReplicaSnapshot {
	var snapshots []ReplicaSnapshot
	for _, function := range d.router.Functions() {
		for i, worker := range function.Replicas {
			snapshots = append(snapshots, ReplicaSnapshot{
				Function:        string(function.ID),
				Binding:         d.bindings[string(function.ID)],
				Concurrency:     function.Concurrency,
				LoadTime:        function.LoadTime,
				Worker:          string(worker),
				WorkerStartedAt: startedAt(worker),
				Age:             function.ReplicaAges[i],
			})
		}
	}
	return snapshots
}

// RestoreReplica hands a replica that an earlier process knew to the router, once the workers are listed.
func (d *Dispatcher) RestoreReplica(now float64, snapshot ReplicaSnapshot) {
	d.advance(now)
	if snapshot.Binding.ID != "" {
		d.bindings[snapshot.Binding.ID] = snapshot.Binding
	}
	request := control.Request{
		Function:    control.FunctionID(snapshot.Function),
		Concurrency: snapshot.Concurrency,
		LoadTime:    snapshot.LoadTime,
	}
	d.router.RestoreReplica(d.now, request, control.WorkerID(snapshot.Worker), snapshot.Age)
}
