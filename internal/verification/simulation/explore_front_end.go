package simulation

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// modelAttempt is an attempt in progress.
type modelAttempt struct {
	dispatch.Attempt
	transmitted bool
}

// modelFrontEnd is a front end with its attempts and load commands, and the state that checks of the rules need.
type modelFrontEnd struct {
	model            *model
	number           int
	dispatcher       *dispatch.Dispatcher
	attempts         []modelAttempt
	loadCommands     []dispatch.LoadCommand
	drained          [len(modelWorkers)]bool
	possiblyExecuted map[string]float64 // time since which requests may have been executed
	history          []byte
}

func newModelFrontEnd(w *model, number int) *modelFrontEnd {
	f := &modelFrontEnd{model: w, number: number, possiblyExecuted: map[string]float64{}}
	deployment := &control.Deployment{
		FrontEnds: 2, NoLoadOnMiss: number == 0, LoadCommandsAllowed: true, MaxAttempts: 3, MaxRetryAfter: 0.5,
		IdleReplicaLifetime: 8, MinRoundInterval: 0.004, InitialCapacityFraction: 0.3, WarmUpTime: 10, OverloadFactor: 2.5, OverloadWindow: 1.5,
		RequestClasses: []control.RequestClass{
			{Name: modelIdempotent, LatencyObjective: 0.8, Timeout: modelTimeout},
			{
				Name: modelIdempotentByKey, LatencyObjective: 0.8, Timeout: modelTimeout, Semantics: control.IdempotentByKey,
				DeduplicationWindow: modelDeduplicationWindow,
			},
			{Name: modelAtMostOnce, LatencyObjective: 0.8, Timeout: modelTimeout, Semantics: control.AtMostOnce},
		},
	}
	profile := func(string) dispatch.FunctionProfile { return dispatch.FunctionProfile{Concurrency: 1} }
	f.dispatcher = dispatch.New(dispatch.Settings{
		Deployment: deployment, Functions: profile, ResponseMargin: 0.1, LoadTimeout: 1,
		MaxOpen: 10, DeduplicationWindow: 60, MaxCachedBytes: 1 << 16, Seed: uint64(7 + number),
	}, f, w.now)
	f.dispatcher.OnEndpointUpdate(w.now, control.Snapshot, modelWorkers[:])
	return f
}

