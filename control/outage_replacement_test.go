package control

import (
	"math/rand"
	"strconv"
	"testing"
	"testing/quick"

	"streamcleat/internal/units"
)

// With random discovery outages, before or in which workers terminate and return cold at their addresses, no worker is pushed
// over while it warms up. The outages isolate all front ends or some. Front ends begin an outage with connections to some workers
// only: functions come into use and go out of it, and idle connections are closed.
func TestRouter_ColdWorkersDuringOutages(t *testing.T) {
	holds := func(seed int64) bool {
		fleet := runRandomReplacements(seed)
		if fleet.violation != "" {
			t.Logf("seed %d: %s", seed, fleet.violation)
		}
		return fleet.violation == ""
	}
	if err := quick.Check(holds, &quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(3))}); err != nil {
		t.Error(err)
	}
}

// replacementRun is a simulated fleet whose workers terminate and return cold during discovery outages.
type replacementRun struct {
	*simulatedFleet
	rnd       *rand.Rand
	requests  int
	functions []FunctionID // in use, by front end
	rate      float64      // requests per second to all front ends together
	outageEnd int          // step
	isolated  int          // number of front ends that the outage isolates: the first ones
}

// Steps of a run. Some workers terminate before the outage begins, so that they are still listed when they return during it.
const (
	firstTermination = 100
	outageStart      = 600
)

// runRandomReplacements simulates one outage after a time of use.
func runRandomReplacements(seed int64) *simulatedFleet {
	const steps = 4000
	rnd := rand.New(rand.NewSource(seed))
	deployment := basicDeployment()
	deployment.FrontEnds, deployment.GossipAllowed = 1+rnd.Intn(8), rnd.Intn(2) == 0
	deployment.NoLoadOnMiss = rnd.Intn(2) == 0
	deployment.EndpointLeases, deployment.DrainGrace = true, units.Seconds(0.5+rnd.Float64()*1.5)
	run := &replacementRun{simulatedFleet: newSimulatedFleet(seed, deployment, 3+rnd.Intn(6)), rnd: rnd}
	run.pushesOver = true
	run.listingDelay = units.Seconds(rnd.Float64() * maxListingDelay)
	run.sendHeartbeats()
	run.functions = make([]FunctionID, deployment.FrontEnds)
	run.useOtherFunctions()
	run.outageEnd = outageStart + 800 + rnd.Intn(2000)
	if run.isolated = deployment.FrontEnds; rnd.Intn(2) == 0 {
		run.isolated = rnd.Intn(deployment.FrontEnds)
	}
	for step := range steps {
		run.advance(stepSeconds)
		switch {
		case step == outageStart:
			run.beginOutage(run.frontEnds[:run.isolated]...)
		case step == run.outageEnd:
			run.endOutage()
		case step%100 == 0:
			run.sendHeartbeats()
		}
		run.step(step)
	}
	return run.simulatedFleet
}

// step sends requests and injects faults, with probabilities for each hundredth of a second.
func (r *replacementRun) step(step int) {
	worker := r.workers[r.rnd.Intn(len(r.workers))]
	f := r.frontEnds[r.rnd.Intn(len(r.frontEnds))]
	if r.rnd.Float64() < r.rate*stepSeconds {
		r.requests++
		f.sendRequest(RequestID(strconv.Itoa(r.requests)), r.functions[f.index], r.deployment.RequestClasses[0], 3)
	}
	switch {
	case r.rnd.Intn(300) == 0:
		r.useOtherFunctions()
	case r.rnd.Intn(200) == 0:
		f.disconnect(worker) // idle
	case step >= firstTermination && r.rnd.Intn(250) == 0 && worker.condition == healthy && step < r.outageEnd:
		r.terminateForAWhile(worker)
	case r.discoveryDown && r.rnd.Intn(400) == 0 && worker.State == Serving && r.isStartListed(worker):
		worker.State, worker.drainedAt, worker.sendsAfterGrace = Draining, r.now, map[int]int{}
		r.sendHeartbeats()
	case r.discoveryDown && r.rnd.Intn(1500) == 0:
		f.restart(uint64(step))
	}
}

// useOtherFunctions makes other functions be those that are requested, at another rate: one at all front ends, or one at each.
func (r *replacementRun) useOtherFunctions() {
	r.rate = 5 + r.rnd.Float64()*75
	common := FunctionID(strconv.Itoa(r.rnd.Intn(12)))
	isCommon := r.rnd.Intn(2) == 0
	for i := range r.functions {
		if r.functions[i] = common; !isCommon {
			r.functions[i] = FunctionID(strconv.Itoa(r.rnd.Intn(12)))
		}
	}
}

// terminateForAWhile terminates a worker, which returns cold after some seconds.
func (r *replacementRun) terminateForAWhile(worker *simulatedWorker) {
	r.terminate(worker)
	r.after(units.Seconds(2.5+r.rnd.Float64()*5), func() {
		r.returnCold(worker)
		r.after(r.listingDelay, r.sendHeartbeats)
	})
}
