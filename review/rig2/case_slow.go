//go:build review

package main

import "time"

func init() { cases["slow-discovery"] = slowDiscovery }

// slowDiscovery: the way from the journal service to the front end becomes slow: what the service writes arrives up to 6 s
// later, in order and without a gap. A worker begins to drain. What the service holds for 4 s counts as told.
func slowDiscovery(r *rig) error {
	const (
		told     = 4 * time.Second
		grace    = 550 * time.Millisecond
		maxDelay = 6 * time.Second
	)
	if err := r.addFrontEnds(1); err != nil {
		return err
	}
	j, err := newJournal(r, 1)
	if err != nil {
		return err
	}
	all, err := r.outletWorkers(j)
	if err != nil {
		return err
	}
	drains := all[0]
	slowFrom := r.now() + 4*time.Second
	if r.trouble {
		j.delay = func() time.Duration { // grows by 0.3 s in a second
			return min(max(r.now()-slowFrom, 0)*3/10, maxDelay)
		}
	}
	if err := r.startFrontEnds(j, func(number int) terms { return outlet(number, 1) }); err != nil {
		return err
	}
	function := functionFor(0, all, drains)
	c := r.outletClient(r.frontEnd[0])
	go c.flow(r.now(), slowFrom+32*time.Second, 8, func(int) string { return function })
	r.sleepUntil(slowFrom + 23*time.Second)
	j.add(false, host{drains, "leaving", 0})
	drains.drain()
	r.sleepUntil(slowFrom + 29*time.Second) // it has drained for 6 s
	drains.leave(j)
	r.sleepUntil(slowFrom + 33*time.Second)
	c.wait.Wait()

	drains.mu.Lock()
	defer drains.mu.Unlock()
	for _, got := range append(drains.requests, drains.orders...) {
		if late := got.at - drains.drainAt; late > told+grace+20*time.Millisecond { // a send counts from its first byte, got.at from its last
			r.violate("drain: %s got a request or an order for %s %.3f s after the journal service held that it drains", drains.name,
				got.function, late.Seconds())
		}
	}
	return nil
}
