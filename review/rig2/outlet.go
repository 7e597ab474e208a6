//go:build review

package main

import "time"

// outlet returns the settings of tomakomai-outlet for one of a number of front ends.
func outlet(number, frontEnds int) terms {
	return terms{
		"Balancers": frontEnds, "Me": number, "RoundMs": 4, "Discovery": "automatic", "DomainType": "warm",
		"Caps": map[string]any{
			"Peers": true, "Cancel": true, "RetryAfter": true, "MaxRetryAfterMs": 500, "MostTries": 4, "MaxStreams": 32, "MaxOpen": 20000,
			"DialTimeoutMs": 250, "IdleCloseMs": 30000, "SecondCopies": false,
		},
		"Classes": []any{map[string]any{
			"Name": "shop-event", "AimMs": 1500, "GiveUpMs": 4000, "Idempotency": "free", "Group": "all", "MemorySpanMs": 5000,
		}},
		"Accounts": []any{map[string]any{"Name": "kitaboshi-wear", "QuotaPerS": 167}, map[string]any{"Name": "minato-shoes", "QuotaPerS": 102}},
		"Domain": map[string]any{
			"MayOrder": true, "OrderTimeoutMs": 10000, "StaysLoadedMs": 8800, "WhenAbsent": "miss", "LoadWindowMs": 0,
		},
		"Rules": map[string]any{
			"ColdFrom": 0.29, "FallMs": 1500, "FallMultiple": 2.5, "WarmWithinMs": 16000, "DrainGraceMs": 500, "AskWithinMs": 10000,
		},
	}
}

func (r *rig) outletClient(f *frontEnd) *client {
	return &client{
		rig: r, frontEnd: f, class: "shop-event", tenant: "kitaboshi-wear", timeout: 4 * time.Second,
		profile: "memory_mb:400;lanes:2;load_ms:700",
	}
}

// outletMachine is a worker of tomakomai-outlet.
func outletMachine() machine {
	return machine{kind: "std-5c", cores: 5, work: 180 * time.Millisecond, load: 700 * time.Millisecond, coldFrom: 0.29, warmWithin: 16 * time.Second}
}

// outletWorkers starts as many workers as the deployment has at least, and lists them.
func (r *rig) outletWorkers(j *journal) ([]*worker, error) {
	return r.startWorkers(j, 12, func(int) machine { return outletMachine() })
}