// actions returns the actions that are possible at the front end now.
func (f *modelFrontEnd) actions() (list []action) {
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

func (f *modelFrontEnd) action(kind actionKind, index int, outcome control.Outcome) action {
	return action{kind: kind, frontEnd: f.number, index: index, outcome: outcome}
}

// receive submits a call.
func (f *modelFrontEnd) receive(index int) {
	w, c := f.model, modelCalls[index]
	w.calls[index].sent, w.calls[index].sentAt = true, w.now
	f.dispatcher.Submit(w.now, dispatch.WaiterID(index), dispatch.Request{
		Identity: dispatch.Identity{Source: "/t", ID: c.id},
		Class:    c.class, Function: "f", Timeout: c.timeout,
	})
}

func (f *modelFrontEnd) endAttempt(index int, outcome control.Outcome) {
	a, _ := f.takeAttempt(f.attempts[index].ID)
	if outcome < control.Rejected {
		f.markPossiblyExecuted(a)
	}
	f.dispatcher.OnAttemptReply(f.model.now, a.ID, dispatch.WorkerReply{Outcome: outcome, Start: control.WarmStart})
}

func (f *modelFrontEnd) endLoad(index int, outcome control.Outcome) {
	command := f.loadCommands[index]
	f.loadCommands = slices.Concat(f.loadCommands[:index], f.loadCommands[index+1:])
	replicas := 0
	if outcome == control.Succeeded {
		replicas = 1
	}
	f.dispatcher.OnLoadReply(f.model.now, command.ID, outcome, replicas)
}

func (f *modelFrontEnd) drain(index int) {
	f.drained[index] = true
	worker := modelWorkers[index]
	worker.State = control.Draining
	f.dispatcher.OnEndpointUpdate(f.model.now, control.Delta, []control.Worker{worker})
}

// isOpen reports whether a client waits for a request.
func (f *modelFrontEnd) isOpen(id string) bool {
	for i, c := range modelCalls {
		if c.frontEnd == f.number && c.id == id && f.model.calls[i].isWaiting() {
			return true
		}
	}
	return false
}

func (f *modelFrontEnd) isTransmitted(id string) bool {
	return slices.ContainsFunc(f.attempts, func(a modelAttempt) bool { return a.Identity.ID == id && a.transmitted })
}

// isDrained reports whether the front end received the drain notice of a worker.
func (f *modelFrontEnd) isDrained(id control.WorkerID) bool {
	for i, worker := range modelWorkers {
		if worker.ID == id && f.drained[i] {
			return true
		}
	}
	return false
}

func (f *modelFrontEnd) takeAttempt(id uint64) (modelAttempt, bool) {
	i := slices.IndexFunc(f.attempts, func(a modelAttempt) bool { return a.ID == id })
	if i < 0 {
		return modelAttempt{}, false
	}
	a := f.attempts[i]
	f.attempts = slices.Concat(f.attempts[:i], f.attempts[i+1:])
	return a, true
}

func (f *modelFrontEnd) markPossiblyExecuted(a modelAttempt) {
	if _, noted := f.possiblyExecuted[a.Identity.ID]; !noted {
		f.possiblyExecuted[a.Identity.ID] = float64(f.model.now)
	}
}

// Respond implements dispatch.Effects.
func (f *modelFrontEnd) Respond(to dispatch.WaiterID, response dispatch.Response) {
	w, i := f.model, int(to)
	c := &w.calls[i]
	c.responses++
	id := modelCalls[i].id
	_, executed := f.possiblyExecuted[id]
	switch {
	case c.responses > 1:
		w.violation("rule 1: call %d has %d responses", i, c.responses)
	case c.cancelled:
		w.violation("rule 1: call %d got a response after it was cancelled", i)
	case response.Kind == dispatch.Rejected && modelCalls[i].class == modelAtMostOnce && (executed || f.isTransmitted(id)):
		w.violation("rule 2: call %d is rejected, and %s may have been executed", i, id)
	}
}

// SendAttempt implements dispatch.Effects.
func (f *modelFrontEnd) SendAttempt(a dispatch.Attempt) {
	id, w := a.Identity.ID, f.model
	for _, other := range f.attempts {
		if other.Identity.ID == id {
			w.violation("rule 2: attempt of %s while another one is in flight", id)
		}
	}
	class := classOfModelRequest(id)
	since, executed := f.possiblyExecuted[id]
	switch {
	case class == modelAtMostOnce && executed:
		w.violation("rule 2: attempt of %s, which may have been executed", id)
	case class == modelIdempotentByKey && executed && w.now >= units.Seconds(since+modelDeduplicationWindow):
		w.violation("rule 2: attempt of %s past the deduplication window", id)
	case !f.isOpen(id):
		w.violation("rule 1: attempt of %s without a waiting client", id)
	}
	if f.isDrained(a.Worker) {
		w.violation("rule 3: attempt of %s at draining worker %s", id, a.Worker)
	}
	f.attempts = append(f.attempts, modelAttempt{Attempt: a})
}

func classOfModelRequest(id string) string {
	i := slices.IndexFunc(modelCalls[:], func(c modelCall) bool { return c.id == id })
	return modelCalls[i].class
}

// SendLoad implements dispatch.Effects.
func (f *modelFrontEnd) SendLoad(command dispatch.LoadCommand) {
	if command.Replicas > 0 && f.isDrained(command.Worker) {
		f.model.violation("rule 3: load command to draining worker %s", command.Worker)
	}
	f.loadCommands = append(f.loadCommands, command)
}

// Abandon implements dispatch.Effects.
func (f *modelFrontEnd) Abandon(id uint64) {
	if a, ok := f.takeAttempt(id); ok && a.transmitted {
		f.markPossiblyExecuted(a)
	}
	f.loadCommands = slices.DeleteFunc(f.loadCommands, func(c dispatch.LoadCommand) bool { return c.ID == id })
}

// CancelUnsent implements dispatch.Effects.
func (f *modelFrontEnd) CancelUnsent(id uint64) bool {
	for _, a := range f.attempts {
		if a.ID == id && !a.transmitted {
			f.takeAttempt(id)
			return true
		}
	}
	return false
}

// Broadcast implements dispatch.Effects. Front ends of the model do not gossip.
func (f *modelFrontEnd) Broadcast([]byte) {}

// Store implements dispatch.Effects. The model has no disk.
func (f *modelFrontEnd) Store(dispatch.Record) {}

// OnRequestEnd implements dispatch.Effects.
func (f *modelFrontEnd) OnRequestEnd(dispatch.Response, *dispatch.Trace) {}
