package simulation

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// smallAttempt is an attempt that is under way.
type smallAttempt struct {
	dispatch.Attempt
	transmitted bool
}

// smallFrontEnd is one front end with what is under way, and a plain model of the rules.
type smallFrontEnd struct {
	world        *smallWorld
	number       int
	dispatcher   *dispatch.Dispatcher
	attempts     []smallAttempt
	loadCommands []dispatch.LoadCommand
	drained      [len(smallWorkers)]bool
	mayHaveRun   map[string]float64 // requests that may have run here, since when
	history      []byte
}

func newSmallFrontEnd(w *smallWorld, number int) *smallFrontEnd {
	f := &smallFrontEnd{world: w, number: number, mayHaveRun: map[string]float64{}}
	deployment := &control.Deployment{
		FrontEnds: 2, NoLoadOnMiss: number == 0, LoadCommandsAllowed: true, MaxAttempts: 3, MaxRetryAfter: 0.5,
		IdleReplicaLifetime: 8, MinRoundInterval: 0.004, InitialCapacityFraction: 0.3, WarmUpTime: 10, OverloadFactor: 2.5, OverloadWindow: 1.5,
		RequestClasses: []control.RequestClass{
			{Name: smallIdempotent, LatencyObjective: 0.8, Timeout: smallTimeout},
			{
				Name: smallKeyed, LatencyObjective: 0.8, Timeout: smallTimeout, Semantics: control.IdempotentByKey,
				DeduplicationWindow: smallDeduplicationWindow,
			},
			{Name: smallOnce, LatencyObjective: 0.8, Timeout: smallTimeout, Semantics: control.AtMostOnce},
		},
	}
	profile := func(string) dispatch.FunctionProfile { return dispatch.FunctionProfile{Concurrency: 1} }
	f.dispatcher = dispatch.New(dispatch.Settings{
		Deployment: deployment, Functions: profile, ResponseMargin: 0.1, LoadTimeout: 1,
		MaxOpen: 10, DeduplicationWindow: 60, MaxCachedBytes: 1 << 16, Seed: uint64(7 + number),
	}, f, w.now)
	f.dispatcher.OnEndpointUpdate(w.now, control.Snapshot, smallWorkers[:])
	return f
}

// actions returns all that may happen at the front end now.
func (f *smallFrontEnd) actions() (list []action) {
	for i, a := range f.attempts {
		if !a.transmitted {
			list = append(list, f.action(actionTransmit, i, 0), f.action(actionEnd, i, control.Unreachable))
			continue
		}
		for _, outcome := range attemptOutcomes {
			list = append(list, f.action(actionEnd, i, outcome))
		}
	}
	for i := range f.loadCommands {
		list = append(list, f.action(actionEndLoad, i, control.Succeeded), f.action(actionEndLoad, i, control.Failed))
	}
	for i, drained := range f.drained {
		if !drained {
			list = append(list, f.action(actionDrain, i, 0))
		}
	}
	return list
}

func (f *smallFrontEnd) action(kind actionKind, index int, outcome control.Outcome) action {
	return action{kind: kind, frontEnd: f.number, index: index, outcome: outcome}
}

// receive takes a call.
func (f *smallFrontEnd) receive(index int) {
	w, c := f.world, smallCalls[index]
	w.calls[index].sent, w.calls[index].sentAt = true, w.now
	f.dispatcher.Submit(w.now, dispatch.WaiterID(index), dispatch.Request{
		Identity: dispatch.Identity{Source: "/t", ID: c.id},
		Class:    c.class, Function: "f", Timeout: c.timeout,
	})
}

func (f *smallFrontEnd) endAttempt(index int, outcome control.Outcome) {
	a, _ := f.takeAttempt(f.attempts[index].ID)
	if outcome < control.Rejected {
		f.noteMayHaveRun(a)
	}
	f.dispatcher.OnAttemptReply(f.world.now, a.ID, dispatch.WorkerReply{Outcome: outcome, Start: control.WarmStart})
}

func (f *smallFrontEnd) endLoad(index int, outcome control.Outcome) {
	command := f.loadCommands[index]
	f.loadCommands = slices.Concat(f.loadCommands[:index], f.loadCommands[index+1:])
	replicas := 0
	if outcome == control.Succeeded {
		replicas = 1
	}
	f.dispatcher.OnLoadReply(f.world.now, command.ID, outcome, replicas)
}

func (f *smallFrontEnd) drain(index int) {
	f.drained[index] = true
	worker := smallWorkers[index]
	worker.State = control.Draining
	f.dispatcher.OnEndpointUpdate(f.world.now, control.Delta, []control.Worker{worker})
}

