package appliance

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"

	"streamcleat/handlers"
	"streamcleat/referee"
	"streamcleat/standin"
	"streamcleat/timers"
)

func version(n int) (string, digest.Digest) {
	name := fmt.Sprintf("1.%d", n)
	return name, digest.FromString(name)
}

func (r *running) change(text string) {
	r.t.Helper()
	resp, err := r.http.Post("http://box/v1/registry", "application/json", strings.NewReader(text))
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	if data, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 {
		r.t.Fatalf("%s: %s", text, data)
	}
}

func (r *running) publish(n int) {
	name, d := version(n)
	r.change(fmt.Sprintf(`{"who":"test","publish":{"function":"tally","version":%q,"digest":%q}}`, name, d))
}

func (r *running) alias(n int) {
	_, d := version(n)
	r.change(fmt.Sprintf(`{"who":"test","move":{"function":"tally","alias":"current","digest":%q}}`, d))
}

// ask sends one event and notes it for the referee.
func (r *running) ask(tape *referee.Tape, kind, function, id string) timers.Outcome {
	c := &timers.Client{Source: "/t", Fronts: []string{r.addr}, HTTP: &http.Client{Transport: &http.Transport{}}, MaxAge: 1500 * time.Millisecond}
	rec := referee.Record{Kind: referee.Asked, Event: "/t#" + id, Type: kind, Call: tape.Call(), Wait: 1.5}
	tape.Add(rec)
	o := c.Fire(context.Background(), timers.Firing{Entry: &timers.Entry{Type: kind, Function: function}, ID: id})
	rec.Kind, rec.Status, rec.Digest = referee.Answered, o.Status, o.Digest
	rec.Outcome = map[int]string{200: referee.Handled, 503: referee.Deferred, 502: referee.DeadLettered, 504: referee.DeadLettered}[o.Status]
	tape.Add(rec)
	return o
}

// Fifty moves of an alias under steady load: every answer names the version that ran its event, also a repeat's.
func TestFiftyAliasMovesUnderLoad(t *testing.T) {
	tape := referee.NewTape()
	r := newRunningWith(t, 3, "", tape)
	r.start()
	for n := range 4 {
		r.publish(n)
	}
	r.alias(0)
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var mu sync.Mutex
	versions, status := map[string]int{}, map[int]int{}
	for till := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ctx.Err() == nil; n++ {
				kind, id := []string{"again", "once"}[n%2], fmt.Sprintf("%d-%d", till, n)
				o := r.ask(tape, kind, "tally", id)
				mu.Lock()
				versions[o.Digest]++
				status[o.Status]++
				mu.Unlock()
				if again := r.ask(tape, kind, "tally", id); o.Status == 200 && (again.Status != 200 || again.Digest != o.Digest) {
					t.Errorf("%s: first %d of %s, its repeat %d of %s", id, o.Status, o.Digest, again.Status, again.Digest)
				}
			}
		}()
	}
	for n := range 50 {
		time.Sleep(40 * time.Millisecond)
		r.alias(n % 4)
	}
	stop()
	clients.Wait()
	v := referee.Judge(referee.Rules{Effect: map[string]string{"again": "redeliverable", "once": "at-most-once"}, Grace: 0.15}, tape.Records())
	if v.Broken > 0 || v.Handled < 200 || len(versions) < 4 {
		t.Errorf("%d versions answered, %v; %+v", len(versions), status, v)
	}
	t.Logf("%d events handled on %d versions over 50 moves, %v", v.Handled, len(versions), status)
}

