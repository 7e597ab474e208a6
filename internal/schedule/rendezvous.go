package schedule

import (
	"slices"
	"strings"

	"streamcleat/internal/stablehash"
)

// RendezvousOrder orders front ends for a firing ID by rendezvous hashing. The order is the same at every client, so that
// all clients send the same firing to the same front end, which deduplicates the requests.
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

// rendezvousWeight returns the weight of a front end for a firing ID. The front end with the highest weight comes first.
func rendezvousWeight(frontEnd, id string) uint64 {
	hash := stablehash.Pair(frontEnd, id)
	return hash ^ hash>>33
}
