package simulation

import "streamcleat/internal/units"

// Times of faults, in seconds.
const (
	clientOutageMargin = 0.3 // from the end of a partition or suspension until the rules guarantee responses to clients again
	removalDelay       = 0.5 // from a worker's removal from the endpoint list to its termination
)

// injection is the injection of one fault, with the appliance, worker and client that the fault names.
type injection struct {
	*site
	fault      Fault
	appliance  *applianceProcess
	worker     *worker
	clientName string
}

// inject counts the coverage of a fault and injects it.
func (s *site) inject(f Fault) {
	i := &injection{site: s, fault: f, appliance: s.appliances[f.Appliance], worker: s.workers[f.Worker], clientName: clientName(f.Client)}
	kind := faultKindByName(f.Kind)
	i.countCoverage(kind)
	kind.inject(i)
}

// undoLater calls undo after the duration of the fault. name is the name of this event in the trace; a change of a name
// changes the digest of the trace.
func (i *injection) undoLater(name string, undo func()) {
	i.scheduler.after(i.fault.Duration, name, undo)
}

// outageEnd returns the time from which the rules guarantee responses to the affected clients again.
func (i *injection) outageEnd() units.Seconds {
	return i.scheduler.now + i.fault.Duration + clientOutageMargin
}

func (i *injection) slowDisk() {
	d := i.appliance.disk
	d.syncDelay = units.Seconds(i.fault.Size)
	i.undoLater("disk as usual", func() { d.syncDelay = 0 })
}

func (i *injection) fillDisk() {
	a := i.appliance
	a.disk.setFull(true)
	i.undoLater("room on the disk", func() {
		if wasFull := a.disk.setFull(false); !wasFull {
			return
		}
		if a.store != nil && a.store.Err() != nil {
			i.restartAfterDiskFailure(a)
		}
	})
}

func (i *injection) ignoreSyncs() {
	d := i.appliance.disk
	d.setIgnoreSync(true)
	i.undoLater("disk is honest", func() { d.setIgnoreSync(false) })
}

func (i *injection) tearWrite() {
	if i.appliance.store != nil {
		i.appliance.disk.tearNextWrite(i.fault.Bytes)
	}
}

func (i *injection) killAppliance() { i.crashAppliance(processExit) }

func (i *injection) powerOffAppliance() { i.crashAppliance(powerLoss) }

func (i *injection) crashAppliance(kind exitKind) {
	a := i.appliance
	if !a.running {
		return
	}
	i.beginOutage(a)
	i.restarts++
	a.crash(kind, i.fault.Size)
}

func (i *injection) stopAppliance() { i.site.stopAppliance(i.appliance, i.fault.Size) }

func (i *injection) suspendAppliance() {
	a := i.appliance
	if a.running && !a.suspended {
		i.addOutage(a.number, wildcard, float64(i.outageEnd()))
		a.suspend(i.fault.Duration)
	}
}

func (i *injection) stepClock() { i.appliance.clockSkew += i.fault.Size }

func (i *injection) delayEndpointList() {
	a := i.appliance
	a.ignoreList = true
	i.undoLater("list as usual", func() { a.ignoreList = false })
}

// canRelease reports whether the appliance can change the versions and aliases in its registry now.
func (i *injection) canRelease() bool {
	a := i.appliance
	return i.script.Versions && a.running && !a.suspended && a.isServing()
}

// functionNumber derives the number of a function from the worker and client of the fault, which release faults do not use
// otherwise.
func (i *injection) functionNumber() int { return i.fault.Worker*7 + i.fault.Client }

func (i *injection) updateAlias() {
	if i.canRelease() {
		i.appliance.switchVersion(i.functionNumber(), int(i.fault.Size))
	}
}

func (i *injection) releaseAll() {
	if !i.canRelease() {
		return
	}
	for function := range i.functions {
		if i.appliance.running {
			i.appliance.switchVersion(function, int(i.fault.Size))
		}
	}
}

func (i *injection) revertAlias() {
	if !i.canRelease() {
		return
	}
	a, function := i.appliance, i.functionNumber()
	a.switchVersion(function, 1)
	a.after(units.Seconds(i.fault.Size), "takes the alias back", func() { a.switchVersion(function, 0) })
}

func (i *injection) raiseTraffic() {
	i.rateFactor = i.fault.Size
	i.undoLater("usual rate", func() { i.rateFactor = 0 })
}

func (i *injection) cancelMany() {
	i.cancelFraction = i.fault.Size
	i.undoLater("clients wait", func() { i.cancelFraction = 0 })
}

func (i *injection) ignoreRetryAfter() {
	i.site.ignoreRetryAfter = true
	i.undoLater("no abuse", func() { i.site.ignoreRetryAfter = false })
}

func (i *injection) reconnectClients() {
	for _, c := range i.clients {
		c.reconnect()
	}
}
