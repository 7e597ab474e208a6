package appliance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"

	"streamcleat/internal/registry"
	"streamcleat/internal/registry/signing"
	"streamcleat/internal/schedule"
	"streamcleat/internal/storage"
	"streamcleat/internal/verification/fakes"
	"streamcleat/internal/verification/invariants"
)

// version returns the name and the digest of version n.
func version(n int) (string, digest.Digest) {
	name := fmt.Sprintf("1.%d", n)
	return name, digest.FromString(name)
}

// change makes a change of the registry and fails the test if it is rejected.
func (r *testAppliance) change(document string) {
	r.t.Helper()
	if status, body := r.post("registry", document); status != http.StatusOK {
		r.t.Fatalf("%s: %s", document, body)
	}
}

// publish publishes version n.
func (r *testAppliance) publish(n int) {
	r.t.Helper()
	name, d := version(n)
	r.change(fmt.Sprintf(`{"who":"test","publish":{"function":"tally","version":%q,"digest":%q}}`, name, d))
}

// publishTwo publishes versions 0 and 1 and moves the alias "current" to version 0.
func (r *testAppliance) publishTwo() {
	r.t.Helper()
	r.publish(0)
	r.publish(1)
	r.alias(0)
}

// alias moves the alias "current" to version n.
func (r *testAppliance) alias(n int) {
	r.t.Helper()
	_, d := version(n)
	r.change(fmt.Sprintf(`{"who":"test","move":{"function":"tally","alias":"current","digest":%q}}`, d))
}

// sendRecorded sends a request and records it for the invariants.
func (r *testAppliance) sendRecorded(class, function, id string) schedule.Result {
	r.t.Helper()
	record := invariants.Record{Kind: invariants.RequestSent, RequestID: "/t#" + id, Class: class, CallID: r.recorder.NextCallID(), Timeout: 1.5}
	r.recorder.Add(record)
	result := r.send(class, function, id)
	record.Kind, record.Status, record.Digest = invariants.ResponseReceived, result.Status, result.Digest
	record.Outcome = map[int]string{200: invariants.Succeeded, 503: invariants.Rejected, 502: invariants.Failed, 504: invariants.Failed}[result.Status]
	r.recorder.Add(record)
	return result
}

// checkInvariants checks the invariants on everything recorded so far.
func (r *testAppliance) checkInvariants() invariants.Verdict {
	rules := invariants.Rules{Semantics: map[string]string{"again": "redeliverable", "once": "at-most-once"}, ObservationDelay: 0.15}
	return invariants.Check(rules, r.recorder.Records())
}

// An alias is moved fifty times under steady load. Every response has the digest of the version that executed the request,
// and a retry gets a response of the version of the first attempt.
func TestAliasUpdate_UnderLoadKeepsVersionOfRetries(t *testing.T) {
	r := newTestAppliance(t, 3, "")
	r.start()
	for n := range 4 {
		r.publish(n)
	}
	r.alias(0)
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var mu sync.Mutex
	versions, statuses := map[string]int{}, map[int]int{}
	for client := range 6 {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				class, id := []string{"again", "once"}[n%2], fmt.Sprintf("%d-%d", client, n)
				response := r.sendRecorded(class, "tally", id)
				mu.Lock()
				versions[response.Digest]++
				statuses[response.Status]++
				mu.Unlock()
				if retry := r.sendRecorded(class, "tally", id); response.Status == 200 && (retry.Status != 200 || retry.Digest != response.Digest) {
					t.Errorf("%s: first %d of %s, its retry %d of %s", id, response.Status, response.Digest, retry.Status, retry.Digest)
				}
			}
		})
	}
	for n := range 50 {
		time.Sleep(40 * time.Millisecond)
		r.alias(n % 4)
	}
	stop()
	clients.Wait()
	verdict := r.checkInvariants()
	if verdict.RulesBroken > 0 || verdict.Succeeded < 200 || len(versions) < 4 {
		t.Errorf("responses from %d versions, statuses %v; %+v", len(versions), statuses, verdict)
	}
	t.Logf("%d requests succeeded on %d versions over 50 moves, statuses %v", verdict.Succeeded, len(versions), statuses)
}

