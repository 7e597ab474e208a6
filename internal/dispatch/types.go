// Package dispatch is the core that hosts one control.Router: it holds what is open (events and who asked for
// them, launches, load orders, timers), joins repeats to their event and gives each asker one final answer. It
// has no socket, no clock and no chance of its own: it is called with the time and what came in, and calls out
// through Outside. Where an event runs is decided in control and nowhere here.
package dispatch

import "streamcleat/control"

// WaiterID is one request that waits for an answer; the caller picks the number and never uses it again.
type WaiterID uint64

// Identity is how an event is known again: CloudEvents source and id (CloudEvents 1.0, 3.1.1).
type Identity struct{ Source, ID string }

func (i Identity) String() string { return i.Source + "#" + i.ID }

// Field is one header field that travels with an event or an answer.
type Field struct{ Name, Value string }

// Request is one event as a front understood it.
type Request struct {
	Identity
	Class            string // event type
	Tenant           string
	Function         string
	Timeout          float64 // seconds that the client waits from now on; 0: the event type's max age
	Fields           []Field // for the worker: context attributes and the content type
	Body             []byte
	Retried          bool            // the client marks it as a repeat
	StatedProfile    FunctionProfile // what the event itself tells of its function; without lanes the settings tell it
	ExpectedWork     float64         // seconds of work that the client expects, 0 where it gives no hint
	RejectDuplicates bool            // no repeat: while an event of the same identity is open, it is deferred and not joined
}

// Binding is the version of a function that an event runs on, settled once when it is taken. The zero Binding means
// a function without versions.
type Binding struct {
	ID       string // of the function for the decisions: each version is one of its own
	Version  string
	Digest   string
	Function string
}

// ResponseKind is how an event ended for its client.
type ResponseKind uint8

const (
	Succeeded ResponseKind = iota
	Rejected
	Failed
)

func (k ResponseKind) String() string { return [...]string{"handled", "deferred", "dead-lettered"}[k] }

// Response is a final answer. Cause is one of the causes below, in words of RFC 9209 where it has one.
type Response struct {
	Kind         ResponseKind
	Cause        Cause
	RetryAfter   float64 // seconds after which a deferred client may come back
	Worker       string
	Start        control.StartType
	Replayed     bool // kept from an earlier asker of the same event
	Attempts     int
	Fields       []Field
	Body         []byte
	Identity     Identity
	Elapsed      float64 // seconds from the event's coming in to its end
	Class        string
	Function     string
	Tenant       string
	Binding      Binding // zero where the function has no versions
	AwaitsRecord bool    // must not leave before the note of it is kept
}

// Cause tells why an event ended so.
type Cause uint8

const (
	CauseAnswered          Cause = iota
	CauseNoCapacity              // nobody could take it in time
	CauseDeadlineExceeded        // the client's time ran out first
	CauseWorkerFailed            // the last worker answered with an error
	CauseConnectionLost          // the connection to the last worker broke in mid-launch
	CauseWorkerUnreachable       // no connection to a worker could be had
	CauseWorkerFull              // the last worker turned it away
	CauseLoadFailed              // the function could not be loaded
	CauseResponseExpired         // ended long ago: its answer is no longer held, and it must not run again
	CauseShuttingDown            // the front end stops
	CauseUnknownClass            // event type that the configuration doesn't name
	CauseTooManyOpen             // more events are open than the front end may hold
	CauseRestarted               // it may have run before the front end started anew
	CauseNotStored               // what must outlive the process can't be written
	CauseNoVersion               // the function's reference names no version that may run
	CauseWrongDigest             // the worker answered with another version than the one it was asked for
	CauseDuplicate               // an event of the same identity is open, and this is none of its repeats
)

var causes = [...]string{"answered", "no-room", "time-up", "worker-failed", "worker-broke", "worker-gone",
	"worker-full", "load-failed", "forgotten", "stopping", "unknown-type", "overflow", "restarted", "not-kept", "no-version", "wrong-digest", "duplicate"}

func (c Cause) String() string { return causes[c] }

// Attempt is one attempt that goes to a worker.
type Attempt struct {
	ID           uint64 // number by which its end is told
	Worker       control.WorkerID
	Function     string
	Number       int     // 0 for the first
	Timeout      float64 // seconds after which the core abandons it
	Identity     Identity
	Class        string // event type
	Fields       []Field
	Body         []byte
	Binding      Binding
	AwaitsRecord bool     // must not leave before the note of it is kept
	Waiter       WaiterID // the first who waits for it; 0 where nobody does
	Delayed      bool     // its event was taken earlier than now, so that its client may have left since
}

// RecordKind is what a note is about.
type RecordKind uint8

const (
	RecordAttemptStarted RecordKind = iota // a launch is about to leave; from now on the event may have run
	RecordRequestEnded                     // the event has its final answer
)

// Record is what must outlive the process. It is given before the launch or answer that it is about; where that is
// Firm, it may leave only once the note is kept.
type Record struct {
	Kind        RecordKind
	Response    Response // Identity, EventType and FunctionID are always set; the rest for NoteEnded
	MayHaveRun  bool     // some launch may have run,
	FirstRunAgo float64  // the first so many seconds ago
}

// RecoveredRecord is a note read back after a restart.
type RecoveredRecord struct {
	Record
	Age      float64 // seconds of service since it was noted: how much of its remembered time is used up
	Reliable bool    // RanAgo counts from now and can be trusted; else any time may have passed
}

// ReplicaSnapshot is a copy that a front end believed in: what an earlier process hands to the next.
type ReplicaSnapshot struct {
	Function        string // id for the decisions
	Binding         Binding
	Concurrency     int
	LoadTime        float64
	Worker          string
	WorkerStartedAt float64 // Unix seconds of the worker's start, 0 where it is long ago: it held nothing before
	Age             float64 // seconds since the copy was last seen to stand
}

// TraceStep is one thing that happened to an event, for those who ask why it ended as it did.
type TraceStep struct {
	At     float64 `json:"at"` // seconds after the event came in
	What   string  `json:"what"`
	Worker string  `json:"worker,omitempty"`
	Detail string  `json:"detail,omitempty"`
}

// Trace is the way of one event, open or lately ended.
type Trace struct {
	Identity  Identity
	Class     string
	Function  string
	Tenant    string
	StartedAt float64 // on the core's clock
	TimeLeft  float64 // seconds until its client's time is up, if it is open
	Open      bool
	Waiters   int
	Response  Response // without its body; while open only its worker and launches count
	Steps     []TraceStep
}

// LoadCommand asks a worker to hold copies of a function.
type LoadCommand struct {
	ID       uint64
	Worker   control.WorkerID
	Function string
	Replicas int
	Binding  Binding
}

// WorkerReply is how a launch ended at its worker.
type WorkerReply struct {
	Outcome control.Outcome
	Start   control.StartType
	Report  control.LoadReport
	Digest  string // of the copy that ran it, as the worker proved it; "" where it says nothing
	Fields  []Field
	Body    []byte
}

// Effects carries out what the core asks for. No method may call back into the core before it returns.
type Effects interface {
	Respond(to WaiterID, a Response)
	SendAttempt(l Attempt)
	SendLoad(o LoadCommand)
	Abandon(job uint64)           // the time of a launch or load order is up: its answer is no longer wanted and it counts as ended
	CancelUnsent(job uint64) bool // takes a launch back if nothing of it has left; then it never ran, and nothing more is told of it
	Broadcast(message []byte)
	Store(n Record)
	OnRequestEnd(a Response, t *Trace) // once for each event, for logs and figures
}
