package platform

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"streamcleat/control"
)

// snapshotLine returns the line of an event that lists all workers.
func snapshotLine(position int, hosts ...string) []byte { return eventLine(position, true, hosts) }

// deltaLine returns the line of an event that lists changed workers.
func deltaLine(position int, hosts ...string) []byte { return eventLine(position, false, hosts) }

func eventLine(position int, complete bool, hosts []string) []byte {
	return fmt.Appendf(nil, `{"pos":%d,"hosts":{"seq":1,"whole":%v,"hosts":[%s]}}`, position, complete, strings.Join(hosts, ","))
}

// hostJSON returns a worker as it is encoded in an event.
func hostJSON(name, address, state string, startedAtMs int) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"east","class":"std","block":2,"health":%q,"share":4,"born_ms":%d}`, name, address, state, startedAtMs)
}

func TestReadLine_AppliesEventsInOrder(t *testing.T) {
	discovery := NewDiscovery()
	a, b := hostJSON("a", "10.0.0.1:9", "active", 0), hostJSON("b", "10.0.0.2:9", "active", 5000)
	for i, c := range []struct {
		line   string
		effect LineEffect
		fails  bool
		list   string // names with states
	}{
		{string(snapshotLine(1, a, b)), Changed, false, "a0 b0"},
		{string(snapshotLine(1, a)), Ignored, false, "a0 b0"}, // duplicate
		{"1", UpToDate, false, "a0 b0"},
		{"0", Ignored, false, "a0 b0"}, // an older position
		{"", Ignored, false, "a0 b0"},
		{string(deltaLine(2, hostJSON("a", "10.0.0.1:9", "leaving", 0)))[:30], Ignored, true, "a0 b0"}, // truncated
		{string(deltaLine(3, hostJSON("a", "10.0.0.1:9", "left", 0))), Ignored, true, "a0 b0"},         // gap
		{"2", Ignored, true, "a0 b0"},                                                                  // the service is ahead
		{string(deltaLine(2, hostJSON("a", "10.0.0.1:9", "leaving", 0))), Changed, false, "a1 b0"},
		{string(deltaLine(3, hostJSON("b", "nowhere", "active", 0))), Ignored, true, "a1 b0"},
		{string(deltaLine(3, hostJSON("b", "10.0.0.2:9", "odd", 0))), Ignored, true, "a1 b0"},
		{string(deltaLine(3, hostJSON("a", "10.0.0.1:9", "left", 0), hostJSON("c", "10.0.0.1:9", "active", 9000))), Changed, false, "b0 c0"},
		{string(snapshotLine(9, a)), Changed, false, "a0"}, // a complete list needs no preceding events
	} {
		effect, err := discovery.ReadLine([]byte(c.line))
		var names []string
		for _, worker := range discovery.EndpointList(0, 0).Workers {
			names = append(names, fmt.Sprintf("%s%d", worker.ID, worker.State))
		}
		if effect != c.effect || (err != nil) != c.fails || strings.Join(names, " ") != c.list {
			t.Errorf("line %d: effect %v, %v, list %v", i, effect, err, names)
		}
	}
	if snapshot := NewDiscovery(); snapshot.ReadSnapshot(fmt.Appendf(nil, `{"pos":3,"entries":[%s]}`, snapshotLine(1, a))) != nil || snapshot.Position() != 1 {
		t.Errorf("position %d after a snapshot with event 1 only", snapshot.Position())
	}
	if string(discovery.ResumeRequest()) != "tail 9\n" {
		t.Errorf("%q", discovery.ResumeRequest())
	}
	if _, err := discovery.ReadLine([]byte("12")); !errors.Is(err, ErrMissingEvents) {
		t.Error(err)
	}
}

func TestEndpointList_ConvertsWorkers(t *testing.T) {
	discovery := NewDiscovery()
	if _, err := discovery.ReadLine(snapshotLine(1, hostJSON("a", "10.0.0.1:9", "active", 5000))); err != nil {
		t.Fatal(err)
	}
	list := discovery.EndpointList(1000, 900)
	want := control.Worker{ID: "a", Address: "10.0.0.1:9", Zone: "east", MachineType: "std", FailureDomain: 2, Weight: 4, StartedAt: 105}
	if list.Workers[0] != want || list.Addresses["a"] != "10.0.0.1:9" {
		t.Errorf("%+v", list)
	}
}

// Guards against a worker that has gone and whose successor, already listed at its address, gets what is meant for it.
func TestReadLine_SuccessorTakesAddress(t *testing.T) {
	const address = "10.0.0.1:9"
	a := func(state string) string { return hostJSON("a", address, state, 0) }
	b := hostJSON("b", address, "active", 5000)
	for name, c := range map[string]struct {
		lines [][]byte
		list  string // names with states
	}{
		"listed before the end of the other": {[][]byte{snapshotLine(1, a("active")), deltaLine(2, b)}, "b0"},
		"then the other ends":                {[][]byte{snapshotLine(1, a("active")), deltaLine(2, b), deltaLine(3, a("left"))}, "b0"},
		"then the other drains":              {[][]byte{snapshotLine(1, a("active")), deltaLine(2, b), deltaLine(3, a("leaving"))}, "b0"},
		"both in one list":                   {[][]byte{snapshotLine(1, a("active"), b)}, "b0"},
		"both in one list, in reverse":       {[][]byte{snapshotLine(1, b, a("active"))}, "b0"},
		"the other drains":                   {[][]byte{snapshotLine(1, a("leaving")), deltaLine(2, hostJSON("b", address, "active", 0))}, "b0"},
		"the other moved before":             {[][]byte{snapshotLine(1, a("active")), deltaLine(2, hostJSON("a", "10.0.0.2:9", "active", 0), b)}, "a0 b0"},
		"no start is stated for either":      {[][]byte{snapshotLine(1, a("active")), deltaLine(2, hostJSON("b", address, "active", 0))}, "a0 b0"},
	} {
		discovery := NewDiscovery()
		for _, line := range c.lines {
			if _, err := discovery.ReadLine(line); err != nil {
				t.Fatal(name, err)
			}
		}
		var names []string
		for _, worker := range discovery.EndpointList(0, 0).Workers {
			names = append(names, fmt.Sprintf("%s%d", worker.ID, worker.State))
		}
		if got := strings.Join(names, " "); got != c.list {
			t.Errorf("%s: list %s, want %s", name, got, c.list)
		}
	}
}

func FuzzReadLine(f *testing.F) {
	f.Add(snapshotLine(1, hostJSON("a", "10.0.0.1:9", "active", 5000)))
	f.Add([]byte("17"))
	f.Fuzz(func(t *testing.T, line []byte) {
		discovery := NewDiscovery()
		effect, err := discovery.ReadLine(line)
		if list := discovery.EndpointList(0, 0); err != nil && (effect != Ignored || discovery.Position() != 0) || len(list.Workers) != len(list.Addresses) {
			t.Errorf("%v, %v: %+v", effect, err, list)
		}
	})
}
