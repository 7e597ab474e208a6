package dispatch

import (
	"streamcleat/control"
	"streamcleat/internal/units"
)

// Effects executes the actions that a [Dispatcher] decides on. No method may call back into the Dispatcher before it
// returns.
type Effects interface {
	// Respond delivers the final response to a waiter.
	Respond(to WaiterID, response Response)
	// SendAttempt sends a request to a worker, provided that [Dispatcher.AuthorizeAttempt] permits it immediately before
	// the bytes are written. The end of the attempt is reported to [Dispatcher.OnAttemptReply].
	SendAttempt(attempt Attempt)
	// SendLoad sends a load command. Its end is reported to [Dispatcher.OnLoadReply].
	SendLoad(command LoadCommand)
	// Abandon drops an attempt or load command that the Dispatcher considers ended. Its reply is ignored.
	Abandon(id uint64)
	// CancelUnsent cancels an attempt if no byte of it was sent, and reports whether it did. A canceled attempt was not
	// executed, and no reply follows.
	CancelUnsent(id uint64) bool
	// Broadcast sends a gossip message to every other front end.
	Broadcast(message []byte)
	// Store makes a record durable.
	Store(record Record)
	// OnRequestEnd is called once for each request that ended, for logs, metrics and traces.
	OnRequestEnd(response Response, trace *Trace)
}

// Attempt is one attempt to run a request on a worker.
type Attempt struct {
	ID           uint64 // identifies the attempt in its reply
	Worker       control.WorkerID
	Function     string
	Number       int           // 0 for the first attempt of the request
	Timeout      units.Seconds // seconds after which the Dispatcher abandons the attempt
	Identity     Identity
	Class        string // request class
	Fields       []Field
	Body         []byte
	Binding      Binding
	AwaitsRecord bool // must not be sent until its record is durable
}

// LoadCommand asks a worker to keep a number of replicas of a function loaded.
type LoadCommand struct {
	ID       uint64 // identifies the command in its reply
	Worker   control.WorkerID
	Function string
	Replicas int
	// Query asks how many replicas are loaded. It may have Replicas 0, which in a load command unloads idle replicas.
	Query   bool
	Binding Binding
}

// WorkerReply is the result of an attempt, as reported by its worker or by the connection to it.
type WorkerReply struct {
	Outcome control.Outcome
	Start   control.StartType
	Report  control.LoadReport
	Digest  string // of the version that ran, as the worker reported it; "": not reported
	Fields  []Field
	Body    []byte
}
