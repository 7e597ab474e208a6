package schedule

import (
	"fmt"
	"time"
)

// MisfirePolicy says what becomes of firings whose time passed while nobody could fire them.
type MisfirePolicy uint8

// Misfire policies.
const (
	MisfireSkip MisfirePolicy = iota // missed firings are dropped
	MisfireOnce                      // the newest missed firing is caught up on
	MisfireAll                       // all missed firings are caught up on, within a bound
)

// misfirePolicies are the policies by their names in a crontab.
var misfirePolicies = map[string]MisfirePolicy{"skip": MisfireSkip, "once": MisfireOnce, "all": MisfireAll}

func parseMisfirePolicy(name string) (MisfirePolicy, error) {
	policy, known := misfirePolicies[name]
	if !known {
		return MisfireSkip, fmt.Errorf("%q is none of skip, once, all", name)
	}
	return policy, nil
}

const (
	// misfireThreshold is the delay from which on a firing counts as missed.
	misfireThreshold = time.Minute
	// maxCatchUpFirings bounds the firings of one entry that one call catches up on, against a window set too wide.
	maxCatchUpFirings = 1000
)

// catchUp returns the firings to make, of those that were missed in the order they were due.
func (p MisfirePolicy) catchUp(missed []Firing) []Firing {
	switch p {
	case MisfireSkip:
		return nil
	case MisfireOnce:
		return missed[max(len(missed)-1, 0):]
	default:
		return missed[max(len(missed)-maxCatchUpFirings, 0):]
	}
}

// Deadline is when a firing is given up: a minute after it was due, or the time that its entry catches up on.
func (f Firing) Deadline() time.Time {
	if f.Entry.Misfire == MisfireSkip {
		return f.Due.Add(misfireThreshold)
	}
	return f.Due.Add(max(f.Entry.CatchUpWindow, misfireThreshold))
}
