package invariants

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

var rules = Rules{Effect: map[string]string{"again": "redeliverable", "keyed": "keyed", "once": "at-most-once"},
	Remembered: map[string]float64{"keyed": 10}, Work: 0.1, Capacity: map[string]float64{"a": 2, "b": 2}, DrainGrace: 0.5,
	ColdShare: 0.25, WarmWithin: 10, FallFactor: 2, FallWindow: 1, LoadWindow: 5, LoadFree: 2, LoadShare: 0.5, Grace: 0.01}

func ask(at float64, call uint64, evt, kind string) Record {
	return Record{At: at, Kind: Asked, Call: call, Event: evt, Type: kind, Front: "f", Wait: 4}
}

func answer(at float64, call uint64, evt, kind, outcome string) Record {
	return Record{At: at, Kind: Answered, Call: call, Event: evt, Type: kind, Front: "f", Outcome: outcome}
}

func launch(at, to float64, call uint64, wk, evt, kind string, ran bool) []Record {
	list := []Record{{At: at, Kind: Launched, Call: call, Worker: wk, Event: evt, Type: kind, Front: "f"},
		{At: to, Kind: Ended, Call: call, Worker: wk, Event: evt, Type: kind}}
	if ran {
		list = append(list, Record{At: (at + to) / 2, Kind: Ran, Call: call, Worker: wk, Event: evt, Type: kind})
	}
	return list
}

func order(at float64) Record {
	return Record{At: at, Kind: Ordered, Worker: "a", Front: "f", Copies: 1}
}

// fine is a stretch in which every rule holds.
func fine() []Record {
	list := []Record{ask(1, 1, "e1", "again"), answer(1.4, 1, "e1", "again", Handled), ask(2, 2, "e2", "once"),
		answer(2.5, 2, "e2", "once", DeadLettered), ask(3, 3, "e3", "keyed"), answer(3.6, 3, "e3", "keyed", Deferred),
		ask(4, 4, "e4", "again"), {At: 4.2, Kind: Left, Call: 4}, {At: 5, Kind: Told, Worker: "a", Phase: "draining"},
		{At: 6, Kind: Born, Worker: "b"}, order(1.1), order(2.1), order(3.1)}
	list = append(list, launch(1.1, 1.3, 11, "a", "e1", "again", true)...)
	list = append(list, launch(2.1, 2.4, 12, "a", "e2", "once", true)...)
	list = append(list, launch(3.1, 3.2, 13, "a", "e3", "keyed", true)...)
	return append(list, launch(3.3, 3.5, 14, "a", "e3", "keyed", false)...)
}

func TestEachRuleBrokenByHandIsCaught(t *testing.T) {
	if v := Judge(rules, fine()); v.Broken != 0 || v.Handled != 1 || v.Deferred != 1 || v.DeadLettered != 1 || v.Left != 1 {
		t.Fatalf("nothing is wrong here: %+v", v)
	}
	var push []Record
	for i := range 14 { // 2 x 0.25 x 2 cores x 1 s of work are allowed, and two events more
		at := 6.1 + float64(i)*0.01
		push = append(push, ask(at-0.05, uint64(100+i), "p"+string(rune('a'+i)), "again"),
			answer(at+0.1, uint64(100+i), "p"+string(rune('a'+i)), "again", Handled))
		push = append(push, launch(at, at+0.05, uint64(200+i), "b", "p"+string(rune('a'+i)), "again", true)...)
	}
	for _, c := range []struct {
		name  string
		more  []Record
		count func(Verdict) int
	}{
		{"no answer", []Record{ask(7, 50, "x", "again")}, func(v Verdict) int { return v.Unanswered }},
		{"too late", []Record{ask(7, 50, "x", "again"), answer(11.5, 50, "x", "again", Handled)},
			func(v Verdict) int { return v.Unanswered }},
		{"two answers", []Record{answer(1.5, 1, "e1", "again", Deferred)}, func(v Verdict) int { return v.Twice }},
		{"answer to nobody", []Record{answer(1.5, 99, "e9", "again", Deferred)}, func(v Verdict) int { return v.Twice }},
		{"launch after the answer", launch(1.6, 1.7, 51, "a", "e1", "again", true), func(v Verdict) int { return v.AfterEnd }},
		{"launch after the client left", launch(4.4, 4.5, 51, "a", "e4", "again", true), func(v Verdict) int { return v.AfterEnd }},
		{"two launches at once", launch(1.2, 1.35, 51, "b", "e1", "again", true), func(v Verdict) int { return v.AtOnce }},
		{"at-most-once twice", launch(2.42, 2.45, 51, "b", "e2", "once", false), func(v Verdict) int { return v.RanTwice }},
		{"keyed effect twice", launch(3.52, 3.55, 51, "b", "e3", "keyed", true), func(v Verdict) int { return v.RanTwice }},
		{"keyed past memory", append(launch(14, 14.1, 51, "b", "e3", "keyed", false), ask(13.9, 52, "e3", "keyed"),
			answer(14.2, 52, "e3", "keyed", Handled)), func(v Verdict) int { return v.RanTwice }},
		{"at-most-once deferred", []Record{ask(2.6, 52, "e2", "once"), answer(2.7, 52, "e2", "once", Deferred)},
			func(v Verdict) int { return v.BadDeferral }},
		{"launch after drain", append(launch(5.6, 5.7, 51, "a", "x", "again", true), ask(5.5, 52, "x", "again"),
			answer(5.8, 52, "x", "again", Handled)), func(v Verdict) int { return v.AfterDrain }},
		{"order after drain", []Record{order(5.6)}, func(v Verdict) int { return v.AfterDrain }},
		{"cold worker pushed", push, func(v Verdict) int { return v.ColdPushed }},
		{"cold worker fell", []Record{{At: 7, Kind: Down, Worker: "b"}}, func(v Verdict) int { return v.ColdPushed }},
		{"load orders", []Record{order(3.2), order(3.3)}, func(v Verdict) int { return v.Flooded }},
	} {
		if v := Judge(rules, append(fine(), c.more...)); c.count(v) == 0 || v.Broken != 1 || len(v.Faults) == 0 {
			t.Errorf("%s: not caught, or more than it: %+v", c.name, v)
		}
	}
	inTime := append(launch(5.4, 5.7, 51, "a", "x", "again", true), ask(5.3, 52, "x", "again"),
		answer(5.8, 52, "x", "again", Handled)) // within the grace
	if v := Judge(rules, append(fine(), inTime...)); v.Broken != 0 {
		t.Errorf("within the grace: %+v", v)
	}
}

func TestRecordsReadBack(t *testing.T) {
	var b bytes.Buffer
	if err := Write(&b, fine()); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&b)
	if err != nil || !reflect.DeepEqual(got, fine()) {
		t.Fatal(err, got)
	}
	if _, err := Read(strings.NewReader("{\"at\":1}\n{\"at\":")); err == nil || !strings.Contains(err.Error(), "record 2") {
		t.Fatal(err)
	}
}
