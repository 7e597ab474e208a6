// Package control decides where each event runs. control.go holds every decision; this file
// holds the ids, what is read at start, what comes in, and the interface that the host answers.
package control

type (
	EventID    string
	WorkerID   string
	FunctionID string
	TenantID   string
	ZoneID     string
	KindID     string
)

// Repeat tells what running an event twice does.
type Repeat int

const (
	Redeliverable Repeat = iota
	Keyed
	AtMostOnce
)

// Reach is the group of workers that drops repeats of a keyed event.
type Reach int

const (
	ReachAll Reach = iota
	ReachZone
	ReachCell
)

// EventType is one type of event as the deployment states it.
type EventType struct {
	Name       string
	TargetTime float64
	MaxAge     float64
	Repeat     Repeat
	Reach      Reach
	Remembered float64 // how long a keyed event's repeats are known
}

// Tenant is one customer with its agreed rate over all front ends.
type Tenant struct {
	Name  TenantID
	Quota float64
}

// Deployment is what the module reads at start, decoded once by the adapter.
type Deployment struct {
	FrontEnds   int
	EventTypes  []EventType
	Tenants     []Tenant
	Asked       bool // the worker list must be asked for
	MissAnswers bool // a worker without the function answers a miss instead of loading it
	MayOrder    bool
	MayTell     bool // front ends may send each other messages
	MaxLaunches int
	MaxPause    float64 // longest wait that a deferred client heeds; 0 where it is told none
	KeepWarm    float64 // shortest time that an idle copy stays
	LoadWindow  float64
	LoadFree    float64
	LoadShare   float64
	RoundGap    float64 // least time between two rounds of input
	ColdShare   float64
	WarmWithin  float64
	FallFactor  float64
	FallWindow  float64
}

// Phase is what the worker list says of a process.
type Phase int

const (
	Serving Phase = iota
	Draining
	Gone
)

// Worker is one line of the worker list. Born is 0 where the process runs since long.
type Worker struct {
	ID    WorkerID
	Zone  ZoneID
	Kind  KindID
	Cell  int
	Phase Phase
	Size  float64
	Born  float64
}

// Event is one event as it comes in. Left is the time until the client gives this try up.
type Event struct {
	ID       EventID
	Type     string
	Tenant   TenantID
	Function FunctionID
	Left     float64
	Lanes    int
	Memory   float64
	Load     float64 // usual time of a load, 0 where it is not told
	Work     float64 // expected work, 0 where no hint came
	Repeated bool
}

// Result is how a launch or an order ended.
type Result int

const (
	Handled Result = iota
	Failed         // answered with an error
	TimedOut
	Broken // the connection broke under it
	Cancelled
	TurnedAway // from here on it is proven that it never ran
	Unreachable
	NeverSent
	Missed
)

// Warmth is how an event met its copy.
type Warmth int

const (
	WarmthUnknown Warmth = iota
	FoundWarm
	BeganLoad
	JoinedLoad
	LoadFailed
)

// Report is a worker's load report; Known tells that it carries one of the figures.
type Report struct {
	Running, Waiting float64
	Known            bool
}

// Ending is the end of one launch.
type Ending struct {
	Event   EventID
	Worker  WorkerID
	Launch  int
	Result  Result
	Settled bool
	Took    float64
	Warmth  Warmth
	Report  Report
}

// Host carries out what the module decides. Times are seconds from now.
type Host interface {
	Launch(evt EventID, wk WorkerID, limit float64)
	Defer(evt EventID, pause float64)
	DeadLetter(evt EventID)
	Hold(wk WorkerID, fn FunctionID, copies int)
	Tell(message []byte) // to every other front end
	Wake(after float64, mark uint64)
	Subscribe()
}
