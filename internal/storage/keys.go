package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"

	"streamcleat/internal/dispatch"
)

// formatName is the value of formatKey. A store with another one was written by a program whose records differ.
const formatName = "streamcleat 1"

// The prefixes and keys of the database are part of the stored format:
//
//	e/HASH            the record of a request, by the hash of its identity
//	x/MILLISECONDS/HASH  the position of a record in the order of expiry, by the service time at which it was written
//	t/ENTRY           the last minute for which a schedule entry fired
//	o/HASH            an open request of the appliance itself
//	h/NUMBER          an entry of the registry's audit trail
//	m/...             the store itself
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

	// afterExpiryKeys is the upper bound of the expiry keys.
	afterExpiryKeys = []byte("y")
)

const (
	uint64Size = 8 // bytes of a stored number
	// expiryHashOffset is where the hash begins in an expiry key without its prefix: after the time and a slash.
	expiryHashOffset = uint64Size + 1
	// expiryUnitsPerSecond is the resolution of the times in expiry keys.
	expiryUnitsPerSecond = 1000
)

// identityHash returns the hash under which a request is stored.
func identityHash(identity dispatch.Identity) []byte {
	hash := fnv.New128a()
	_, _ = fmt.Fprintf(hash, "%d:%s%s", len(identity.Source), identity.Source, identity.ID) // a hash never fails to write
	return hash.Sum(nil)
}

// joinKey returns the key of a prefix and the rest in memory of its own.
func joinKey(prefix, rest []byte) []byte {
	return append(append(make([]byte, 0, len(prefix)+len(rest)), prefix...), rest...)
}

// expiryKey returns the key of a record in the order of expiry. Without a hash it is the lower bound of a service time.
func expiryKey(serviceTime float64, hash []byte) []byte {
	key := binary.BigEndian.AppendUint64(append([]byte{}, expiryPrefix...), uint64(max(serviceTime, 0)*expiryUnitsPerSecond))
	return append(append(key, '/'), hash...)
}

// parseExpiryKey splits an expiry key into its time, in milliseconds of service, and its hash. It reports false for a
// key that is too short.
func parseExpiryKey(key []byte) (milliseconds float64, hash []byte, ok bool) {
	rest := key[len(expiryPrefix):]
	if len(rest) < expiryHashOffset {
		return 0, nil, false
	}
	return float64(binary.BigEndian.Uint64(rest[:uint64Size])), rest[expiryHashOffset:], true
}

// auditKey returns the key of an entry of the audit trail by its number.
func auditKey(number int) []byte {
	return binary.BigEndian.AppendUint64(bytes.Clone(auditPrefix), uint64(number))
}
