package simulation

import "streamcleat/internal/appliance"

// States that fault coverage distinguishes, in addition to the lifecycle states of an appliance. An appliance and its front
// ends can be in several of them at the same time.
const (
	stateIdle            = "idle"
	stateRequestOpen     = "request open"
	stateAttemptInFlight = "attempt in flight"
	statePendingLoad     = "load pending"
	stateAwaitingDisk    = "awaiting disk"
	stateWriting         = "writing"
	stateSuspended       = "suspended"
	stateDown            = "down"
	coverageSeparator    = " " // between the fault kind and the state
)

// faultStates returns the states that fault coverage distinguishes, in the column order of the summary table.
func faultStates() []string {
	return []string{
		stateIdle, stateRequestOpen, stateAttemptInFlight, statePendingLoad, stateAwaitingDisk, stateWriting,
		appliance.Starting.String(), appliance.Recovering.String(), appliance.Draining.String(), appliance.Terminating.String(),
		stateSuspended, stateDown,
	}
}

// coverageKey returns the key under which reports count the injections of a fault kind in a state.
func coverageKey(kind FaultKind, state string) string {
	return string(kind) + coverageSeparator + state
}

// countCoverage counts the present states of every appliance that the fault can affect, with its front ends.
func (i *injection) countCoverage(kind *faultKind) {
	for _, a := range i.appliances {
		if kind.affectsOneAppliance && a != i.appliance {
			continue
		}
		for _, state := range a.coverageStates() {
			i.coverage[coverageKey(kind.name, state)]++
		}
	}
}

// coverageStates returns the present states of the appliance, followed by those of its front ends.
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

// coverageStates returns the present states of the front end.
func (f *frontEnd) coverageStates() []string {
	var states []string
	counts := f.proxy.Dispatcher().Counts()
	if counts.Open == 0 {
		states = append(states, stateIdle)
	} else {
		states = append(states, stateRequestOpen)
	}
	if counts.InFlight > 0 {
		states = append(states, stateAttemptInFlight)
	}
	if counts.PendingLoads > 0 {
		states = append(states, statePendingLoad)
	}
	if !f.proxy.RecordsStored() {
		states = append(states, stateAwaitingDisk)
	}
	return states
}
