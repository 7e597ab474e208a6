package schedule

import (
	"container/heap"
	"time"
)

// Firing is one occurrence of an entry's schedule.
type Firing struct {
	Entry *Entry
	Due   time.Time
	ID    string        // see FiringID
	Delay time.Duration // time from Due to the call of TakeDue that returned the firing
}

// FiringID returns the ID of a firing. It consists of the entry's key and the due minute in UTC.
func FiringID(e *Entry, due time.Time) string {
	return e.Key() + "/" + due.UTC().Format("2006-01-02T15:04Z")
}

// maxClockStepBack is the largest backward step of the clock after which a Plan keeps its due times and so waits until the
// clock reaches them again, as cron does. After a larger step it recomputes them.
const maxClockStepBack = 3 * time.Hour

// Plan holds the next due time of each entry. Each firing is returned once, ordered by due time and then by the position
// of the entry in the crontab.
//
// When daylight saving time starts, an entry whose minute is skipped does not fire on that day. When it ends, an entry
// whose hour field is * fires in both occurrences of the repeated hour, as they are different minutes in UTC. An entry
// with explicit hours fires in the first occurrence only.
type Plan struct {
	entries dueHeap
	now     time.Time // latest time passed to TakeDue since the last call of replan
}

// NewPlan returns a plan of the firings that are due after the time from.
func NewPlan(entries []Entry, from time.Time) *Plan {
	return Resume(entries, nil, from)
}

// Resume returns a plan that continues after the last firings, given by the keys of their entries. Entries without a last
// firing, or with one more than maxClockStepBack in the future, are planned from the time from on.
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

// add adds an entry to the plan. An entry that is never due, such as one for February 30, is left out.
func (p *Plan) add(e *Entry, position int, after time.Time) {
	if due := e.Next(after); !due.IsZero() {
		heap.Push(&p.entries, &scheduledEntry{entry: e, due: due, position: position})
	}
}

// Next returns the earliest due time, or false if no entry is ever due.
func (p *Plan) Next() (time.Time, bool) {
	if len(p.entries) == 0 {
		return time.Time{}, false
	}
	return p.entries[0].due, true
}

// TakeDue returns the firings that are due by now and removes them from the plan. The entry's misfire policy selects which
// missed firings are returned. A missed firing has the ID of the minute in which it was due, so that front ends deduplicate
// it if it was sent before.
func (p *Plan) TakeDue(now time.Time) []Firing {
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

// replan recomputes all due times after the clock was set back by more than maxClockStepBack.
func (p *Plan) replan(now time.Time) {
	for _, e := range p.entries {
		if due := e.entry.Next(now); !due.IsZero() {
			e.due = due
		}
	}
	heap.Init(&p.entries)
	p.now = now
}

// DueWithin returns the firings that are due within the given span after now, at most one per function, in crontab order.
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

// scheduledEntry is an entry with its next due time.
type scheduledEntry struct {
	entry    *Entry
	due      time.Time
	position int // in the crontab
}

// take returns the firings of the entry that are due by now, including the missed ones that its misfire policy selects, and
// advances the entry past now.
func (e *scheduledEntry) take(now time.Time) []Firing {
	// Skip firings before the catch-up window: they are never returned, and iterating over a long gap would be slow.
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

// dueHeap is a heap of entries, ordered by due time and then by position in the crontab. It implements heap.Interface.
type dueHeap []*scheduledEntry

// Len returns the number of entries.
func (h *dueHeap) Len() int { return len(*h) }

// Less reports whether entry i is due before entry j.
func (h *dueHeap) Less(i, j int) bool {
	a, b := (*h)[i], (*h)[j]
	return a.due.Before(b.due) || a.due.Equal(b.due) && a.position < b.position
}

// Swap exchanges two entries.
func (h *dueHeap) Swap(i, j int) { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push appends a *scheduledEntry. Values of other types are ignored; Plan.add, the only caller, never pushes them.
func (h *dueHeap) Push(x any) {
	if entry, ok := x.(*scheduledEntry); ok {
		*h = append(*h, entry)
	}
}

// Pop removes the last entry.
func (h *dueHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