func TestWrongDigest_NeverRunsOrResponds(t *testing.T) {
	r := newTestAppliance(t, 1, "")
	r.start()
	r.publishTwo()
	_, d0 := version(0)
	if response := r.sendRecorded("once", "tally", "first"); response.Status != 200 || response.Digest != string(d0) {
		t.Fatalf("%+v", response)
	}
	// The artifact store returns other content: the worker discards it, and the request is not executed.
	r.inject(0, fakes.Fault{Kind: "wrong-digest"})
	r.alias(1)
	if response := r.sendRecorded("once", "tally", "discarded"); response.Status != 503 {
		t.Errorf("replica with the wrong digest: status %d, want 503", response.Status)
	}
	r.alias(0) // the replica of version 0 is still loaded
	if response := r.sendRecorded("once", "tally", "moved-back"); response.Status != 200 || response.Digest != string(d0) {
		t.Errorf("%+v", response)
	}
	// The worker executes another version than requested: its response is not forwarded.
	r.inject(0, fakes.Fault{Kind: "wrong-digest", Duration: 1e-9})
	r.inject(0, fakes.Fault{Kind: "liar"})
	if response := r.sendRecorded("once", "tally", "digest-mismatch"); response.Status != 502 {
		t.Errorf("worker reports a wrong digest: status %d, want 502", response.Status)
	}
	if response := r.sendRecorded("again", "tally:nothing", "unknown"); response.Status != 422 {
		t.Errorf("unknown alias: status %d, want 422", response.Status)
	}
	if response := r.sendRecorded("again", "tally@"+string(d0), "pinned"); response.Status == 422 {
		t.Error("a pinned digest is rejected as unknown")
	}
	for _, rec := range r.recorder.Records() {
		if rec.Kind == invariants.Executed && rec.RequestID == "/t#discarded" {
			t.Error("a replica with the wrong digest executed a request")
		}
	}
	if verdict := r.checkInvariants(); verdict.VersionMismatches > 0 || verdict.DuplicateExecutions > 0 {
		t.Errorf("%v", verdict.Violations)
	}
}

