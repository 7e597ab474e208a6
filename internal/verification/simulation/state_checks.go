package simulation

import (
	"cmp"
	"maps"
	"slices"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/storage"
	"streamcleat/internal/verification/fakes"
)

// expiryMargin is the time before its expiry in seconds from which a record may be missing.
const expiryMargin = 5

// records are the records of requests by their identity.
type records map[dispatch.Identity]dispatch.Record

// recordsSubmitted notes what a front end asked to be stored.
func (a *applianceProcess) recordsSubmitted(list []dispatch.Record) {
	for _, r := range list {
		id := r.Response.Identity
		a.unacknowledged[id] = append(a.unacknowledged[id], r)
	}
}

// recordsAcknowledged notes that they were reported to the front end as on disk.
func (a *applianceProcess) recordsAcknowledged(list []dispatch.Record) {
	for _, r := range list {
		id := r.Response.Identity
		a.acknowledged[id], a.acknowledgedAt[id] = r, a.scheduler.now
		if waiting := a.unacknowledged[id]; len(waiting) > 1 {
			a.unacknowledged[id] = waiting[1:]
		} else {
			delete(a.unacknowledged, id)
		}
	}
}

// isEquivalent returns whether a restart makes the same of two records, of which the first was written. A rejection that
// a repeat found expired is one still on disk, and is found expired again. A retry that came to nothing leaves the record
// of the attempt, which says as much.
func isEquivalent(written, found dispatch.Record) bool {
	expired := written.Response.Cause == dispatch.CauseResponseExpired
	rejected := written.Response.Kind == dispatch.Rejected || expired
	if written.Kind == dispatch.RecordRequestEnded && rejected && written.PossiblyExecuted && found.Kind == dispatch.RecordAttemptStarted {
		return true
	}
	if written.Kind != found.Kind || written.PossiblyExecuted != found.PossiblyExecuted {
		return false
	}
	return written.Kind == dispatch.RecordAttemptStarted || written.Response.Kind == found.Response.Kind || expired
}

// sortedIdentities returns the keys of a map in a fixed order, so that two runs of a script report the same.
func sortedIdentities[V any](m map[dispatch.Identity]V) []dispatch.Identity {
	return slices.SortedFunc(maps.Keys(m), func(a, b dispatch.Identity) int { return cmp.Compare(a.String(), b.String()) })
}

func recoveredRecords(recovered *storage.RecoveredState) records {
	found := records{}
	for _, r := range recovered.Records {
		found[r.Response.Identity] = r.Record
	}
	return found
}

// checkRecoveredRecords compares what a restart recovered with what was reported to the process before it as on disk:
// nothing of that may be missing or older.
func (s *site) checkRecoveredRecords(a *applianceProcess, recovered *storage.RecoveredState) {
	found := recoveredRecords(recovered)
	if recovered.QuarantinePath != "" || recovered.UnreadableRecords > 0 {
		s.violation("state", "%s found its state corrupt: %s, %d unread", a.name, recovered.QuarantinePath, recovered.UnreadableRecords)
	}
	for _, id := range sortedIdentities(a.acknowledged) {
		if s.scheduler.now-a.acknowledgedAt[id] > responseRetention-expiryMargin {
			continue
		}
		written := a.acknowledged[id]
		x, ok := found[id]
		if !ok || !a.mayHaveFound(id, written, x) {
			s.violation("state", "%s was told that %s is kept as %v %v and found %v (%v %v)", a.name, id, written.Kind,
				written.Response.Kind, ok, x.Kind, x.Response.Kind)
		}
	}
	clear(a.acknowledged)
	clear(a.unacknowledged)
	for id, r := range found {
		a.acknowledged[id], a.acknowledgedAt[id] = r, s.scheduler.now
	}
}

// mayHaveFound returns whether a record on disk is the acknowledged one, or a later one that was not yet acknowledged.
func (a *applianceProcess) mayHaveFound(id dispatch.Identity, written, found dispatch.Record) bool {
	if isEquivalent(written, found) {
		return true
	}
	return slices.ContainsFunc(a.unacknowledged[id], func(r dispatch.Record) bool { return isEquivalent(r, found) })
}

// checkRecoveredSchedules compares what a restart recovered of the appliance's own requests with what the process before
// it had: a minute that it fired for is known, and a request that was open goes on.
func (s *site) checkRecoveredSchedules(a *applianceProcess, recovered *storage.RecoveredState) {
	for _, key := range slices.Sorted(maps.Keys(a.lastFirings)) {
		if at, ok := recovered.LastFirings[key]; !ok || at.Before(a.lastFirings[key]) {
			s.violation("timers", "%s fired %s for %v and found %v", a.name, key, a.lastFirings[key], at)
		}
	}
	open := map[dispatch.Identity]bool{}
	for _, r := range recovered.ScheduledRequests {
		open[r.Request.Identity] = true
	}
	for _, id := range sortedIdentities(a.scheduled) {
		if !open[id] {
			s.violation("timers", "%s lost its own event %s", a.name, id)
		}
	}
}

// checkStoredRecords reads the state of a running appliance back, as a restart would, and compares it with what the front
// ends have in memory.
func (s *site) checkStoredRecords(a *applianceProcess) {
	if a.store == nil || a.store.Err() != nil {
		return
	}
	store, recovered, err := storage.OpenStore(stateDirectory, a.storeOptions(a.disk.snapshot()))
	if err != nil {
		s.violation("state", "%s: the state can't be read back: %v", a.name, err)
		return
	}
	defer func() { _ = store.Close() }() // only read
	found := recoveredRecords(recovered)
	frontEnds, inMemory := map[dispatch.Identity]int{}, map[*frontEnd]records{}
	for _, f := range a.frontEnds {
		inMemory[f] = f.proxy.Dispatcher().StoredRecords()
		for id := range inMemory[f] {
			frontEnds[id]++
		}
	}
	for _, f := range a.frontEnds {
		for _, id := range sortedIdentities(inMemory[f]) {
			if frontEnds[id] == 1 {
				s.checkStoredRecord(f, id, inMemory[f][id], found)
			}
		}
	}
}

// checkStoredRecord checks that a restart would find a record of a request that must not run again.
func (s *site) checkStoredRecord(f *frontEnd, id dispatch.Identity, inMemory dispatch.Record, found records) {
	if inMemory.Response.Class == fakes.ClassIdempotent || !inMemory.PossiblyExecuted {
		return
	}
	x, ok := found[id]
	if !ok || !isEquivalent(inMemory, x) {
		s.violation("state", "%s has %s as %v %v %v, may have run %v; a restart would find %v: %v %v %v %v", f.name, id,
			inMemory.Kind, inMemory.Response.Kind, inMemory.Response.Cause, inMemory.PossiblyExecuted,
			ok, x.Kind, x.Response.Kind, x.Response.Cause, x.PossiblyExecuted)
	}
}
