package invariants

// stateServing is the endpoint state of a worker that is not draining.
const stateServing = "serving"

// checkDraining checks rule 3: nothing is sent to a draining worker later than DrainGrace after the drain notice. A record
// without a front end has the time at which the notice was written; a record with one has the time at which that front end
// received it.
func (c *checker) checkDraining(records []Record) {
	notices := map[frontEndWorker]float64{}
	for _, r := range records {
		switch r.Kind {
		case EndpointUpdated:
			key := frontEndWorker{r.FrontEnd, r.Worker}
			if r.EndpointState == stateServing {
				delete(notices, key)
			} else if _, known := notices[key]; !known {
				notices[key] = r.noticeTime()
			}
		case AttemptStarted, LoadCommanded:
			at, draining := lookupTime(notices, r.FrontEnd, r.Worker)
			sent := r.Kind == AttemptStarted || r.Replicas > 0
			if draining && sent && r.At > at+c.rules.DrainGrace {
				c.violation(&c.verdict.SentAfterDrain, "sent after drain", "%s at %s at %.3f, drain notice at %.3f", r.Kind, r.Worker, r.At, at)
			}
		default: // not part of this check
		}
	}
}

// warmUpState holds the start times of workers, and the attempts that reached them while they warmed up.
type warmUpState struct {
	started map[frontEndWorker]float64
	sent    map[string][]Record // attempts within the window, by worker
}

// checkWarmUp checks rule 4: while a worker warms up, the work that reaches it within any OverloadWindow is limited to
// OverloadFactor times the capacity that the worker has at that age, plus twice MeanWork.
func (c *checker) checkWarmUp(records []Record) {
	if c.rules.OverloadFactor == 0 || c.rules.WarmUpTime == 0 {
		return
	}
	state := &warmUpState{started: map[frontEndWorker]float64{}, sent: map[string][]Record{}}
	for _, r := range records {
		switch r.Kind {
		case WorkerStarted:
			state.start(r)
		case WorkerOverloaded:
			c.violation(&c.verdict.WarmUpOverloads, "worker overloaded", "%s failed at %.3f", r.Worker, r.At)
		case AttemptStarted:
			c.checkWarmUpLoad(state, r)
		default: // not part of this check
		}
	}
}

// start records the start of a worker. A record that names a front end means that this front end has learned of the start. A
// record without one is the start itself, and earlier attempts no longer count.
func (s *warmUpState) start(r Record) {
	if r.FrontEnd != "" {
		s.started[frontEndWorker{r.FrontEnd, r.Worker}] = r.StartedAt
		return
	}
	s.started[frontEndWorker{"", r.Worker}] = r.At
	s.sent[r.Worker] = nil
}

// checkWarmUpLoad checks the work within the window that ends with an attempt.
func (c *checker) checkWarmUpLoad(state *warmUpState, r Record) {
	started, cold := lookupTime(state.started, r.FrontEnd, r.Worker)
	age := r.At - started
	if !cold || age >= c.rules.WarmUpTime {
		return
	}
	state.sent[r.Worker] = append(state.sent[r.Worker], r)
	window := state.sent[r.Worker]
	for window[0].At <= r.At-c.rules.OverloadWindow {
		window = window[1:]
	}
	state.sent[r.Worker] = window
	capacityFraction := c.rules.InitialCapacityFraction + (1-c.rules.InitialCapacityFraction)*age/c.rules.WarmUpTime
	budget := c.rules.OverloadFactor * capacityFraction * c.rules.Capacity[r.Worker] * c.rules.OverloadWindow
	load := 0.0
	for _, sent := range window {
		load += c.workOf(sent.Function)
	}
	if load > budget+2*c.rules.MeanWork {
		c.violation(&c.verdict.WarmUpOverloads, "warm-up", "%s received %.2f s of work within %.1f s until %.3f, %.1f s after its start; "+
			"limit %.2f s", r.Worker, load, c.rules.OverloadWindow, r.At, age, budget)
	}
}

// workOf returns the mean work of a request for a function.
func (c *checker) workOf(function string) float64 {
	if work, known := c.rules.FunctionWork[function]; known {
		return work
	}
	return c.rules.MeanWork
}
