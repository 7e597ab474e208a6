package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// Limits that bound the memory of traces at any request rate.
const (
	maxSteps       = 32   // steps of one request; further ones are dropped
	maxEndedTraces = 2000 // ended requests, the newest
	maxLoadSteps   = 2000 // steps of load commands, the newest
)

// Texts of steps. The explain command, its JSON output and the spans contain them, so they don't follow renamed constants.
const (
	StepAttemptStarted   = "launched" // an attempt was sent
	StepAttemptSucceeded = "handled"  // an attempt succeeded

	stepAdmitted    = "taken"
	stepJoined      = "joined"
	stepLoadPrefix  = "load "
	stepLoadStarted = stepLoadPrefix + "ordered"
)

// outcomeSteps holds the texts of the outcomes of attempts and load commands.
var outcomeSteps = [...]string{
	control.Succeeded:      StepAttemptSucceeded,
	control.Failed:         "failed",
	control.TimedOut:       "timed out",
	control.ConnectionLost: "broken",
	control.Cancelled:      "cancelled",
	control.Rejected:       "turned away",
	control.Unreachable:    "unreachable",
	control.NotSent:        "never sent",
	control.ReplicaMissing: "missed",
}

// startDetails holds the texts of the start types of attempts. They are also label values of a metric.
var startDetails = [...]string{
	control.StartUnknown:    "",
	control.WarmStart:       "found it warm",
	control.ColdStart:       "began the load",
	control.JoinedColdStart: "joined a load",
	control.StartFailed:     "the load failed",
}

// TraceStep is an event in the history of a request.
type TraceStep struct {
	At     units.Seconds `json:"at"` // seconds since the request was admitted
	Event  string        `json:"what"`
	Worker string        `json:"worker,omitempty"`
	Detail string        `json:"detail,omitempty"`
}

// Trace is the history of a request, open or ended.
type Trace struct {
	Identity  Identity
	Class     string
	Function  string
	Tenant    string
	StartedAt units.Seconds // on the Dispatcher's clock
	TimeLeft  units.Seconds // seconds until its deadline, while it is open
	Open      bool
	Waiters   int
	Response  Response // without body and fields; only Worker, Attempts and Binding while the request is open
	Steps     []TraceStep
}

// traceLog holds the traces of the requests that ended last and the latest steps of load commands.
type traceLog struct {
	ended ring[*Trace]
	loads ring[loadStep]
}

// loadStep is an event in the history of a load command.
type loadStep struct {
	at       units.Seconds
	function string
	step     TraceStep
}

// ring is a ring buffer of the newest items.
type ring[T any] struct {
	items  []T
	oldest int // index of the oldest item once the ring is full; it is replaced next
}

// add adds an item. It replaces the oldest once there are limit items.
func (r *ring[T]) add(item T, limit int) {
	if len(r.items) < limit {
		r.items = append(r.items, item)
		return
	}
	r.items[r.oldest] = item
	r.oldest = (r.oldest + 1) % limit
}

// oldestFirst returns a copy of the items, the oldest first.
func (r *ring[T]) oldestFirst() []T {
	return append(slices.Clone(r.items[r.oldest:]), r.items[:r.oldest]...)
}

// traceStep adds a step to the trace of an open request.
func (d *Dispatcher) traceStep(req *openRequest, event, worker, detail string) {
	if !d.settings.TracingDisabled && len(req.steps) < maxSteps {
		req.steps = append(req.steps, TraceStep{At: d.now - req.startedAt, Event: event, Worker: worker, Detail: detail})
	}
}

// traceLoadStep adds a step to the history of load commands.
func (d *Dispatcher) traceLoadStep(function, worker, event, detail string) {
	if d.settings.TracingDisabled {
		return
	}
	step := TraceStep{Event: event, Worker: worker, Detail: detail}
	d.traces.loads.add(loadStep{at: d.now, function: function, step: step}, maxLoadSteps)
}

// routingSummary describes the router's current view of a function. It becomes the detail of a step.
func (d *Dispatcher) routingSummary(function string) string {
	if d.settings.TracingDisabled {
		return ""
	}
	view, known := d.router.Function(control.FunctionID(function))
	switch {
	case !known:
		return "function not seen lately"
	case view.PendingLoadOn != "":
		return fmt.Sprintf("%d warm copies, a load under way on %s, %d of ours in flight",
			len(view.Replicas), view.PendingLoadOn, view.InFlight)
	}
	return fmt.Sprintf("%d warm copies, %d of ours in flight", len(view.Replicas), view.InFlight)
}

// newTrace returns the trace of an open request. The trace shares the request's steps.
func (d *Dispatcher) newTrace(req *openRequest) *Trace {
	return &Trace{
		Identity:  req.request.Identity,
		Class:     req.request.Class,
		Function:  req.request.Function,
		Tenant:    req.request.Tenant,
		StartedAt: req.startedAt,
		TimeLeft:  req.deadline - d.now,
		Open:      true,
		Waiters:   len(req.waiters),
		Steps:     req.steps,
		Response:  Response{Attempts: req.attempts, Worker: string(req.lastWorker), Binding: req.binding},
	}
}

// Explain returns the trace of a request, including the load commands of its function while the request was open. id is
// the request's id, or source#id. If several traces match, Explain returns the newest.
func (d *Dispatcher) Explain(id string) (Trace, bool) {
	found := d.findTrace(id)
	if found == nil {
		return Trace{}, false
	}
	trace := *found
	end := d.now
	if !trace.Open {
		end = trace.StartedAt + trace.Response.Elapsed
	}
	trace.Steps = slices.Clone(trace.Steps)
	for _, load := range d.traces.loads.items {
		if load.function != trace.Function && load.function != trace.Response.Binding.ID {
			continue
		}
		if load.at >= trace.StartedAt && load.at <= end {
			step := load.step
			step.At = load.at - trace.StartedAt
			trace.Steps = append(trace.Steps, step)
		}
	}
	slices.SortStableFunc(trace.Steps, func(a, b TraceStep) int { return cmp.Compare(a.At, b.At) })
	return trace, true
}

// findTrace returns the newest trace for a request's id, or source#id; nil if there is none.
func (d *Dispatcher) findTrace(id string) *Trace {
	matches := func(identity Identity) bool { return identity.ID == id || identity.String() == id }
	var found *Trace
	for _, trace := range d.EndedTraces() {
		if matches(trace.Identity) {
			found = trace
		}
	}
	for _, trace := range d.OpenTraces() {
		if matches(trace.Identity) {
			found = &trace
		}
	}
	return found
}

// EndedTraces returns the traces of the requests that ended last, the oldest first.
func (d *Dispatcher) EndedTraces() []*Trace { return d.traces.ended.oldestFirst() }

// OpenTraces returns the traces of the open requests, the oldest first.
func (d *Dispatcher) OpenTraces() []Trace {
	traces := make([]Trace, 0, len(d.requests))
	for _, req := range d.requests {
		traces = append(traces, *d.newTrace(req))
	}
	slices.SortFunc(traces, func(a, b Trace) int {
		if order := cmp.Compare(a.StartedAt, b.StartedAt); order != 0 {
			return order
		}
		return strings.Compare(a.Identity.String(), b.Identity.String())
	})
	return traces
}

// RoutingView returns the router's view of the workers and functions.
func (d *Dispatcher) RoutingView() ([]control.WorkerView, []control.FunctionView) {
	return d.router.Workers(), d.router.Functions()
}
