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

func TestJournalAppliesEventsByNumber(t *testing.T) {
	j := NewDiscovery()
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
		changed, err := j.ReadLine([]byte(c.line))
		var names []string
		for _, wk := range j.EndpointList(0).Workers {
			names = append(names, fmt.Sprintf("%s%d", wk.ID, wk.State))
		}
		if changed != c.changed || (err != nil) != c.fails || strings.Join(names, " ") != c.names {
			t.Errorf("line %d: changed %v, %v, list %v", i, changed, err, names)
		}
	}
	if known := NewDiscovery(); known.ReadSnapshot(fmt.Appendf(nil, `{"pos":3,"entries":[%s]}`, hostLine(1, true, a))) != nil || known.Position() != 1 {
		t.Errorf("the document's number is taken for events that it lacks: %d", known.Position())
	}
	if string(j.ResumeRequest()) != "tail 9\n" {
		t.Errorf("%q", j.ResumeRequest())
	}
	if _, err := j.ReadLine([]byte("12")); !errors.Is(err, errGap) {
		t.Error(err)
	}
}

func TestListedWorker(t *testing.T) {
	j := NewDiscovery()
	if _, err := j.ReadLine(hostLine(1, true, worker("a", "10.0.0.1:9", "active", 5000))); err != nil {
		t.Fatal(err)
	}
	l := j.EndpointList(100)
	want := control.Worker{ID: "a", Zone: "east", MachineType: "std", FailureDomain: 2, Weight: 4, StartedAt: 105}
	if l.Workers[0] != want || l.Addresses["a"] != "10.0.0.1:9" {
		t.Errorf("%+v", l)
	}
}

const document = `{"name":"n3","listen":"127.0.0.4:9090","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":256},
"peer_listen":"127.0.0.4:7946","peers":["127.3.0.1:7946"],"peers_all":"127.3.255.1:7946","journal":"127.2.0.1:4222",
"known":{"pos":3,"entries":[{"pos":3,"hosts":{"seq":7,"whole":true,"hosts":[]}}]},
"settings":{"Balancers":3,"Classes":[{"Name":"call","AimMs":1500,"GiveUpMs":4000,"Idempotency":"free"}]}}`

func TestMachine(t *testing.T) {
	m, err := ReadDocument([]byte(document))
	if err != nil || m.Seed != 0x8c1f30d27a5be964 || m.MaxDescriptors != 256 || m.Known.Position() != 3 || m.Terms.Deployment().FrontEnds != 3 {
		t.Fatal(m, err)
	}
	for from, to := range map[string]string{`"127.0.0.4:9090"`: `"x"`, `"127.2.0.1:4222"`: `""`, `"memory_mb":192`: `"memory_mb":0`,
		`"sockets":256`: `"sockets":-1`, `"free"`: `"odd"`, `"pos":3,"hosts"`: `"pos":"x","hosts"`, `["127.3.0.1:7946"]`: `["y"]`} {
		bad := strings.Replace(document, from, to, 1)
		_, err := ReadDocument([]byte(bad))
		want := map[string]string{`"127.0.0.4:9090"`: "listen:", `"127.2.0.1:4222"`: "journal:", `"memory_mb":192`: "limits/memory_mb:",
			`"sockets":256`: "limits/sockets:", `"free"`: "settings:", `"pos":3,"hosts"`: "known:", `["127.3.0.1:7946"]`: "peers/0:"}[from]
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", to, err)
		}
	}
	if _, err := ReadDocument([]byte("{")); err == nil {
		t.Error("a document that is cut off was taken")
	}
}

func TestLifeAfterTheSignal(t *testing.T) {
	open, unread, none := Outstanding{Requests: true, UnreadResponses: true}, Outstanding{UnreadResponses: true}, Outstanding{}
	type look struct {
		since float64
		left  Outstanding
		want  ShutdownPhase
	}
	for i, looks := range [][]look{
		// Nothing is open: requests that come in the window, and those that cross the telling, are waited for.
		{{0, none, Draining}, {0.6, none, Draining}, {0.7, none, GoingAway}, {0.9, open, GoingAway}, {1, none, Flushing}, {1.02, none, Terminated}},
		// An event is open for long, and a client reads slowly.
		{{0.7, open, GoingAway}, {2.1, open, GoingAway}, {2.2, unread, Flushing}, {2.25, unread, Flushing}, {2.3, none, Terminated}},
		// The kill is near: what is open is answered, and who does not read by then is not waited for.
		{{1, open, GoingAway}, {3.5, open, Answering}, {3.6, unread, Flushing}, {3.69, open, Flushing}, {3.75, unread, Terminated}},
	} {
		s := Shutdown{MaxAge: 4} // counts as 3
		for _, l := range looks {
			if got := s.Phase(l.since, l.left); got != l.want {
				t.Errorf("play %d: %v after the signal: %d, want %d", i, l.since, got, l.want)
			}
		}
	}
	if s := (Shutdown{MaxAge: 1.5}); s.Phase(2, open) != Answering {
		t.Error("a kill that comes sooner is not seen")
	}
}

func FuzzJournal(f *testing.F) {
	f.Add(hostLine(1, true, worker("a", "10.0.0.1:9", "active", 5000)))
	f.Add([]byte("17"))
	f.Fuzz(func(t *testing.T, line []byte) {
		j := NewDiscovery()
		changed, err := j.ReadLine(line)
		if l := j.EndpointList(0); err != nil && (changed || j.Position() != 0) || len(l.Workers) != len(l.Addresses) {
			t.Errorf("%v, %v: %+v", changed, err, l)
		}
	})
}
