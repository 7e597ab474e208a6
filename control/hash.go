package control

import "hash/fnv"

// Hashes of functions and workers. They are equal on all front ends, which rendezvous order and gossip rely on.

// workerDigestMask selects the bits of a worker's hash that gossip messages carry.
const workerDigestMask = 0xfff

// digest returns the bits of the function's hash that gossip messages carry.
func (fn *function) digest() uint16 { return uint16(fn.hash) }

// digest returns the bits of the worker's hash that gossip messages carry.
func (w *worker) digest() uint32 { return uint32(w.hash & workerDigestMask) }

// hashOf returns the FNV-1a hash of text.
func hashOf(text string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(text))
	return sum.Sum64()
}

// mixHash is the finalizer of MurmurHash3, which lets every input bit affect all output bits.
func mixHash(hash uint64) uint64 {
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	return (hash ^ hash>>33) * 0xc4ceb9fe1a85ec53
}
