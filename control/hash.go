package control

import "hash/fnv"

// This file holds the hashes of functions and workers, which are the same at every front end.

// workerDigestMask selects the bits of a worker's hash that gossip messages carry.
const workerDigestMask = 0xfff

// digest is the short form of the function's hash in gossip messages.
func (fn *function) digest() uint16 { return uint16(fn.hash) }

// digest is the short form of the worker's hash in gossip messages.
func (w *worker) digest() uint32 { return uint32(w.hash & workerDigestMask) }

// hashOf is the FNV-1a hash of an id, equal at all front ends.
func hashOf(text string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(text))
	return sum.Sum64()
}

// mixHash spreads the differences of hashes over all bits, with the multipliers of MurmurHash3.
func mixHash(hash uint64) uint64 {
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	return (hash ^ hash>>33) * 0xc4ceb9fe1a85ec53
}
