package simulation

import "streamcleat/internal/appliance"

// checkTouched checks every front end in which something happened in this event.
func (s *site) checkTouched() {
	const thoroughEvery = 32 // checks
	for _, f := range s.touched {
		f.touched = false
		a := f.appliance
		if f.proxy == nil || a.paused {
			continue
		}
		s.touchChecks++
		if err := f.proxy.Check(s.touchChecks%thoroughEvery == 0); err != nil {
			s.violation("invariant", "%s: %v", f.name, err)
		}
		if a.isServing() && s.openOutages[a.number] != nil {
			s.endOutage(a)
		}
	}
	s.touched = s.touched[:0]
}

// checkEnd checks that nothing is left when all is over.
func (s *site) checkEnd() {
	for _, r := range s.unknownEnds {
		s.recorder.Add(r)
	}
	for _, a := range s.appliances {
		if !a.running || a.lifecycle.State != appliance.Serving {
			s.violation("liveness", "%s does not serve at the end: %s", a.name, a.lifecycle.State)
			continue
		}
		for _, f := range a.frontEnds {
			s.checkFrontEndIdle(f)
		}
		s.checkStoredRecords(a)
	}
	for _, a := range s.appliances {
		if a.store != nil {
			_ = a.store.Abandon() // gives its memory back; its disk is nobody's any more
		}
	}
}

func (s *site) checkFrontEndIdle(f *frontEnd) {
	counts := f.proxy.Dispatcher().Counts()
	clients, upstreams := f.proxy.Connections()
	if counts.Open > 0 || counts.InFlight > 0 || counts.PendingLoads > 0 || f.proxy.Dispatcher().Waiters() > 0 {
		s.violation("liveness", "%s holds %d events, %d launches, %d load orders at the end", f.name, counts.Open, counts.InFlight,
			counts.PendingLoads)
	}
	if clients > 0 || upstreams > 0 {
		s.violation("leak", "%s holds %d connections of clients and %d to workers at the end, of %s", f.name, clients, upstreams,
			s.network.describe(f.appliance.name))
	}
	if !f.proxy.RecordsStored() {
		s.violation("liveness", "%s waits for its disk at the end", f.name)
	}
}
