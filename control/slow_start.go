package control

import "math"

// Slow start: attempts on a worker in its warm-up are limited by a budget, which is granted as credits.

const (
	slowStartBudgetFraction = 0.9  // part of the capacity that is used, against rates that were misjudged
	creditFraction          = 0.6  // part of the budget that is granted as credits, used at random times
	creditLifetimeWindows   = 1.25 // overload windows for which a credit is kept
)

// warmUpProgress is the least fraction of its capacity that a worker may have at a time after its start.
func (r *Router) warmUpProgress(w *worker, time float64) float64 {
	age := time - w.startedAt
	if w.startedAt <= 0 || age >= r.deployment.WarmUpTime {
		return 1
	}
	return r.deployment.InitialCapacityFraction + (1-r.deployment.InitialCapacityFraction)*max(age, 0)/r.deployment.WarmUpTime
}

// slowStartBudget is how many attempts this front end may start on a worker within an overload window. Its
// part of the unknown capacity is the most that a warm worker of the machine type did for it.
func (r *Router) slowStartBudget(w *worker) float64 {
	windowStart := max(r.now-r.deployment.OverloadWindow, w.startedAt)
	fraction := slowStartBudgetFraction * r.deployment.OverloadFactor * r.warmUpProgress(w, windowStart)
	budget := fraction * r.deployment.OverloadWindow * w.machine.peakRate
	return max(budget, 1/float64(r.deployment.FrontEnds))
}

// hasSlowStartCredit tells whether a worker may get one more attempt. Unused credits lapse soon, or all front
// ends would use them together when a hot function loses its worker to a rollout.
func (r *Router) hasSlowStartCredit(w *worker) bool {
	if r.warmUpProgress(w, r.now) >= 1 {
		return true
	}
	if w.slowStartCredits-w.usedCredits < 1 {
		return false
	}
	sinceGrant := w.slowStartCredits - math.Floor(w.slowStartCredits)
	return sinceGrant < creditLifetimeWindows*creditFraction*r.slowStartBudget(w)
}

// useSlowStartCredit takes a credit, and drops saved ones so that no window gets more than its budget.
func (r *Router) useSlowStartCredit(w *worker) {
	kept := (1 - creditFraction) * r.slowStartBudget(w)
	w.usedCredits = max(w.usedCredits+1, w.slowStartCredits-kept)
}

func (r *Router) grantSlowStartCredits(span float64) {
	for _, w := range r.workers {
		if r.warmUpProgress(w, r.now) < 1 {
			w.slowStartCredits += creditFraction * r.slowStartBudget(w) * span / r.deployment.OverloadWindow
		}
	}
}

// updateMachineRates takes the successful attempts since the last tick into the rates of the machine types.
func (r *Router) updateMachineRates(span float64) {
	for _, machine := range r.machines {
		machine.warmWorkers = 0
	}
	for _, w := range r.workers {
		if w.state == Serving && r.warmUpProgress(w, r.now) >= 1 {
			w.machine.warmWorkers++
		}
	}
	for _, machine := range r.machines {
		rate := machine.succeeded / span / max(machine.warmWorkers, 1)
		machine.rate += min(span/rateAveragingSeconds, 1) * (rate - machine.rate)
		machine.peakRate = max(machine.peakRate, machine.rate)
		machine.succeeded = 0
	}
}
