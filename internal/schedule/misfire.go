package schedule

import (
	"fmt"
	"time"
)

// MisfirePolicy determines the handling of missed firings, for example those that were due while the process was down.
type MisfirePolicy uint8

// Misfire policies.
const (
	MisfireSkip MisfirePolicy = iota // missed firings are dropped
	MisfireOnce                      // only the newest missed firing is made
	MisfireAll                       // all missed firings are made, up to maxCatchUpFirings
)

// misfirePolicies maps names in a crontab to policies.
var misfirePolicies = map[string]MisfirePolicy{"skip": MisfireSkip, "once": MisfireOnce, "all": MisfireAll}

func parseMisfirePolicy(name string) (MisfirePolicy, error) {
	policy, known := misfirePolicies[name]
	if !known {
		return MisfireSkip, fmt.Errorf("%q is not one of skip, once, all", name)
	}
	return policy, nil
}

const (
	// misfireThreshold is the delay above which a firing counts as missed.
	misfireThreshold = time.Minute
	// maxCatchUpFirings is the maximum number of missed firings of an entry that one call of Due returns. It protects
	// against a catch-up window that is set too wide.
	maxCatchUpFirings = 1000
)

// catchUp returns the missed firings to make. missed must be ordered by due time.
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

// Deadline returns the time after which a firing is not attempted any more. It is one minute after the firing was due or,
// with a policy that catches up, the end of the catch-up window if that is later.
func (f Firing) Deadline() time.Time {
	if f.Entry.Misfire == MisfireSkip {
		return f.Due.Add(misfireThreshold)
	}
	return f.Due.Add(max(f.Entry.CatchUpWindow, misfireThreshold))
}
