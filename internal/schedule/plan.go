package schedule

import (
	"container/heap"
	"time"

	"github.com/robfig/cron/v3"
)

// Firing is one firing of an entry. ID is its identity: the entry and the minute, in UTC, that it was due.
type Firing struct {
	Entry *Entry
	Due   time.Time
	ID    string
	Delay time.Duration
}

// FiringID is the identity of a firing: the entry and the minute, in UTC.
func FiringID(e *Entry, due time.Time) string {
	return e.Key() + "/" + due.UTC().Format("2006-01-02T15:04Z")
}

const (
	lateAfter = time.Minute   // a firing made later than this was missed
	backMost  = 3 * time.Hour // a clock set back by less is waited out, as cron does; past it the plan begins anew
	missedMax = 1000          // firings of one entry that one call makes up for, against a bound set too wide
)

type planned struct {
	entry *Entry
	due   time.Time
	no    int
}

type byDue []*planned

func (p byDue) Len() int { return len(p) }
func (p byDue) Less(i, j int) bool {
	return p[i].due.Before(p[j].due) || p[i].due.Equal(p[j].due) && p[i].no < p[j].no
}
func (p byDue) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *byDue) Push(x any)   { *p = append(*p, x.(*planned)) }
func (p *byDue) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// Plan knows what is due when. What is due is told once, in the order of due times and then of the crontab.
//
// At a clock change in spring an entry whose minute is left out does not fire that day. In autumn, where an hour
// comes twice, an entry whose hour field is * fires in both, as they are different minutes in UTC; one with stated
// hours fires in the first only.
type Plan struct {
	heap byDue
	now  time.Time
}

// NewPlan plans from a time on; what was due at it or before is past.
func NewPlan(entries []Entry, from time.Time) *Plan {
	p := &Plan{now: from}
	for i := range entries {
		p.add(&entries[i], i, from)
	}
	return p
}

// Resume plans with the last minute that each entry is known to have fired for, by its key; entries that are not
// named there plan from the time from on.
func Resume(entries []Entry, last map[string]time.Time, from time.Time) *Plan {
	p := &Plan{now: from}
	for i := range entries {
		at, known := last[entries[i].Key()]
		if !known || at.After(from.Add(backMost)) {
			at = from
		}
		p.add(&entries[i], i, at)
	}
	return p
}

// Next is the entry's next minute after a time; zero where it has none.
func (e *Entry) Next(after time.Time) time.Time { return e.next(after) }

const anyHour = 1 << 63 // the mark by which the library knows a field that is *

// next is the entry's next minute after a time.
func (e *Entry) next(after time.Time) time.Time {
	due := e.schedule.Next(after.In(e.Zone))
	s, ok := e.schedule.(*cron.SpecSchedule)
	for ok && s.Hour&anyHour == 0 && !due.IsZero() && secondPass(due) {
		due = e.schedule.Next(due)
	}
	return due
}

// secondPass tells that the clock on the wall showed the same a while before, as it was set back since.
func secondPass(t time.Time) bool {
	const face = "2006-01-02 15:04"
	for _, back := range []time.Duration{30 * time.Minute, time.Hour, 2 * time.Hour} {
		if t.Add(-back).Format(face) == t.Format(face) {
			return true
		}
	}
	return false
}

func (p *Plan) add(e *Entry, no int, from time.Time) {
	if due := e.next(from); !due.IsZero() { // zero: a day that no year has
		heap.Push(&p.heap, &planned{e, due, no})
	}
}

// Next is the next time that something is due; false where nothing ever is.
func (p *Plan) Next() (time.Time, bool) {
	if len(p.heap) == 0 {
		return time.Time{}, false
	}
	return p.heap[0].due, true
}

// Due hands out what is due by now. What was missed is treated as its entry says; made-up firings keep the
// identity of their own minute, so that one that was fired after all is not run again.
func (p *Plan) Due(now time.Time) []Firing {
	if now.Before(p.now.Add(-backMost)) {
		for _, e := range p.heap {
			if due := e.entry.next(now); !due.IsZero() {
				e.due = due
			}
		}
		heap.Init(&p.heap)
		p.now = now
	}
	if now.After(p.now) {
		p.now = now
	}
	var due []Firing
	for len(p.heap) > 0 && !p.heap[0].due.After(now) {
		e := p.heap[0]
		due = append(due, p.catchUp(e, now)...)
		if e.due.IsZero() {
			heap.Pop(&p.heap)
		} else {
			heap.Fix(&p.heap, 0)
		}
	}
	return due
}

// catchUp takes all that one entry has due by now and moves it past now.
func (p *Plan) catchUp(e *planned, now time.Time) []Firing {
	var due, missed []Firing
	// Far back, minute by minute would take long; nothing older than the bound is ever made up for.
	if oldest := now.Add(-max(e.entry.CatchUpWindow, 2*lateAfter)); e.due.Before(oldest) {
		e.due = e.entry.next(oldest.Add(-time.Second))
	}
	for !e.due.IsZero() && !e.due.After(now) {
		f := Firing{Entry: e.entry, Due: e.due, ID: FiringID(e.entry, e.due), Delay: now.Sub(e.due)}
		if f.Delay > lateAfter {
			missed = append(missed, f)
		} else {
			due = append(due, f)
		}
		e.due = e.entry.next(e.due)
	}
	switch {
	case e.entry.Misfire == MisfireSkip || len(missed) == 0:
		return due
	case e.entry.Misfire == MisfireOnce:
		return append(missed[len(missed)-1:], due...)
	}
	if len(missed) > missedMax {
		missed = missed[len(missed)-missedMax:]
	}
	return append(missed, due...)
}

// DueWithin are the firings that are due within a span from now, the first of each function, in the order of the crontab.
func DueWithin(entries []Entry, now time.Time, span time.Duration) []Firing {
	var soon []Firing
	seen := map[string]bool{}
	for i := range entries {
		e := &entries[i]
		due := e.next(now)
		if due.IsZero() || due.After(now.Add(span)) || seen[e.Function] {
			continue
		}
		seen[e.Function] = true
		soon = append(soon, Firing{Entry: e, Due: due, ID: FiringID(e, due)})
	}
	return soon
}

const (
	againFirst = 250 * time.Millisecond // pause before a deferred firing is tried again, doubled each time
	againMost  = 5 * time.Second        // up to this
)

// Deadline is when a firing is given up: a minute after it was due, or the time that its entry makes up for.
func (f Firing) Deadline() time.Time {
	if f.Entry.Misfire == MisfireSkip {
		return f.Due.Add(lateAfter)
	}
	return f.Due.Add(max(f.Entry.CatchUpWindow, lateAfter))
}

// NextRetry is the pause before a deferred firing is tried once more, after so many tries; false where its time is over.
// A try under way when the time runs out goes on.
func NextRetry(until, now time.Time, tries int, named time.Duration) (time.Duration, bool) {
	pause := max(min(againFirst<<min(tries-1, 10), againMost), named)
	return pause, now.Add(pause).Before(until)
}
