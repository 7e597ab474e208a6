package simadapter

import (
	"errors"

	"streamcleat/control"
)

// delivery decodes a message and, unless the line has a fault, calls the router with it.
type delivery func(s *server, router *control.Router, l *line)

// deliveries are the messages to an instance.
var deliveries = map[string]delivery{
	messageUpdate:        deliverUpdate,
	messageRequest:       deliverRequest,
	messageAttemptResult: deliverAttemptResult,
	messageLoadResult:    deliverLoadResult,
	messageCancel:        deliverCancel,
	messageGossip:        deliverGossip,
	messageTimer:         deliverTimer,
}

func deliverUpdate(s *server, router *control.Router, l *line) {
	kind := word(l, "How", updateKinds)
	if l.err != nil {
		return
	}
	if kind == updateFailed {
		router.OnEndpointPollFailed(s.now)
		return
	}
	workers, known := s.lists[l.integer(fieldSlot)]
	if !known {
		l.fail(fieldSlot, errors.New("no such list"))
	}
	if l.err == nil {
		deliverEndpoints(s.now, router, kind, workers)
	}
}

// deliverEndpoints calls the router with an update; the list that an earlier process stored comes first and starts it.
func deliverEndpoints(now float64, router *control.Router, kind updateKind, workers []control.Worker) {
	scope := control.Snapshot
	switch kind {
	case updatePersisted:
		router.Start()
	case updatePartial:
		scope = control.Delta
	}
	router.OnEndpointUpdate(now, scope, workers)
}

func deliverRequest(s *server, router *control.Router, l *line) {
	if request := decodeRequest(l); l.err == nil {
		router.OnRequest(s.now, request)
	}
}

func deliverAttemptResult(s *server, router *control.Router, l *line) {
	if result := decodeAttemptResult(l); l.err == nil {
		router.OnAttemptResult(s.now, result)
	}
}

func deliverLoadResult(s *server, router *control.Router, l *line) {
	if load := decodeLoadResult(l); l.err == nil {
		router.OnLoadResult(s.now, load)
	}
}

func deliverCancel(s *server, router *control.Router, l *line) {
	if id := control.RequestID(l.required(fieldRequest)); l.err == nil {
		router.OnCancel(s.now, id)
	}
}

func deliverGossip(s *server, router *control.Router, l *line) {
	if message := l.base64(fieldGossip); l.err == nil {
		router.OnGossip(s.now, message)
	}
}

func deliverTimer(s *server, router *control.Router, l *line) {
	if mark := l.requiredUint64(fieldTimerMark); l.err == nil {
		router.OnTimer(s.now, mark)
	}
}

// decodeWorker decodes one worker of a list.
func decodeWorker(l *line) control.Worker {
	return control.Worker{
		ID:            control.WorkerID(l.required(fieldWorker)),
		Zone:          control.ZoneID(l.text("Az")),
		MachineType:   control.MachineType(l.text("Hw")),
		FailureDomain: l.integer("Stripe"),
		State:         word(l, "Phase", endpointStates),
		Weight:        l.float("Share"),
		StartedAt:     l.seconds("BornMs"),
	}
}

// decodeRequest decodes a request.
func decodeRequest(l *line) control.Request {
	options := l.integer("Options")
	request := control.Request{
		ID:          control.RequestID(l.required(fieldRequest)),
		Class:       l.required("Class"),
		Tenant:      control.TenantID(l.text("Team")),
		Function:    control.FunctionID(l.text(fieldFunction)),
		TimeLeft:    l.seconds("RemainingMs"),
		Concurrency: l.integer("PerCopy"),
		Memory:      l.float("MemoryMb"),
		LoadTime:    l.seconds("LoadMs"),
		Retried:     options&optionRetried != 0,
	}
	if options&optionWorkHint != 0 {
		request.ExpectedWork = l.seconds("WorkHintMs")
	}
	return request
}

// decodeAttemptResult decodes how an attempt ended.
func decodeAttemptResult(l *line) control.AttemptResult {
	info := l.integer("Info")
	return control.AttemptResult{
		Request:   control.RequestID(l.required(fieldRequest)),
		Worker:    control.WorkerID(l.required(fieldWorker)),
		Attempt:   l.integer("Leg"),
		Outcome:   word(l, fieldOutcome, outcomes),
		Completed: l.flag("Settled"),
		Latency:   l.seconds(fieldLatency),
		Start:     control.StartType(info & startTypeMask),
		Report:    l.loadReport("Pressure"),
	}
}

// decodeLoadResult decodes how a load command ended.
func decodeLoadResult(l *line) control.LoadResult {
	return control.LoadResult{
		Worker:   control.WorkerID(l.required(fieldWorker)),
		Function: control.FunctionID(l.required(fieldFunction)),
		Outcome:  word(l, fieldOutcome, outcomes),
		Replicas: l.integer(fieldReplicas),
		Duration: l.seconds(fieldLatency),
	}
}
