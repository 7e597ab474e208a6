package appliance

import (
	"sync"
	"time"
)

// drainPollInterval is the interval between polls of the open requests during a drain.
const drainPollInterval = 10 * time.Millisecond

// startDrainTimer posts DrainTimeout after the drain time, and RequestsDrained once no request is open.
func (a *Appliance) startDrainTimer() {
	drainTime := seconds(a.config.DrainTime)
	a.mu.Lock()
	a.drainDeadline = time.Now().Add(drainTime)
	a.mu.Unlock()
	time.AfterFunc(drainTime, func() { a.post(DrainTimeout, "drain time elapsed") })
	go a.awaitDrained()
}

// awaitDrained polls the servers and posts RequestsDrained once none has an open request.
func (a *Appliance) awaitDrained() {
	for {
		drained := true
		for _, server := range a.servers {
			counts, _, _, err := server.Counts()
			drained = drained && (err != nil || counts.Open == 0)
		}
		if drained {
			a.post(RequestsDrained, "")
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// terminateRequests stops the servers, which respond to their open requests at once, and posts RequestsTerminated.
func (a *Appliance) terminateRequests() {
	var stopping sync.WaitGroup
	for _, server := range a.servers {
		stopping.Go(func() {
			if err := server.Stop(0); err != nil {
				a.log.Error("failed to stop front end", "error", err)
			}
		})
	}
	stopping.Wait()
	a.post(RequestsTerminated, "")
}

// closeStore closes the telemetry exporters and the store, and posts StoreClosed.
func (a *Appliance) closeStore() {
	for _, closeExporter := range a.closers {
		if err := closeExporter(); err != nil {
			a.log.Error("failed to close exporter", "error", err)
		}
	}
	if a.store != nil {
		if err := a.store.Close(); err != nil {
			a.log.Error("failed to close state store", "error", err)
		}
	}
	a.post(StoreClosed, "")
}
