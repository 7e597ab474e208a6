package control

import (
	"testing"

	"streamcleat/internal/units"
)

// A load command that a dial held up counts from when its bytes leave, and leaves only if the quota then permits it.
func TestLoadQuota_CountsFromDeparture(t *testing.T) {
	const window, allowance = 2, 2
	for name, c := range map[string]struct {
		leavesAfter units.Seconds // since the decision
		others      int           // commands decided and sent just before it leaves
		leaves      bool
		permitted   bool // another one, two seconds after the decision
	}{
		"at once":                                {leaves: true, permitted: true},
		"within the window":                      {leavesAfter: 1.5, others: 1, leaves: true},
		"after the window":                       {leavesAfter: 2.5, others: 1, leaves: true},
		"after the window, the quota is used up": {leavesAfter: 2.5, others: 2},
	} {
		h := newLeaseHost()
		deployment := h.router.deployment
		deployment.LoadCommandWindow, deployment.LoadCommandAllowance, deployment.LoadCommandsPerRequest = window, allowance, 0
		decidedAt := h.now + 10
		h.now = decidedAt
		h.router.advance(h.now)
		h.router.countLoad(h.home, "held")
		h.now += c.leavesAfter
		h.router.OnDiscoveryConfirmed(h.now, h.now)
		for range c.others {
			h.router.countLoad(h.home, "other")
		}
		if got := h.router.MayLoad(h.now, h.home, "held"); got != c.leaves {
			t.Errorf("%s: may leave %v", name, got)
		}
		h.router.advance(max(h.now, decidedAt+window))
		if got := h.router.mayCommandLoad(); got != c.permitted {
			t.Errorf("%s: another command is permitted %v", name, got)
		}
	}
}
