package simulation

import "streamcleat/internal/appliance"

// States of front ends that coverage distinguishes, in addition to those of the appliance's lifecycle.
const (
	stateIdle         = "idle"
	stateRequestOpen  = "request open"
	stateAttempt      = "attempt in flight"
	stateLoad         = "load pending"
	stateAwaitsDisk   = "awaiting disk"
	stateWriting      = "writing"
	stateSuspended    = "suspended"
	stateDown         = "down"
	coverageSeparator = " " // between a kind of fault and a state
)

// faultStates returns the states that coverage distinguishes, in the order of a table.
func faultStates() []string {
	return []string{
		stateIdle, stateRequestOpen, stateAttempt, stateLoad, stateAwaitsDisk, stateWriting,
		appliance.Starting.String(), appliance.Recovering.String(), appliance.Draining.String(), appliance.Terminating.String(),
		stateSuspended, stateDown,
	}
}

// coverageKey returns the key under which reports count a kind of fault that met a state.
func coverageKey(kind FaultKind, state string) string {
	return string(kind) + coverageSeparator + state
}

// countCoverage counts the states of the front ends that the fault may affect.
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

// coverageStates returns the states of an appliance and its front ends.
func (a *applianceProcess) coverageStates() []string {
	var states []string
	if !a.running {
		return []string{stateDown}
	}
	if a.suspended {
		states = append(states, stateSuspended)
	}
	if !a.isServing() {
		states = append(states, a.lifecycle.State.String())
	}
	if a.syncPending {
		states = append(states, stateWriting)
	}
	a.eachFrontEnd(func(f *frontEnd) { states = append(states, f.coverageStates()...) })
	return states
}

func (f *frontEnd) coverageStates() []string {
	var states []string
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
