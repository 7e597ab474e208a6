package dispatch

import "streamcleat/control"

// Effects carries out what the [Dispatcher] asks for. No method may call back into the Dispatcher before it returns.
type Effects interface {
	// Respond gives a waiter its final response.
	Respond(to WaiterID, response Response)
	// SendAttempt sends a request to a worker, as long as [Dispatcher.Clear] permits it when its bytes could leave; its
	// end is reported by [Dispatcher.OnAttemptReply].
	SendAttempt(attempt Attempt)
	// SendLoad sends a load command; its end is reported by [Dispatcher.OnLoadReply].
	SendLoad(command LoadCommand)
	// Abandon tells that the reply to an attempt or load command is no longer wanted; it counts as ended.
	Abandon(id uint64)
	// CancelUnsent takes an attempt back if no byte of it was sent. It then never ran, and no reply follows.
	CancelUnsent(id uint64) bool
	// Broadcast sends a gossip message to every other front end.
	Broadcast(message []byte)
	// Store makes a record durable.
	Store(record Record)
	// OnRequestEnd is called once for each request, for logs, metrics and traces.
	OnRequestEnd(response Response, trace *Trace)
}

// Attempt is one attempt to run a request on a worker.
type Attempt struct {
	ID           uint64 // names the attempt in its reply
	Worker       control.WorkerID
	Function     string
	Number       int     // 0 for the first attempt of the request
	Timeout      float64 // seconds after which the dispatcher abandons it
	Identity     Identity
	Class        string // request class
	Fields       []Field
	Body         []byte
	Binding      Binding
	AwaitsRecord bool // must not be sent before its record is durable
}

// LoadCommand tells a worker to hold replicas of a function.
type LoadCommand struct {
	ID       uint64 // names the command in its reply
	Worker   control.WorkerID
	Function string
	Replicas int
	Binding  Binding
}

// WorkerReply is how an attempt ended at its worker.
type WorkerReply struct {
	Outcome control.Outcome
	Start   control.StartType
	Report  control.LoadReport
	Digest  string // of the replica that ran it, as the worker proved it; "": the worker doesn't state it
	Fields  []Field
	Body    []byte
}
