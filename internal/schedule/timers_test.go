package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func parse(t *testing.T, tab string) []Entry {
	t.Helper()
	list, err := Parse(strings.NewReader(tab), "tab")
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func at(text string) time.Time {
	v, err := time.Parse("2006-01-02 15:04:05", text)
	if err != nil {
		panic(err)
	}
	return v
}

func ids(list []Firing) string {
	var out []string
	for _, f := range list {
		out = append(out, f.ID[strings.LastIndex(f.ID, "/")+1:])
	}
	return strings.Join(out, " ")
}

func TestCrontab(t *testing.T) {
	list := parse(t, "# resets\nCRON_TZ=Asia/Tokyo\n\n0 0 * * mon-fri price-reset shop-1 kitaboshi %{\"at\":\"50\\%\"}%x\n"+
		"MISFIRE=all\nMISFIRE_WITHIN=2h\nWAIT=3s\n@hourly shop-event tally\nCRON_TZ=UTC\n*/15 8-20 1,15 * 5-7 shop-event count t\n")
	if len(list) != 3 {
		t.Fatal(list)
	}
	a, b, c := list[0], list[1], list[2]
	if a.Class != "price-reset" || a.Function != "shop-1" || a.Tenant != "kitaboshi" || string(a.Data) != "{\"at\":\"50%\"}\nx" ||
		a.Zone.String() != "Asia/Tokyo" || a.Misfire != MisfireSkip || a.Timeout != 0 {
		t.Errorf("%+v", a)
	}
	if b.Spec != "@hourly" || b.Misfire != MisfireAll || b.CatchUpWindow != 2*time.Hour || b.Timeout != 3*time.Second || b.Tenant != "" {
		t.Errorf("%+v", b)
	}
	if got := c.Key(); got != "*~15_8-20_1,15_*_5-7/shop-event/count@t" {
		t.Error(got)
	}
	// Day and weekday are both stated: either will do (POSIX). 2026-12-06 is a Sunday, weekday 7.
	if next := c.schedule.Next(at("2026-12-06 00:00:00")); !next.Equal(at("2026-12-06 08:00:00")) {
		t.Error(next)
	}
}

func TestFaultsNameTheirLines(t *testing.T) {
	_, err := Parse(strings.NewReader("CRON_TZ=Nowhere/Town\n* * * * shop f\n61 * * * * shop f\n@every 5m shop f\n@reboot shop f\n"+
		"MISFIRE=later\nWAIT=-3s\nMAILTO=x\n* * * * * shop f t more\n* * * * * shop f\n*  * * * * shop f\n"), "tab")
	for _, want := range []string{"tab:1: CRON_TZ", "tab:2: 6 words", "tab:3: schedule \"61", "tab:4: schedule @every", "tab:5: schedule @reboot",
		"tab:6: MISFIRE", "tab:7: WAIT", "tab:8: MAILTO", "tab:9: 9 words", "tab:11: the same entry as line 10"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no word of %q in\n%v", want, err)
		}
	}
}

func TestTwoClientsNameAMinuteAlike(t *testing.T) {
	tab := "CRON_TZ=Europe/Berlin\n* * * * * shop f t\n"
	a, b := NewPlan(parse(t, tab), at("2026-12-01 11:59:58")), NewPlan(parse(t, tab), at("2026-12-01 11:59:01"))
	fa, fb := a.Due(at("2026-12-01 12:00:00")), b.Due(at("2026-12-01 12:00:01"))
	if len(fa) != 1 || len(fb) != 1 || fa[0].ID != fb[0].ID || !strings.HasSuffix(fa[0].ID, "/2026-12-01T12:00Z") {
		t.Fatal(fa, fb)
	}
	fronts := []string{"a:1", "b:1", "c:1"}
	used := map[string]int{}
	for i := range 300 {
		id := fmt.Sprint("e/", i)
		r := RendezvousOrder(fronts, id)
		if other := RendezvousOrder([]string{"c:1", "a:1", "b:1"}, id); strings.Join(r, " ") != strings.Join(other, " ") {
			t.Fatal("the order of the list moves the choice")
		}
		used[r[0]]++
	}
	for f, n := range used {
		if n < 60 {
			t.Errorf("%s gets %d of 300", f, n)
		}
	}
}

