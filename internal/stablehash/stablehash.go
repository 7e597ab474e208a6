// Package stablehash hashes pairs of strings alike in every process, on every machine and in every version of the
// program. It has no state. The schedule picks front ends by it, so that clients agree without a word, and the registry
// places requests on a side of a rollout, so that a request keeps its side over restarts and upgrades.
package stablehash

import "hash/fnv"

// murmurMultiplier is a constant of MurmurHash3's 64 bit finalizer.
const murmurMultiplier = 0xff51afd7ed558ccd

// Pair hashes two strings with FNV-1a, a zero byte between them, and a step of MurmurHash3's finalizer: FNV alone
// leaves similar names close to each other. The high bits are spread best.
func Pair(first, second string) uint64 {
	h := fnv.New64a()
	// A hash's Write never fails.
	_, _ = h.Write([]byte(first))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(second))
	sum := h.Sum64()
	return (sum ^ sum>>33) * murmurMultiplier
}
