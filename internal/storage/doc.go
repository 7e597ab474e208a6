// Package storage persists the state of one appliance: records of requests that may have executed or were recently
// answered, the last firing of each schedule entry, open requests of the appliance's own schedules, known replicas, the
// audit trail of the function registry, and the last configuration.
//
// The package owns the state folder and the Pebble database in it. The appliance and the simulation open a Store and
// read its RecoveredState once at startup; all later changes go through the methods of Store. The event loops store
// request records with Store.Commit.
//
//   - store.go opens and closes a store.
//   - recovery.go reads the stored state at startup; quarantine.go replaces a corrupt store; reopen.go reopens the
//     database after a failed write.
//   - batch.go implements group commit; writes.go holds the write operations; retention.go expires records and compacts.
//   - keys.go, stored_types.go and record_codec.go define the stored format and do no I/O.
package storage
