package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"

	"streamcleat/internal/dispatch"
)

// formatName is the value of formatKey. A store with another value has an incompatible format.
const formatName = "streamcleat 1"

// The prefixes and keys of the database are part of the stored format:
//
//	e/HASH               record of a request, keyed by the hash of the request's identity
//	x/MILLISECONDS/HASH  expiry index of the records, keyed by the service time at which the record was written
//	t/ENTRY              last minute for which a schedule entry fired
//	o/HASH               open request of the appliance's own schedules, keyed like a record
//	h/NUMBER             entry of the registry's audit trail
//	m/...                metadata of the store
var (
	recordPrefix    = []byte("e/")
	expiryPrefix    = []byte("x/")
	firingPrefix    = []byte("t/")
	scheduledPrefix = []byte("o/")
	auditPrefix     = []byte("h/")

	formatKey        = []byte("m/form")
	serviceTimeKey   = []byte("m/run")
	configKey        = []byte("m/config")
	replicasKey      = []byte("m/known")
	cleanShutdownKey = []byte("m/clean")

	// expiryPrefixEnd is the exclusive upper bound of the expiry keys.
	expiryPrefixEnd = []byte("y")
)

const (
	uint64Size = 8 // encoded size in bytes
	// expiryHashOffset is the offset of the hash in an expiry key without its prefix, after the time and a slash.
	expiryHashOffset = uint64Size + 1
	// expiryUnitsPerSecond is the resolution of the times in expiry keys.
	expiryUnitsPerSecond = 1000
)

// identityHash returns the hash that identifies a request in keys.
func identityHash(identity dispatch.Identity) []byte {
	hash := fnv.New128a()
	_, _ = fmt.Fprintf(hash, "%d:%s%s", len(identity.Source), identity.Source, identity.ID) // hash.Hash never returns an error
	return hash.Sum(nil)
}

// joinKey returns prefix and rest concatenated in a new slice.
func joinKey(prefix, rest []byte) []byte {
	return append(append(make([]byte, 0, len(prefix)+len(rest)), prefix...), rest...)
}

// expiryKey returns the key of a record in the expiry index. With a nil hash it returns the lower bound of the
// keys with this service time.
func expiryKey(serviceTime float64, hash []byte) []byte {
	key := binary.BigEndian.AppendUint64(append([]byte{}, expiryPrefix...), uint64(max(serviceTime, 0)*expiryUnitsPerSecond))
	return append(append(key, '/'), hash...)
}

// parseExpiryKey splits an expiry key into its service time in milliseconds and its hash. It returns false for a key that
// is too short.
func parseExpiryKey(key []byte) (milliseconds float64, hash []byte, ok bool) {
	rest := key[len(expiryPrefix):]
	if len(rest) < expiryHashOffset {
		return 0, nil, false
	}
	return float64(binary.BigEndian.Uint64(rest[:uint64Size])), rest[expiryHashOffset:], true
}

// auditKey returns the key of the audit trail entry with the given number.
func auditKey(number int) []byte {
	return binary.BigEndian.AppendUint64(bytes.Clone(auditPrefix), uint64(number))
}
