package simadapter

import "streamcleat/control"

// decodeWorker decodes an entry of a worker list.
func decodeWorker(l *line) control.Worker {
	return control.Worker{
		ID:            control.WorkerID(l.required(fieldWorker)),
		Zone:          control.ZoneID(l.text("Az")),
		MachineType:   control.MachineType(l.text("Hw")),
		FailureDomain: l.integer("Stripe"),
		State:         enum(l, "Phase", endpointStates),
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

// decodeAttemptResult decodes the result of an attempt.
func decodeAttemptResult(l *line) control.AttemptResult {
	info := l.integer("Info")
	return control.AttemptResult{
		Request:   control.RequestID(l.required(fieldRequest)),
		Worker:    control.WorkerID(l.required(fieldWorker)),
		Attempt:   l.integer("Leg"),
		Outcome:   enum(l, fieldOutcome, outcomes),
		Completed: l.flag("Settled"),
		Latency:   l.seconds(fieldLatency),
		Start:     control.StartType(info & startTypeMask),
		Report:    l.loadReport("Pressure"),
	}
}

// decodeLoadResult decodes the result of a load command.
func decodeLoadResult(l *line) control.LoadResult {
	return control.LoadResult{
		Worker:   control.WorkerID(l.required(fieldWorker)),
		Function: control.FunctionID(l.required(fieldFunction)),
		Outcome:  enum(l, fieldOutcome, outcomes),
		Replicas: l.integer(fieldReplicas),
		Duration: l.seconds(fieldLatency),
	}
}
