package simadapter

import (
	"errors"

	"streamcleat/control"
	"streamcleat/internal/units"
)

// deliverFunc decodes a message and, unless it is invalid, passes it to the router of an instance.
type deliverFunc func(s *server, i *instance, l *line)

// deliverFuncs has the function for each message that is addressed to an instance, by message name.
var deliverFuncs = map[string]deliverFunc{
	messageUpdate:        deliverUpdate,
	messageRequest:       deliverRequest,
	messageAttemptResult: deliverAttemptResult,
	messageLoadResult:    deliverLoadResult,
	messageCancel:        deliverCancel,
	messageGossip:        deliverGossip,
	messageTimer:         deliverTimer,
}

func deliverUpdate(s *server, i *instance, l *line) {
	kind := enum(l, "How", updateKinds)
	if l.err != nil {
		return
	}
	if kind == updateFailed {
		i.router.OnEndpointPollFailed(s.now)
		return
	}
	workers, known := s.workerLists[l.integer(fieldSlot)]
	if !known {
		l.fail(fieldSlot, errors.New("unknown worker list"))
	}
	if l.err == nil {
		deliverEndpoints(s.now, i.router, kind, workers)
	}
}

// deliverEndpoints passes a worker list to the router. A persisted list is the first update of an instance; it starts the
// router.
func deliverEndpoints(now units.Seconds, router *control.Router, kind updateKind, workers []control.Worker) {
	if kind == updatePersisted {
		router.Start()
	} else {
		router.OnEndpointPollSucceeded(now)
	}
	scope := control.Snapshot
	if kind == updatePartial {
		scope = control.Delta
	}
	router.OnEndpointUpdate(now, scope, workers)
}

func deliverRequest(s *server, i *instance, l *line) {
	if request := decodeRequest(l); l.err == nil {
		i.router.OnRequest(s.now, request)
	}
}

func deliverAttemptResult(s *server, i *instance, l *line) {
	if result := decodeAttemptResult(l); l.err == nil {
		i.router.OnAttemptResult(s.now, result)
	}
}

func deliverLoadResult(s *server, i *instance, l *line) {
	result := decodeLoadResult(l)
	if l.err != nil {
		return
	}
	commanded, isQuery := i.takeQuery(result.Worker, result.Function)
	if !isQuery {
		i.router.OnLoadResult(s.now, result)
		return
	}
	i.router.OnQueryResult(s.now, control.QueryResult{
		Worker: result.Worker, Function: result.Function, Commanded: commanded, Outcome: result.Outcome,
		Replicas: result.Replicas, Latency: result.Duration,
	})
}

func deliverCancel(s *server, i *instance, l *line) {
	if id := control.RequestID(l.required(fieldRequest)); l.err == nil {
		i.router.OnCancel(s.now, id)
	}
}

func deliverGossip(s *server, i *instance, l *line) {
	if message := l.base64(fieldGossip); l.err == nil {
		i.router.OnGossip(s.now, message)
	}
}

func deliverTimer(s *server, i *instance, l *line) {
	if timer := l.requiredUint64(fieldTimerID); l.err == nil {
		i.router.OnTimer(s.now, timer)
	}
}
