package proxy

import (
	"fmt"
	"testing"
	"time"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/upstream"
)

// desk is a host whose clocks the test sets.
type desk struct {
	now    float64
	skew   float64
	later  []func()
	due    []float64
	dialed int
}

// fire calls what was to be called by now.
func (d *desk) fire() {
	later, due := d.later, d.due
	d.later, d.due = nil, nil
	for i, f := range later {
		if due[i] <= d.now {
			f()
		} else {
			d.later, d.due = append(d.later, f), append(d.due, due[i])
		}
	}
}

func (d *desk) Now() float64 { return d.now }
func (d *desk) Wall() time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration((d.now + d.skew) * float64(time.Second)))
}
func (d *desk) SetTimer(float64) {}
func (d *desk) After(s float64, f func()) {
	d.later, d.due = append(d.later, f), append(d.due, d.now+s)
}
func (d *desk) Post(func())                  {}
func (d *desk) Dial(upstream.ConnID, string) { d.dialed++ }
func (d *desk) Broadcast([]byte)             {}

// Times of day in the list never make a worker seem older or newer than it can be, however the clock here is set.
func TestStartsOfWorkersUnderAWrongClock(t *testing.T) {
	d := &desk{now: 1000}
	f := New(Settings{Dispatch: dispatch.Settings{Deployment: &control.Deployment{FrontEnds: 1, MaxAttempts: 2, MinRoundInterval: 0.004}, MaxOpen: 10, MaxCachedBytes: 1}}, d)
	read := func(started float64) float64 {
		t.Helper()
		label := ""
		if started != 0 {
			label = fmt.Sprintf(`,"started":"%.3f"`, started)
		}
		if err := f.ReadEndpointList(fmt.Appendf(nil, `[{"targets":["h:1"],"labels":{"instance":"wk"%s}}]`, label)); err != nil {
			t.Fatal(err)
		}
		return f.listed.Workers[0].StartedAt
	}
	unix := func(at float64) float64 { return 1_800_000_000 + at }
	if born := read(unix(990)); born != 990 {
		t.Errorf("started 10 s ago: %v", born)
	}
	d.skew, d.now = 120, 1010
	if born := read(unix(990)); born != 990 {
		t.Errorf("the clock was set, and the worker seems to have started at %v", born)
	}
	d.now = 1020
	if born := read(unix(1015)); born < 1010 || born > 1020 {
		t.Errorf("it started anew between two readings, and seems to at %v", born)
	}
	d.skew, d.now = -300, 1030
	if born := read(unix(1025)); born < 1020 || born > 1030 {
		t.Errorf("it started anew by a clock ahead of this one, and seems to at %v", born)
	}
	if born := read(0); born != 0 {
		t.Errorf("it is said to run for long: %v", born)
	}
	if f.started("wk") != 0 || f.ReadEndpointList([]byte("[")) == nil || len(f.listed.Workers) != 1 {
		t.Error("a faulty list changed something")
	}
}
