package netloop

import (
	"time"

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
func (s *Server) commit() {
	k := &s.keep
	if k.busy || len(k.notes) == 0 {
		return
	}
	notes := k.notes
	k.out, k.notes, k.held = k.held, nil, nil
	k.busy, k.since = true, Now()
	if s.set.KeepWithin > 0 {
		time.AfterFunc(s.set.KeepWithin, func() { s.post(s.impatient) })
	}
	s.set.Keeper.Commit(notes, func(err error) { s.post(func() { s.committed(err) }) })
}

// committed lets go what waited. What could not be noted is not launched; answers go out all the same: the launch
// was noted before, so a restart dead-letters a repeat and runs nothing twice.
func (s *Server) committed(err error) {
	k := &s.keep
	out := k.out
	k.out, k.busy = nil, false
	if err != nil {
		s.log.Error("notes were not kept: events that must not run twice are deferred", "error", err)
	}
	for _, h := range out {
		switch {
		case h.gone:
		case h.launch == nil:
			s.answer(h.to, h.answer)
		case err != nil:
			s.core.Launched(Now(), h.launch.Job, gateway.Reply{Result: control.NeverSent})
		default:
			s.pool.Launch(Now(), *h.launch)
		}
	}
	s.settle()
}

// impatient sends answers whose note takes too long: a client's time must not run out over a slow disk.
func (s *Server) impatient() {
	k := &s.keep
	if !k.busy || Now()-k.since < s.set.KeepWithin.Seconds()*0.99 {
		return
	}
	for i := range k.out {
		if h := &k.out[i]; h.launch == nil && !h.gone {
			h.gone = true
			s.answer(h.to, h.answer)
		}
	}
	for i := range k.held {
		if h := &k.held[i]; h.launch == nil && !h.gone {
			h.gone = true
			s.answer(h.to, h.answer)
		}
	}
	s.settle()
}

// waitKept waits until everything that was noted is on disk and what waited for it has left.
func (s *Server) waitKept() {
	for range 500 {
		idle := true
		if s.Do(func(*gateway.Core) { idle = !s.keep.busy && len(s.keep.notes) == 0 && len(s.keep.held) == 0 }) != nil || idle {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
