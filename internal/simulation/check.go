package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/invariants"
	"streamcleat/internal/storage"
)

// submitted notes what a front end asked to be kept.
func (b *box) submitted(notes []dispatch.Record) {
	for _, n := range notes {
		b.pending[n.Response.Identity] = append(b.pending[n.Response.Identity], n)
	}
}

// settled notes that the disk has them.
func (b *box) settled(notes []dispatch.Record) {
	for _, n := range notes {
		id := n.Response.Identity
		b.acked[id], b.ackedAt[id] = n, b.w.now
		if list := b.pending[id]; len(list) > 1 {
			b.pending[id] = list[1:]
		} else {
			delete(b.pending, id)
		}
	}
}

// same tells that a restart makes the same of two notes. A deferral that a repeat found too old is one still on disk, and
// is found too old again.
func same(a, b dispatch.Record) bool {
	old := a.Response.Cause == dispatch.CauseResponseExpired
	if a.Kind == dispatch.RecordRequestEnded && (a.Response.Kind == dispatch.Rejected || old) && a.MayHaveRun && b.Kind == dispatch.RecordAttemptStarted {
		return true // a later try came to nothing: the launch that was noted says as much
	}
	return a.Kind == b.Kind && a.MayHaveRun == b.MayHaveRun && (a.Kind == dispatch.RecordAttemptStarted || a.Response.Kind == b.Response.Kind || old)
}

// inOrder is a fixed order of events, so that two runs of a script report the same.
func inOrder[V any](m map[dispatch.Identity]V) []dispatch.Identity {
	return slices.SortedFunc(maps.Keys(m), func(a, b dispatch.Identity) int { return cmp.Compare(a.String(), b.String()) })
}

// recovered compares what a restart found with what the process before it was told to be on disk: nothing that was
// told may be missing or older.
func (s *site) recovered(b *box, found *storage.RecoveredState) {
	got := map[dispatch.Identity]dispatch.Record{}
	for _, k := range found.Records {
		got[k.Response.Identity] = k.Record
	}
	if found.QuarantinePath != "" || found.UnreadableRecords > 0 {
		s.fault("state", "%s found its state corrupt: %s, %d unread", b.name, found.QuarantinePath, found.UnreadableRecords)
	}
	for _, id := range inOrder(b.acked) {
		n := b.acked[id]
		if s.w.now-b.ackedAt[id] > answersKept-5 {
			continue
		}
		x, ok := got[id]
		fine := ok && same(n, x)
		for _, p := range b.pending[id] { // not told, and on disk all the same
			fine = fine || ok && same(p, x)
		}
		if !fine {
			s.fault("state", "%s was told that %s is kept as %v %v and found %v (%v %v)", b.name, id, n.Kind, n.Response.Kind, ok, x.Kind, x.Response.Kind)
		}
	}
	clear(b.acked)
	clear(b.pending)
	for id, n := range got {
		b.acked[id], b.ackedAt[id] = n, s.w.now
	}
}

// resumed compares what a restart found of the box's own events with what the process before it had: a minute that it
// fired for is known, and an event that was open goes on.
func (s *site) resumed(b *box, found *storage.RecoveredState) {
	for _, key := range slices.Sorted(maps.Keys(b.fired)) {
		if at, ok := found.LastFirings[key]; !ok || at.Before(b.fired[key]) {
			s.fault("timers", "%s fired %s for %v and found %v", b.name, key, b.fired[key], at)
		}
	}
	goes := map[dispatch.Identity]bool{}
	for _, o := range found.ScheduledRequests {
		goes[o.Request.Identity] = true
	}
	for _, id := range inOrder(b.own) {
		if !goes[id] {
			s.fault("timers", "%s lost its own event %s", b.name, id)
		}
	}
}

// compare reads the state of a running box back, as a restart would, and compares it with what the front ends have in
// memory.
func (s *site) compare(b *box) {
	if b.store == nil || b.store.Err() != nil {
		return
	}
	copied := &disk{fs: b.disk.fs, tear: -1}
	copied.restart(false)
	store, found, err := storage.OpenStore("state", storage.Options{FS: copied.view(), Retention: answersKept, Synchronous: true, Clock: b.stamp})
	if err != nil {
		s.fault("state", "%s: the state can't be read back: %v", b.name, err)
		return
	}
	defer store.Close()
	got := map[dispatch.Identity]dispatch.Record{}
	for _, k := range found.Records {
		got[k.Response.Identity] = k.Record
	}
	times, noted := map[dispatch.Identity]int{}, map[*front]map[dispatch.Identity]dispatch.Record{}
	for _, f := range b.fronts {
		noted[f] = f.f.Dispatcher().StoredRecords()
		for id := range noted[f] {
			times[id]++
		}
	}
	for _, f := range b.fronts {
		for _, id := range inOrder(noted[f]) {
			n := noted[f][id]
			x, ok := got[id]
			firm := s.rules.Effect[n.Response.Class] != "redeliverable" && n.MayHaveRun
			if times[id] == 1 && firm && (!ok || !same(n, x)) {
				s.fault("state", "%s has %s as %v %v %v, may have run %v; a restart would find %v: %v %v %v %v", f.name, id, n.Kind, n.Response.Kind, n.Response.Cause, n.MayHaveRun,
					ok, x.Kind, x.Response.Kind, x.Response.Cause, x.MayHaveRun)
			}
		}
	}
}

// answerOf is what an ask came to, for the check of repeats.
type answerOf struct{ outcome string }

// repeatModel is what answers to one event by one process of a front end may be: once it was handled every further ask
// is answered with that; once it was dead-lettered for good it is never handled. What the client does not know may have
// been anything.
var repeatModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{"open"} },
	Step: func(state, _, output any) []any {
		is, out := state.(string), output.(answerOf).outcome
		switch {
		case out == "" && is == "open":
			return []any{"open", invariants.Handled, invariants.DeadLettered}
		case out == "":
			return []any{is}
		case is == "open" && out == invariants.DeadLettered: // for this asker alone, whose time was up, or for all
			return []any{"open", out}
		case is == "open" && out == invariants.Handled:
			return []any{out}
		case is == "open":
			return []any{"open"}
		case is == out:
			return []any{is}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// repeats checks that the answers to repeats of each event can be put in an order that makes sense.
func (s *site) repeats() {
	type key struct {
		event, front string
		boot         int
	}
	groups := map[key][]porcupine.Operation{}
	var order []key
	end := int64(s.w.now*1e6) + 1
	for i, a := range s.tries {
		k := key{a.event, a.front, a.boot}
		if groups[k] == nil {
			order = append(order, k)
		}
		ret := end
		if a.ret >= 0 {
			ret = int64(a.ret * 1e6)
		}
		groups[k] = append(groups[k], porcupine.Operation{ClientId: i, Call: int64(a.call * 1e6), Output: answerOf{a.outcome}, Return: ret})
	}
	model := repeatModel.ToModel()
	for _, k := range order {
		if ops := groups[k]; len(ops) > 1 && porcupine.CheckOperationsTimeout(model, ops, time.Minute) == porcupine.Illegal {
			var list []string
			for _, o := range ops {
				list = append(list, fmt.Sprintf("%.3f-%.3f %s", float64(o.Call)/1e6, float64(o.Return)/1e6, o.Output.(answerOf).outcome))
			}
			s.fault("repeats", "%s at %s was answered in a way that no order explains: %v", k.event, k.front, list)
		}
	}
}