func TestWrongDigestsNeverRunAndAreNeverAnswered(t *testing.T) {
	tape := referee.NewTape()
	r := newRunningWith(t, 1, "", tape)
	r.start()
	r.publish(0)
	r.publish(1)
	r.alias(0)
	_, d0 := version(0)
	if o := r.ask(tape, "once", "tally", "fine"); o.Status != 200 || o.Digest != string(d0) {
		t.Fatalf("%+v", o)
	}
	// The store hands out something else: the worker throws it away, the event never runs.
	r.workers[0].Inject(standin.Fault{Kind: "wrong-digest"})
	r.alias(1)
	if o := r.ask(tape, "once", "tally", "thrown-away"); o.Status != 503 {
		t.Errorf("with a copy that can't be loaded: status %d", o.Status)
	}
	r.alias(0) // back within a second: what was loaded before still serves
	if o := r.ask(tape, "once", "tally", "back"); o.Status != 200 || o.Digest != string(d0) {
		t.Errorf("%+v", o)
	}
	// A worker that proves another version than it was asked for: its answer is not handed on.
	r.workers[0].Inject(standin.Fault{Kind: "wrong-digest", For: 1e-9})
	r.workers[0].Inject(standin.Fault{Kind: "liar"})
	if o := r.ask(tape, "once", "tally", "lied"); o.Status != 502 {
		t.Errorf("a lying worker: status %d", o.Status)
	}
	if o := r.ask(tape, "again", "tally:nothing", "unknown"); o.Status != 422 {
		t.Errorf("an alias that names nothing: status %d", o.Status)
	}
	if o := r.ask(tape, "again", "tally@"+string(d0), "pinned"); o.Status == 422 {
		t.Error("a pinned digest is not known")
	}
	for _, rec := range tape.Records() {
		if rec.Kind == referee.Ran && rec.Event == "/t#thrown-away" {
			t.Error("a mismatched copy ran")
		}
	}
	if v := referee.Judge(referee.Rules{Effect: map[string]string{"again": "redeliverable", "once": "at-most-once"}, Grace: 0.15}, tape.Records()); v.Versions > 0 || v.RanTwice > 0 {
		t.Errorf("%v", v.Faults)
	}
}

// A restart in mid-rollout goes on with it, and a version that fails goes back by itself.
func TestRolloutOverARestartAndBack(t *testing.T) {
	tape := referee.NewTape()
	r := newRunningWith(t, 2, "", tape)
	r.start()
	r.publish(0)
	r.publish(1)
	r.alias(0)
	_, d0 := version(0)
	_, d1 := version(1)
	r.change(fmt.Sprintf(`{"who":"test","rollout":{"function":"tally","alias":"current","to":%q,"steps":[0.5],"hold_s":100,"least":5,"most_bad":0.2}}`, d1))
	seen := map[string]int{}
	for n := range 30 {
		seen[r.ask(tape, "again", "tally", fmt.Sprint("a", n)).Digest]++
	}
	if seen[string(d0)] == 0 || seen[string(d1)] == 0 {
		t.Errorf("half of the events are meant to have the new version: %v", seen)
	}
	first := r.ask(tape, "once", "tally", "kept")
	r.stop()
	r.end()
	r.start()
	if again := r.ask(tape, "once", "tally", "kept"); again.Status != first.Status || again.Digest != first.Digest {
		t.Errorf("a repeat after the restart: %+v, first %+v", again, first)
	}
	var list []handlers.View
	r.get("registry", &list)
	if len(list) != 1 || len(list[0].Rollouts) != 1 || len(list[0].Versions) != 2 {
		t.Fatalf("%+v", list)
	}
	for _, w := range r.workers { // the new version fails wherever it runs
		w.Inject(standin.Fault{Kind: "errors-of", Digest: string(d1)})
	}
	n := 0
	r.wait("the rollout went back", func() bool {
		n++
		r.ask(tape, "again", "tally", fmt.Sprint("b", n))
		list = nil
		r.get("registry", &list)
		return len(list[0].Rollouts) == 0 && list[0].Aliases["current"] == d0
	})
	var trail []handlers.Entry
	r.get("trail", &trail)
	if last := trail[len(trail)-1]; last.Who != "rollout" || !strings.Contains(last.Why, "bad") {
		t.Errorf("%+v", last)
	}
}

// A release moves each alias only when a copy of the new version stands; a second one has to wait, and nothing is
// asked to move twice.
func TestPacedRelease(t *testing.T) {
	tape := referee.NewTape()
	r := newRunningWith(t, 2, "", tape)
	r.start()
	r.publish(0)
	r.publish(1)
	r.alias(0)
	if o := r.ask(tape, "again", "tally", "before"); o.Status != 200 {
		t.Fatal(o)
	}
	r.change(`{"who":"test","release":{"alias":"current","tag":"1.1","loads":2}}`)
	_, d1 := version(1)
	var list []handlers.View
	r.wait("the alias moved", func() bool {
		list = nil
		r.get("registry", &list)
		return list[0].Aliases["current"] == d1
	})
	began := time.Now()
	if o := r.ask(tape, "again", "tally", "after"); o.Status != 200 || o.Digest != string(d1) {
		t.Errorf("%+v after %v", o, time.Since(began))
	}
	ordered := 0
	for _, rec := range tape.Records() {
		if rec.Kind == referee.Ordered {
			ordered++
		}
	}
	if ordered > 3 {
		t.Errorf("%d load orders for two versions", ordered)
	}
}
