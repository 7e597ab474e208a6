package appliance

import "math"

// BackgroundTask is a kind of work in the background. It is done in slices, each within a budget, between which traffic has
// its way.
type BackgroundTask struct {
	Name          string
	Interval      float64 // seconds between the ends of rounds; 0: only when asked for
	Priority      int     // higher goes first
	SliceDuration float64 // seconds that one slice may take
	MaxTimeShare  float64 // of the time that it may use at most, over a minute
	MaxDelay      float64 // seconds after which it goes even though the box is busy
	Urgent        bool    // goes in a busy box too
}

// chore is what is known of one while the process runs.
type chore struct {
	BackgroundTask
	due      float64 // when the next round begins
	since    float64 // when it became due; slices of a round that is under way stay due
	running  bool
	spent    float64 // seconds of work, fading over a minute
	spentAt  float64
	Rounds   int
	Slices   int
	Failures int
	LastErr  string
	Used     float64
	Waited   float64 // longest wait of a due slice
}

// TaskScheduler decide which background work goes when. They have no clock: each call brings the time in seconds, and
// busy, the share of its room that the box uses for traffic now.
type TaskScheduler struct {
	list []*chore
	busy float64
}

const (
	busyAt    = 0.7  // past this share of its room in use only what is urgent or has waited too long goes
	fadeOver  = 60.0 // seconds over which time used is forgotten
	afterFail = 2.0  // a chore that failed waits this many times longer, up to failMost times
	failMost  = 16.0
)

// NewTaskScheduler plans the first round of each one interval from now.
func NewTaskScheduler(now float64, list ...BackgroundTask) *TaskScheduler {
	c := &TaskScheduler{}
	for _, ch := range list {
		every := ch.Interval
		if every == 0 {
			every = math.Inf(1)
		}
		c.list = append(c.list, &chore{BackgroundTask: ch, due: now + every, since: now + every, spentAt: now})
	}
	return c
}

// Request makes a chore due now.
func (c *TaskScheduler) Request(now float64, name string) bool {
	for _, ch := range c.list {
		if ch.Name == name {
			if ch.due > now {
				ch.due, ch.since = now, now
			}
			return true
		}
	}
	return false
}

// Next is the chore that gets a slice now, "" for none, with the seconds it may take. Rules, in order: one slice runs
// at a time; what has waited past its patience goes first, the longest over it before others; else, where the box is
// not busy or it is urgent, the highest priority that has not used up its share, then what waited longest.
func (c *TaskScheduler) Next(now, busy float64) (name string, slice float64) {
	c.busy = busy
	var best *chore
	bestOver := 0.0
	for _, ch := range c.list {
		if ch.running {
			return "", 0
		}
	}
	for _, ch := range c.list {
		if ch.due > now {
			continue
		}
		ch.fade(now)
		over := now - ch.since - ch.MaxDelay
		if over > 0 && ch.MaxDelay > 0 && over > bestOver {
			best, bestOver = ch, over
		}
	}
	for _, ch := range c.list {
		if bestOver > 0 || ch.due > now || busy > busyAt && !ch.Urgent || ch.MaxTimeShare > 0 && ch.spent > ch.MaxTimeShare*fadeOver {
			continue
		}
		if best == nil || ch.Priority > best.Priority || ch.Priority == best.Priority && ch.since < best.since {
			best = ch
		}
	}
	if best == nil {
		return "", 0
	}
	best.running = true
	best.Waited = max(best.Waited, now-best.since)
	return best.Name, best.SliceDuration
}

func (ch *chore) fade(now float64) {
	ch.spent *= math.Exp(-max(now-ch.spentAt, 0) / fadeOver)
	ch.spentAt = max(now, ch.spentAt)
}

// Done tells how a slice ended: how long it took, whether its round has more, and what went wrong.
func (c *TaskScheduler) Done(now float64, name string, took float64, more bool, err error) {
	for _, ch := range c.list {
		if ch.Name != name || !ch.running {
			continue
		}
		ch.running = false
		ch.fade(now)
		ch.spent += took
		ch.Used += took
		ch.Slices++
		switch {
		case err != nil:
			ch.Failures++
			ch.LastErr = err.Error()
			wait := max(ch.Interval, 1)
			if math.IsInf(wait, 1) {
				wait = 1
			}
			ch.due = now + min(wait*math.Pow(afterFail, float64(min(ch.Failures, 10))), wait*failMost)
			ch.since = ch.due
		case more:
			ch.since = now // it had its turn: its patience begins anew
		default:
			ch.Rounds++
			ch.Failures, ch.LastErr = 0, ""
			every := ch.Interval
			if every == 0 {
				every = math.Inf(1)
			}
			ch.due, ch.since = now+every, now+every
		}
	}
}

// TaskView is what a console shows of a chore. Spans are seconds.
type TaskView struct {
	Name     string  `json:"name"`
	Due      float64 `json:"due_s"` // from now; below 0 it waits
	Running  bool    `json:"running"`
	Rounds   int     `json:"rounds"`
	Slices   int     `json:"slices"`
	Used     float64 `json:"used_s"`
	Waited   float64 `json:"longest_wait_s"`
	Failures int     `json:"failures"`
	LastErr  string  `json:"error,omitempty"`
}

// View shows all chores in the order they were given.
func (c *TaskScheduler) View(now float64) []TaskView {
	var list []TaskView
	for _, ch := range c.list {
		due := ch.due - now
		if math.IsInf(due, 1) {
			due = 0
		}
		list = append(list, TaskView{ch.Name, due, ch.running, ch.Rounds, ch.Slices, ch.Used, ch.Waited, ch.Failures, ch.LastErr})
	}
	return list
}
