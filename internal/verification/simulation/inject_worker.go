package simulation

import "streamcleat/internal/units"

func (i *injection) crashWorker() { i.stopWorker(processExit) }

func (i *injection) powerOffWorker() { i.stopWorker(powerLoss) }

// stopWorker stops a worker, and restarts it after Size seconds of the fault.
func (i *injection) stopWorker(kind exitKind) {
	w := i.worker
	w.stop(kind)
	i.scheduler.after(units.Seconds(i.fault.Size), w.name+" starts", func() { i.site.restartWorker(w) })
}

func (i *injection) restartWorker() {
	i.worker.stop(processExit)
	i.site.restartWorker(i.worker)
}

func (i *injection) suspendWorker() { i.worker.suspend(i.fault.Duration) }

// injectAtWorker sets the end of a fault that the worker itself applies to the requests that it receives.
func (i *injection) injectAtWorker() {
	until := i.worker.faultUntil
	until[i.fault.Kind] = max(until[i.fault.Kind], i.scheduler.now+i.fault.Duration)
}

func (i *injection) drain() {
	i.announceDrain()
	i.endDrainLater()
}

func (i *injection) drainThenCrash() {
	w := i.worker
	i.announceDrain()
	i.scheduler.after(units.Seconds(i.fault.Size), w.name+" ends", func() { w.stop(processExit) })
	i.endDrainLater()
}

func (i *injection) crashThenDrain() {
	w := i.worker
	w.stop(processExit)
	i.scheduler.after(units.Seconds(i.fault.Size), w.name+" drains", i.announceDrain)
	i.endDrainLater()
}

// announceDrain marks the worker as draining in the endpoint list.
func (i *injection) announceDrain() {
	i.worker.state = stateDraining
	i.writeEndpointList()
}

// endDrainLater returns the worker to service at the end of the fault, under the same name and address.
func (i *injection) endDrainLater() {
	w := i.worker
	i.scheduler.after(max(i.fault.Duration, units.Seconds(i.fault.Size+0.01)), w.name+" serves again", func() {
		w.state = stateServing
		if !w.running && w.listed {
			w.startCold()
		}
		i.writeEndpointList()
	})
}

// removeWorker removes a worker from the endpoint list, and terminates it after removalDelay. The last worker on the list is
// kept.
func (i *injection) removeWorker() {
	w := i.worker
	if !w.listed || i.listedWorkers() <= 1 {
		return
	}
	w.listed = false
	i.writeEndpointList()
	i.scheduler.after(removalDelay, w.name+" ends", func() { w.stop(processExit) })
}

func (s *site) listedWorkers() int {
	n := 0
	for _, w := range s.workers {
		if w.listed {
			n++
		}
	}
	return n
}

func (i *injection) addWorker() {
	if len(i.workers) < maxWorkers {
		i.workers = append(i.workers, i.newColdWorker(len(i.workers)))
		i.writeEndpointList()
	}
}

func (i *injection) slowStore() {
	i.store.slowdown, i.store.slowUntil = i.fault.Size, i.scheduler.now+i.fault.Duration
}

func (i *injection) stopStore() { i.store.rejectUntil = i.scheduler.now + i.fault.Duration }

func (i *injection) evictAll() {
	for _, w := range i.workers {
		if w.running {
			w.evictAll()
		}
	}
}

func (i *injection) dropIdempotencyKeys() { clear(i.executedKeys) }
