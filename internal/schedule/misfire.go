package schedule

import (
	"fmt"
	"time"
)

// MisfirePolicy determines how missed firings are handled, such as those that were due while the process was down.
type MisfirePolicy uint8

// Misfire policies.
const (
	MisfireSkip MisfirePolicy = iota // missed firings are dropped
	MisfireOnce                      // only the most recent missed firing is caught up on
	MisfireAll                       // all missed firings are caught up on, up to maxCatchUpFirings
)

// misfirePolicies maps the values of the crontab variable MISFIRE to policies.
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
	// maxCatchUpFirings is the maximum number of missed firings of an entry that one call of TakeDue returns. It limits
	// the burst of requests if the catch-up window is set too wide.
	maxCatchUpFirings = 1000
)

// catchUp returns the missed firings to catch up on. missed must be ordered by due time.
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

// Deadline returns the time after which a firing is no longer attempted: one minute after it was due or, with a policy that
// catches up, the end of the catch-up window if that is later.
func (f Firing) Deadline() time.Time {
	if f.Entry.Misfire == MisfireSkip {
		return f.Due.Add(misfireThreshold)
	}
	return f.Due.Add(max(f.Entry.CatchUpWindow, misfireThreshold))
}
