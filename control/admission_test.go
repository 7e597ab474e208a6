package control

import (
	"fmt"
	"testing"

	"streamcleat/internal/units"
)

// TestShedLoad_LateResponses checks that late responses cause a fraction of the requests to be rejected, with a higher
// fraction of retries than of first attempts, and that timeouts cause none, because they do not indicate overload.
func TestShedLoad_LateResponses(t *testing.T) {
	d := basicDeployment()
	d.FrontEnds = 100
	fleet := newSimulatedFleet(14, d, 3)
	f := fleet.frontEnds[0]
	class := &d.RequestClasses[0]
	countRejected := func(outcome Outcome, retried bool) (rejected int) {
		f.router.admissionProbability = 1
		for n := 0; f.router.admissionProbability > 0.7 && n < 20; n++ {
			req := &request{function: &function{concurrency: 1, targetReplicas: 1}, class: class}
			f.router.updateFromWarmResponse(req, AttemptResult{Outcome: outcome, Latency: 2})
		}
		for range 200 {
			req := &request{Request: Request{ID: "x", Retried: retried}, class: class, function: &function{}}
			f.requests["x"] = &clientRequest{Request: req.Request, class: *class, deadline: fleet.now + 3}
			if f.router.shedLoad(req) {
				rejected++
			}
		}
		return rejected
	}
	first, retries, timedOut := countRejected(Succeeded, false), countRejected(Succeeded, true), countRejected(TimedOut, false)
	if first < 40 || first > 100 || retries < first+40 || retries == 200 || timedOut > 0 {
		t.Errorf("rejected of 200: %d first attempts, %d retries, %d after timeouts", first, retries, timedOut)
	}
	fleet.checkInvariants(t)
}

// TestShedLoad_MinorityOfLateResponses checks that no load is shed if a fourth of the responses or fewer are late, which
// load shedding would not remedy, and that load is shed if half of them are late.
func TestShedLoad_MinorityOfLateResponses(t *testing.T) {
	d := basicDeployment()
	d.FrontEnds = 100
	for lateOneIn, sheds := range map[int]bool{5: false, 4: false, 2: true} {
		t.Run(fmt.Sprint("one late in ", lateOneIn), func(t *testing.T) {
			r := newSimulatedFleet(14, d, 3).frontEnds[0].router
			lowest := r.admissionProbability
			for n := range 400 {
				latency := 0.1
				if n%lateOneIn == 0 {
					latency = 2
				}
				req := &request{function: &function{concurrency: 1, targetReplicas: 1}, class: &d.RequestClasses[0]}
				r.updateFromWarmResponse(req, AttemptResult{Outcome: Succeeded, Latency: units.Seconds(latency)})
				lowest = min(lowest, r.admissionProbability)
			}
			if lowest < 1 != sheds {
				t.Errorf("lowest admission probability is %.2f", lowest)
			}
		})
	}
}
