package simulation

import (
	"cmp"
	"maps"
	"slices"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/storage"
	"streamcleat/internal/verification/fakes"
)

// expiryMargin is the number of seconds before its expiry from which a record may be missing.
const expiryMargin = 5

// records maps requests to their records.
type records map[dispatch.Identity]dispatch.Record

// addUnacknowledged adds records that a front end submitted to the store.
func (a *applianceProcess) addUnacknowledged(list []dispatch.Record) {
	for _, r := range list {
		id := r.Response.Identity
		a.unacknowledged[id] = append(a.unacknowledged[id], r)
	}
}

// acknowledge marks records as reported to the front end as stored.
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
// is still on disk, and expires again after a restart. A rejected retry may leave the record of an earlier attempt, which
// has the same effect.
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

// sortedIdentities returns the keys of a map in a fixed order, for deterministic reports.
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

// checkRecoveredRecords checks that a restart recovered every acknowledged record, or a later one of the same request.
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
		x, ok := found[id]
		if !ok || !a.isAcceptable(id, written, x) {
			s.violation("state", "%s: record of %s was acknowledged as %v %v, recovered %v (%v %v)", a.name, id, written.Kind,
				written.Response.Kind, ok, x.Kind, x.Response.Kind)
		}
	}
	clear(a.acknowledged)
	clear(a.unacknowledged)
	for id, r := range found {
		a.acknowledged[id], a.acknowledgedAt[id] = r, s.scheduler.now
	}
}

// isAcceptable reports whether a record on disk is the acknowledged one, or a later one that is not yet acknowledged.
func (a *applianceProcess) isAcceptable(id dispatch.Identity, written, found dispatch.Record) bool {
	if isEquivalent(written, found) {
		return true
	}
	return slices.ContainsFunc(a.unacknowledged[id], func(r dispatch.Record) bool { return isEquivalent(r, found) })
}

// checkRecoveredSchedules checks that a restart recovered the last firing of every schedule, and the open scheduled
// requests.
func (s *site) checkRecoveredSchedules(a *applianceProcess, recovered *storage.RecoveredState) {
	for _, key := range slices.Sorted(maps.Keys(a.lastFirings)) {
		if at, ok := recovered.LastFirings[key]; !ok || at.Before(a.lastFirings[key]) {
			s.violation("schedules", "%s: %s fired for %v, recovered %v", a.name, key, a.lastFirings[key], at)
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

// checkStoredRecords recovers the state of a running appliance from a copy of its disk, and compares it with the records
// that the front ends have in memory.
func (s *site) checkStoredRecords(a *applianceProcess) {
	if a.store == nil || a.store.Err() != nil {
		return
	}
	store, recovered, err := storage.OpenStore(stateDirectory, a.storeOptions(a.disk.snapshot()))
	if err != nil {
		s.violation("state", "%s: failed to recover a copy of the state: %v", a.name, err)
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

// checkStoredRecord checks that a restart would recover the record of a request that must not be executed again.
func (s *site) checkStoredRecord(f *frontEnd, id dispatch.Identity, inMemory dispatch.Record, found records) {
	if inMemory.Response.Class == fakes.ClassIdempotent || !inMemory.PossiblyExecuted {
		return
	}
	x, ok := found[id]
	if !ok || !isEquivalent(inMemory, x) {
		s.violation("state", "%s: record of %s is %v %v %v, may have run %v; stored %v: %v %v %v %v", f.name, id,
			inMemory.Kind, inMemory.Response.Kind, inMemory.Response.Cause, inMemory.PossiblyExecuted,
			ok, x.Kind, x.Response.Kind, x.Response.Cause, x.PossiblyExecuted)
	}
}
