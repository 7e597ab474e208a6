package deployment

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"streamcleat/control"
)

// pascalDocument has every key that is read, in the case that deployments use.
const pascalDocument = `{"Accounts":[{"Name":"north","QuotaPerS":100}],"Balancers":3,"Me":2,
	"Caps":{"Peers":true,"RetryAfter":true,"MaxRetryAfterMs":500,"DialTimeoutMs":250,"IdleCloseMs":30000,"MostTries":4,"MaxStreams":32,"MaxOpen":2000},
	"Classes":[{"Name":"call","Idempotency":"guarded","Group":"zone","AimMs":500,"GiveUpMs":1500,"MemorySpanMs":6000}],
	"Discovery":"subscribe",
	"Domain":{"LoadFree":2,"LoadPart":0.25,"LoadWindowMs":4000,"StaysLoadedMs":8000,"OrderTimeoutMs":1000,"MayOrder":true,"WhenAbsent":"miss"},
	"RoundMs":4,"Rules":{"ColdFrom":0.3,"FallMs":1500,"FallMultiple":2.5,"WarmWithinMs":16000}}`

// camelDocument returns pascalDocument with the first letter of each key in lower case.
func camelDocument() string {
	var out strings.Builder
	inKey := false
	for i, c := range pascalDocument {
		if inKey {
			out.WriteString(strings.ToLower(string(c)))
		} else {
			out.WriteRune(c)
		}
		inKey = c == '"' && i > 0 && strings.ContainsRune("{,\n\t", rune(pascalDocument[i-1]))
	}
	return out.String()
}

func TestRead_KeysAreCaseInsensitive(t *testing.T) {
	for name, document := range map[string]string{
		"pascal": pascalDocument,
		"camel":  camelDocument(),
		"lower":  strings.ToLower(pascalDocument),
	} {
		t.Run(name, func(t *testing.T) {
			settings, err := Read([]byte(document))
			if err != nil {
				t.Fatal(err)
			}
			checkSettings(t, settings)
		})
	}
}

// checkSettings checks that every key of pascalDocument was read.
func checkSettings(t *testing.T, settings *Settings) {
	t.Helper()
	if settings.FrontEndIndex != 2 || !settings.Limits.GossipAllowed || settings.Limits.DialTimeoutMs != 250 ||
		settings.Limits.IdleTimeoutMs != 30000 || settings.Limits.MaxStreams != 32 || settings.Limits.MaxOpen != 2000 ||
		settings.Loading.LoadTimeoutMs != 1000 {
		t.Errorf("%+v", settings)
	}
	want := &control.Deployment{
		FrontEnds:               3,
		PollEndpoints:           true,
		NoLoadOnMiss:            true,
		LoadCommandsAllowed:     true,
		GossipAllowed:           true,
		MaxAttempts:             4,
		IdleReplicaLifetime:     8,
		LoadCommandWindow:       4,
		LoadCommandAllowance:    2,
		LoadCommandsPerRequest:  0.25,
		MinRoundInterval:        0.004,
		InitialCapacityFraction: 0.3,
		WarmUpTime:              16,
		OverloadFactor:          2.5,
		OverloadWindow:          1.5,
		MaxRetryAfter:           0.5,
		Tenants:                 []control.Tenant{{Name: "north", Quota: 100}},
		RequestClasses: []control.RequestClass{{
			Name:                "call",
			LatencyObjective:    0.5,
			Timeout:             1.5,
			Semantics:           control.IdempotentByKey,
			DeduplicationScope:  control.ScopeZone,
			DeduplicationWindow: 6,
		}},
	}
	if got := settings.Deployment(); !reflect.DeepEqual(got, want) {
		t.Errorf("\n%+v, want\n%+v", got, want)
	}
}

func TestRead_UnknownSemanticsOrScope(t *testing.T) {
	for _, class := range []string{
		`{"Name":"call","Idempotency":"often"}`,
		`{"Name":"call","Idempotency":"free","Group":"town"}`,
	} {
		_, err := Read([]byte(`{"Classes":[` + class + `]}`))
		var classErr *ClassError
		if !errors.As(err, &classErr) || classErr.Class != "call" || err.Error() != "request class call: unknown idempotency or group" {
			t.Errorf("%s: %v", class, err)
		}
	}
}

func TestRead_MalformedDocument(t *testing.T) {
	_, err := Read([]byte(`{`))
	if _, ok := errors.AsType[*json.SyntaxError](err); !ok {
		t.Errorf("%v", err)
	}
}

func TestRead_MistypedValueIsReportedByPath(t *testing.T) {
	for document, field := range map[string]string{
		`{"Caps":{"MaxOpen":"x"}}`:           "Caps.MaxOpen",
		`{"Caps":3}`:                         "Caps",
		`{"Accounts":[{"QuotaPerS":"a"}]}`:   "Accounts.QuotaPerS",
		`{"domain":{"mayorder":4}}`:          "Domain.MayOrder",
		`{"Classes":[{"GiveUpMs":"never"}]}`: "Classes.GiveUpMs",
	} {
		_, err := Read([]byte(document))
		var typeErr *json.UnmarshalTypeError
		if !errors.As(err, &typeErr) || typeErr.Field != field {
			t.Errorf("%s: %v", document, err)
		}
	}
}
