package platform

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"streamcleat/control"
)

func hostLine(pos int, whole bool, hosts ...string) []byte {
	return fmt.Appendf(nil, `{"pos":%d,"hosts":{"seq":1,"whole":%v,"hosts":[%s]}}`, pos, whole, strings.Join(hosts, ","))
}

func worker(name, addr, health string, born int) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"east","class":"std","block":2,"health":%q,"share":4,"born_ms":%d}`, name, addr, health, born)
}

func TestDiscoveryAppliesEventsByNumber(t *testing.T) {
	discovery := NewDiscovery()
	a, b := worker("a", "10.0.0.1:9", "active", 0), worker("b", "10.0.0.2:9", "active", 5000)
	for i, c := range []struct {
		line    string
		changed bool
		fails   bool
		names   string
	}{
		{string(hostLine(1, true, a, b)), true, false, "a0 b0"},
		{string(hostLine(1, true, a)), false, false, "a0 b0"}, // twice
		{"1", false, false, "a0 b0"},
		{"", false, false, "a0 b0"},
		{string(hostLine(2, false, worker("a", "10.0.0.1:9", "leaving", 0)))[:30], false, true, "a0 b0"}, // broken off
		{string(hostLine(3, false, worker("a", "10.0.0.1:9", "left", 0))), false, true, "a0 b0"},         // a gap
		{"2", false, true, "a0 b0"},                                                                      // it has told more than came
		{string(hostLine(2, false, worker("a", "10.0.0.1:9", "leaving", 0))), true, false, "a1 b0"},
		{string(hostLine(3, false, worker("b", "nowhere", "active", 0))), false, true, "a1 b0"},
		{string(hostLine(3, false, worker("b", "10.0.0.2:9", "odd", 0))), false, true, "a1 b0"},
		{string(hostLine(3, false, worker("a", "10.0.0.1:9", "left", 0), worker("c", "10.0.0.1:9", "active", 9000))), true, false, "b0 c0"},
		{string(hostLine(9, true, a)), true, false, "a0"}, // a whole list needs nothing before it
	} {
		changed, err := discovery.ReadLine([]byte(c.line))
		var names []string
		for _, worker := range discovery.EndpointList(0, 0).Workers {
			names = append(names, fmt.Sprintf("%s%d", worker.ID, worker.State))
		}
		if changed != c.changed || (err != nil) != c.fails || strings.Join(names, " ") != c.names {
			t.Errorf("line %d: changed %v, %v, list %v", i, changed, err, names)
		}
	}
	if known := NewDiscovery(); known.ReadSnapshot(fmt.Appendf(nil, `{"pos":3,"entries":[%s]}`, hostLine(1, true, a))) != nil || known.Position() != 1 {
		t.Errorf("the document's number is taken for events that it lacks: %d", known.Position())
	}
	if string(discovery.ResumeRequest()) != "tail 9\n" {
		t.Errorf("%q", discovery.ResumeRequest())
	}
	if _, err := discovery.ReadLine([]byte("12")); !errors.Is(err, ErrMissingEvents) {
		t.Error(err)
	}
}

func TestEndpointListOfDiscovery(t *testing.T) {
	discovery := NewDiscovery()
	if _, err := discovery.ReadLine(hostLine(1, true, worker("a", "10.0.0.1:9", "active", 5000))); err != nil {
		t.Fatal(err)
	}
	l := discovery.EndpointList(1000, 900)
	want := control.Worker{ID: "a", Zone: "east", MachineType: "std", FailureDomain: 2, Weight: 4, StartedAt: 105}
	if l.Workers[0] != want || l.Addresses["a"] != "10.0.0.1:9" {
		t.Errorf("%+v", l)
	}
}

func FuzzJournal(f *testing.F) {
	f.Add(hostLine(1, true, worker("a", "10.0.0.1:9", "active", 5000)))
	f.Add([]byte("17"))
	f.Fuzz(func(t *testing.T, line []byte) {
		discovery := NewDiscovery()
		changed, err := discovery.ReadLine(line)
		if l := discovery.EndpointList(0, 0); err != nil && (changed || discovery.Position() != 0) || len(l.Workers) != len(l.Addresses) {
			t.Errorf("%v, %v: %+v", changed, err, l)
		}
	})
}
