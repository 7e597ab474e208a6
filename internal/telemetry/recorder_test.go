package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// newRetriedRequest returns a request that was retried once and ended after elapsed seconds.
func newRetriedRequest(kind dispatch.ResponseKind, cause dispatch.Cause, elapsed float64) (dispatch.Response, *dispatch.Trace) {
	response := dispatch.Response{
		Kind:     kind,
		Cause:    cause,
		Worker:   "wk-b",
		Attempts: 2,
		Identity: dispatch.Identity{Source: "/t", ID: "e"},
		Elapsed:  units.Seconds(elapsed),
		Class:    "call",
	}
	return response, &dispatch.Trace{Steps: []dispatch.TraceStep{
		{Event: "taken", Detail: "function not seen lately"},
		{At: 0.1, Event: dispatch.StepAttemptStarted, Worker: "wk-a"},
		{At: 0.2, Event: "broken", Worker: "wk-a"},
		{At: 0.3, Event: dispatch.StepAttemptStarted, Worker: "wk-b"},
		{At: 0.4, Event: dispatch.StepAttemptSucceeded, Worker: "wk-b", Detail: "found it warm"},
	}}
}

func newTestRecorder(t *testing.T, settings Settings) *Recorder {
	t.Helper()
	settings.LatencyObjective = func(string) float64 { return 1 }
	recorder, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return recorder
}

func TestRecorder_Metrics(t *testing.T) {
	recorder := newTestRecorder(t, Settings{Gauges: func() map[string]float64 { return map[string]float64{"open": 3} }})
	recorder.OnRequestEnd(newRetriedRequest(dispatch.Succeeded, dispatch.CauseResponded, 0.5))
	recorder.OnRequestEnd(newRetriedRequest(dispatch.Rejected, dispatch.CauseWorkerFull, 2))
	recorder.OnRequestEnd(dispatch.Response{Kind: dispatch.Failed, Cause: dispatch.CauseUnknownClass, Class: "any text"}, nil)
	response := httptest.NewRecorder()
	recorder.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	got := response.Body.String()
	for _, want := range []string{
		`streamcleat_events_total{late="false",outcome="handled",type="call"} 1`,
		`streamcleat_events_total{late="true",outcome="deferred",type="call"} 1`,
		`streamcleat_events_total{late="false",outcome="dead-lettered",type="unknown"} 1`,
		`streamcleat_causes_total{cause="worker-full",worker="wk-b"} 1`,
		`streamcleat_causes_total{cause="unknown-type",worker=""} 1`,
		`streamcleat_event_seconds_bucket{outcome="handled",type="call",le="0.5"} 1`,
		`streamcleat_event_seconds_sum{outcome="deferred",type="call"} 2`,
		`streamcleat_launches_total{result="broken",worker="wk-a"} 2`,
		`streamcleat_launches_total{result="handled",worker="wk-b"} 2`,
		`streamcleat_copies_met_total{how="found it warm"} 2`,
		`streamcleat_open 3`,
	} {
		if !strings.Contains(got, want+"\n") {
			t.Errorf("no line %q in\n%s", want, got)
		}
	}
}

// exportedSpan holds the fields of an exported span that the tests check.
type exportedSpan struct {
	Name   string `json:"Name"`
	Events []struct {
		Name string `json:"Name"`
	} `json:"Events"`
	Status struct {
		Code        string `json:"Code"`
		Description string `json:"Description"`
	} `json:"Status"`
}

func TestRecorder_Spans(t *testing.T) {
	for _, test := range []struct {
		name    string
		kind    dispatch.ResponseKind
		cause   dispatch.Cause
		elapsed float64
		ratio   float64
		want    string // names of the spans and their status descriptions
	}{
		{"objective met, not sampled", dispatch.Succeeded, dispatch.CauseResponded, 0.5, 0, ""},
		{"objective met, sampled", dispatch.Succeeded, dispatch.CauseResponded, 0.5, 1, "launch wk-a: broken, launch wk-b: , event call: "},
		{"objective exceeded", dispatch.Succeeded, dispatch.CauseResponded, 2, 0, "launch wk-a: broken, launch wk-b: , event call: "},
		{"rejected", dispatch.Rejected, dispatch.CauseWorkerFull, 0.5, 0, "launch wk-a: broken, launch wk-b: , event call: worker-full"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			recorder := newTestRecorder(t, Settings{Spans: &out, SamplingRatio: test.ratio})
			recorder.OnRequestEnd(newRetriedRequest(test.kind, test.cause, test.elapsed))
			if err := recorder.Close(); err != nil {
				t.Fatal(err)
			}
			if got := spanNames(t, &out); got != test.want {
				t.Errorf("spans %q, want %q", got, test.want)
			}
		})
	}
}

// spanNames returns the names of exported spans with their status descriptions. It also checks that the request's span has
// exactly one event.
func spanNames(t *testing.T, exported io.Reader) string {
	t.Helper()
	var names []string
	for decoder := json.NewDecoder(exported); ; {
		var s exportedSpan
		if err := decoder.Decode(&s); errors.Is(err, io.EOF) {
			return strings.Join(names, ", ")
		} else if err != nil {
			t.Fatal(err)
		}
		names = append(names, s.Name+": "+s.Status.Description)
		if strings.HasPrefix(s.Name, "event ") && (len(s.Events) != 1 || s.Events[0].Name != "taken") {
			t.Errorf("events of %s: %+v", s.Name, s.Events)
		}
	}
}

func TestSpanFile_MissingDirectory(t *testing.T) {
	_, err := SpanFile(filepath.Join(t.TempDir(), "missing", "spans"))
	if !errors.Is(err, ErrSpans) || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%v", err)
	}
}