// isOpen returns whether a client still waits for a request here.
func (f *smallFrontEnd) isOpen(id string) bool {
	for i, c := range smallCalls {
		if c.frontEnd == f.number && c.id == id && f.world.calls[i].isWaiting() {
			return true
		}
	}
	return false
}

func (f *smallFrontEnd) isTransmitted(id string) bool {
	return slices.ContainsFunc(f.attempts, func(a smallAttempt) bool { return a.Identity.ID == id && a.transmitted })
}

// isDrained returns whether a worker drains as the front end knows.
func (f *smallFrontEnd) isDrained(id control.WorkerID) bool {
	for i, worker := range smallWorkers {
		if worker.ID == id && f.drained[i] {
			return true
		}
	}
	return false
}

func (f *smallFrontEnd) takeAttempt(id uint64) (smallAttempt, bool) {
	i := slices.IndexFunc(f.attempts, func(a smallAttempt) bool { return a.ID == id })
	if i < 0 {
		return smallAttempt{}, false
	}
	a := f.attempts[i]
	f.attempts = slices.Concat(f.attempts[:i], f.attempts[i+1:])
	return a, true
}

func (f *smallFrontEnd) noteMayHaveRun(a smallAttempt) {
	if _, noted := f.mayHaveRun[a.Identity.ID]; !noted {
		f.mayHaveRun[a.Identity.ID] = f.world.now
	}
}

// Respond implements dispatch.Effects.
func (f *smallFrontEnd) Respond(to dispatch.WaiterID, response dispatch.Response) {
	w, i := f.world, int(to)
	c := &w.calls[i]
	c.responses++
	id := smallCalls[i].id
	_, ran := f.mayHaveRun[id]
	switch {
	case c.responses > 1:
		w.violation("rule 1: ask %d has %d answers", i, c.responses)
	case c.cancelled:
		w.violation("rule 1: ask %d is answered after it hung up", i)
	case response.Kind == dispatch.Rejected && smallCalls[i].class == smallOnce && (ran || f.isTransmitted(id)):
		w.violation("rule 2: ask %d is deferred, and %s may have run", i, id)
	}
}

// SendAttempt implements dispatch.Effects.
func (f *smallFrontEnd) SendAttempt(a dispatch.Attempt) {
	id, w := a.Identity.ID, f.world
	for _, other := range f.attempts {
		if other.Identity.ID == id {
			w.violation("rule 2: %s is launched while a launch of it is out", id)
		}
	}
	class := classOfSmallRequest(id)
	since, ran := f.mayHaveRun[id]
	switch {
	case class == smallOnce && ran:
		w.violation("rule 2: %s is launched and may have run", id)
	case class == smallKeyed && ran && w.now >= since+smallDeduplicationWindow:
		w.violation("rule 2: %s is launched when workers may have forgotten it", id)
	case !f.isOpen(id):
		w.violation("rule 1: %s is launched and nobody asks for it", id)
	}
	if f.isDrained(a.Worker) {
		w.violation("rule 3: %s is launched at %s, which drains", id, a.Worker)
	}
	f.attempts = append(f.attempts, smallAttempt{Attempt: a})
}

func classOfSmallRequest(id string) string {
	i := slices.IndexFunc(smallCalls[:], func(c smallCall) bool { return c.id == id })
	return smallCalls[i].class
}

// SendLoad implements dispatch.Effects.
func (f *smallFrontEnd) SendLoad(command dispatch.LoadCommand) {
	if command.Replicas > 0 && f.isDrained(command.Worker) {
		f.world.violation("rule 3: a load is ordered of %s, which drains", command.Worker)
	}
	f.loadCommands = append(f.loadCommands, command)
}

// Abandon implements dispatch.Effects.
func (f *smallFrontEnd) Abandon(id uint64) {
	if a, ok := f.takeAttempt(id); ok && a.transmitted {
		f.noteMayHaveRun(a)
	}
	f.loadCommands = slices.DeleteFunc(f.loadCommands, func(c dispatch.LoadCommand) bool { return c.ID == id })
}

// CancelUnsent implements dispatch.Effects.
func (f *smallFrontEnd) CancelUnsent(id uint64) bool {
	for _, a := range f.attempts {
		if a.ID == id && !a.transmitted {
			f.takeAttempt(id)
			return true
		}
	}
	return false
}

// Broadcast implements dispatch.Effects: front ends of the small world do not gossip.
func (f *smallFrontEnd) Broadcast([]byte) {}

// Store implements dispatch.Effects: the small world has no disk.
func (f *smallFrontEnd) Store(dispatch.Record) {}

// OnRequestEnd implements dispatch.Effects.
func (f *smallFrontEnd) OnRequestEnd(dispatch.Response, *dispatch.Trace) {}
