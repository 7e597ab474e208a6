//go:build review

package main

import (
	"math"
	"time"
)

func init() { cases["cold-in-outage"] = coldInOutage }

// coldInOutage: during a discovery outage a worker dies that the front end holds no connection to, and returns cold. Another
// worker drains. When traffic comes for the first one, it must not be pushed over.
func coldInOutage(r *rig) error {
	const (
		coldFrom     = 0.15
		warmWithin   = 17 * time.Second
		fallMultiple = 2.5
		fallTime     = 1500 * time.Millisecond
	)
	// The kinds small-3core (work of 180 ms at a speed of 0.64) and std-4core (180 ms at 1.1).
	m := machine{
		kind: "small-3core", cores: 3, work: 281 * time.Millisecond, load: 1400 * time.Millisecond, coldFrom: coldFrom,
		warmWithin: warmWithin, loadOnMiss: true,
	}
	std := m
	std.kind, std.cores, std.work = "std-4core", 4, 164*time.Millisecond
	if err := r.addFrontEnds(1); err != nil {
		return err
	}
	j, err := newJournal(r, 1)
	if err != nil {
		return err
	}
	all, err := r.startWorkers(j, 12, func(n int) machine { return []machine{std, m}[n%2] })
	if err != nil {
		return err
	}
	drains, cold := all[0], all[1]
	settings := terms{
		"Balancers": 3, "Me": 0, "RoundMs": 4, "Discovery": "automatic", "DomainType": "warm",
		"Caps": map[string]any{
			"Peers": false, "Cancel": true, "RetryAfter": true, "MaxRetryAfterMs": 500, "MostTries": 4, "MaxStreams": 100, "MaxOpen": 20000,
			"DialTimeoutMs": 250, "IdleCloseMs": 30000, "SecondCopies": false,
		},
		"Classes": []any{map[string]any{
			"Name": "clip-score", "AimMs": 750, "GiveUpMs": 3000, "Idempotency": "free", "Group": "all", "MemorySpanMs": 5000,
		}},
		"Accounts": []any{},
		"Domain": map[string]any{
			"MayOrder": true, "OrderTimeoutMs": 10000, "StaysLoadedMs": 8500, "WhenAbsent": "load", "LoadWindowMs": 0,
		},
		"Rules": map[string]any{
			"ColdFrom": coldFrom, "FallMs": fallTime.Milliseconds(), "FallMultiple": fallMultiple, "WarmWithinMs": warmWithin.Milliseconds(),
			"DrainGraceMs": 2000, "AskWithinMs": 10000,
		},
	}
	if err := r.startFrontEnds(j, func(int) terms { return settings }); err != nil {
		return err
	}
	before, after := functionFor(0, all, drains, all[2], all[4]), functionFor(0, all, cold)
	c := &client{rig: r, frontEnd: r.frontEnd[0], class: "clip-score", tenant: "", timeout: 3 * time.Second, profile: "memory_mb:400;lanes:4"}

	const usual = 10.0 // requests a second
	t0 := r.now()
	at := func(seconds float64) time.Duration { return t0 + time.Duration(seconds*float64(time.Second)) }
	go c.flow(at(0), at(9.5), usual, func(int) string { return before })
	r.sleepUntil(at(3))
	if r.trouble {
		j.down(0)
	}
	r.sleepUntil(at(4))
	cold.die()
	r.sleepUntil(at(7.5))
	j.add(false, host{drains, "leaving", 0})
	drains.drain()
	r.sleepUntil(at(12.5)) // it has drained for 5 s
	drains.leave(j)
	r.sleepUntil(at(18)) // 14 s after its end, 15 s into the outage
	if err := cold.boot(true); err != nil {
		return err
	}
	j.add(false, host{cold, "active", cold.current().startedAt.UnixMilli()})
	go c.flow(at(19), at(22.5), 2.4*usual, func(int) string { return after })
	r.sleepUntil(at(23.5))
	if r.trouble {
		if err := j.up(0); err != nil {
			return err
		}
	}
	r.sleepUntil(at(25))
	c.wait.Wait()

	cold.mu.Lock()
	defer cold.mu.Unlock()
	var pushed []received
	for _, got := range cold.requests {
		if got.process == cold.process {
			pushed = append(pushed, got)
		}
	}
	worst, broken := 0.0, false
	for last := range pushed {
		count := 0
		for _, got := range pushed[:last+1] {
			if pushed[last].at-got.at < fallTime {
				count++
			}
		}
		fraction := cold.process.fraction(r.start.Add(pushed[last].at))                                // the most of the window
		allowed := fallMultiple * fraction * m.capacity() * (fallTime + 50*time.Millisecond).Seconds() // the slack on sockets
		slack := 2*math.Sqrt(allowed) + 2
		if allowed < 30 {
			slack = 3*math.Sqrt(allowed) + 3
		}
		worst = max(worst, float64(count)/(allowed+slack))
		if float64(count) > allowed+slack && !broken {
			broken = true
			r.violate("failback: %s got %d requests in %v, %.1f allowed (N=%.1f) at %.0f%% of its capacity", cold.name, count, fallTime,
				allowed+slack, allowed, 100*fraction)
		}
	}
	r.log("case", "%s got %d requests since its start, at worst %.2f of what is allowed", cold.name, len(pushed), worst)
	return nil
}
