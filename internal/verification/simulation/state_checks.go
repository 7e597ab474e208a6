package simulation

import (
	"cmp"
	"maps"
	"slices"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/storage"
	"streamcleat/internal/verification/fakes"
)

// expiryMargin is the time, in seconds, before its expiry from which a record may be missing after a restart.
const expiryMargin = 5

// records contains the records of requests by their identity.
type records map[dispatch.Identity]dispatch.Record

// addUnacknowledged notes records that a front end submitted to the store and that are not acknowledged yet.
func (a *applianceProcess) addUnacknowledged(list []dispatch.Record) {
	for _, r := range list {
		id := r.Response.Identity
		a.unacknowledged[id] = append(a.unacknowledged[id], r)
	}
}

// acknowledge notes that the store reported records as stored to the front end.
func (a *applianceProcess) acknowledge(list []dispatch.Record) {
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

// isEquivalent reports whether a restart treats the found record like the written one. A rejection that expired in memory
// is still on disk, and expires again after a restart. After a rejected retry, the disk may still have the record of an
// earlier attempt, which has the same effect.
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

// sortedIdentities returns the keys of a map in sorted order, which makes reports deterministic.
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

// checkRecoveredRecords checks that a restart recovered, for every acknowledged record, that one or a later one of the same
// request. The recovered records are the acknowledged ones from then on.
func (s *site) checkRecoveredRecords(a *applianceProcess, recovered *storage.RecoveredState) {
	found := recoveredRecords(recovered)
	if recovered.QuarantinePath != "" || recovered.UnreadableRecords > 0 {
		s.violation("state", "%s: state is corrupt: quarantine %q, %d unreadable records", a.name, recovered.QuarantinePath, recovered.UnreadableRecords)
	}
	for _, id := range sortedIdentities(a.acknowledged) {
		if s.scheduler.now-a.acknowledgedAt[id] > responseRetention-expiryMargin {
			continue
		}
		written := a.acknowledged[id]
		record, ok := found[id]
		if !ok || !a.isAcceptable(id, written, record) {
			s.violation("state", "%s: record of %s was acknowledged as %v %v, recovered %v as (%v %v)", a.name, id, written.Kind,
				written.Response.Kind, ok, record.Kind, record.Response.Kind)
		}
	}
	clear(a.acknowledged)
	clear(a.unacknowledged)
	for id, r := range found {
		a.acknowledged[id], a.acknowledgedAt[id] = r, s.scheduler.now
	}
}

// isAcceptable reports whether a recovered record is equivalent to the acknowledged one, or to a later one that was submitted but
// not acknowledged.
func (a *applianceProcess) isAcceptable(id dispatch.Identity, written, found dispatch.Record) bool {
	if isEquivalent(written, found) {
		return true
	}
	return slices.ContainsFunc(a.unacknowledged[id], func(r dispatch.Record) bool { return isEquivalent(r, found) })
}

// checkRecoveredSchedules checks that a restart recovered the last firing of every schedule, and every open scheduled
// request.
func (s *site) checkRecoveredSchedules(a *applianceProcess, recovered *storage.RecoveredState) {
	for _, key := range slices.Sorted(maps.Keys(a.lastFirings)) {
		if at, ok := recovered.LastFirings[key]; !ok || at.Before(a.lastFirings[key]) {
			s.violation("schedules", "%s: last firing of schedule %s was due at %v, recovered %v", a.name, key, a.lastFirings[key], at)
		}
	}
	open := map[dispatch.Identity]bool{}
	for _, r := range recovered.ScheduledRequests {
		open[r.Request.Identity] = true
	}
	for _, id := range sortedIdentities(a.scheduled) {
		if !open[id] {
			s.violation("schedules", "%s lost scheduled request %s", a.name, id)
		}
	}
}

// checkStoredRecords recovers the state of a running appliance from a copy of its disk, and compares it with the records that
// its front ends have in memory. Requests that several front ends have records of are left out.
func (s *site) checkStoredRecords(a *applianceProcess) {
	if a.store == nil || a.store.Err() != nil {
		return
	}
	store, recovered, err := storage.OpenStore(stateDirectory, a.storeOptions(a.disk.snapshot()))
	if err != nil {
		s.violation("state", "%s: failed to recover the state from a copy of the disk: %v", a.name, err)
		return
	}
	defer func() { _ = store.Close() }() // the copy was only read
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

// checkStoredRecord checks that a restart would recover the record of a request that may have been executed and is not
// idempotent.
func (s *site) checkStoredRecord(f *frontEnd, id dispatch.Identity, inMemory dispatch.Record, found records) {
	if inMemory.Response.Class == fakes.ClassIdempotent || !inMemory.PossiblyExecuted {
		return
	}
	record, ok := found[id]
	if !ok || !isEquivalent(inMemory, record) {
		s.violation("state", "%s: record of %s in memory is %v %v %v, possibly executed %v; stored %v: %v %v %v, possibly executed %v", f.name, id,
			inMemory.Kind, inMemory.Response.Kind, inMemory.Response.Cause, inMemory.PossiblyExecuted,
			ok, record.Kind, record.Response.Kind, record.Response.Cause, record.PossiblyExecuted)
	}
}
