package schedule

import (
	"strings"
	"time"

	"github.com/robfig/cron/v3"
)

// Entry is one line of a crontab.
type Entry struct {
	Line          int
	Spec          string // the schedule as it was written
	Zone          *time.Location
	Class         string // request class
	Function      string
	Tenant        string
	Data          []byte
	Misfire       MisfirePolicy
	CatchUpWindow time.Duration // how far back MisfireAll and MisfireOnce catch up
	Timeout       time.Duration // how long the client waits for an answer; 0: the request class's deadline
	schedule      cron.Schedule
}

// Key names an entry; two clients with the same crontab name it alike.
func (e *Entry) Key() string {
	key := strings.ReplaceAll(strings.Join(strings.Fields(e.Spec), "_"), "/", "~") + "/" + e.Class + "/" + e.Function
	if e.Tenant != "" {
		key += "@" + e.Tenant
	}
	if e.Zone != time.UTC {
		key = e.Zone.String() + ":" + key
	}
	return key
}

// anyHourBit is the mark by which the cron library knows an hour field that is *.
const anyHourBit = 1 << 63

// Next returns the entry's next minute after a time; the zero time where it has none.
func (e *Entry) Next(after time.Time) time.Time {
	due := e.schedule.Next(after.In(e.Zone))
	spec, ok := e.schedule.(*cron.SpecSchedule)
	for ok && spec.Hour&anyHourBit == 0 && !due.IsZero() && isRepeatedWallTime(due) {
		due = e.schedule.Next(due)
	}
	return due
}

// isRepeatedWallTime reports whether the wall clock showed the same minute a while before, because it was set back since.
func isRepeatedWallTime(t time.Time) bool {
	const wallTime = "2006-01-02 15:04"
	for _, step := range []time.Duration{30 * time.Minute, time.Hour, 2 * time.Hour} {
		if t.Add(-step).Format(wallTime) == t.Format(wallTime) {
			return true
		}
	}
	return false
}
