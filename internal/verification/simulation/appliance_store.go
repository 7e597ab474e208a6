package simulation

import (
	"fmt"

	"streamcleat/internal/appliance"
	"streamcleat/internal/dispatch"
	"streamcleat/internal/storage"
)

func (a *applianceProcess) storeOptions(d *disk) storage.Options {
	return storage.Options{FS: d.view(), Retention: responseRetention, Synchronous: true, Clock: a.timestamp}
}

// timestamp returns the machine's boot ID and uptime for the store. Only a power loss changes the boot ID.
func (a *applianceProcess) timestamp() storage.Timestamp {
	return storage.Timestamp{BootID: fmt.Sprintf("%s/%d", a.name, a.site.reboots[a.number]), Uptime: float64(a.scheduler.now)}
}

func (a *applianceProcess) closeStore() {
	if a.store == nil {
		return
	}
	if err := a.store.Close(); err != nil && !a.disk.isFull() && a.store.Err() == nil {
		a.site.violation("state", "%s: failed to close the state: %v", a.name, err)
	}
	a.store = nil
}

// awaitRecordsStored polls until the records of all front ends are stored.
func (a *applianceProcess) awaitRecordsStored() {
	for _, f := range a.frontEnds {
		if f.proxy != nil && !f.proxy.RecordsStored() {
			a.after(pollInterval, "writes", a.awaitRecordsStored)
			return
		}
	}
	a.handle(appliance.RequestsTerminated, "")
}

// withStore calls do, which writes to the store, and simulates a power loss of the machine if a write was torn.
func (a *applianceProcess) withStore(do func() error) error {
	before := a.disk.tornWriteCount()
	err := do()
	if a.disk.tornWriteCount() > before {
		a.crash(powerLoss, tornRestartDelay)
	}
	return err
}

// Commit implements proxy.RecordStore. The records are written with the batch of the next disk sync.
func (a *applianceProcess) Commit(records []dispatch.Record, done func(error)) {
	a.addUnacknowledged(records)
	a.store.Commit(records, func(err error) {
		if err == nil {
			a.acknowledge(records)
		}
		done(err)
	})
	a.sync()
}

func (a *applianceProcess) sync() {
	if a.syncPending {
		return
	}
	a.syncPending = true
	a.after(syncTime+a.disk.syncDelay, "syncs", func() {
		a.syncPending = false
		if a.store == nil { // closing the store has committed the batch
			return
		}
		_ = a.withStore(func() error { // CommitPending reports errors to the callers of Commit
			a.store.CommitPending()
			return nil
		})
	})
}
