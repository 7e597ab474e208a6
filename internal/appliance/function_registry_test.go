package appliance

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"

	"streamcleat/internal/fakes"
	"streamcleat/internal/invariants"
	"streamcleat/internal/registry"
	"streamcleat/internal/registry/signing"
	"streamcleat/internal/schedule"
	"streamcleat/internal/storage"
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
func (r *running) ask(tape *invariants.Tape, kind, function, id string) schedule.Result {
	c := &schedule.Client{Source: "/t", FrontEnds: []string{r.addr}, HTTP: &http.Client{Transport: &http.Transport{}}, DefaultTimeout: 1500 * time.Millisecond}
	rec := invariants.Record{Kind: invariants.Asked, Event: "/t#" + id, Type: kind, Call: tape.Call(), Wait: 1.5}
	tape.Add(rec)
	o := c.Fire(context.Background(), schedule.Firing{Entry: &schedule.Entry{Class: kind, Function: function}, ID: id})
	rec.Kind, rec.Status, rec.Digest = invariants.Answered, o.Status, o.Digest
	rec.Outcome = map[int]string{200: invariants.Handled, 503: invariants.Deferred, 502: invariants.DeadLettered, 504: invariants.DeadLettered}[o.Status]
	tape.Add(rec)
	return o
}

// Fifty moves of an alias under steady load: every answer names the version that ran its event, also a repeat's.
func TestFiftyAliasMovesUnderLoad(t *testing.T) {
	tape := invariants.NewTape()
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
	v := invariants.Judge(invariants.Rules{Effect: map[string]string{"again": "redeliverable", "once": "at-most-once"}, Grace: 0.15}, tape.Records())
	if v.Broken > 0 || v.Handled < 200 || len(versions) < 4 {
		t.Errorf("%d versions answered, %v; %+v", len(versions), status, v)
	}
	t.Logf("%d events handled on %d versions over 50 moves, %v", v.Handled, len(versions), status)
}

func TestWrongDigestsNeverRunAndAreNeverAnswered(t *testing.T) {
	tape := invariants.NewTape()
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
	r.workers[0].Inject(fakes.Fault{Kind: "wrong-digest"})
	r.alias(1)
	if o := r.ask(tape, "once", "tally", "thrown-away"); o.Status != 503 {
		t.Errorf("with a copy that can't be loaded: status %d", o.Status)
	}
	r.alias(0) // back within a second: what was loaded before still serves
	if o := r.ask(tape, "once", "tally", "back"); o.Status != 200 || o.Digest != string(d0) {
		t.Errorf("%+v", o)
	}
	// A worker that proves another version than it was asked for: its answer is not handed on.
	r.workers[0].Inject(fakes.Fault{Kind: "wrong-digest", For: 1e-9})
	r.workers[0].Inject(fakes.Fault{Kind: "liar"})
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
		if rec.Kind == invariants.Ran && rec.Event == "/t#thrown-away" {
			t.Error("a mismatched copy ran")
		}
	}
	if v := invariants.Judge(invariants.Rules{Effect: map[string]string{"again": "redeliverable", "once": "at-most-once"}, Grace: 0.15}, tape.Records()); v.Versions > 0 || v.RanTwice > 0 {
		t.Errorf("%v", v.Faults)
	}
}

// A restart in mid-rollout goes on with it, and a version that fails goes back by itself.
func TestRolloutOverARestartAndBack(t *testing.T) {
	tape := invariants.NewTape()
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
	var list []registry.View
	r.get("registry", &list)
	if len(list) != 1 || len(list[0].Rollouts) != 1 || len(list[0].Versions) != 2 {
		t.Fatalf("%+v", list)
	}
	for _, w := range r.workers { // the new version fails wherever it runs
		w.Inject(fakes.Fault{Kind: "errors-of", Digest: string(d1)})
	}
	n := 0
	r.wait("the rollout went back", func() bool {
		n++
		r.ask(tape, "again", "tally", fmt.Sprint("b", n))
		list = nil
		r.get("registry", &list)
		return len(list[0].Rollouts) == 0 && list[0].Aliases["current"] == d0
	})
	var trail []registry.Entry
	r.get("trail", &trail)
	if last := trail[len(trail)-1]; last.Actor != "rollout" || !strings.Contains(last.Reason, "bad") {
		t.Errorf("%+v", last)
	}
}

// A release moves each alias only when a copy of the new version stands; a second one has to wait, and nothing is
// asked to move twice.
func TestPacedRelease(t *testing.T) {
	tape := invariants.NewTape()
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
	var list []registry.View
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
		if rec.Kind == invariants.Ordered {
			ordered++
		}
	}
	if ordered > 3 {
		t.Errorf("%d load orders for two versions", ordered)
	}
}

