package soak

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"streamcleat/internal/verification/invariants"
)

// Limits that the front ends are configured with and that the records are checked against.
const (
	functionCount          = 12  // functions that clients request
	descriptorLimit        = 128 // file descriptors of a front end
	defaultMemoryMB        = 64  // memory limit of a front end
	deduplicationWindow    = 30 * time.Second
	defaultWarmUpTime      = 6 * time.Second
	defaultInitialCapacity = 0.3 // fraction of its capacity that a worker has when it starts
	overloadFactor         = 2.5
	overloadWindow         = 1500 * time.Millisecond
	defaultDrainGrace      = 500 * time.Millisecond

	// With Settings.LoadQuota, a front end may send loadAllowance load commands within loadWindow, and loadsPerRequest more for
	// each request.
	loadAllowance   = 3
	loadsPerRequest = 0.25
	loadWindow      = 4 * time.Second
)

// Request classes, named after their delivery semantics.
const (
	classIdempotent      = "free"
	classIdempotentByKey = "guarded"
	classAtMostOnce      = "single"
)

// classes are the request classes that clients choose from. The order determines what a seed chooses.
var classes = []string{classIdempotent, classIdempotentByKey, classAtMostOnce}

// rules returns the rules that the recorded traffic is checked against.
func (h *harness) rules() invariants.Rules {
	rules := invariants.Rules{
		Semantics: map[string]string{
			classIdempotent: "redeliverable", classIdempotentByKey: "keyed", classAtMostOnce: "at-most-once",
		},
		DeduplicationWindow:     map[string]float64{classIdempotentByKey: deduplicationWindow.Seconds()},
		MeanWork:                h.settings.meanWork().Seconds(),
		Capacity:                map[string]float64{},
		DrainGrace:              (h.settings.DrainGrace + 50*time.Millisecond).Seconds(),
		InitialCapacityFraction: h.settings.initialCapacity(),
		WarmUpTime:              h.settings.warmUpTime().Seconds(),
		OverloadFactor:          overloadFactor,
		OverloadWindow:          overloadWindow.Seconds(),
		ObservationDelay:        0.1,
		DeadlineSlack:           0.15 - responseGrace.Seconds(), // the recorded client timeouts include responseGrace
		IndependentFrontEnds:    true,
	}
	for number := range h.workerCount {
		rules.Capacity[fmt.Sprintf("w%d", number+1)] = workerLanes
	}
	return rules
}

// document returns the configuration document that the platform gives a front end. known holds the discovery events that
// the front end starts with.
func (h *harness) document(f *frontEnd, discoveryAddress string, known json.RawMessage) map[string]any {
	var peers []string
	for _, other := range h.frontEnds {
		peers = append(peers, other.peer)
	}
	class := func(name, semantics string) map[string]any {
		return map[string]any{
			"Name": name, "AimMs": 300, "GiveUpMs": h.requestTimeout().Milliseconds(), "Idempotency": semantics, "Group": "all",
			"MemorySpanMs": deduplicationWindow.Milliseconds(),
		}
	}
	settings := map[string]any{
		"Balancers": h.settings.FrontEnds, "Me": f.number, "RoundMs": 4, "Discovery": "automatic",
		"Caps": map[string]any{
			"Peers": !h.settings.WithoutPeers, "RetryAfter": true, "MaxRetryAfterMs": 500, "MostTries": 4, "MaxStreams": 32, "MaxOpen": 500,
			"DialTimeoutMs": 250, "IdleCloseMs": 5000,
		},
		"Classes": []any{
			class(classIdempotent, "free"), class(classIdempotentByKey, "guarded"), class(classAtMostOnce, "single_shot"),
		},
		"Accounts": []any{map[string]any{"Name": "acme", "QuotaPerS": 1000}},
		"Domain":   h.loadingSettings(),
		"Rules": map[string]any{
			"ColdFrom": h.settings.initialCapacity(), "FallMs": overloadWindow.Milliseconds(), "FallMultiple": overloadFactor,
			"WarmWithinMs": h.settings.warmUpTime().Milliseconds(), "DrainGraceMs": h.settings.DrainGrace.Milliseconds(), "AskWithinMs": 10_000,
		},
	}
	return map[string]any{
		"name": f.name, "listen": f.listen, "seed": strconv.FormatUint(h.settings.Seed+uint64(f.number), 16),
		"limits":      map[string]any{"cores": 1, "memory_mb": h.settings.MemoryMB, "sockets": descriptorLimit},
		"peer_listen": f.peer, "peers": peers, "journal": discoveryAddress, "known": known,
		"settings": settings,
	}
}

// loadingSettings returns the settings on replicas and load commands in the document of a front end.
func (h *harness) loadingSettings() map[string]any {
	loading := map[string]any{"MayOrder": true, "OrderTimeoutMs": 1000, "StaysLoadedMs": 8000, "WhenAbsent": "miss"}
	if h.settings.LoadQuota {
		loading["LoadFree"], loading["LoadPart"], loading["LoadWindowMs"] = loadAllowance, loadsPerRequest, loadWindow.Milliseconds()
	}
	return loading
}

// faultVariable returns the environment variable that makes system calls fail at random in a program that is built with
// the tag faults. The seed differs for each process.
func (h *harness) faultVariable(number, process int) string {
	return fmt.Sprintf("STREAMCLEAT_FAULTS=%d:%g", h.settings.Seed*1000+uint64(number*10+process), h.settings.FaultRate)
}
