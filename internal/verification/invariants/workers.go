package invariants

const phaseServing = "serving"

// checkDraining checks rule 3: nothing is sent to a draining worker. The notice counts from the moment it was written,
// which is before any front end read it, or where the record names a front end from the moment that one read it.
func (c *checker) checkDraining(records []Record) {
	notices := map[frontEndWorker]float64{}
	for _, r := range records {
		switch r.Kind {
		case EndpointUpdated:
			key := frontEndWorker{r.FrontEnd, r.Worker}
			if r.EndpointState == phaseServing {
				delete(notices, key)
			} else if _, known := notices[key]; !known {
				notices[key] = r.At
			}
		case AttemptStarted, LoadCommanded:
			at, draining := timeFor(notices, r.FrontEnd, r.Worker)
			sent := r.Kind == AttemptStarted || r.Replicas > 0
			if draining && sent && r.At > at+c.rules.DrainGrace {
				c.violation(&c.verdict.SentAfterDrain, "after drain", "%s reached %s at %.3f, told at %.3f", r.Kind, r.Worker, r.At, at)
			}
		}
	}
}

// warmUp is what is known of the workers that are warming up.
type warmUp struct {
	started map[frontEndWorker]float64
	sent    map[string][]Record // attempts within the window, by worker
}

// checkWarmUp checks rule 4: what reaches a worker within any window after its start stays under the stated multiple
// of what it can do then.
func (c *checker) checkWarmUp(records []Record) {
	if c.rules.OverloadFactor == 0 || c.rules.WarmUpTime == 0 {
		return
	}
	state := &warmUp{started: map[frontEndWorker]float64{}, sent: map[string][]Record{}}
	for _, r := range records {
		switch r.Kind {
		case WorkerStarted:
			state.start(r)
		case WorkerOverloaded:
			c.violation(&c.verdict.WarmUpOverloads, "pushed over", "%s fell over at %.3f", r.Worker, r.At)
		case AttemptStarted:
			c.checkWarmUpLoad(state, r)
		}
	}
}

// start notes the start of a worker. A record that names a front end is the moment that one learned of it; one that
// names none is the start itself, and what was sent before it no longer counts.
func (s *warmUp) start(r Record) {
	if r.FrontEnd != "" {
		s.started[frontEndWorker{r.FrontEnd, r.Worker}] = r.StartedAt
		return
	}
	s.started[frontEndWorker{"", r.Worker}] = r.At
	s.sent[r.Worker] = nil
}

// checkWarmUpLoad checks the work within the window that ends with an attempt.
func (c *checker) checkWarmUpLoad(state *warmUp, r Record) {
	started, cold := timeFor(state.started, r.FrontEnd, r.Worker)
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
	warmth := c.rules.InitialCapacityFraction + (1-c.rules.InitialCapacityFraction)*age/c.rules.WarmUpTime
	budget := c.rules.OverloadFactor * warmth * c.rules.Capacity[r.Worker] * c.rules.OverloadWindow
	load := 0.0
	for _, sent := range window {
		load += c.workOf(sent.Function)
	}
	if load > budget+2*c.rules.MeanWork {
		c.violation(&c.verdict.WarmUpOverloads, "cold", "%s got %.2f s of work within %.1f s until %.3f, %.1f s after its start; "+
			"%.2f are allowed", r.Worker, load, c.rules.OverloadWindow, r.At, age, budget)
	}
}

// workOf is the mean work of a request for a function.
func (c *checker) workOf(function string) float64 {
	if work, known := c.rules.FunctionWork[function]; known {
		return work
	}
	return c.rules.MeanWork
}
