package proxy

import (
	"fmt"
	"testing"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// Start times in the endpoint list are wall-clock times. Steps of this machine's clock must not change the start time of a
// worker, and a restart must be placed after the list was last read.
func TestReadEndpointList_WorkerStartsAfterClockSteps(t *testing.T) {
	host := &fakeHost{now: 1000}
	p := New(Settings{Dispatch: dispatch.Settings{
		Deployment:     &control.Deployment{FrontEnds: 1, MaxAttempts: 2, MinRoundInterval: 0.004},
		MaxOpen:        10,
		MaxCachedBytes: 1,
	}}, host)
	readStart := func(listed units.Seconds) float64 {
		t.Helper()
		label := ""
		if listed != 0 {
			label = fmt.Sprintf(`,"started":"%.3f"`, listed)
		}
		if err := p.ReadEndpointList(fmt.Appendf(nil, `[{"targets":["h:1"],"labels":{"instance":"wk"%s}}]`, label)); err != nil {
			t.Fatal(err)
		}
		return float64(p.endpoints.configured.Workers[0].StartedAt)
	}
	unix := func(at units.Seconds) float64 { return float64(hostEpoch + at) }
	if start := readStart(units.Seconds(unix(990))); start != 990 {
		t.Errorf("worker started at %v, want 990", start)
	}
	host.skew, host.now = 120, 1010
	if start := readStart(units.Seconds(unix(990))); start != 990 {
		t.Errorf("after a clock step, worker started at %v, want 990", start)
	}
	host.now = 1020
	if start := readStart(units.Seconds(unix(1015))); start < 1010 || start > 1020 {
		t.Errorf("restart between two reads placed at %v, want 1010 to 1020", start)
	}
	host.skew, host.now = -300, 1030
	if start := readStart(units.Seconds(unix(1025))); start < 1020 || start > 1030 {
		t.Errorf("restart by a clock ahead of this one placed at %v, want 1020 to 1030", start)
	}
	if start := readStart(0); start != 0 {
		t.Errorf("worker without a listed start time started at %v, want 0", start)
	}
	if p.endpoints.listedStart("wk") != 0 || p.ReadEndpointList([]byte("[")) == nil || len(p.endpoints.configured.Workers) != 1 {
		t.Error("invalid list accepted or applied")
	}
}
