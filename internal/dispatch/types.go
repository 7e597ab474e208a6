// Package dispatch is the core that hosts one control.Router: it holds what is open (events and who asked for
// them, launches, load orders, timers), joins repeats to their event and gives each asker one final answer. It
// has no socket, no clock and no chance of its own: it is called with the time and what came in, and calls out
// through Outside. Where an event runs is decided in control and nowhere here.
package dispatch

import "streamcleat/control"

// Asker is one request that waits for an answer; the caller picks the number and never uses it again.
type Asker uint64

// Identity is how an event is known again: CloudEvents source and id (CloudEvents 1.0, 3.1.1).
type Identity struct{ Source, ID string }

func (i Identity) String() string { return i.Source + "#" + i.ID }

// Field is one header field that travels with an event or an answer.
type Field struct{ Name, Value string }

// Ask is one event as a front understood it.
type Ask struct {
	Identity
	Type     string // event type
	Tenant   string
	Function string
	Wait     float64 // seconds that the client waits from now on; 0: the event type's max age
	Fields   []Field // for the worker: context attributes and the content type
	Body     []byte
	Repeated bool     // the client marks it as a repeat
	Stated   Function // what the event itself tells of its function; without lanes the settings tell it
	Work     float64  // seconds of work that the client expects, 0 where it gives no hint
	Alone    bool     // no repeat: while an event of the same identity is open, it is deferred and not joined
}

// Binding is the version of a function that an event runs on, settled once when it is taken. The zero Binding means
// a function without versions.
type Binding struct {
	ID       string // of the function for the decisions: each version is one of its own
	Version  string
	Digest   string
	Function string
}

// Kind is how an event ended for its client.
type Kind uint8

const (
	Handled Kind = iota
	Deferred
	DeadLettered
)

func (k Kind) String() string { return [...]string{"handled", "deferred", "dead-lettered"}[k] }

// Answer is a final answer. Cause is one of the causes below, in words of RFC 9209 where it has one.
type Answer struct {
	Kind       Kind
	Cause      Cause
	Pause      float64 // seconds after which a deferred client may come back
	Worker     string
	Warmth     control.Warmth
	Repeat     bool // kept from an earlier asker of the same event
	Launches   int
	Fields     []Field
	Body       []byte
	Identity   Identity
	After      float64 // seconds from the event's coming in to its end
	EventType  string
	FunctionID string
	Tenant     string
	Binding    Binding // zero where the function has no versions
	Firm       bool    // must not leave before the note of it is kept
}

// Cause tells why an event ended so.
type Cause uint8

const (
	Answered     Cause = iota
	NoRoom             // nobody could take it in time
	TimeUp             // the client's time ran out first
	WorkerFailed       // the last worker answered with an error
	WorkerBroke        // the connection to the last worker broke in mid-launch
	WorkerGone         // no connection to a worker could be had
	WorkerFull         // the last worker turned it away
	LoadFailed         // the function could not be loaded
	Forgotten          // ended long ago: its answer is no longer held, and it must not run again
	Stopping           // the front end stops
	Unknown            // event type that the configuration doesn't name
	Overflow           // more events are open than the front end may hold
	Restarted          // it may have run before the front end started anew
	NotKept            // what must outlive the process can't be written
	NoVersion          // the function's reference names no version that may run
	WrongDigest        // the worker answered with another version than the one it was asked for
	Duplicate          // an event of the same identity is open, and this is none of its repeats
)

var causes = [...]string{"answered", "no-room", "time-up", "worker-failed", "worker-broke", "worker-gone",
	"worker-full", "load-failed", "forgotten", "stopping", "unknown-type", "overflow", "restarted", "not-kept", "no-version", "wrong-digest", "duplicate"}

func (c Cause) String() string { return causes[c] }

// Launch is one attempt that goes to a worker.
type Launch struct {
	Job      uint64 // number by which its end is told
	Worker   control.WorkerID
	Function string
	Attempt  int     // 0 for the first
	Limit    float64 // seconds after which the core abandons it
	Identity Identity
	Type     string // event type
	Fields   []Field
	Body     []byte
	Binding  Binding
	Firm     bool  // must not leave before the note of it is kept
	For      Asker // the first who waits for it; 0 where nobody does
	Waited   bool  // its event was taken earlier than now, so that its client may have left since
}

// NoteKind is what a note is about.
type NoteKind uint8

const (
	NoteLaunched NoteKind = iota // a launch is about to leave; from now on the event may have run
	NoteEnded                    // the event has its final answer
)

// Note is what must outlive the process. It is given before the launch or answer that it is about; where that is
// Firm, it may leave only once the note is kept.
type Note struct {
	Kind   NoteKind
	Answer Answer  // Identity, EventType and FunctionID are always set; the rest for NoteEnded
	MayRun bool    // some launch may have run,
	RanAgo float64 // the first so many seconds ago
}

// Kept is a note read back after a restart.
type Kept struct {
	Note
	Age      float64 // seconds of service since it was noted: how much of its remembered time is used up
	Reliable bool    // RanAgo counts from now and can be trusted; else any time may have passed
}

// Known is a copy that a front end believed in: what an earlier process hands to the next.
type Known struct {
	Function string // id for the decisions
	Binding  Binding
	Lanes    int
	Load     float64
	Worker   string
	Started  float64 // Unix seconds of the worker's start, 0 where it is long ago: it held nothing before
	Age      float64 // seconds since the copy was last seen to stand
}

// Step is one thing that happened to an event, for those who ask why it ended as it did.
type Step struct {
	At     float64 `json:"at"` // seconds after the event came in
	What   string  `json:"what"`
	Worker string  `json:"worker,omitempty"`
	Detail string  `json:"detail,omitempty"`
}

// Trace is the way of one event, open or lately ended.
type Trace struct {
	Identity Identity
	Type     string
	Function string
	Tenant   string
	Began    float64 // on the core's clock
	Left     float64 // seconds until its client's time is up, if it is open
	Open     bool
	Askers   int
	Answer   Answer // without its body; while open only its worker and launches count
	Steps    []Step
}

// Order asks a worker to hold copies of a function.
type Order struct {
	Job      uint64
	Worker   control.WorkerID
	Function string
	Copies   int
	Binding  Binding
}

// Reply is how a launch ended at its worker.
type Reply struct {
	Result control.Result
	Warmth control.Warmth
	Report control.Report
	Digest string // of the copy that ran it, as the worker proved it; "" where it says nothing
	Fields []Field
	Body   []byte
}

// Outside carries out what the core asks for. No method may call back into the core before it returns.
type Outside interface {
	Answer(to Asker, a Answer)
	Launch(l Launch)
	Load(o Order)
	Abandon(job uint64)       // the time of a launch or load order is up: its answer is no longer wanted and it counts as ended
	Withdraw(job uint64) bool // takes a launch back if nothing of it has left; then it never ran, and nothing more is told of it
	Tell(message []byte)
	Keep(n Note)
	Ended(a Answer, t *Trace) // once for each event, for logs and figures
}
