package schedule

import (
	"strings"
	"time"

	"github.com/robfig/cron/v3"
)

// Entry is one entry of a crontab.
type Entry struct {
	Line          int
	Spec          string // the schedule as written in the crontab
	Zone          *time.Location
	Class         string // request class
	Function      string
	Tenant        string
	Data          []byte
	Misfire       MisfirePolicy
	CatchUpWindow time.Duration // maximum age of missed firings that MisfireOnce and MisfireAll catch up on
	Timeout       time.Duration // of the request; 0: the timeout of its class or Client.DefaultTimeout
	schedule      cron.Schedule
}

// Key returns the identifier of an entry. All clients with the same crontab derive the same keys.
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

// starBit is the bit that the cron library sets in the bit mask of a field that is *.
const starBit = 1 << 63

// Next returns the first minute after the given time in which the entry is due, or the zero time if there is none.
func (e *Entry) Next(after time.Time) time.Time {
	due := e.schedule.Next(after.In(e.Zone))
	spec, ok := e.schedule.(*cron.SpecSchedule)
	for ok && spec.Hour&starBit == 0 && !due.IsZero() && isRepeatedWallTime(due) {
		due = e.schedule.Next(due)
	}
	return due
}

// isRepeatedWallTime reports whether t is the second occurrence of its wall-clock minute, because daylight saving time
// ended in between. It covers changes of 30 minutes, one hour and two hours.
func isRepeatedWallTime(t time.Time) bool {
	const wallTime = "2006-01-02 15:04"
	for _, change := range []time.Duration{30 * time.Minute, time.Hour, 2 * time.Hour} {
		if t.Add(-change).Format(wallTime) == t.Format(wallTime) {
			return true
		}
	}
	return false
}
