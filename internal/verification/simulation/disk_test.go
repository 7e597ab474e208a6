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

// commit writes the record of a request, and returns the error of the write.
func commit(store *storage.Store, id string) error {
	var err error
	record := dispatch.Record{Response: dispatch.Response{Identity: dispatch.Identity{Source: "/t", ID: id}, Class: "once"}, PossiblyExecuted: true}
	store.Commit([]dispatch.Record{record}, func(e error) { err = e })
	store.CommitPending()
	return err
}

// A log record that was written in part, because the machine stopped, is dropped at the next start. Earlier records are kept,
// and the store is not quarantined.
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
				t.Fatal("a torn write returned no error")
			}
			d.restart(exit)
			_ = store.Close() // this machine has stopped
			reopened, recovered := openStore(t, d)
			if len(recovered.Records) != 1 || recovered.Records[0].Response.Identity.ID != "one" || recovered.QuarantinePath != "" {
				t.Fatalf("recovered state %+v, want only the record of request one", recovered)
			}
			if err := reopened.Close(); err != nil {
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
