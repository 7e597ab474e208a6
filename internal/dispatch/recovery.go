package dispatch

import (
	"math"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// RecordKind tells which event a [Record] describes.
type RecordKind uint8

// The kinds of records.
const (
	RecordAttemptStarted RecordKind = iota // an attempt is about to be sent; the request is possibly executed from now on
	RecordRequestEnded                     // the request has a final response
)

// Record is state that must outlive the process. It is passed to [Effects.Store] before the attempt or response that it
// describes. An attempt or response with AwaitsRecord set must not be sent until the record is durable.
type Record struct {
	Kind              RecordKind
	Response          Response      // Identity, Class and Function are always set; the rest for RecordRequestEnded
	PossiblyExecuted  bool          // the request was possibly executed
	FirstExecutionAge units.Seconds // seconds since the start of the first attempt that was possibly executed
}

// RecoveredRecord is a Record read back after a restart.
type RecoveredRecord struct {
	Record
	Age      units.Seconds // seconds of the deduplication window that have elapsed since it was stored
	Reliable bool          // FirstExecutionAge, counted back from now, is exact; if false, any time may have passed
}

// ReplicaSnapshot describes a replica that a front end believes to be loaded. A process stores its snapshots for the next
// one.
type ReplicaSnapshot struct {
	Function        string // the function's ID for routing
	Binding         Binding
	Concurrency     int
	LoadTime        units.Seconds
	Worker          string
	WorkerStartedAt units.Seconds // Unix time in seconds; 0: unknown or long past
	Age             units.Seconds // seconds since the replica was last seen
}

// storeAttemptRecord stores a record that a request is possibly executed from now on.
func (d *Dispatcher) storeAttemptRecord(req *openRequest) {
	record := Record{
		Kind: RecordAttemptStarted,
		Response: Response{
			Identity: req.request.Identity,
			Class:    req.request.Class,
			Function: req.request.Function,
			Tenant:   req.request.Tenant,
			Binding:  req.binding,
		},
		PossiblyExecuted: true,
	}
	if req.possiblyExecuted {
		record.FirstExecutionAge = d.now - req.firstExecutedAt
	}
	req.attemptRecorded = true
	d.effects.Store(record)
}

// storeEndRecord stores the final response to a request.
func (d *Dispatcher) storeEndRecord(req *openRequest, response Response) {
	record := Record{Kind: RecordRequestEnded, Response: response, PossiblyExecuted: req.possiblyExecuted}
	if req.possiblyExecuted {
		record.FirstExecutionAge = d.now - req.firstExecutedAt
	}
	d.effects.Store(record)
}

// Recover restores the cache from the records of an earlier process. It must be called before the first request. A
// request whose attempt has no recorded end was possibly executed:
//
//   - an idempotent request is executed again when its client retries it;
//   - so is a request with an idempotency key, as long as the workers are certain to deduplicate it;
//   - an at-most-once request fails.
//
// Recover returns the responses of the requests that failed.
func (d *Dispatcher) Recover(now units.Seconds, records []RecoveredRecord) (failed []Response) {
	d.advance(now)
	for i := range records {
		record := &records[i]
		window := d.settings.DeduplicationWindow - record.Age
		class := d.classes[record.Response.Class]
		if window <= 0 || class == nil {
			continue
		}
		cached := &cachedResponse{
			identity:         record.Response.Identity,
			response:         record.Response,
			expiresAt:        d.now + window,
			possiblyExecuted: record.PossiblyExecuted,
			firstExecutedAt:  units.Seconds(math.Inf(-1)),
		}
		if record.Reliable {
			cached.firstExecutedAt = d.now - record.FirstExecutionAge
		}
		if record.Kind == RecordAttemptStarted {
			d.recoverAttempt(cached, class)
			if cached.response.Kind == Failed {
				failed = append(failed, cached.response)
			}
		}
		d.cache.add(cached)
	}
	return failed
}

// recoverAttempt sets the response to a request whose attempt has no recorded end.
func (d *Dispatcher) recoverAttempt(cached *cachedResponse, class *control.RequestClass) {
	cached.response.Kind = Rejected
	cached.response.Cause = CauseRestarted
	cached.response.RetryAfter = d.settings.Deployment.MaxRetryAfter
	if isRepeatUnsafe(class, cached.firstExecutedAt, d.now) {
		cached.response.Kind, cached.response.RetryAfter = Failed, 0
	}
}

// StoredRecords returns the records that a restart is expected to find: those of open requests that were possibly
// executed, and the final responses in the cache. It is for the simulation's check of the record store.
func (d *Dispatcher) StoredRecords() map[Identity]Record {
	records := map[Identity]Record{}
	for identity, cached := range d.cache.byIdentity {
		if cached.expiresAt <= d.now || cached.bodyDropped {
			continue
		}
		record := Record{Kind: RecordRequestEnded, Response: cached.response, PossiblyExecuted: cached.possiblyExecuted}
		if cached.response.Cause == CauseRestarted { // still on disk as the attempt record of an earlier process
			record.Kind = RecordAttemptStarted
		}
		records[identity] = record
	}
	for _, req := range d.requests {
		if req.attemptRecorded {
			response := d.newResponse(req, Rejected, CauseResponded)
			records[req.request.Identity] = Record{Kind: RecordAttemptStarted, Response: response, PossiblyExecuted: true}
		}
	}
	return records
}

// ReplicaSnapshots returns the replicas that the router believes to be loaded. startedAt returns the start of a worker in
// Unix seconds.
func (d *Dispatcher) ReplicaSnapshots(startedAt func(control.WorkerID) units.Seconds) []ReplicaSnapshot {
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

// RestoreReplica passes a replica that an earlier process knew to the router. The replica's worker must have been listed
// by OnEndpointUpdate before.
func (d *Dispatcher) RestoreReplica(now units.Seconds, snapshot ReplicaSnapshot) {
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
