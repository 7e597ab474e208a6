package schedule

import (
	"hash/fnv"
	"slices"
	"strings"
)

// RendezvousOrder orders front ends for an identity alike at every client, by the highest of a hash of both: two clients
// that fire the same minute send to the same front end, which deduplicates them.
func RendezvousOrder(frontEnds []string, id string) []string {
	type candidate struct {
		frontEnd string
		weight   uint64
	}
	candidates := make([]candidate, len(frontEnds))
	for i, frontEnd := range frontEnds {
		candidates[i] = candidate{frontEnd: frontEnd, weight: rendezvousWeight(frontEnd, id)}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		default:
			return strings.Compare(a.frontEnd, b.frontEnd)
		}
	})
	ordered := make([]string, len(candidates))
	for i, c := range candidates {
		ordered[i] = c.frontEnd
	}
	return ordered
}

// rendezvousWeight hashes a front end with an identity. FNV alone leaves similar names close to each other; the
// multiplication is a step of MurmurHash3's finalizer, which spreads them.
func rendezvousWeight(frontEnd, id string) uint64 {
	const murmurMultiplier = 0xff51afd7ed558ccd
	h := fnv.New64a()
	// A hash's Write never fails.
	_, _ = h.Write([]byte(frontEnd))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x = (x ^ x>>33) * murmurMultiplier
	return x ^ x>>33
}
