package scenario

import (
	"context"
	"strings"
	"testing"
)

// Every script that comes with the program keeps all rules. They run side by side, so what they say of service is
// worth little here; the rules have to hold all the more.
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
				t.Errorf("%d rules broken: %v %v", r.Broken, r.Faults, r.Failures)
			}
			if r.Handled == 0 || r.Launches < r.Handled/3 {
				t.Errorf("nothing much happened: %+v", r)
			}
			if name == "quiet" && r.InTime < 0.9 {
				t.Errorf("a quiet day: only %.2f in time", r.InTime)
			}
		})
	}
}

func TestFaultyScriptsNameTheField(t *testing.T) {
	for text, want := range map[string]string{`{"seconds":0}`: "seconds", `{"troubles":[{"at":1,"kind":"rain"}]}`: "troubles[0].kind: rain",
		`{"troubles":[{"at":99,"kind":"hang"}]}`: "troubles[0]", `{"mix":{"x":1}}`: "mix", `{"colour":1}`: "colour", `{`: "script t"} {
		if _, err := ParseScript([]byte(text), "t"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
	if _, err := Builtin("none"); err == nil || !strings.Contains(err.Error(), "bad-day") {
		t.Error(err)
	}
}
