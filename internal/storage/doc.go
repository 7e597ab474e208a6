// Package storage keeps the state of one appliance that must survive a restart: the records of requests that may have
// run and of those lately answered, the last firing of each schedule entry, the appliance's own requests that are
// still open, the replicas that were known, the audit trail of the function registry and the last configuration.
//
// The package owns the state folder and the Pebble database in it. The appliance and the simulation open a Store,
// read the RecoveredState once, and write through the Store from then on; the event loops write their records through
// Store.Commit.
//
//   - store.go opens and closes a store.
//   - recovery.go reads back what an earlier process left; quarantine.go replaces a corrupt store.
//   - batch.go is the commit queue; writes.go has the writes that callers ask for; retention.go deletes and compacts.
//   - keys.go, stored_types.go and record_codec.go are the stored format, without I/O.
package storage
