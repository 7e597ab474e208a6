package http

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"streamcleat/control"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/http1"
)

var (
	limits = Limits{Message: http1.Limits{Head: 2000, Body: 500}, Pipeline: 4, Arrival: 2, Idle: 10, Unread: 1 << 16,
		MaxAge: func(string) float64 { return 5 }}
	wall = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
)

// till is the core's side of a session: it notes what was taken.
type till struct {
	s     *Session
	asks  map[uint64]dispatch.Request
	order []uint64
	left  []uint64
	now   bool // answer within Take
}

func (k *till) Submit(slot uint64, ask dispatch.Request) {
	k.asks[slot] = ask
	k.order = append(k.order, slot)
	if k.now {
		k.s.Respond(0, slot, dispatch.Response{Kind: dispatch.Succeeded, Body: []byte(ask.ID)})
	}
}
func (k *till) Cancel(slot uint64) { k.left = append(k.left, slot) }

func newTill() *till {
	k := &till{asks: map[uint64]dispatch.Request{}}
	k.s = NewSession(limits, "front-1", k, 0)
	return k
}

func event(id, more string, body string) string {
	return fmt.Sprintf("POST /events HTTP/1.1\r\nHost: f\r\nce-specversion: 1.0\r\nce-source: /t\r\nce-id: %s\r\nce-type: shop-event\r\n"+
		"ce-function: tally\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(body), body)
}

func (k *till) feed(now float64, text string) string {
	k.s.Feed(now, wall, []byte(text))
	return string(k.s.Output())
}

func (k *till) answer(slot uint64, a dispatch.Response) string {
	k.s.Respond(1, slot, a)
	k.s.Advance(1)
	return string(k.s.Output())
}

func TestBothModesAreTheSameEvent(t *testing.T) {
	structured := `{"specversion":"1.0","source":"/t","id":"e 1","type":"shop-event","function":"tally","tenant":"shop-a",` +
		`"expirytime":"2026-12-01T12:00:02Z","datacontenttype":"application/json","data":{"n":1}}`
	for name, text := range map[string]string{
		"binary": event("e%201", "ce-tenant: shop-a\r\nce-expirytime: 2026-12-01T12:00:02Z\r\nContent-Type: application/json\r\n", `{"n":1}`),
		"structured": fmt.Sprintf("POST / HTTP/1.1\r\nHost: f\r\nContent-Type: application/cloudevents+json; charset=utf-8\r\n"+
			"Content-Length: %d\r\n\r\n%s", len(structured), structured),
	} {
		k := newTill()
		if out := k.feed(0, text); out != "" || len(k.order) != 1 {
			t.Fatalf("%s: %q", name, out)
		}
		ask := k.asks[1]
		if ask.Source != "/t" || ask.ID != "e 1" || ask.Class != "shop-event" || ask.Function != "tally" || ask.Tenant != "shop-a" ||
			ask.Timeout != 2 || string(ask.Body) != `{"n":1}` {
			t.Errorf("%s: %+v", name, ask)
		}
		var fields []string
		for _, f := range ask.Fields {
			fields = append(fields, f.Name+"="+f.Value)
		}
		if got := strings.Join(fields, " "); !strings.Contains(got, "ce-source=/t ce-id=e%20") ||
			!strings.Contains(got, "Content-Type=application/json ce-expirytime") {
			t.Errorf("%s: %s", name, got)
		}
	}
}

func TestFaultyEventsNameWhatIsWrong(t *testing.T) {
	del := func(field string) string {
		lines := strings.Split(event("1", "", ""), "\r\n")
		var kept []string
		for _, l := range lines {
			if !strings.HasPrefix(l, field+":") {
				kept = append(kept, l)
			}
		}
		return strings.Join(kept, "\r\n")
	}
	for _, c := range []struct{ in, status, word string }{
		{del("ce-id"), "400", "attribute id"},
		{del("ce-source"), "400", "attribute source"},
		{del("ce-type"), "400", "attribute type"},
		{del("ce-specversion"), "400", "attribute specversion"},
		{del("ce-function"), "400", "attribute function"},
		{strings.Replace(event("1", "", ""), "1.0\r\n", "0.3\r\n", 1), "400", "specversion"},
		{event("1", "ce-expirytime: soon\r\n", ""), "400", "attribute expirytime"},
		{event("1", "Prefer: wait=long\r\n", ""), "400", "Prefer"},
		{event("1", "Content-Type: application/cloudevents-batch+json\r\n", "[]"), "415", "one event"},
		{event("1", "Content-Type: application/cloudevents+json\r\n", "{"), "400", "not a CloudEvent"},
		{"GET /events HTTP/1.1\r\nHost: f\r\n\r\n", "405", "POST"},
		{"POST /other HTTP/1.1\r\nHost: f\r\nContent-Length: 0\r\n\r\n", "404", "/other"},
		{event("1", "", strings.Repeat("x", 501)), "413", "501"},
		{event("1", "Content-Length: 2\r\n", ""), "400", "Content-Length"},
	} {
		k := newTill()
		out := k.feed(0, c.in)
		head, body, _ := strings.Cut(out, "\r\n\r\n")
		var p struct{ Type, Detail string }
		if !strings.HasPrefix(out, "HTTP/1.1 "+c.status) || json.Unmarshal([]byte(body), &p) != nil || !strings.Contains(p.Detail, c.word) ||
			!strings.Contains(head, "application/problem+json") || len(k.order) != 0 {
			t.Errorf("%.60q: %s", c.in, out)
		}
	}
}

func TestFinalAnswers(t *testing.T) {
	for _, c := range []struct {
		a    dispatch.Response
		want []string
	}{
		{dispatch.Response{Kind: dispatch.Succeeded, Start: control.WarmStart, Body: []byte("hi"),
			Fields: []dispatch.Field{{Name: "Content-Type", Value: "text/plain"}}}, []string{"200 OK", "Server-Timing: warm", "text/plain", "\r\n\r\nhi"}},
		{dispatch.Response{Kind: dispatch.Succeeded, Replayed: true}, []string{"200 OK", "Idempotent-Replayed: true"}},
		{dispatch.Response{Kind: dispatch.Rejected, Cause: dispatch.CauseNoCapacity, RetryAfter: 0.25}, []string{"503 ", "Retry-After: 1\r\n",
			`"retry-after":0.25`, "destination_unavailable", `"outcome":"deferred"`}},
		{dispatch.Response{Kind: dispatch.Failed, Cause: dispatch.CauseConnectionLost, Worker: "wk-a", Attempts: 1}, []string{"502 ",
			"Proxy-Status: front-1; error=connection_terminated", `"worker":"wk-a"`, `"launches":1`}},
		{dispatch.Response{Kind: dispatch.Failed, Cause: dispatch.CauseDeadlineExceeded}, []string{"504 ", "http_response_timeout"}},
		{dispatch.Response{Kind: dispatch.Failed, Cause: dispatch.CauseUnknownClass, Class: "odd"}, []string{"422 ", "odd"}},
	} {
		k := newTill()
		k.feed(0, event("1", "", ""))
		out := k.answer(1, c.a)
		for _, w := range c.want {
			if !strings.Contains(out, w) {
				t.Errorf("%+v: no %q in %s", c.a, w, out)
			}
		}
		if k.answer(1, c.a) != "" {
			t.Error("answered twice")
		}
	}
}

func body(n int) dispatch.Response {
	return dispatch.Response{Kind: dispatch.Succeeded, Body: fmt.Appendf(nil, "<%d>", n)}
}

func TestPipelineAnswersInOrder(t *testing.T) {
	k := newTill()
	k.feed(0, event("1", "", "")+event("2", "", "")+event("3", "", ""))
	if len(k.order) != 3 {
		t.Fatalf("taken %v", k.order)
	}
	if out := k.answer(3, body(3)) + k.answer(2, body(2)); out != "" {
		t.Fatalf("out of order: %q", out)
	}
	out := k.answer(1, body(1))
	if a, b, c := strings.Index(out, "<1>"), strings.Index(out, "<2>"), strings.Index(out, "<3>"); a < 0 || b < a || c < b {
		t.Fatalf("%q", out)
	}
	k = newTill()
	k.now = true
	if out := k.feed(0, event("1", "", "")+event("2", "", "")); strings.Count(out, "200 OK") != 2 {
		t.Fatalf("%q", out)
	}
	k = newTill()
	var text strings.Builder
	for i := range 6 {
		text.WriteString(event(fmt.Sprint(i), "", ""))
	}
	k.feed(0, text.String())
	if len(k.order) != 4 {
		t.Fatalf("%d events of one connection taken, 4 are allowed", len(k.order))
	}
	for i := range 4 {
		out = k.answer(uint64(i+1), body(i))
	}
	if strings.Count(out, "429 ") != 2 || !strings.Contains(out, "Retry-After: 1") {
		t.Fatalf("%q", out)
	}
}

// An event behind one that may take longer than its own client waits is not taken before the line is free: HTTP/1.1
// could not answer it in time.
func TestStuckBehindASlowEvent(t *testing.T) {
	k := newTill()
	k.feed(0, event("slow", "Prefer: wait=4\r\n", "")+event("quick", "Prefer: wait=1\r\n", ""))
	if len(k.order) != 1 {
		t.Fatal("taken though its answer can't be sent in its time")
	}
	k.answer(1, body(1))
	if len(k.order) != 2 || k.asks[2].Timeout != -1 {
		t.Fatalf("%v %+v", k.order, k.asks[2])
	}
	k = newTill()
	k.feed(0, event("quick", "Prefer: wait=1\r\n", "")+event("slow", "Prefer: wait=4\r\n", ""))
	if len(k.order) != 2 {
		t.Fatal("an event with more time than those ahead had to wait")
	}
}

func TestHangUpAndSlowSender(t *testing.T) {
	k := newTill()
	k.feed(0, event("1", "", "")+event("2", "", ""))
	k.s.Disconnected()
	if fmt.Sprint(k.left) != "[1 2]" || k.answer(1, body(1)) != "" {
		t.Fatalf("left %v", k.left)
	}
	k = newTill()
	k.feed(0, event("1", "", "abc")[:100])
	k.s.Tick(1.9)
	if k.s.Done() {
		t.Fatal("closed too soon")
	}
	k.s.Tick(2.1)
	if out := string(k.s.Output()); !strings.HasPrefix(out, "HTTP/1.1 408") || !k.s.Done() {
		t.Fatalf("%q", out)
	}
	k = newTill()
	k.s.Tick(10.1)
	if !k.s.Done() {
		t.Fatal("an idle connection stays")
	}
	k = newTill()
	k.feed(0, event("1", "", ""))
	k.s.Drain()
	if out := k.answer(1, body(1)); !strings.Contains(out, "Connection: close") || !k.s.Done() {
		t.Fatalf("%q", out)
	}
}

func TestNothingInAnAttributeEndsAField(t *testing.T) {
	s := `{"specversion":"1.0","source":"/t","id":"a\r\nX-Evil: 1","type":"shop-event","function":"tally","note":"ü %"}`
	k := newTill()
	k.feed(0, fmt.Sprintf("POST / HTTP/1.1\r\nHost: f\r\nContent-Type: application/cloudevents+json\r\nContent-Length: %d\r\n\r\n%s", len(s), s))
	for _, f := range k.asks[1].Fields {
		if strings.ContainsAny(f.Value, "\r\n ü") {
			t.Errorf("%s: %q", f.Name, f.Value)
		}
	}
}

func FuzzSession(f *testing.F) {
	f.Add([]byte(event("1", "Prefer: wait=3\r\n", "{}")), 20)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: f\r\nContent-Type: application/cloudevents+json\r\nContent-Length: 2\r\n\r\n{}"), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		var outs [2]string
		for i := range outs {
			k := newTill()
			k.now = true
			at := len(data)
			if i == 1 {
				at = min(max(cut, 0), len(data))
			}
			outs[i] = k.feed(0, string(data[:at])) + k.feed(0, string(data[at:]))
			for _, ask := range k.asks {
				if ask.ID == "" || ask.Source == "" || ask.Class == "" || ask.Function == "" {
					t.Fatalf("took an event without its attributes: %+v", ask)
				}
			}
		}
		if a, b := strings.ReplaceAll(outs[0], "HTTP/1.1 100 Continue\r\n\r\n", ""),
			strings.ReplaceAll(outs[1], "HTTP/1.1 100 Continue\r\n\r\n", ""); a != b {
			t.Fatalf("whole %q, cut up %q", a, b)
		}
	})
}
