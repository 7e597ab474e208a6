package storage

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/units"
)

// The fixtures in testdata hold the keys and values of existing stores and must not change. A new stored format gets new
// fixtures; run the tests with -update only to create those.
var update = flag.Bool("update", false, "write the fixtures of the stored format")

const fixtureRetention = 1000

var (
	fixtureDue        = time.Unix(1_800_000_060, 0)
	fixtureDeadline   = time.Unix(1_800_000_360, 0)
	fixtureAuditTrail = [][]byte{
		[]byte(`{"at":1800000000,"who":"ann","move":{"function":"f","alias":"current","digest":""},"why":"first"}`),
		[]byte(`{"at":1800000001,"who":"bob","withdraw":"f@sha256:00"}`),
	}
	fixtureConfig  = []byte(`{"name":"box","listen":["127.0.0.1:0"]}`)
	fixtureBinding = dispatch.Binding{ID: "team/f@sha256:ab", Version: "1.2.0", Digest: "sha256:ab", Function: "team/f"}
	fixtureFields  = []dispatch.Field{{Name: "Content-Type", Value: "text/plain"}, {Name: "Ce-Subject", Value: ""}}
)

// fixtureRecords returns records of every kind: open attempts, responses with all fields set, and responses with the
// minimum of fields.
func fixtureRecords() []dispatch.Record {
	return []dispatch.Record{
		{Kind: dispatch.RecordAttemptStarted, PossiblyExecuted: true, FirstExecutionAge: 2.5, Response: dispatch.Response{
			Identity: dispatch.Identity{Source: "/shop", ID: "open-1"}, Class: "price-reset", Function: "f", Tenant: "north",
		}},
		{Kind: dispatch.RecordAttemptStarted, PossiblyExecuted: true, Response: dispatch.Response{
			Identity: dispatch.Identity{Source: "/shop", ID: "open-2"}, Class: "till-entry", Function: "team/f", Binding: fixtureBinding,
		}},
		{Kind: dispatch.RecordRequestEnded, PossiblyExecuted: true, FirstExecutionAge: 4, Response: dispatch.Response{
			Identity: dispatch.Identity{Source: "/shop", ID: "ended-1"}, Class: "till-entry", Function: "team/f", Tenant: "south",
			Kind: dispatch.Failed, Cause: dispatch.CauseDigestMismatch, RetryAfter: 0.5, Worker: "w-7", Attempts: 3, Elapsed: 1.25,
			Fields: fixtureFields, Body: []byte("an answer\x00\xff"), Binding: fixtureBinding,
		}},
		{Kind: dispatch.RecordRequestEnded, Response: dispatch.Response{
			Identity: dispatch.Identity{Source: "/shop", ID: "ended-2"}, Class: "once", Kind: dispatch.Rejected, Cause: dispatch.CauseNoCapacity,
		}},
		{Kind: dispatch.RecordRequestEnded, PossiblyExecuted: true, FirstExecutionAge: units.Seconds(math.Inf(1)), Response: dispatch.Response{ // how a store restored from a corrupt one encodes an unknown age
			Identity: dispatch.Identity{Source: "/shop", ID: "ended-3"}, Class: "once", Function: "f", Fields: []dispatch.Field{}, Body: []byte{}}},
	}
}

// fixtureScheduledRequests returns open requests of the appliance's own schedules: one with all fields set, the others
// with the minimum of fields.
func fixtureScheduledRequests() []dispatch.Request {
	return []dispatch.Request{
		{
			Identity: dispatch.Identity{Source: "/timers", ID: "own-1"}, Class: "till-entry", Tenant: "north", Function: "team/f:current",
			Timeout: 12.5, Fields: fixtureFields, Body: []byte("a body\x00\xff"), Retried: true,
			StatedProfile: dispatch.FunctionProfile{Concurrency: 4, MemoryMB: 256.5, LoadTime: 1.5}, ExpectedWork: 0.75, RejectDuplicates: true,
		},
		{Identity: dispatch.Identity{Source: "/timers", ID: "own-2"}, Class: "once", Function: "f"},
		{Identity: dispatch.Identity{Source: "/timers", ID: "own-3"}, Class: "once", Fields: []dispatch.Field{}, Body: []byte{}},
	}
}

func fixtureReplicas() []dispatch.ReplicaSnapshot {
	return []dispatch.ReplicaSnapshot{
		{Function: "team/f@sha256:ab", Binding: fixtureBinding, Concurrency: 4, LoadTime: 1.5, Worker: "w-7", WorkerStartedAt: 1_799_999_000.5, Age: 3.5},
		{Function: "g", Worker: "w-8"},
	}
}

// writeFull writes every kind of value through the exported methods of the store.
func writeFull(s *Store, clock *fakeClock) error {
	clock.uptime++
	if err := commit(s, fixtureRecords()...); err != nil {
		return err
	}
	clock.uptime++
	scheduled := fixtureScheduledRequests()
	if err := s.RecordFirings([]Firing{
		{"* * * * * till-entry team/f", fixtureDue, fixtureDeadline, scheduled[0]},
		{"5 * * * * once f", fixtureDue.Add(time.Minute), fixtureDeadline.Add(time.Minute), scheduled[1]},
		{"@hourly once", fixtureDue, fixtureDeadline, scheduled[2]},
	}); err != nil {
		return err
	}
	if err := s.SaveConfig(fixtureConfig); err != nil {
		return err
	}
	for i, entry := range fixtureAuditTrail {
		if err := s.AppendAudit(i, entry); err != nil {
			return err
		}
	}
	clock.uptime++
	return s.SaveReplicas(fixtureReplicas())
}

// writeSparse writes only a nil list of replicas.
func writeSparse(s *Store, _ *fakeClock) error { return s.SaveReplicas(nil) }

// writeEmptyList writes only an empty list of replicas, which is encoded differently from nil.
func writeEmptyList(s *Store, _ *fakeClock) error {
	return s.SaveReplicas([]dispatch.ReplicaSnapshot{})
}

var fixtureWriters = map[string]func(*Store, *fakeClock) error{"full": writeFull, "sparse": writeSparse, "empty-list": writeEmptyList}

// dumpStore returns the content of a database as one line per key, with key and value in hexadecimal.
func dumpStore(t *testing.T, db *pebble.DB) string {
	t.Helper()
	iterator, err := db.NewIter(nil)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for valid := iterator.First(); valid; valid = iterator.Next() {
		value, err := iterator.ValueAndErr()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%x %x\n", iterator.Key(), value)
	}
	if err := errors.Join(iterator.Error(), iterator.Close()); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

func fixtureFile(name string) string { return filepath.Join("testdata", "store-1-"+name+".hex") }

// loadFixture creates a database with the content of a fixture, without using the code under test.
func loadFixture(t *testing.T, fs vfs.FS, name string) {
	t.Helper()
	data, err := os.ReadFile(fixtureFile(name))
	if err != nil {
		t.Fatal(err)
	}
	db, err := pebble.Open("state", &pebble.Options{FS: fs, FormatMajorVersion: pebble.FormatNewest})
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, 1<<20)
	batch := db.NewBatch()
	for lines.Scan() {
		keyHex, valueHex, _ := strings.Cut(lines.Text(), " ")
		key, keyErr := hex.DecodeString(keyHex)
		value, valueErr := hex.DecodeString(valueHex)
		if keyErr != nil || valueErr != nil || len(key) == 0 {
			t.Fatalf("%s: malformed line %q", name, lines.Text())
		}
		if err := batch.Set(key, value, nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := batch.Commit(pebble.Sync); err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
}
