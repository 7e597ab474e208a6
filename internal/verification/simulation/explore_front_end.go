package simulation

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// modelAttempt is an attempt that has not ended.
type modelAttempt struct {
	dispatch.Attempt
	transmitted bool
}

// modelFrontEnd is a front end of the model. It implements dispatch.Effects, and has the state that the checks of the rules
// need.
type modelFrontEnd struct {
	model            *model
	number           int
	dispatcher       *dispatch.Dispatcher
	attempts         []modelAttempt
	loadCommands     []dispatch.LoadCommand
	drained          [len(modelWorkers)]bool // by worker; the front end received the update that it drains
	possiblyExecuted map[string]float64      // time since which a request may have been executed, by request ID
	history          []byte                  // inputs and their times, see modelKey
}

func newModelFrontEnd(m *model, number int) *modelFrontEnd {
	f := &modelFrontEnd{model: m, number: number, possiblyExecuted: map[string]float64{}}
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
	}, f, m.now)
	f.dispatcher.OnEndpointUpdate(m.now, control.Snapshot, modelWorkers[:])
	return f
}

// actions returns the actions that are possible at the front end in the present state.
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

// receive submits a call to the dispatcher.
func (f *modelFrontEnd) receive(index int) {
	m, c := f.model, modelCalls[index]
	m.calls[index].sent, m.calls[index].sentAt = true, m.now
	f.dispatcher.Submit(m.now, dispatch.WaiterID(index), dispatch.Request{
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

// isOpen reports whether a client of this front end waits for the response to a request.
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

// isDrained reports whether the front end received the update that a worker drains.
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
	if _, marked := f.possiblyExecuted[a.Identity.ID]; !marked {
		f.possiblyExecuted[a.Identity.ID] = float64(f.model.now)
	}
}

// Respond implements dispatch.Effects. It checks that a call gets at most one response (rule 1), and that an at-most-once
// request which may have been executed is not rejected (rule 2).
func (f *modelFrontEnd) Respond(to dispatch.WaiterID, response dispatch.Response) {
	m, i := f.model, int(to)
	c := &m.calls[i]
	c.responses++
	id := modelCalls[i].id
	_, executed := f.possiblyExecuted[id]
	switch {
	case c.responses > 1:
		m.violation("rule 1: call %d has %d responses", i, c.responses)
	case c.cancelled:
		m.violation("rule 1: call %d got a response after the client cancelled it", i)
	case response.Kind == dispatch.Rejected && modelCalls[i].class == modelAtMostOnce && (executed || f.isTransmitted(id)):
		m.violation("rule 2: call %d is rejected although %s may have been executed", i, id)
	}
}

// SendAttempt implements dispatch.Effects. It checks that the attempt is permitted.
func (f *modelFrontEnd) SendAttempt(a dispatch.Attempt) {
	id, m := a.Identity.ID, f.model
	for _, other := range f.attempts {
		if other.Identity.ID == id {
			m.violation("rule 2: attempt of %s while another attempt of it is in flight", id)
		}
	}
	class := classOfModelRequest(id)
	since, executed := f.possiblyExecuted[id]
	switch {
	case class == modelAtMostOnce && executed:
		m.violation("rule 2: attempt of %s, which may have been executed", id)
	case class == modelIdempotentByKey && executed && m.now >= units.Seconds(since+modelDeduplicationWindow):
		m.violation("rule 2: attempt of %s after the end of the deduplication window", id)
	case !f.isOpen(id):
		m.violation("rule 1: attempt of %s while no client waits for its response", id)
	}
	if f.isDrained(a.Worker) {
		m.violation("rule 3: attempt of %s sent to draining worker %s", id, a.Worker)
	}
	f.attempts = append(f.attempts, modelAttempt{Attempt: a})
}

func classOfModelRequest(id string) string {
	i := slices.IndexFunc(modelCalls[:], func(c modelCall) bool { return c.id == id })
	return modelCalls[i].class
}

// SendLoad implements dispatch.Effects. It checks that no load command goes to a draining worker.
func (f *modelFrontEnd) SendLoad(command dispatch.LoadCommand) {
	if command.Replicas > 0 && f.isDrained(command.Worker) {
		f.model.violation("rule 3: load command sent to draining worker %s", command.Worker)
	}
	f.loadCommands = append(f.loadCommands, command)
}

// Abandon implements dispatch.Effects. A worker may still execute an abandoned attempt that was transmitted.
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

// Broadcast implements dispatch.Effects. There is no gossip in the model.
func (f *modelFrontEnd) Broadcast([]byte) {}

// Store implements dispatch.Effects. There is no durable state in the model.
func (f *modelFrontEnd) Store(dispatch.Record) {}

// OnRequestEnd implements dispatch.Effects.
func (f *modelFrontEnd) OnRequestEnd(dispatch.Response, *dispatch.Trace) {}
