package deployment

import (
	"reflect"
	"strings"
	"testing"

	"streamcleat/control"
)

// pascal is the object with the keys that deployments write, with every key that is read.
const pascal = `{"Accounts":[{"Name":"north","QuotaPerS":100}],"Balancers":3,"Me":2,
	"Caps":{"Peers":true,"RetryAfter":true,"MaxRetryAfterMs":500,"DialTimeoutMs":250,"IdleCloseMs":30000,"MostTries":4,"MaxStreams":32,"MaxOpen":2000},
	"Classes":[{"Name":"call","Idempotency":"guarded","Group":"zone","AimMs":500,"GiveUpMs":1500,"MemorySpanMs":6000}],
	"Discovery":"subscribe",
	"Domain":{"LoadFree":2,"LoadPart":0.25,"LoadWindowMs":4000,"StaysLoadedMs":8000,"OrderTimeoutMs":1000,"MayOrder":true,"WhenAbsent":"miss"},
	"RoundMs":4,"Rules":{"ColdFrom":0.3,"FallMs":1500,"FallMultiple":2.5,"WarmWithinMs":16000}}`

// camel is the same with the first letter of each key small; keys were never told apart by case.
func camel() string {
	var out strings.Builder
	key := false
	for i, c := range pascal {
		if key {
			out.WriteString(strings.ToLower(string(c)))
		} else {
			out.WriteRune(c)
		}
		key = c == '"' && i > 0 && strings.ContainsRune("{,\n\t", rune(pascal[i-1]))
	}
	return out.String()
}

func TestEveryKeyIsRead(t *testing.T) {
	for name, text := range map[string]string{"pascal": pascal, "camel": camel(), "lower": strings.ToLower(pascal)} {
		terms, err := Read([]byte(text))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		checkTerms(t, name, terms)
	}
}

func checkTerms(t *testing.T, name string, terms *Terms) {
	t.Helper()
	if terms.Me != 2 || !terms.Caps.Peers || terms.Caps.DialTimeoutMs != 250 || terms.Caps.IdleCloseMs != 30000 ||
		terms.Caps.MaxStreams != 32 || terms.Caps.MaxOpen != 2000 || terms.Domain.OrderTimeoutMs != 1000 {
		t.Errorf("%s: %+v", name, terms)
	}
	want := &control.Deployment{FrontEnds: 3, PollEndpoints: true, MissIsAnswered: true, LoadCommandsAllowed: true, GossipAllowed: true, MaxAttempts: 4,
		IdleReplicaLifetime: 8, LoadCommandWindow: 4, LoadCommandAllowance: 2, LoadCommandsPerRequest: 0.25, MinRoundInterval: 0.004, ColdShare: 0.3, WarmUpTime: 16, OverloadFactor: 2.5,
		OverloadWindow: 1.5, MaxRetryAfter: 0.5, Tenants: []control.Tenant{{Name: "north", Quota: 100}},
		RequestClasses: []control.RequestClass{{Name: "call", LatencyObjective: 0.5, Timeout: 1.5, Semantics: control.IdempotentByKey, DeduplicationScope: control.ScopeZone, DeduplicationWindow: 6}}}
	if got := terms.Deployment(); !reflect.DeepEqual(got, want) {
		t.Errorf("%s:\n%+v, want\n%+v", name, got, want)
	}
}
