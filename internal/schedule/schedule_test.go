package schedule

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

func mustParse(t *testing.T, crontab string) []Entry {
	t.Helper()
	entries, err := Parse(strings.NewReader(crontab), "tab")
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

func utc(text string) time.Time {
	v, err := time.Parse(time.DateTime, text)
	if err != nil {
		panic(err)
	}
	return v
}

// dueMinutes returns the due minutes of firings in UTC, separated by spaces.
func dueMinutes(firings []Firing) string {
	var list []string
	for _, f := range firings {
		list = append(list, f.ID[strings.LastIndex(f.ID, "/")+1:])
	}
	return strings.Join(list, " ")
}

func TestParse_Entries(t *testing.T) {
	entries := mustParse(t, "# resets\nCRON_TZ=Asia/Tokyo\n\n0 0 * * mon-fri price-reset shop-1 kitaboshi %{\"at\":\"50\\%\"}%x\n"+
		"MISFIRE=all\nMISFIRE_WITHIN=2h\nWAIT=3s\n@hourly shop-event tally\nCRON_TZ=UTC\n*/15 8-20 1,15 * 5-7 shop-event count t\n")
	if len(entries) != 3 {
		t.Fatal(entries)
	}
	a, b, c := entries[0], entries[1], entries[2]
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
	// Day and weekday are both restricted, so that either may match (POSIX). 2026-12-06 is a Sunday, weekday 7.
	if next := c.schedule.Next(utc("2026-12-06 00:00:00")); !next.Equal(utc("2026-12-06 08:00:00")) {
		t.Error(next)
	}
}

func TestParse_ErrorsNameLineAndField(t *testing.T) {
	_, err := Parse(strings.NewReader("CRON_TZ=Nowhere/Town\n* * * * shop f\n61 * * * * shop f\n@every 5m shop f\n@reboot shop f\n"+
		"MISFIRE=later\nWAIT=-3s\nMAILTO=x\n* * * * * shop f t more\n* * * * * shop f\n*  * * * * shop f\n"), "tab")
	list, ok := err.(interface{ Unwrap() []error })
	if !ok {
		t.Fatalf("error does not wrap a list of errors: %v", err)
	}
	wanted := []struct {
		line  int
		field string
		text  string
	}{
		{1, "CRON_TZ", "tab:1: CRON_TZ"},
		{2, "line", "tab:2: 6 fields"},
		{3, "schedule", "tab:3: schedule \"61"},
		{4, "schedule", "tab:4: schedule @every"},
		{5, "schedule", "tab:5: schedule @reboot"},
		{6, "MISFIRE", "tab:6: MISFIRE"},
		{7, "WAIT", "tab:7: WAIT"},
		{8, "MAILTO", "tab:8: MAILTO"},
		{9, "line", "tab:9: 9 fields"},
		{11, "line", "tab:11: duplicate of the entry in line 10"},
	}
	if len(list.Unwrap()) != len(wanted) {
		t.Fatalf("%d errors, want %d:\n%v", len(list.Unwrap()), len(wanted), err)
	}
	for i, want := range wanted {
		var got *ParseError
		if !errors.As(list.Unwrap()[i], &got) || got.File != "tab" || got.Line != want.line || got.Field != want.field ||
			!strings.HasPrefix(got.Error(), want.text) {
			t.Errorf("%+v, want %+v", got, want)
		}
	}
}

func TestTwoClients_SameFiringIDAndFrontEnd(t *testing.T) {
	tab := "CRON_TZ=Europe/Berlin\n* * * * * shop f t\n"
	a, b := NewPlan(mustParse(t, tab), utc("2026-12-01 11:59:58")), NewPlan(mustParse(t, tab), utc("2026-12-01 11:59:01"))
	fa, fb := a.TakeDue(utc("2026-12-01 12:00:00")), b.TakeDue(utc("2026-12-01 12:00:01"))
	if len(fa) != 1 || len(fb) != 1 || fa[0].ID != fb[0].ID || !strings.HasSuffix(fa[0].ID, "/2026-12-01T12:00Z") {
		t.Fatal(fa, fb)
	}
	frontEnds := []string{"a:1", "b:1", "c:1"}
	used := map[string]int{}
	for i := range 300 {
		id := fmt.Sprint("e/", i)
		r := RendezvousOrder(frontEnds, id)
		if other := RendezvousOrder([]string{"c:1", "a:1", "b:1"}, id); strings.Join(r, " ") != strings.Join(other, " ") {
			t.Fatal("the order depends on the order of the list of front ends")
		}
		used[r[0]]++
	}
	for f, n := range used {
		if n < 60 {
			t.Errorf("%s gets %d of 300 IDs, want at least 60", f, n)
		}
	}
}

func TestPlan_DaylightSavingChange(t *testing.T) {
	// In Berlin, the hour from 02:00 to 03:00 does not exist on 2026-03-29 and occurs twice on 2026-10-25.
	for _, c := range []struct{ spec, from, to, want string }{
		{"30 2 * * *", "2026-03-28 12:00:00", "2026-03-30 12:00:00", "2026-03-30T00:30Z"},
		{"30 2 * * *", "2026-10-24 12:00:00", "2026-10-26 12:00:00", "2026-10-25T00:30Z 2026-10-26T01:30Z"},
		{"30 * * * *", "2026-10-25 00:00:00", "2026-10-25 02:00:00", "2026-10-25T00:30Z 2026-10-25T01:30Z"},
		{"30 * * * *", "2026-03-29 00:00:00", "2026-03-29 02:00:00", "2026-03-29T00:30Z 2026-03-29T01:30Z"},
	} {
		p := NewPlan(mustParse(t, "CRON_TZ=Europe/Berlin\nMISFIRE=all\nMISFIRE_WITHIN=72h\n"+c.spec+" shop f\n"), utc(c.from))
		if got := dueMinutes(p.TakeDue(utc(c.to))); got != c.want {
			t.Errorf("%s from %s: %s, want %s", c.spec, c.from, got, c.want)
		}
	}
}

func TestPlan_MisfirePolicies(t *testing.T) {
	for _, c := range []struct{ policy, want string }{
		{"skip", "2026-12-01T12:10Z"},
		{"once", "2026-12-01T12:08Z 2026-12-01T12:10Z"},
		{"all", "2026-12-01T12:06Z 2026-12-01T12:08Z 2026-12-01T12:10Z"},
	} {
		t.Run(c.policy, func(t *testing.T) {
			p := NewPlan(mustParse(t, "MISFIRE="+c.policy+"\nMISFIRE_WITHIN=5m\n*/2 * * * * shop f\n"), utc("2026-12-01 11:00:00"))
			if got := dueMinutes(p.TakeDue(utc("2026-12-01 12:10:30"))); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
			if got := dueMinutes(p.TakeDue(utc("2026-12-01 12:10:59"))); got != "" {
				t.Errorf("fired again: %s", got)
			}
		})
	}
}

func TestPlan_CatchUpIsBounded(t *testing.T) {
	p := NewPlan(mustParse(t, "MISFIRE=all\nMISFIRE_WITHIN=24h\n* * * * * shop f\n"), utc("2020-01-01 00:00:00"))
	if got := len(p.TakeDue(utc("2026-12-01 00:00:00"))); got > maxCatchUpFirings+2 {
		t.Errorf("%d firings after a gap of years", got)
	}
}

func TestPlan_ClockSetBackAndForward(t *testing.T) {
	p := NewPlan(mustParse(t, "0 * * * * shop f\n"), utc("2026-12-01 11:30:00"))
	if got := dueMinutes(p.TakeDue(utc("2026-12-01 12:00:01"))); got != "2026-12-01T12:00Z" {
		t.Fatal(got)
	}
	for _, now := range []string{"2026-12-01 11:00:02", "2026-12-01 11:59:59", "2026-12-01 12:00:02"} { // set back by an hour
		if got := dueMinutes(p.TakeDue(utc(now))); got != "" {
			t.Errorf("at %s fired again: %s", now, got)
		}
	}
	if got := dueMinutes(p.TakeDue(utc("2026-12-01 13:00:00"))); got != "2026-12-01T13:00Z" {
		t.Error(got)
	}
	if got := dueMinutes(p.TakeDue(utc("2026-12-01 15:00:10"))); got != "2026-12-01T15:00Z" { // set forward: 14:00 was missed
		t.Error(got)
	}
	p.TakeDue(utc("2026-12-01 05:00:30")) // set back by ten hours: due times are recomputed
	if next, _ := p.Next(); !next.Equal(utc("2026-12-01 06:00:00")) {
		t.Error(next)
	}
}

func TestResume_ContinuesFromLastFiring(t *testing.T) {
	entries := mustParse(t, "MISFIRE=all\n*/10 * * * * shop f\n*/10 * * * * shop g\n")
	last := map[string]time.Time{entries[0].Key(): utc("2026-12-01 11:40:00")}
	p := Resume(entries, last, utc("2026-12-01 12:05:00"))
	if got := dueMinutes(p.TakeDue(utc("2026-12-01 12:05:00"))); got != "2026-12-01T11:50Z 2026-12-01T12:00Z" {
		t.Error(got)
	}
	last[entries[0].Key()] = utc("2027-12-01 00:00:00") // recorded while the clock was a year ahead
	p = Resume(entries, last, utc("2026-12-01 12:05:00"))
	if next, _ := p.Next(); !next.Equal(utc("2026-12-01 12:10:00")) {
		t.Error(next)
	}
}

func TestPlan_ManyEntriesInOneMinute(t *testing.T) {
	var tab strings.Builder
	for i := range 500 {
		fmt.Fprintf(&tab, "0 0 * * * price-reset shop-%d\n", i)
	}
	p := NewPlan(mustParse(t, tab.String()), utc("2026-12-01 23:00:00"))
	seen := map[string]bool{}
	for _, f := range p.TakeDue(utc("2026-12-02 00:00:00")) {
		seen[f.ID] = true
	}
	if len(seen) != 500 {
		t.Fatalf("%d firing IDs, want 500", len(seen))
	}
}

// A line that has data but no schedule must be reported as an error with its line number.
func TestCrontabLineWithoutSchedule(t *testing.T) {
	for _, line := range []string{"%", "%data", " % x"} {
		if _, err := Parse(strings.NewReader("# first\n"+line+"\n"), "tab"); err == nil || !strings.Contains(err.Error(), "tab:2") {
			t.Errorf("%q: %v", line, err)
		}
	}
}
