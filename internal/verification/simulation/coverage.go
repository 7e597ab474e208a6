package simulation

// States of front ends that coverage distinguishes, beside those of the appliance's life cycle.
const (
	stateIdle         = "idle"
	stateRequestOpen  = "event open"
	stateAttempt      = "launch out"
	stateLoad         = "load out"
	stateAwaitsDisk   = "waits for disk"
	stateWriting      = "writing"
	statePaused       = "stalled"
	stateDown         = "down"
	coverageSeparator = " " // between a kind of fault and a state
)

// faultStates returns the states that coverage distinguishes, in the order of a table.
func faultStates() []string {
	return []string{
		stateIdle, stateRequestOpen, stateAttempt, stateLoad, stateAwaitsDisk, stateWriting,
		"starting", "recovering", "draining", "finishing", statePaused, stateDown,
	}
}

// coverageKey is the key of a kind of fault that met a state, as reports have it.
func coverageKey(kind FaultKind, state string) string {
	return string(kind) + coverageSeparator + state
}

// countCoverage counts in which states the fault finds the front ends that it may concern.
func (i *injection) countCoverage(kind *faultKind) {
	for _, a := range i.appliances {
		if kind.hitsOneAppliance && a != i.appliance {
			continue
		}
		for _, state := range a.coverageStates() {
			i.coverage[coverageKey(kind.name, state)]++
		}
	}
}

// coverageStates returns the states that an appliance and its front ends are in.
func (a *applianceProcess) coverageStates() (states []string) {
	if !a.running {
		return []string{stateDown}
	}
	if a.paused {
		states = append(states, statePaused)
	}
	if !a.isServing() {
		states = append(states, a.lifecycle.State.String())
	}
	if a.syncing {
		states = append(states, stateWriting)
	}
	a.eachFrontEnd(func(f *frontEnd) { states = append(states, f.coverageStates()...) })
	return states
}

func (f *frontEnd) coverageStates() (states []string) {
	counts := f.proxy.Dispatcher().Counts()
	if counts.Open == 0 {
		states = append(states, stateIdle)
	} else {
		states = append(states, stateRequestOpen)
	}
	if counts.InFlight > 0 {
		states = append(states, stateAttempt)
	}
	if counts.PendingLoads > 0 {
		states = append(states, stateLoad)
	}
	if !f.proxy.RecordsStored() {
		states = append(states, stateAwaitsDisk)
	}
	return states
}
