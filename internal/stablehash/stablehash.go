package stablehash

import "hash/fnv"

// murmurMultiplier is a constant of MurmurHash3's 64-bit finalizer.
const murmurMultiplier = 0xff51afd7ed558ccd

// Pair returns the hash of two strings: FNV-1a of the strings with a zero byte between them, followed by one step of
// MurmurHash3's finalizer, because FNV alone maps similar strings to similar hashes. The high bits are the best distributed.
func Pair(first, second string) uint64 {
	h := fnv.New64a()
	// Write of a hash.Hash never returns an error.
	_, _ = h.Write([]byte(first))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(second))
	sum := h.Sum64()
	return (sum ^ sum>>33) * murmurMultiplier
}