func TestClockChanges(t *testing.T) {
	// Spring: on 2026-03-29 02:00 to 03:00 does not exist in Berlin. Autumn: on 2026-10-25 it comes twice.
	for _, c := range []struct{ spec, from, to, want string }{
		{"30 2 * * *", "2026-03-28 12:00:00", "2026-03-30 12:00:00", "2026-03-30T00:30Z"},
		{"30 2 * * *", "2026-10-24 12:00:00", "2026-10-26 12:00:00", "2026-10-25T00:30Z 2026-10-26T01:30Z"},
		{"30 * * * *", "2026-10-25 00:00:00", "2026-10-25 02:00:00", "2026-10-25T00:30Z 2026-10-25T01:30Z"},
		{"30 * * * *", "2026-03-29 00:00:00", "2026-03-29 02:00:00", "2026-03-29T00:30Z 2026-03-29T01:30Z"},
	} {
		p := NewPlan(parse(t, "CRON_TZ=Europe/Berlin\nMISFIRE=all\nMISFIRE_WITHIN=72h\n"+c.spec+" shop f\n"), at(c.from))
		if got := ids(p.Due(at(c.to))); got != c.want {
			t.Errorf("%s from %s: %s, want %s", c.spec, c.from, got, c.want)
		}
	}
}

func TestMisfires(t *testing.T) {
	for policy, want := range map[string]string{"skip": "2026-12-01T12:10Z", "once": "2026-12-01T12:08Z 2026-12-01T12:10Z",
		"all": "2026-12-01T12:06Z 2026-12-01T12:08Z 2026-12-01T12:10Z"} {
		p := NewPlan(parse(t, "MISFIRE="+policy+"\nMISFIRE_WITHIN=5m\n*/2 * * * * shop f\n"), at("2026-12-01 11:00:00"))
		if got := ids(p.Due(at("2026-12-01 12:10:30"))); got != want {
			t.Errorf("%s: %s, want %s", policy, got, want)
		}
		if got := ids(p.Due(at("2026-12-01 12:10:59"))); got != "" {
			t.Errorf("%s: fired again: %s", policy, got)
		}
	}
	p := NewPlan(parse(t, "MISFIRE=all\nMISFIRE_WITHIN=24h\n* * * * * shop f\n"), at("2020-01-01 00:00:00"))
	if got := len(p.Due(at("2026-12-01 00:00:00"))); got > missedMax+2 {
		t.Errorf("%d firings made up for after years", got)
	}
}

func TestClockSetBackAndForward(t *testing.T) {
	p := NewPlan(parse(t, "0 * * * * shop f\n"), at("2026-12-01 11:30:00"))
	if got := ids(p.Due(at("2026-12-01 12:00:01"))); got != "2026-12-01T12:00Z" {
		t.Fatal(got)
	}
	for _, now := range []string{"2026-12-01 11:00:02", "2026-12-01 11:59:59", "2026-12-01 12:00:02"} { // back by an hour
		if got := ids(p.Due(at(now))); got != "" {
			t.Errorf("at %s fired again: %s", now, got)
		}
	}
	if got := ids(p.Due(at("2026-12-01 13:00:00"))); got != "2026-12-01T13:00Z" {
		t.Error(got)
	}
	if got := ids(p.Due(at("2026-12-01 15:00:10"))); got != "2026-12-01T15:00Z" { // forward: 14:00 was missed
		t.Error(got)
	}
	p.Due(at("2026-12-01 05:00:30")) // back by ten hours: planned anew
	if next, _ := p.Next(); !next.Equal(at("2026-12-01 06:00:00")) {
		t.Error(next)
	}
}

func TestResumeGoesOnFromTheLastMinute(t *testing.T) {
	list := parse(t, "MISFIRE=all\n*/10 * * * * shop f\n*/10 * * * * shop g\n")
	last := map[string]time.Time{list[0].Key(): at("2026-12-01 11:40:00")}
	p := Resume(list, last, at("2026-12-01 12:05:00"))
	if got := ids(p.Due(at("2026-12-01 12:05:00"))); got != "2026-12-01T11:50Z 2026-12-01T12:00Z" {
		t.Error(got)
	}
	last[list[0].Key()] = at("2027-12-01 00:00:00") // from a clock that was a year ahead
	p = Resume(list, last, at("2026-12-01 12:05:00"))
	if next, _ := p.Next(); !next.Equal(at("2026-12-01 12:10:00")) {
		t.Error(next)
	}
}

func TestManyEntriesInOneMinute(t *testing.T) {
	var tab strings.Builder
	for i := range 500 {
		fmt.Fprintf(&tab, "0 0 * * * price-reset shop-%d\n", i)
	}
	p := NewPlan(parse(t, tab.String()), at("2026-12-01 23:00:00"))
	seen := map[string]bool{}
	for _, f := range p.Due(at("2026-12-02 00:00:00")) {
		seen[f.ID] = true
	}
	if len(seen) != 500 {
		t.Fatalf("%d identities", len(seen))
	}
}
