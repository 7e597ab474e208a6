//go:build review

package main

import (
	"fmt"
	"hash/fnv"
)

// The front ends rank the workers for a function by a hash of both names, so that all of them keep its copies on the same few
// workers. A case needs functions that rank a certain worker first.

func hashOf(text string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(text))
	return sum.Sum64()
}

func weight(function, worker string) uint64 {
	hash := hashOf(function) ^ hashOf(worker)
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	return (hash ^ hash>>33) * 0xc4ceb9fe1a85ec53
}

// functionFor returns the n-th function that ranks the workers in the order given, as far as it is given.
func functionFor(n int, all []*worker, order ...*worker) string {
	for number := uint64(1); ; number++ {
		function := fmt.Sprintf("%016x", number*0x9e3779b97f4a7c15)
		if ranks(function, all, order) {
			if n--; n < 0 {
				return function
			}
		}
	}
}

func ranks(function string, all, order []*worker) bool {
	placed := map[*worker]bool{}
	for _, want := range order {
		for _, w := range all {
			if w != want && !placed[w] && weight(function, w.name) > weight(function, want.name) {
				return false
			}
		}
		placed[want] = true
	}
	return true
}
