// Package scenario runs real front ends on loopback with fake workers, a fake function store and real clients, injects
// the faults of a script, and checks the invariants on the recorded traffic. It also has the benchmarks that run front
// ends in the same way.
//
// A Run owns everything that it starts, and stops it before it returns. Its callers are the commands that run scenarios
// and benchmarks.
package scenario
