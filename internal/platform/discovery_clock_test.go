package platform

import (
	"testing"

	"streamcleat/internal/units"
)

// A step of the wall clock must not make a worker that just started count as warmed up, must not put a start time in the
// future, and must not change a start time that was already converted.
func TestEndpointList_StartTimesUnderSteppedClock(t *testing.T) {
	const hour, warmUp = 3600.0, 16.0
	for name, c := range map[string]struct{ initialError, step float64 }{
		"correct":                   {0, 0},
		"stepped forward":           {0, hour},
		"stepped back":              {0, -hour},
		"ahead, then corrected":     {hour, -hour},
		"behind, then corrected":    {-hour, hour},
		"behind, then stepped back": {-hour, -hour},
		"stepped by seconds":        {0, 5},
	} {
		t.Run(name, func(t *testing.T) {
			const processAt, trueUnix = 1000.0, 1.7e9 // the same time on both clocks
			discovery := NewDiscovery()
			startsAt := func(seconds, clockError float64) map[string]float64 {
				starts := map[string]float64{}
				for _, worker := range discovery.EndpointList(units.Seconds(processAt+seconds), units.Seconds(trueUnix+seconds+clockError)).Workers {
					starts[string(worker.ID)] = float64(worker.StartedAt)
				}
				return starts
			}
			unixMs := func(seconds units.Seconds) int { return int((trueUnix + seconds) * 1000) }
			read := func(line []byte) {
				if _, err := discovery.ReadLine(line); err != nil {
					t.Fatal(err)
				}
			}
			read(snapshotLine(1, hostJSON("old", "10.0.0.1:9", "active", 0), hostJSON("early", "10.0.0.2:9", "active", unixMs(-3))))
			before := startsAt(0, c.initialError)
			read(deltaLine(2, hostJSON("new", "10.0.0.3:9", "active", unixMs(59))))
			after := startsAt(60, c.initialError+c.step)
			if start := after["new"]; start > processAt+60 || start < processAt+60-warmUp {
				t.Errorf("worker that started 1 s ago has an age of %v s", processAt+60-start)
			}
			if after["early"] != before["early"] || after["early"] > processAt || after["old"] != 0 {
				t.Errorf("start times changed from %v to %v", before, after)
			}
			read(snapshotLine(3, hostJSON("new", "10.0.0.3:9", "leaving", unixMs(59))))
			if again := startsAt(70, c.initialError); again["new"] != after["new"] {
				t.Errorf("start time changed when the worker was listed again: %v, %v", after["new"], again["new"])
			}
		})
	}
}
