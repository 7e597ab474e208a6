package simulation

import (
	"testing"

	"streamcleat/internal/dispatch"
	"streamcleat/internal/storage"
)

func openStore(tb testing.TB, d *disk) (*storage.Store, *storage.RecoveredState) {
	tb.Helper()
	clock := func() storage.Timestamp { return storage.Timestamp{BootID: "a", Uptime: 1} }
	store, recovered, err := storage.OpenStore("state", storage.Options{FS: d.view(), Retention: 600, Synchronous: true, Clock: clock})
	if err != nil {
		tb.Fatal(err)
	}
	return store, recovered
}

// commit writes the record of a request.
func commit(store *storage.Store, id string) error {
	var err error
	record := dispatch.Record{Response: dispatch.Response{Identity: dispatch.Identity{Source: "/t", ID: id}, Class: "once"}, PossiblyExecuted: true}
	store.Commit([]dispatch.Record{record}, func(e error) { err = e })
	store.CommitPending()
	return err
}

func TestDisk_TornRecordIsLost(t *testing.T) {
	for name, exit := range map[string]exitKind{"process ends": processExit, "power loss": powerLoss} {
		t.Run(name, func(t *testing.T) {
			d := newDisk()
			store, _ := openStore(t, d)
			if err := commit(store, "one"); err != nil {
				t.Fatal(err)
			}
			d.tornWriteBytes = 20
			if err := commit(store, "two"); err == nil {
				t.Fatal("a torn write succeeded")
			}
			d.restart(exit)
			_ = store.Close() // its machine has stopped
			again, recovered := openStore(t, d)
			if len(recovered.Records) != 1 || recovered.Records[0].Response.Identity.ID != "one" || recovered.QuarantinePath != "" {
				t.Fatalf("%+v", recovered)
			}
			if err := again.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	for b.Loop() {
		store, _ := openStore(b, newDisk())
		if err := store.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