// A rollout continues after a restart, and is rolled back if its version fails.
func TestRollout_ContinuesAfterRestartAndRollsBack(t *testing.T) {
	r := newTestAppliance(t, 2, "")
	r.start()
	r.publishTwo()
	_, d0 := version(0)
	_, d1 := version(1)
	r.change(fmt.Sprintf(`{"who":"test","rollout":{"function":"tally","alias":"current","to":%q,"steps":[0.5],"hold_s":100,"least":5,"most_bad":0.2}}`, d1))
	seen := map[string]int{}
	for n := range 30 {
		seen[r.sendRecorded("again", "tally", fmt.Sprint("a", n)).Digest]++
	}
	if seen[string(d0)] == 0 || seen[string(d1)] == 0 {
		t.Errorf("want half of the requests on the new version: %v", seen)
	}
	first := r.sendRecorded("once", "tally", "kept")
	r.stop()
	r.awaitEnd()
	r.start()
	if retry := r.sendRecorded("once", "tally", "kept"); retry.Status != first.Status || retry.Digest != first.Digest {
		t.Errorf("retry after the restart: %+v, first attempt %+v", retry, first)
	}
	var list []registry.View
	r.get("registry", &list)
	if len(list) != 1 || len(list[0].Rollouts) != 1 || len(list[0].Versions) != 2 {
		t.Fatalf("%+v", list)
	}
	for w := range r.workers { // the new version fails on every worker
		r.inject(w, fakes.Fault{Kind: "errors-of", Digest: string(d1)})
	}
	n := 0
	r.eventually("the rollout is rolled back", func() bool {
		n++
		r.sendRecorded("again", "tally", fmt.Sprint("b", n))
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

// A release moves an alias only after a replica of the new version is loaded, and loads no version twice.
func TestRelease_MovesAliasOnceLoaded(t *testing.T) {
	r := newTestAppliance(t, 2, "")
	r.start()
	r.publishTwo()
	if response := r.sendRecorded("again", "tally", "before"); response.Status != 200 {
		t.Fatal(response)
	}
	r.change(`{"who":"test","release":{"alias":"current","tag":"1.1","loads":2}}`)
	_, d1 := version(1)
	var list []registry.View
	r.eventually("the alias is moved", func() bool {
		list = nil
		r.get("registry", &list)
		return list[0].Aliases["current"] == d1
	})
	start := time.Now()
	if response := r.sendRecorded("again", "tally", "after"); response.Status != 200 || response.Digest != string(d1) {
		t.Errorf("%+v after %v", response, time.Since(start))
	}
	loads := 0
	for _, rec := range r.recorder.Records() {
		if rec.Kind == invariants.LoadCommanded {
			loads++
		}
	}
	if loads > 3 {
		t.Errorf("%d load commands for two versions", loads)
	}
}

// signedRegistry is an appliance whose versions must be signed.
type signedRegistry struct {
	*testAppliance
	keyring signing.Ring
	private map[string][]byte // by the id of the key
}

func newSignedRegistry(t *testing.T, keys ...string) *signedRegistry {
	t.Helper()
	s := &signedRegistry{testAppliance: newTestAppliance(t, 1, ""), keyring: signing.Ring{Threshold: 1}, private: map[string][]byte{}}
	s.extraConfig = `"handlers":{"keys":"keys.json"},`
	for i, id := range keys {
		seed := make([]byte, 32)
		seed[0] = byte(i)
		private, key, err := signing.NewKey(id, seed)
		if err != nil {
			t.Fatal(err)
		}
		s.private[id] = private
		s.keyring.Keys = append(s.keyring.Keys, key)
	}
	s.writeKeyring()
	return s
}

func (s *signedRegistry) writeKeyring() {
	s.t.Helper()
	data, err := json.Marshal(s.keyring)
	if err != nil {
		s.t.Fatal(err)
	}
	s.writeFile("keys.json", string(data))
}

// publishSigned publishes version n with the signature of a key, or unsigned if key is empty. The change claims to be
// signed by the first key. publishSigned returns the HTTP status.
func (s *signedRegistry) publishSigned(n int, key string) int {
	s.t.Helper()
	name, d := version(n)
	change := Change{Entry: registry.Entry{Actor: "test", Publish: &registry.Version{Function: "tally", Name: name, Digest: d, SignedBy: []string{"first"}}}}
	if key != "" {
		envelope, err := signing.Sign(key, s.private[key], "tally", name, d)
		if err != nil {
			s.t.Fatal(err)
		}
		change.Signatures = [][]byte{envelope}
	}
	data, err := json.Marshal(change)
	if err != nil {
		s.t.Fatal(err)
	}
	status, _ := s.post("registry", string(data))
	return status
}

// With a keyring, only signed versions can be published. Versions signed by a revoked key are withdrawn; versions signed by
// a retired key stay.
func TestKeyring_RejectsUnsignedAndWithdrawsRevoked(t *testing.T) {
	r := newSignedRegistry(t, "first", "second")
	r.start()
	if r.publishSigned(0, "") == 200 {
		t.Error("published without a signature")
	}
	if a, b := r.publishSigned(0, "first"), r.publishSigned(1, "second"); a != 200 || b != 200 {
		t.Fatal(a, b)
	}
	r.alias(1)
	r.alias(0)
	if response := r.sendRecorded("again", "tally", "signed"); response.Status != 200 {
		t.Errorf("%+v", response)
	}
	r.keyring.Keys[1].ValidUntil = time.Now().Add(-time.Second) // retired: no longer valid for new versions
	r.keyring.Keys[0].Revoked = true
	r.writeKeyring()
	_, d1 := version(1)
	r.eventually("the version of the revoked key is withdrawn", func() bool {
		var list []registry.View
		r.get("registry", &list)
		return list[0].Aliases["current"] == d1 && list[0].Versions[0].Withdrawn && !list[0].Versions[1].Withdrawn
	})
	if response := r.sendRecorded("again", "tally", "after"); response.Status != 200 || response.Digest != string(d1) {
		t.Errorf("%+v", response)
	}
	if r.publishSigned(2, "second") == 200 {
		t.Error("a version signed by a retired key was published")
	}
}

// A retry at the other front end runs on the version of the first attempt.
func TestRetry_AtOtherFrontEndKeepsVersion(t *testing.T) {
	r := newTestAppliance(t, 2, "")
	r.listen = `["127.0.0.1:0","localhost:0"]`
	r.start()
	r.publish(0)
	r.publish(1)
	for n := range 10 {
		r.alias(0)
		r.address = r.addresses[0]
		first := r.sendRecorded("again", "tally", strconv.Itoa(n))
		r.alias(1)
		r.address = r.addresses[1]
		if retry := r.sendRecorded("again", "tally", strconv.Itoa(n)); first.Status != 200 || retry.Status != 200 || retry.Digest != first.Digest {
			t.Fatalf("%d: first %+v, retry %+v", n, first, retry)
		}
	}
}

// A revocation that can't be stored is retried by the next reload.
func TestReloadKeys_RetriesRevocationNotStored(t *testing.T) {
	dir := t.TempDir()
	private, key, err := signing.NewKey("only", make([]byte, 32))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "keys.json")
	write := func() {
		t.Helper()
		data, _ := json.Marshal(signing.Ring{Threshold: 1, Keys: []signing.Key{key}})
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
	envelope, err := signing.Sign("only", private, "tally", name, d)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.applyChange(Change{
		Entry:      registry.Entry{Actor: "test", Publish: &registry.Version{Function: "tally", Name: name, Digest: d}},
		Signatures: [][]byte{envelope},
	}); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	key.Revoked = true
	write()
	for range 2 {
		if err := g.reloadKeys(path, log); err == nil {
			t.Error("no error although the withdrawal was not stored")
		}
	}
}
