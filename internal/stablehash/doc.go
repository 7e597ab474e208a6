// Package stablehash hashes pairs of strings. The result is the same in every process, on every machine and in every
// version of the program. The package has no state.
//
// The schedule selects front ends by the hash, so that clients agree without coordination. The registry selects the side of
// a rollout by it, so that a request keeps its version across restarts and upgrades.
package stablehash
