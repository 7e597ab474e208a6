package frontend

import (
	"streamcleat/control"
	"streamcleat/gateway"
)

// held is a launch or an answer that waits until the note of it is on disk.
type held struct {
	launch *gateway.Launch
	answer gateway.Answer
	to     gateway.Asker
	gone   bool
}

// keep gathers notes while a commit is out, so that one sync serves all that came meanwhile.
type keep struct {
	notes []gateway.Note
	held  []held  // behind the notes that are not committed yet
	out   []held  // behind the commit that is out
	busy  bool    // a commit is out
	since float64 // when it began
}

// abandon takes back a launch that has not left.
func (k *keep) abandon(job uint64) {
	for _, list := range [][]held{k.held, k.out} {
		for i := range list {
			if list[i].launch != nil && list[i].launch.Job == job {
				list[i].gone = true
			}
		}
	}
}

// commit hands what was noted to the keeper, unless it is still busy with the last.
func (f *Front) commit() {
	k := &f.keep
	if k.busy || len(k.notes) == 0 {
		return
	}
	notes := k.notes
	k.out, k.notes, k.held = k.held, nil, nil
	k.busy, k.since = true, f.host.Now()
	if f.set.KeepWithin > 0 {
		f.host.After(f.set.KeepWithin, f.impatient)
	}
	f.set.Keeper.Commit(notes, func(err error) { f.host.Post(func() { f.committed(err) }) })
}

// committed lets go what waited. What could not be noted is not launched; answers go out all the same: the launch
// was noted before, so a restart dead-letters a repeat and runs nothing twice.
func (f *Front) committed(err error) {
	k := &f.keep
	out := k.out
	k.out, k.busy = nil, false
	if err != nil {
		f.log.Error("notes were not kept: events that must not run twice are deferred", "error", err)
	}
	for _, h := range out {
		switch {
		case h.gone:
		case h.launch == nil:
			f.answer(h.to, h.answer)
		case err != nil:
			f.core.Launched(f.host.Now(), h.launch.Job, gateway.Reply{Result: control.NeverSent})
		default:
			f.pool.Launch(f.host.Now(), *h.launch)
		}
	}
	f.Settle()
}

// impatient sends answers whose note takes too long: a client's time must not run out over a slow disk.
func (f *Front) impatient() {
	k := &f.keep
	if !k.busy || f.host.Now()-k.since < f.set.KeepWithin*0.99 {
		return
	}
	for i := range k.out {
		if h := &k.out[i]; h.launch == nil && !h.gone {
			h.gone = true
			f.answer(h.to, h.answer)
		}
	}
	for i := range k.held {
		if h := &k.held[i]; h.launch == nil && !h.gone {
			h.gone = true
			f.answer(h.to, h.answer)
		}
	}
	f.Settle()
}
