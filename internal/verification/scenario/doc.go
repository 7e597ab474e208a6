// Package scenario runs real front ends on the loopback interface with fake workers, a fake function store and real clients,
// injects the faults of a script, and checks invariants on the recorded traffic. It also contains the benchmarks that run
// front ends in the same way.
//
// Run stops everything that it started before it returns. The commands that run scenarios and benchmarks use the package.
package scenario
