package control

import (
	"testing"

	"streamcleat/internal/units"
)

// TestLoadQuota_CountsFromTransmission checks that a load command that dialing has delayed counts from the time at which it
// is written to the connection, and is sent only if the quota permits it at that time.
func TestLoadQuota_CountsFromTransmission(t *testing.T) {
	const window, allowance = 2, 2
	for name, c := range map[string]struct {
		sendDelay units.Seconds // time from the decision to the transmission
		others    int           // commands decided and sent just before the transmission
		mayLoad   bool          // the delayed command may be sent
		permitted bool          // another command is permitted two seconds after the decision
	}{
		"at once":                                {mayLoad: true, permitted: true},
		"within the window":                      {sendDelay: 1.5, others: 1, mayLoad: true},
		"after the window":                       {sendDelay: 2.5, others: 1, mayLoad: true},
		"after the window, the quota is used up": {sendDelay: 2.5, others: 2},
	} {
		h := newLeaseHost()
		deployment := h.router.deployment
		deployment.LoadCommandWindow, deployment.LoadCommandAllowance, deployment.LoadCommandsPerRequest = window, allowance, 0
		decidedAt := h.now + 10
		h.now = decidedAt
		h.router.advance(h.now)
		h.router.countLoadCommand(h.home, "held")
		h.now += c.sendDelay
		h.router.OnDiscoveryAvailable(h.now, h.now)
		for range c.others {
			h.router.countLoadCommand(h.home, "other")
		}
		if got := h.router.MayLoad(h.now, h.home, "held"); got != c.mayLoad {
			t.Errorf("%s: MayLoad = %v", name, got)
		}
		h.router.advance(max(h.now, decidedAt+window))
		if got := h.router.mayCommandLoad(); got != c.permitted {
			t.Errorf("%s: mayCommandLoad = %v", name, got)
		}
	}
}
