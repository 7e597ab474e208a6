package scenario

import (
	"context"
	"strings"
	"testing"
)

// Every script that comes with the program keeps all rules. They run side by side, so their figures of service mean
// little here; the rules have to hold all the more.
func TestEveryScriptKeepsTheRules(t *testing.T) {
	for i, name := range Scripts() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := Builtin(name)
			if err != nil {
				t.Fatal(err)
			}
			r, _, err := Run(context.Background(), s, uint64(100+i), nil)
			if err != nil {
				t.Fatal(err)
			}
			if !r.OK() {
				t.Errorf("%d rules broken: %v %v", r.RulesBroken, r.Violations, r.Failures)
			}
			if r.Succeeded == 0 || r.Attempts < r.Succeeded/3 {
				t.Errorf("nothing much happened: %+v", r)
			}
			if name == "quiet" && r.InTime < 0.9 {
				t.Errorf("a quiet day: only %.2f in time", r.InTime)
			}
		})
	}
}

func TestFaultyScriptsNameTheField(t *testing.T) {
	for text, want := range map[string]string{
		`{"seconds":0}`:                          "script t: seconds: 0 is not above 0 and at most 3600",
		`{"troubles":[{"at":1,"kind":"rain"}]}`:  "script t: troubles[0].kind: rain is not a known kind of trouble",
		`{"troubles":[{"at":99,"kind":"hang"}]}`: "script t: troubles[0]: at must lie within the day, part and hit between 0 and 1",
		`{"mix":{"x":1}}`:                        "script t: mix: x is not one of shop-event, till-entry, price-reset",
		`{"minute":0}`:                           "script t: minute and work must be above 0, cores at least 1, clients 0 to 16",
		`{"colour":1}`:                           "colour",
		`{`:                                      "script t",
	} {
		t.Run(text, func(t *testing.T) {
			if _, err := ParseScript([]byte(text), "t"); err == nil || !strings.Contains(err.Error(), want) {
				t.Error(err)
			}
		})
	}
	if _, err := Builtin("none"); err == nil || !strings.Contains(err.Error(), "bad-day") {
		t.Error(err)
	}
}
