package platform

import (
	"testing"
)

// However the time of day is stepped, a worker that starts now never seems to have warmed up, nor to start later than
// now; and what was once heard of a worker's start stays.
func TestStartsOfWorkersUnderASteppedClock(t *testing.T) {
	const hour, warmUp = 3600.0, 16.0
	for name, c := range map[string]struct{ wrongAtStart, step float64 }{
		"right throughout":          {0, 0},
		"stepped forward":           {0, hour},
		"stepped back":              {0, -hour},
		"ahead, then put right":     {hour, -hour},
		"behind, then put right":    {-hour, hour},
		"behind, then further back": {-hour, -hour},
		"by seconds":                {0, 5},
	} {
		t.Run(name, func(t *testing.T) {
			const processAt, trueUnix = 1000.0, 1.7e9 // the same moment by both clocks
			discovery := NewDiscovery()
			at := func(seconds, wrong float64) (start map[string]float64) {
				start = map[string]float64{}
				for _, worker := range discovery.EndpointList(processAt+seconds, trueUnix+seconds+wrong).Workers {
					start[string(worker.ID)] = worker.StartedAt
				}
				return start
			}
			bornAt := func(seconds float64) int { return int((trueUnix + seconds) * 1000) }
			read := func(line []byte) {
				if _, err := discovery.ReadLine(line); err != nil {
					t.Fatal(err)
				}
			}
			read(hostLine(1, true, worker("old", "10.0.0.1:9", "active", 0), worker("early", "10.0.0.2:9", "active", bornAt(-3))))
			before := at(0, c.wrongAtStart)
			read(hostLine(2, false, worker("new", "10.0.0.3:9", "active", bornAt(59))))
			after := at(60, c.wrongAtStart+c.step)
			if start := after["new"]; start > processAt+60 || start < processAt+60-warmUp {
				t.Errorf("a worker that started 1 s ago seems to have started %v s ago", processAt+60-start)
			}
			if after["early"] != before["early"] || after["early"] > processAt || after["old"] != 0 {
				t.Errorf("starts changed from %v to %v", before, after)
			}
			read(hostLine(3, true, worker("new", "10.0.0.3:9", "leaving", bornAt(59))))
			if again := at(70, c.wrongAtStart); again["new"] != after["new"] {
				t.Errorf("a worker that is listed again seems restarted: %v, %v", after["new"], again["new"])
			}
		})
	}
}
