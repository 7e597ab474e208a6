package simulation

import (
	"testing"
	"time"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/storage"
)

func keep(t *testing.T, d *disk, id string) (*storage.Store, error) {
	t.Helper()
	s, found, err := storage.OpenStore("state", storage.Options{FS: d.view(), Retention: 600, Synchronous: true, Clock: func() storage.Timestamp { return storage.Timestamp{Boot: "a", Up: 1} }})
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range found.Records {
		t.Log("found ", e.Response.Identity)
	}
	s.Commit([]dispatch.Record{{Response: dispatch.Response{Identity: dispatch.Identity{Source: "/t", ID: id}, Class: "once"}, MayHaveRun: true}}, func(e error) { err = e })
	s.Step()
	return s, err
}

func TestTornRecordIsNotFoundAndTheRestIs(t *testing.T) {
	for _, power := range []bool{false, true} {
		d := newDisk()
		s, err := keep(t, d, "one")
		if err != nil {
			t.Fatal(err)
		}
		d.tear = 20
		s.Commit([]dispatch.Record{{Response: dispatch.Response{Identity: dispatch.Identity{Source: "/t", ID: "two"}, Class: "once"}, MayHaveRun: true}}, func(e error) { err = e })
		began := time.Now()
		s.Step()
		if err == nil {
			t.Fatal("a torn write passed")
		}
		d.restart(power)
		s.Close()
		s2, found, err := storage.OpenStore("state", storage.Options{FS: d.view(), Retention: 600, Synchronous: true})
		if err != nil || len(found.Records) != 1 || found.Records[0].Response.Identity.ID != "one" || found.QuarantinePath != "" {
			t.Fatalf("power %v: %+v %v", power, found, err)
		}
		s2.Close()
		t.Log(time.Since(began))
	}
}

func BenchmarkOpen(b *testing.B) {
	for b.Loop() {
		d := newDisk()
		s, _, err := storage.OpenStore("state", storage.Options{FS: d.view(), Retention: 600, Synchronous: true})
		if err != nil {
			b.Fatal(err)
		}
		s.Close()
	}
}
