package schedule

import (
	"container/heap"
	"time"
)

// Firing is one firing of an entry.
type Firing struct {
	Entry *Entry
	Due   time.Time
	ID    string        // its identity: the entry and the minute, in UTC, that it was due
	Delay time.Duration // from Due to the call that returned it
}

// FiringID returns the identity of a firing: the entry and the minute, in UTC.
func FiringID(e *Entry, due time.Time) string {
	return e.Key() + "/" + due.UTC().Format("2006-01-02T15:04Z")
}

// maxClockStepBack is how far the clock may be set back and be waited out, as cron does; past it the plan begins anew.
const maxClockStepBack = 3 * time.Hour

// Plan knows what is due when. Each firing is returned once, in the order of due times and then of the crontab.
//
// At a clock change in spring an entry whose minute is left out does not fire that day. In autumn, where an hour
// comes twice, an entry whose hour field is * fires in both, as they are different minutes in UTC; one with stated
// hours fires in the first only.
type Plan struct {
	entries dueHeap
	now     time.Time // the latest time that Due was called with
}

// NewPlan plans from a time on; what was due at it or before is past.
func NewPlan(entries []Entry, from time.Time) *Plan {
	return Resume(entries, nil, from)
}

// Resume plans with the last minute that each entry is known to have fired for, by its key; entries that are not
// named there are planned from the time from on.
func Resume(entries []Entry, last map[string]time.Time, from time.Time) *Plan {
	p := &Plan{now: from}
	for i := range entries {
		after, known := last[entries[i].Key()]
		if !known || after.After(from.Add(maxClockStepBack)) {
			after = from
		}
		p.add(&entries[i], i, after)
	}
	return p
}

// add plans an entry; one whose day is in no year is never due.
func (p *Plan) add(e *Entry, order int, after time.Time) {
	if due := e.Next(after); !due.IsZero() {
		heap.Push(&p.entries, &scheduledEntry{entry: e, due: due, order: order})
	}
}

// Next returns the next time that something is due; false where nothing ever is.
func (p *Plan) Next() (time.Time, bool) {
	if len(p.entries) == 0 {
		return time.Time{}, false
	}
	return p.entries[0].due, true
}

// Due returns what is due by now. Missed firings are treated by their entry's policy; those that are caught up on keep
// the identity of their own minute, so that one that was fired after all is not run again.
func (p *Plan) Due(now time.Time) []Firing {
	if now.Before(p.now.Add(-maxClockStepBack)) {
		p.replan(now)
	}
	if now.After(p.now) {
		p.now = now
	}
	var due []Firing
	for len(p.entries) > 0 && !p.entries[0].due.After(now) {
		e := p.entries[0]
		due = append(due, e.take(now)...)
		if e.due.IsZero() {
			heap.Pop(&p.entries)
		} else {
			heap.Fix(&p.entries, 0)
		}
	}
	return due
}

// replan begins anew after the clock was set back by more than maxClockStepBack.
func (p *Plan) replan(now time.Time) {
	for _, e := range p.entries {
		if due := e.entry.Next(now); !due.IsZero() {
			e.due = due
		}
	}
	heap.Init(&p.entries)
	p.now = now
}

// DueWithin returns the firings that are due within a span from now, the first of each function, in the order of the
// crontab.
func DueWithin(entries []Entry, now time.Time, span time.Duration) []Firing {
	var firings []Firing
	seen := map[string]bool{}
	for i := range entries {
		e := &entries[i]
		due := e.Next(now)
		if due.IsZero() || due.After(now.Add(span)) || seen[e.Function] {
			continue
		}
		seen[e.Function] = true
		firings = append(firings, Firing{Entry: e, Due: due, ID: FiringID(e, due)})
	}
	return firings
}

// scheduledEntry is an entry with the minute that it is due next.
type scheduledEntry struct {
	entry *Entry
	due   time.Time
	order int // in the crontab
}

// take returns the firings that are to be made now and moves the entry past now.
func (e *scheduledEntry) take(now time.Time) []Firing {
	// Going through all minutes of a long gap would take long; nothing before the window is ever caught up on.
	if oldest := now.Add(-max(e.entry.CatchUpWindow, 2*misfireThreshold)); e.due.Before(oldest) {
		e.due = e.entry.Next(oldest.Add(-time.Second))
	}
	var due, missed []Firing
	for !e.due.IsZero() && !e.due.After(now) {
		firing := Firing{Entry: e.entry, Due: e.due, ID: FiringID(e.entry, e.due), Delay: now.Sub(e.due)}
		if firing.Delay > misfireThreshold {
			missed = append(missed, firing)
		} else {
			due = append(due, firing)
		}
		e.due = e.entry.Next(e.due)
	}
	return append(e.entry.Misfire.catchUp(missed), due...)
}

// dueHeap is a heap of entries by due time and then by their order in the crontab.
type dueHeap []*scheduledEntry

// Len returns the number of entries.
func (h dueHeap) Len() int { return len(h) }

// Less reports whether entry i is due before entry j.
func (h dueHeap) Less(i, j int) bool {
	return h[i].due.Before(h[j].due) || h[i].due.Equal(h[j].due) && h[i].order < h[j].order
}

// Swap exchanges two entries.
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a *scheduledEntry at the end.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(*scheduledEntry)) }

// Pop removes the last entry.
func (h *dueHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
