package simulation

import "streamcleat/internal/appliance"

// checkTouched checks every front end with activity in this event.
func (s *site) checkTouched() {
	const thoroughEvery = 32 // checks
	for _, f := range s.activeFrontEnds {
		f.active = false
		a := f.appliance
		if f.proxy == nil || a.suspended {
			continue
		}
		s.frontEndChecks++
		if err := f.proxy.Check(s.frontEndChecks%thoroughEvery == 0); err != nil {
			s.violation("invariant", "%s: %v", f.name, err)
		}
		if a.isServing() && s.openOutages[a.number] != nil {
			s.endOutage(a)
		}
	}
	s.activeFrontEnds = s.activeFrontEnds[:0]
}

// checkEnd checks that all appliances serve, and nothing is left open, at the end of the run.
func (s *site) checkEnd() {
	for _, r := range s.unknownOutcomes {
		s.recorder.Add(r)
	}
	for _, a := range s.appliances {
		if !a.running || a.lifecycle.State != appliance.Serving {
			s.violation("liveness", "%s is not serving at the end: %s", a.name, a.lifecycle.State)
			continue
		}
		for _, f := range a.frontEnds {
			s.checkFrontEndIdle(f)
		}
		s.checkStoredRecords(a)
	}
	for _, a := range s.appliances {
		if a.store != nil {
			_ = a.store.Abandon() // releases its memory; its disk is not used any more
		}
	}
}

func (s *site) checkFrontEndIdle(f *frontEnd) {
	counts := f.proxy.Dispatcher().Counts()
	clients, upstreams := f.proxy.Connections()
	if counts.Open > 0 || counts.InFlight > 0 || counts.PendingLoads > 0 || f.proxy.Dispatcher().Waiters() > 0 {
		s.violation("liveness", "%s has %d open requests, %d attempts in flight and %d pending loads at the end", f.name, counts.Open, counts.InFlight,
			counts.PendingLoads)
	}
	if clients > 0 || upstreams > 0 {
		s.violation("leak", "%s has %d client connections and %d worker connections at the end: %s", f.name, clients, upstreams,
			s.network.describeConnections(f.appliance.name))
	}
	if !f.proxy.RecordsStored() {
		s.violation("liveness", "%s has records that are not stored at the end", f.name)
	}
}
