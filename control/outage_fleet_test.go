package control

import (
	"math/rand"
	"strconv"
	"testing"
	"testing/quick"

	"streamcleat/internal/units"
)

// With random discovery outages and random drains, nothing is sent to a worker that has drained for longer than the grace,
// even if discovery has not reported the drain.
func TestRouter_RespectsDrainsDuringOutages(t *testing.T) {
	holds := func(seed int64, acceptsQueries bool) bool {
		fleet := runRandomOutages(seed, acceptsQueries)
		if fleet.violation != "" {
			t.Logf("seed %d: %s", seed, fleet.violation)
		}
		return fleet.violation == ""
	}
	if err := quick.Check(holds, &quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(2))}); err != nil {
		t.Error(err)
	}
}

// runRandomOutages simulates requests and discovery outages, during which workers drain, return to service, and fail in other
// ways.
func runRandomOutages(seed int64, acceptsQueries bool) *simulatedFleet {
	rnd := rand.New(rand.NewSource(seed))
	deployment := randomDeployment(rnd)
	deployment.EndpointLeases, deployment.DrainGrace = true, units.Seconds(0.2+rnd.Float64()*2)
	fleet := newSimulatedFleet(seed, deployment, 2+rnd.Intn(7))
	fleet.drainingRespondsToQueries = acceptsQueries
	requests, outageEnd := 0, 0
	for step := range 2000 {
		fleet.advance(stepSeconds)
		switch {
		case step == outageEnd:
			fleet.endOutage()
		case step > outageEnd && step < 1500 && rnd.Intn(200) == 0:
			fleet.beginOutage(fleet.frontEnds...)
			outageEnd = step + 1 + rnd.Intn(600)
		case !fleet.discoveryDown && step%100 == 0:
			fleet.sendHeartbeats()
		}
		if step < 1500 && rnd.Float64() < 0.3 {
			f := fleet.frontEnds[rnd.Intn(len(fleet.frontEnds))]
			class := deployment.RequestClasses[rnd.Intn(len(deployment.RequestClasses))]
			requests++
			f.sendRequest(RequestID(strconv.Itoa(requests)), FunctionID(strconv.Itoa(rnd.Intn(6))), class, class.Timeout)
		}
		if worker := fleet.workers[rnd.Intn(len(fleet.workers))]; fleet.discoveryDown && rnd.Intn(60) == 0 {
			worker.drainOrReturn(rnd, fleet.now)
		}
		if fleet.discoveryDown && rnd.Intn(200) == 0 {
			fleet.frontEnds[rnd.Intn(len(fleet.frontEnds))].restart(uint64(step))
		}
	}
	fleet.checkNoStateLeft()
	return fleet
}

// restart replaces the front end's router, whose requests are lost. The new router starts with the endpoint list of the old
// one.
func (f *simulatedFrontEnd) restart(seed uint64) {
	s := f.fleet
	f.requests, f.requestTimes, f.loadTimes, f.connected = map[RequestID]*clientRequest{}, nil, nil, nil
	f.router = New(s.deployment, seed, f, s.now)
	f.router.Start()
	var endpoints []Worker
	for _, worker := range s.workers {
		endpoint := worker.Worker
		endpoint.State, endpoint.StartedAt = worker.listedState[f.index], units.Seconds(worker.listedStart[f.index])
		if endpoint.State != Removed {
			endpoints = append(endpoints, endpoint)
		}
	}
	f.router.OnEndpointUpdate(s.now, Snapshot, endpoints)
	for _, worker := range s.workers {
		delete(worker.sendsAfterGrace, f.index)
	}
}

// beginOutage isolates front ends from discovery, after a last list.
func (s *simulatedFleet) beginOutage(isolated ...*simulatedFrontEnd) {
	s.sendHeartbeats()
	s.discoveryDown, s.outageStartedAt = true, s.now
	for _, f := range isolated {
		f.isolated = true
		f.router.OnDiscoveryUnavailable(s.now)
	}
}

func (s *simulatedFleet) endOutage() {
	s.discoveryDown = false
	for _, f := range s.frontEnds {
		f.isolated = false
	}
	s.sendHeartbeats()
}

// sendHeartbeats sends what has changed in the list, and a heartbeat, to all front ends that are not isolated from discovery.
func (s *simulatedFleet) sendHeartbeats() {
	for _, f := range s.frontEnds {
		if !f.isolated {
			f.sendListChanges()
			f.router.OnDiscoveryAvailable(s.now, s.now)
		}
	}
}

// drainOrReturn makes a worker drain or return to service, or changes its condition.
func (w *simulatedWorker) drainOrReturn(rnd *rand.Rand, now units.Seconds) {
	switch rnd.Intn(4) {
	case 0, 1:
		if w.State == Serving {
			w.State, w.drainedAt, w.sendsAfterGrace = Draining, now, map[int]int{}
		}
	case 2:
		w.State = Serving
	default:
		w.condition = workerCondition(rnd.Intn(int(partitioned) + 1))
	}
}

// checkUnreportedDrain records a violation if a message is sent to a worker after the grace of a drain that discovery has not
// reported.
func (f *simulatedFrontEnd) checkUnreportedDrain(message string, worker *simulatedWorker) {
	s := f.fleet
	if !f.isolated || worker.State != Draining || s.now <= worker.drainedAt+s.deployment.DrainGrace {
		return
	}
	worker.sendsAfterGrace[f.index]++
	s.recordViolation("%s at %s, which has drained for %.3f", message, worker.ID, s.now-worker.drainedAt)
}
