//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["peer-digest"] = peerDigest }

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
	return machine{cores: 5, work: 180 * time.Millisecond, load: 700 * time.Millisecond, coldFrom: 0.29, warmWithin: 16 * time.Second}
}

// collidingName returns a worker name whose hash ends in the same 12 bits as that of another.
func collidingName(name string) string {
	for number := 0; ; number++ {
		other := fmt.Sprintf("s-%08x", 0x5b7e0000+number)
		if hashOf(other)&0xfff == hashOf(name)&0xfff {
			return other
		}
	}
}

// peerDigest: during a discovery outage a worker begins to drain. A peer's message about another worker must not make a front
// end send anything new to it.
func peerDigest(r *rig) error {
	const grace = 550 * time.Millisecond
	if err := r.addFrontEnds(2); err != nil {
		return err
	}
	names := []string{"s-00c41f7a", collidingName("s-00c41f7a"), "s-81f03c9e", "s-c2d94a16"}
	var all []*worker
	for _, name := range names {
		w, err := r.newWorker(name, outletMachine(), 2)
		if err != nil {
			return err
		}
		all = append(all, w)
	}
	busy, drains := all[0], all[1]
	j, err := newJournal(r, 2)
	if err != nil {
		return err
	}
	var list []host
	for _, w := range all {
		list = append(list, host{w, "active", 0})
	}
	j.add(true, list...)
	if err := r.startFrontEnds(j, func(number int) terms { return outlet(number, 2) }); err != nil {
		return err
	}
	onBusy, onDrains := functionFor(0, all, busy), functionFor(0, all, drains)
	first, second := r.outletClient(r.frontEnd[0]), r.outletClient(r.frontEnd[1])

	t0 := r.now()
	at := func(seconds float64) time.Duration { return t0 + time.Duration(seconds*float64(time.Second)) }
	go second.flow(at(0), at(16), 15, func(int) string { return onBusy })
	go first.flow(at(0), at(6), 5, func(int) string { return onDrains })
	r.sleepUntil(at(3))
	if r.trouble {
		j.down(0)
		j.down(1)
	}
	r.sleepUntil(at(8)) // 5 s after the outage began: told at once
	j.add(false, host{drains, "leaving", 0})
	drains.drain()
	first.flow(at(10), at(14), 5, func(int) string { return onDrains })
	r.sleepUntil(at(16))
	first.wait.Wait()
	second.wait.Wait()

	drains.mu.Lock()
	defer drains.mu.Unlock()
	for _, got := range drains.requests {
		if late := got.at - drains.drainAt; late > grace {
			r.violate("drain: %s got request %016x of n%d %.3f s after n%d was told that it drains", drains.name, got.id, got.frontEnd,
				late.Seconds(), got.frontEnd)
		}
	}
	for _, got := range drains.orders {
		if late := got.at - drains.drainAt; late > grace {
			r.violate("drain: %s got an order of n%d to load %s %.3f s after n%d was told that it drains", drains.name, got.frontEnd,
				got.function, late.Seconds(), got.frontEnd)
		}
	}
	return nil
}
