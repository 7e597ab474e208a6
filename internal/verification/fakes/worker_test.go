package fakes

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"streamcleat/internal/verification/invariants"
)

func startWorker(t *testing.T, recorder *invariants.Recorder) *Worker {
	t.Helper()
	functions := []Function{{Name: "tally", MemoryMB: 100, Concurrency: 2, FetchTime: 0.002, StartTime: 0.001, MeanWork: 0.002}}
	w, err := NewWorker(WorkerConfig{
		Name: "wk-0", MachineType: "std", Cores: 2, Speed: 0.5, Memory: 250, QueueLimit: 4, MaxConcurrentLoads: 2, IdleReplicaLifetime: 20,
		Functions: functions, Store: NewStore(4, 4), Deduplicator: NewDeduplicator(10), IdempotentByKeyClasses: map[string]bool{"keyed": true}, Recorder: recorder, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

// post sends a request of the class "keyed" and returns the response's status, Server-Timing and body. The status is 0 if
// there was no complete response.
func post(t *testing.T, w *Worker, path, id, body string) (int, string, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+w.Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"Ce-Id": id, "Ce-Source": "/t", "Ce-Type": "keyed", "Via": "1.1 front"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = resp.Body.Close() }() // the body was read completely
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", ""
	}
	return resp.StatusCode, resp.Header.Get("Server-Timing"), strings.TrimSuffix(string(data), "\n")
}

func TestWorker_Messages(t *testing.T) {
	w := startWorker(t, nil)
	const infer, load = "/v2/models/tally/infer", "/v2/repository/models/tally/load"
	for _, c := range []struct {
		name, path, id, body string
		status               int
		timing, want         string
	}{
		{"unknown function", "/v2/models/none/infer", "a", "", 404, "", `{"error":"Not Found"}`},
		{"not loaded", infer, "a", "", 404, "", `{"error":"Not Found"}`},
		{"index of none", "/v2/repository/index", "", "", 200, "", `[]`},
		{"load of an unknown function", "/v2/repository/models/none/load", "", "", 404, "", `{"error":"no such function"}`},
		{"load of too many", load, "", `{"parameters":{"copies":3}}`, 503, "", `{"error":"no room"}`},
		{"load", load, "", `{"parameters":{"copies":2}}`, 200, "", `{"parameters":{"copies":2}}`},
		{"load without a body", load, "", "", 200, "", `{"parameters":{"copies":2}}`},
		{"index", "/v2/repository/index", "", "", 200, "", `[{"name":"tally","state":"READY"}]`},
		{"first", infer, "a", "", 200, "warm", `{"id":"a","model_name":"tally","outputs":[]}`},
		{"repeat", infer, "a", "", 200, "warm", `{"id":"a","model_name":"tally","outputs":[],"parameters":{"repeat":true}}`},
		{"with a body", infer, "a", "{}", 200, "warm", `{"id":"a","model_name":"tally","outputs":[],"parameters":{"bytes":2}}`},
		{"unknown fault", "/standin/fault", "", `{"kind":"rain"}`, 400, "", `{"error":"fault \"rain\" is not known"}`},
		{"fault", "/standin/fault", "", `{"kind":"errors","for":600}`, 200, "", `{}`},
		{"with a fault", infer, "b", "", 500, "", `{"error":"the function failed"}`},
		{"unload", "/v2/repository/models/tally/unload", "", "", 200, "", `{}`},
		{"unloaded", "/v2/repository/index", "", "", 200, "", `[]`},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, timing, body := post(t, w, c.path, c.id, c.body)
			if status != c.status || timing != c.timing || body != c.want {
				t.Errorf("status %d, timing %q, body %s", status, timing, body)
			}
		})
	}
}

// Checks the effect of each fault on the response, and whether the request is executed.
func TestInject_EachFault(t *testing.T) {
	for _, c := range []struct {
		fault    Fault
		status   int
		executed int
	}{
		{Fault{Kind: "errors"}, 500, 0},
		{Fault{Kind: "errors-of", Digest: "another"}, 200, 1},
		{Fault{Kind: "reset"}, 0, 0},
		{Fault{Kind: "truncate", Bytes: 40}, 0, 1},
		{Fault{Kind: "suspend", Duration: 0.01}, 200, 1},
		{Fault{Kind: "hang", Duration: 600}, 0, 0},
		{Fault{Kind: "lose", Duration: 600}, 0, 1},
		{Fault{Kind: "slow", Slowdown: 2}, 200, 1},
		{Fault{Kind: "late-reports"}, 200, 1},
	} {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			recorder := invariants.NewRecorder()
			w := startWorker(t, recorder)
			if status, _, _ := post(t, w, "/v2/repository/models/tally/load", "", ""); status != http.StatusOK {
				t.Fatal("status of the load command: ", status)
			}
			if err := w.Inject(c.fault); err != nil {
				t.Fatal(err)
			}
			if c.fault.Duration > 1 { // the worker does not respond: crash it after the attempt
				go func() {
					for countRecords(recorder, invariants.AttemptStarted)+countRecords(recorder, invariants.Executed) < 1+c.executed {
						time.Sleep(time.Millisecond)
					}
					w.Crash()
				}()
			}
			status, _, _ := post(t, w, "/v2/models/tally/infer", "a", "")
			if executed := countRecords(recorder, invariants.Executed); status != c.status || executed != c.executed {
				t.Errorf("status %d, request executed %d times", status, executed)
			}
		})
	}
}

func countRecords(recorder *invariants.Recorder, kind invariants.Kind) (n int) {
	for _, r := range recorder.Records() {
		if r.Kind == kind {
			n++
		}
	}
	return n
}

func TestEndpointList_Format(t *testing.T) {
	w := startWorker(t, nil)
	path := filepath.Join(t.TempDir(), "workers.json")
	list, err := NewEndpointList(path, nil, []*Worker{w})
	if err != nil {
		t.Fatal(err)
	}
	started := regexp.MustCompile(`"started": "[0-9]+\.[0-9]{3}"`)
	check := func(want string) {
		t.Helper()
		data, err := os.ReadFile(path)
		got := started.ReplaceAllString(strings.ReplaceAll(string(data), w.Addr(), "ADDR"), `"started": "S"`)
		if err != nil || got != want {
			t.Errorf("endpoint list: %s\nerror: %v", got, err)
		}
	}
	const head = "[\n {\n  \"labels\": {\n   \"instance\": \"wk-0\",\n   \"kind\": \"std\",\n   \"phase\": \""
	const tail = "   \"zone\": \"room-1\"\n  },\n  \"targets\": [\n   \"ADDR\"\n  ]\n }\n]"
	check(head + "serving\",\n   \"size\": \"1\",\n" + tail)
	if err := w.Restart(); err != nil {
		t.Fatal(err)
	}
	if err := list.SetState(w, "draining"); err != nil {
		t.Fatal(err)
	}
	check(head + "draining\",\n   \"size\": \"1\",\n   \"started\": \"S\",\n" + tail)
	if err := list.SetState(w, "gone"); err != nil {
		t.Fatal(err)
	}
	check("[]")
}