// With a ring of keys only what they vouch for is published; what a revoked key vouched for is withdrawn, and what a
// retired one did stays.
func TestKeysVouchForVersions(t *testing.T) {
	tape := invariants.NewTape()
	r := newRunningWith(t, 1, "", tape)
	r.more = `"handlers":{"keys":"keys.json"},`
	ring := signing.Ring{Need: 1}
	private := map[string][]byte{}
	write := func() {
		data, _ := json.Marshal(ring)
		if err := os.WriteFile(filepath.Join(r.dir, "keys.json"), data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for i, id := range []string{"first", "second"} {
		seed := make([]byte, 32)
		seed[0] = byte(i)
		p, k, err := signing.NewKey(id, seed)
		if err != nil {
			t.Fatal(err)
		}
		private[id], ring.Keys = p, append(ring.Keys, k)
	}
	write()
	r.start()
	publish := func(n int, by string) int {
		name, d := version(n)
		ch := Change{Entry: registry.Entry{Actor: "test", Publish: &registry.Version{Function: "tally", Name: name, Digest: d, SignedBy: []string{"first"}}}}
		if by != "" {
			e, err := signing.Sign(by, private[by], "tally", name, d)
			if err != nil {
				t.Fatal(err)
			}
			ch.Signatures = [][]byte{e}
		}
		data, _ := json.Marshal(ch)
		resp, err := r.http.Post("http://box/v1/registry", "application/json", bytes.NewReader(data))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if publish(0, "") == 200 {
		t.Error("published with nobody's word but its own")
	}
	if a, b := publish(0, "first"), publish(1, "second"); a != 200 || b != 200 {
		t.Fatal(a, b)
	}
	r.alias(1)
	r.alias(0)
	if o := r.ask(tape, "again", "tally", "signed"); o.Status != 200 {
		t.Errorf("%+v", o)
	}
	ring.Keys[1].Until = time.Now().Add(-time.Second) // retired: it vouches for nothing new
	ring.Keys[0].Revoked = true
	write()
	_, d1 := version(1)
	r.wait("the alias left the version of the revoked key", func() bool {
		var list []registry.View
		r.get("registry", &list)
		return list[0].Aliases["current"] == d1 && list[0].Versions[0].Withdrawn && !list[0].Versions[1].Withdrawn
	})
	if o := r.ask(tape, "again", "tally", "after"); o.Status != 200 || o.Digest != string(d1) {
		t.Errorf("%+v", o)
	}
	if publish(2, "second") == 200 {
		t.Error("a retired key vouched for something new")
	}
}

// A repeat that comes to the other front end keeps the version of its first try.
func TestRepeatAtTheOtherFrontEndKeepsItsVersion(t *testing.T) {
	tape := invariants.NewTape()
	r := newRunningWith(t, 2, "", tape)
	r.listen = `["127.0.0.1:0","localhost:0"]`
	r.start()
	r.publish(0)
	r.publish(1)
	for n := range 10 {
		r.alias(0)
		r.addr = r.addrs[0]
		first := r.ask(tape, "again", "tally", fmt.Sprint(n))
		r.alias(1)
		r.addr = r.addrs[1]
		if again := r.ask(tape, "again", "tally", fmt.Sprint(n)); first.Status != 200 || again.Status != 200 || again.Digest != first.Digest {
			t.Fatalf("%d: first %+v, again %+v", n, first, again)
		}
	}
}

// A revocation that can't be carried out for the disk is not taken for done.
func TestRevocationIsTriedAgain(t *testing.T) {
	dir := t.TempDir()
	private, k, err := signing.NewKey("only", make([]byte, 32))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "keys.json")
	write := func() {
		data, _ := json.Marshal(signing.Ring{Need: 1, Keys: []signing.Key{k}})
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write()
	store, _, err := storage.OpenStore(filepath.Join(dir, "state"), storage.Options{Retention: 60})
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	var g functionRegistry
	if err := errors.Join(g.open(store, nil), g.reloadKeys(path, log)); err != nil {
		t.Fatal(err)
	}
	name, d := version(0)
	e, err := signing.Sign("only", private, "tally", name, d)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.applyChange(Change{Entry: registry.Entry{Actor: "test", Publish: &registry.Version{Function: "tally", Name: name, Digest: d}},
		Signatures: [][]byte{e}}); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	k.Revoked = true
	write()
	for range 2 {
		if err := g.reloadKeys(path, log); err == nil {
			t.Error("the version stands, and nobody is told")
		}
	}
}
