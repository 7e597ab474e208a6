package upstream

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
)

func response(t *testing.T, text string) *http1.Message {
	t.Helper()
	f := http1.NewResponses(http1.Limits{Head: 4096, Body: 4096})
	f.Feed([]byte(text))
	m, err := f.Next()
	if m == nil || err != nil {
		t.Fatal(m, err)
	}
	return m
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		status int
		fields string
		want   dispatch.WorkerReply
	}{
		{200, "Server-Timing: warm, total;dur=3\r\n", dispatch.WorkerReply{Outcome: control.Succeeded, Start: control.WarmStart}},
		{201, "Server-Timing: cache;desc=x\r\nServer-Timing: load;dur=300\r\n", dispatch.WorkerReply{Outcome: control.Succeeded, Start: control.ColdStart}},
		{404, "Server-Timing: load-failed\r\n", dispatch.WorkerReply{Outcome: control.ReplicaMissing, Start: control.StartFailed}},
		{503, "", dispatch.WorkerReply{Outcome: control.Rejected}},
		{429, "", dispatch.WorkerReply{Outcome: control.Rejected}},
		{500, "", dispatch.WorkerReply{Outcome: control.Failed}},
		{400, "", dispatch.WorkerReply{Outcome: control.Failed}},
		{302, "", dispatch.WorkerReply{Outcome: control.Failed}},
		{200, "Endpoint-Load-Metrics: TEXT cpu_utilization=0.3, named_metrics.running=2,named_metrics.waiting=5\r\n",
			dispatch.WorkerReply{Outcome: control.Succeeded, Report: control.LoadReport{Running: 2, Waiting: 5, Known: true}}},
		{200, `Endpoint-Load-Metrics: JSON {"cpu_utilization":0.3,"named_metrics":{"running":3}}` + "\r\n",
			dispatch.WorkerReply{Outcome: control.Succeeded, Report: control.LoadReport{Running: 3, Known: true}}},
		{200, "Endpoint-Load-Metrics: TEXT named_metrics.running=NaN, named_metrics.waiting=-3\r\n",
			dispatch.WorkerReply{Outcome: control.Succeeded, Report: control.LoadReport{Known: true}}},
		{200, "Endpoint-Load-Metrics: JSON {\r\n", dispatch.WorkerReply{Outcome: control.Succeeded}},
		{200, "Endpoint-Load-Metrics: BIN xyz\r\n", dispatch.WorkerReply{Outcome: control.Succeeded}},
	} {
		got := ParseInferResponse(response(t, fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", c.status, c.fields)))
		if got.Outcome != c.want.Outcome || got.Start != c.want.Start || got.Report != c.want.Report {
			t.Errorf("%d %q: %+v, want %+v", c.status, c.fields, got, c.want)
		}
	}
	body := `{"parameters":{"copies":3}}`
	if res, n := ParseLoadResponse(response(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)), ""); res != control.Succeeded || n != 3 {
		t.Error(res, n)
	}
	if res, n := ParseLoadResponse(response(t, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), ""); res != control.Rejected || n != 0 {
		t.Error(res, n)
	}
}

func TestListFaultsAreAllNamed(t *testing.T) {
	_, err := ParseEndpointList([]byte(`[{"targets":["a:1","nowhere",":5"],"labels":{"phase":"asleep","size":"0"}},
		{"targets":["a:1"],"labels":{"started":"soon"}},{"targets":["b:1","c:1"],"labels":{"instance":"x"}}]`), 0)
	for _, want := range []string{`/0/targets/1: "nowhere"`, `/0/targets/2: ":5"`, `/0/labels/phase: "asleep"`, "/0/labels/size",
		`/1/labels/started: "soon"`, `/1/targets/0: worker "a:1" is listed twice`, "/2/labels/instance"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no word of %s in %v", want, err)
		}
	}
	if _, err := ParseEndpointList([]byte(`[{"targets":["a:1"]`), 0); err == nil {
		t.Error("half a file passed")
	}
}

