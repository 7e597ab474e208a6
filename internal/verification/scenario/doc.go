// Package scenario plays scripted faults against real front ends on loopback, with fake workers, a fake function store
// and real clients, and lets the checker of invariants judge what passed on the sockets. It also holds the benchmarks
// that run front ends in the same way.
//
// Its one job is to play a script and report the result. A Run owns everything that it starts, and ends it before it
// returns. Callers are the commands that play scenarios and measure.
package scenario
