package control

import (
	"math"

	"streamcleat/internal/units"
)

// Slow start: the rate of attempts on a worker that is warming up is limited by a budget, which is granted as credits.

const (
	slowStartBudgetFraction = 0.9  // fraction of the capacity that is used, as a margin for errors in the estimated rates
	creditFraction          = 0.6  // fraction of the budget that is granted as credits, because they are used at random times
	creditLifetimeWindows   = 1.25 // number of overload windows after which an unused credit expires
)

// warmUpProgress returns a lower bound of the fraction of its full capacity that w has at the given time.
func (r *Router) warmUpProgress(w *worker, time units.Seconds) float64 {
	age := time - r.coldSince(w)
	if r.coldSince(w) <= 0 || age >= r.deployment.WarmUpTime {
		return 1
	}
	return r.deployment.InitialCapacityFraction + float64(units.Seconds(1-r.deployment.InitialCapacityFraction)*max(age, 0)/r.deployment.WarmUpTime)
}

// hasWarmedUp reports whether a process that started at a time, or long ago if that is 0, has completed its warm-up.
func (r *Router) hasWarmedUp(startedAt units.Seconds) bool {
	return startedAt <= 0 || r.now-startedAt >= r.deployment.WarmUpTime
}

// slowStartBudget returns the number of attempts that this front end may start on w within an overload window. As the
// capacity of w is unknown, this front end's share of it is estimated as the peak rate that it has observed on warm
// workers of the same machine type.
func (r *Router) slowStartBudget(w *worker) float64 {
	windowStart := max(r.now-r.deployment.OverloadWindow, r.coldSince(w))
	fraction := slowStartBudgetFraction * r.deployment.OverloadFactor * r.warmUpProgress(w, windowStart)
	budget := float64(units.Seconds(fraction)*r.deployment.OverloadWindow) * w.machine.peakRate
	return max(budget, r.sustainedBudget(w), 1/float64(r.deployment.FrontEnds))
}

// sustainedBudget returns the number of attempts within an overload window that the process at the address of w can take because
// it has taken them before: if it was cold then, it would have been overloaded by more, and its capacity has grown since.
func (r *Router) sustainedBudget(w *worker) float64 {
	p := w.process
	if p.sustainedRate == 0 {
		return 0
	}
	growth := r.warmUpProgress(w, r.now) / r.warmUpProgress(w, p.sustainedAt)
	return p.sustainedRate * growth * float64(r.deployment.OverloadWindow)
}

// hasSlowStartCredit reports whether w may receive another attempt. Unused credits expire. Otherwise all front ends would
// use theirs at once when a rollout stops the worker that serves a hot function.
func (r *Router) hasSlowStartCredit(w *worker) bool {
	if r.warmUpProgress(w, r.now) >= 1 {
		return true
	}
	if w.grantedCredits-w.usedCredits < 1 {
		return false
	}
	sinceGrant := w.grantedCredits - math.Floor(w.grantedCredits)
	return sinceGrant < creditLifetimeWindows*creditFraction*r.slowStartBudget(w)
}

// useSlowStartCredit uses one credit, and discards saved credits with which a window could exceed its budget.
func (r *Router) useSlowStartCredit(w *worker) {
	maxSaved := (1 - creditFraction) * r.slowStartBudget(w)
	w.usedCredits = max(w.usedCredits+1, w.grantedCredits-maxSaved)
	w.process.attempts++
}

// grantSlowStartCredits grants the credits for the elapsed time to the workers that are warming up.
func (r *Router) grantSlowStartCredits(elapsed units.Seconds) {
	for _, w := range r.workers {
		if r.warmUpProgress(w, r.now) < 1 {
			w.grantedCredits += float64(units.Seconds(creditFraction*r.slowStartBudget(w)) * elapsed / r.deployment.OverloadWindow)
		}
	}
}

// updateAttemptRates updates the rates of attempts on the processes from the attempts since the last tick.
func (r *Router) updateAttemptRates(elapsed units.Seconds) {
	weight := min(float64(elapsed/max(r.deployment.OverloadWindow, elapsed)), 1)
	for _, w := range r.workers {
		w.process.attemptRate += weight * (w.process.attempts/float64(elapsed) - w.process.attemptRate)
		w.process.attempts = 0
	}
}

// updateMachineRates updates the observed rates of the machine types from the successful attempts since the last tick. The rate is
// that of the mean worker, so that the rates of all front ends add up to no more than the capacity of one. Workers that may be
// cold only because nothing shows who is at their address count for it, although their attempts do not.
func (r *Router) updateMachineRates(elapsed units.Seconds) {
	for _, machine := range r.machines {
		machine.warmWorkers = 0
	}
	for _, w := range r.workers {
		if w.state == Serving && r.hasWarmedUp(w.startedAt) {
			w.machine.warmWorkers++
		}
	}
	for _, machine := range r.machines {
		rate := machine.successes / float64(elapsed) / max(machine.warmWorkers, 1)
		machine.rate += min(float64(elapsed/rateAveragingSeconds), 1) * (rate - machine.rate)
		machine.peakRate = max(machine.peakRate, machine.rate)
		machine.successes = 0
	}
}