func TestChangeTellsOnlyWhatChanged(t *testing.T) {
	read := func(text string) *EndpointList {
		l, err := ParseEndpointList([]byte(text), 100)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	a := read(`[{"targets":["h:1","h:2","h:3","h:4"]},{"targets":["h:5"],"labels":{"instance":"five"}}]`)
	b := read(`[{"targets":["h:1"]},{"targets":["h:2"],"labels":{"phase":"draining"}},{"targets":["h:3"],"labels":{"started":"7"}},
		{"targets":["h:6"]},{"targets":["h:7"],"labels":{"instance":"five"}}]`)
	got := map[control.WorkerID]control.Worker{}
	for _, wk := range Diff(a, b) {
		got[wk.ID] = wk
	}
	if len(got) != 5 || got["h:2"].State != control.Draining || got["h:3"].StartedAt != 107 || got["h:4"].State != control.Gone ||
		got["h:6"].Weight != 1 || got["five"].ID != "five" {
		t.Errorf("%+v", got)
	}
	if c := Diff(b, b); len(c) != 0 {
		t.Errorf("nothing changed, yet %+v", c)
	}
}

// peer plays the sockets and the core under a pool.
type peer struct {
	p       *Pool
	dials   []ConnID
	written map[ConnID][]byte
	closed  map[ConnID]bool
	ends    map[uint64][]control.Outcome
}

func (w *peer) Dial(c ConnID, _ string)     { w.dials = append(w.dials, c) }
func (w *peer) Write(c ConnID, data []byte) { w.written[c] = append(w.written[c], data...) }
func (w *peer) Close(c ConnID)              { w.closed[c] = true }
func (w *peer) OnAttemptReply(job uint64, r dispatch.WorkerReply) {
	w.ends[job] = append(w.ends[job], r.Outcome)
}
func (w *peer) OnLoadReply(job uint64, res control.Outcome, _ int) {
	w.ends[job] = append(w.ends[job], res)
}

func newPeer(t *testing.T) *peer {
	w := &peer{written: map[ConnID][]byte{}, closed: map[ConnID]bool{}, ends: map[uint64][]control.Outcome{}}
	w.p = NewPool(Limits{DialTimeout: 0.25, IdleTimeout: 10, MaxPerWorker: 2, Message: http1.Limits{Head: 4096, Body: 4096}, Via: "front"}, w, w)
	l, err := ParseEndpointList([]byte(`[{"targets":["h:1","h:2"]}]`), 0)
	if err != nil {
		t.Fatal(err)
	}
	w.p.SetEndpoints(l)
	return w
}

func (w *peer) launch(now float64, job uint64) {
	w.p.SendAttempt(now, dispatch.Attempt{ID: job, Worker: "h:1", Function: "a/b", Timeout: 2, Body: []byte("x")})
}

const okText = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

func TestWhatNeverWentOutAndWhatMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *peer)
		want control.Outcome
	}{
		{"refused", func(w *peer) { w.p.OnDialed(1, 1, errors.New("refused")) }, control.Unreachable},
		{"dial takes too long", func(w *peer) { w.p.Tick(1.3); w.p.Flush() }, control.Unreachable},
		{"broken while dialing", func(w *peer) { w.p.OnClosed(1, 1) }, control.Unreachable},
		{"drained while dialing", func(w *peer) {
			l, _ := ParseEndpointList([]byte(`[{"targets":["h:1"],"labels":{"phase":"draining"}},{"targets":["h:2"]}]`), 0)
			w.p.SetEndpoints(l)
			w.p.Flush()
		}, control.Unreachable},
		{"moved while dialing", func(w *peer) {
			l, _ := ParseEndpointList([]byte(`[{"targets":["h:9"],"labels":{"instance":"h:1"}}]`), 0)
			w.p.SetEndpoints(l)
			w.p.Flush()
		}, control.Unreachable},
		{"reset before any answer", func(w *peer) { w.p.OnDialed(1, 1, nil); w.p.OnClosed(1.1, 1) }, control.ConnectionLost},
		{"reset in mid-answer", func(w *peer) {
			w.p.OnDialed(1, 1, nil)
			w.p.OnData(1.1, 1, []byte(okText[:30]))
			w.p.OnClosed(1.2, 1)
		}, control.ConnectionLost},
		{"an answer that can't be read", func(w *peer) { w.p.OnDialed(1, 1, nil); w.p.OnData(1.1, 1, []byte("HI\r\n\r\n")) }, control.ConnectionLost},
		{"answered", func(w *peer) { w.p.OnDialed(1, 1, nil); w.p.OnData(1.1, 1, []byte(okText)) }, control.Succeeded},
		{"answered by closing", func(w *peer) {
			w.p.OnDialed(1, 1, nil)
			w.p.OnData(1.1, 1, []byte("HTTP/1.1 200 OK\r\n\r\nhi"))
			w.p.OnClosed(1.2, 1)
		}, control.Succeeded},
		{"missed", func(w *peer) {
			w.p.OnDialed(1, 1, nil)
			w.p.OnData(1, 1, []byte("HTTP/1.1 404 N\r\nContent-Length: 0\r\n\r\n"))
		}, control.ReplicaMissing},
	} {
		w := newPeer(t)
		w.launch(1, 7)
		c.do(w)
		if got := w.ends[7]; len(got) != 1 || got[0] != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		w.p.OnClosed(2, 1)
		w.p.Flush()
		if len(w.ends[7]) != 1 {
			t.Errorf("%s: ended %d times", c.name, len(w.ends[7]))
		}
		if err := w.p.Check(); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func TestConnectionsAreKeptAndBounded(t *testing.T) {
	w := newPeer(t)
	w.launch(1, 1)
	w.p.OnDialed(1, 1, nil)
	if got := string(w.written[1]); !strings.HasPrefix(got, "POST /v2/models/a%2Fb/infer HTTP/1.1\r\nHost: h:1\r\nVia: 1.1 front\r\n") ||
		!strings.HasSuffix(got, "Request-Timeout: 2.000\r\n\r\nx") {
		t.Fatalf("%q", got)
	}
	w.p.OnData(1.1, 1, []byte(okText))
	w.launch(2, 2) // over the same connection
	w.launch(2, 3)
	w.launch(2, 4) // over the bound
	w.p.Flush()
	if len(w.dials) != 2 || len(w.ends[4]) != 1 || w.ends[4][0] != control.Unreachable {
		t.Fatalf("%d dials, %v", len(w.dials), w.ends)
	}
	w.p.Abandon(2.5, 2) // in mid-launch: the connection tells the worker
	if !w.closed[1] {
		t.Fatal("an abandoned launch holds its connection")
	}
	w.p.OnData(2.6, 1, []byte(okText))
	w.p.Abandon(2.5, 3) // while dialing: the connection comes up idle
	w.p.OnDialed(2.7, 2, nil)
	if len(w.written[2]) != 0 || len(w.ends[2])+len(w.ends[3]) != 0 {
		t.Fatal("an abandoned launch went out, or ended")
	}
	w.p.Tick(13)
	if !w.closed[2] || w.p.Len() != 0 {
		t.Fatal("an idle connection is kept for good")
	}
}

// TestAnyOrderOfEvents holds against random sockets: each job ends once unless abandoned, and the books agree.
func TestAnyOrderOfEvents(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		w := newPeer(t)
		left := map[uint64]bool{}
		now, job := 1.0, uint64(0)
		lists := []string{`[{"targets":["h:1","h:2"]}]`, `[{"targets":["h:1"],"labels":{"phase":"draining"}}]`,
			`[{"targets":["h:3"],"labels":{"instance":"h:1"}}]`, `[]`}
		for range 200 {
			now += rng.Float64() * 0.1
			c := ConnID(rng.IntN(len(w.dials)+1) + 1)
			switch rng.IntN(9) {
			case 0, 1, 2:
				job++
				w.launch(now, job)
			case 3:
				w.p.OnDialed(now, c, nil)
			case 4:
				w.p.OnDialed(now, c, errors.New("refused"))
			case 5:
				w.p.OnData(now, c, []byte(okText)[:rng.IntN(len(okText)+1)])
			case 6:
				w.p.OnClosed(now, c)
			case 7:
				if job > 0 {
					j := rng.Uint64N(job) + 1
					left[j] = left[j] || len(w.ends[j]) == 0
					w.p.Abandon(now, j)
				}
			case 8:
				l, _ := ParseEndpointList([]byte(lists[rng.IntN(len(lists))]), 0)
				w.p.SetEndpoints(l)
				w.p.Tick(now)
			}
			w.p.Flush()
			if err := w.p.Check(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		w.p.CloseAll(now)
		w.p.Flush()
		for j := uint64(1); j <= job; j++ {
			if n := len(w.ends[j]); n != 1 && !(left[j] && n == 0) {
				t.Fatalf("seed %d: job %d ended %d times, abandoned %v", seed, j, n, left[j])
			}
		}
		if w.p.Len() != 0 {
			t.Fatalf("seed %d: %d connections left", seed, w.p.Len())
		}
	}
}

// FuzzAnswer: whatever a worker sends, in whatever pieces, ends the launch at most once and is understood alike.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(okText), 5)
	f.Add([]byte("HTTP/1.1 404 N\r\nServer-Timing: load-failed\r\nEndpoint-Load-Metrics: TEXT named_metrics.running=1\r\nContent-Length: 0\r\n\r\n"), 30)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cut = min(max(cut, 0), len(data))
		var got [2]string
		for i := range got {
			w := newPeer(t)
			w.launch(1, 1)
			w.p.OnDialed(1, 1, nil)
			if i == 1 {
				w.p.OnData(1, 1, data[:cut])
				w.p.OnData(1, 1, data[cut:])
			} else {
				w.p.OnData(1, 1, data)
			}
			w.p.OnClosed(2, 1)
			if len(w.ends[1]) != 1 {
				t.Fatalf("ended %d times", len(w.ends[1]))
			}
			got[i] = fmt.Sprint(w.ends[1])
			if err := w.p.Check(); err != nil {
				t.Fatal(err)
			}
		}
		if got[0] != got[1] {
			t.Fatalf("whole %s, cut up %s", got[0], got[1])
		}
	})
}
