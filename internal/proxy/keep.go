package proxy

import (
	"slices"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
)

// held is a launch or an answer that waits: until the note of it is on disk, or a launch until what its client sent is
// read.
type held struct {
	launch *dispatch.Attempt
	answer dispatch.Response
	to     dispatch.WaiterID
	gone   bool
	at     float64 // when it began to wait
}

// keep gathers notes while a commit is out, so that one sync serves all that came meanwhile.
type keep struct {
	notes []dispatch.Record
	held  []held // behind the notes that are not committed yet
	out   []held // behind the commit that is out
	busy  bool   // a commit is out
	timed bool   // somebody looks at answers that wait too long
	full  bool   // it was told that the disk takes no more
}

// full tells that so many notes wait that no more are taken: two for each event that may be open. What must not run
// twice is not launched then, and answers wait for nothing, as where the disk fails.
func (f *Proxy) full() bool { return len(f.keep.notes) >= 2*f.set.Dispatch.MaxOpen }

// abandon takes back a launch that waits in one of the lists; false where none does.
func abandon(job uint64, lists ...[]held) (waited bool) {
	for _, list := range lists {
		for i := range list {
			if list[i].launch != nil && list[i].launch.ID == job {
				waited = waited || !list[i].gone
				list[i].gone = true
			}
		}
	}
	return waited
}

// commit hands what was noted to the keeper, unless it is still busy with the last.
func (f *Proxy) commit() {
	k := &f.keep
	if k.busy || len(k.notes) == 0 {
		return
	}
	notes := k.notes
	k.out, k.notes, k.held = k.held, nil, nil
	k.busy = true
	f.set.RecordStore.Commit(notes, func(err error) { f.host.Post(func() { f.committed(err) }) })
}

// committed lets go what waited. What could not be noted is not launched; answers go out all the same: the launch
// was noted before, so a restart dead-letters a repeat and runs nothing twice.
func (f *Proxy) committed(err error) {
	k := &f.keep
	out := k.out
	k.out, k.busy, k.full = nil, false, false
	if err != nil {
		f.log.Error("notes were not kept: events that must not run twice are deferred", "error", err)
	}
	for _, h := range out {
		switch {
		case h.gone:
		case h.launch == nil:
			f.answer(h.to, h.answer)
		case err != nil:
			f.core.OnAttemptReply(f.host.Now(), h.launch.ID, dispatch.WorkerReply{Outcome: control.NotSent})
		default:
			f.pool.SendAttempt(f.host.Now(), *h.launch)
		}
	}
	f.Flush()
}

// hold makes an answer wait for its note.
func (f *Proxy) hold(list *[]held, to dispatch.WaiterID, a dispatch.Response) {
	*list = append(*list, held{answer: a, to: to, at: f.host.Now()})
	if f.set.RecordTimeout > 0 && !f.keep.timed {
		f.keep.timed = true
		f.host.After(f.set.RecordTimeout, f.impatient)
	}
}

// impatient sends answers whose note takes too long: a client's time must not run out over a slow disk.
func (f *Proxy) impatient() {
	now, next := f.host.Now(), 0.0
	f.keep.timed = false
	for _, list := range [][]held{f.keep.out, f.keep.held} {
		for i := range list {
			switch h := &list[i]; {
			case h.launch != nil || h.gone:
			case now-h.at >= f.set.RecordTimeout*0.99:
				h.gone = true
				f.answer(h.to, h.answer)
			case next == 0 || h.at < next:
				next = h.at
			}
		}
	}
	gone := func(h held) bool { return h.gone }
	f.keep.out, f.keep.held = slices.DeleteFunc(f.keep.out, gone), slices.DeleteFunc(f.keep.held, gone)
	if next > 0 {
		f.keep.timed = true
		f.host.After(next+f.set.RecordTimeout-now, f.impatient)
	}
	f.Flush()
}
