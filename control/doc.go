// Package control makes the routing decisions of one front end: which worker serves each request, which replicas are
// loaded, and which requests are rejected.
//
// A host creates one Router per front end with New and calls its On methods with the current time for every input.
// The router responds through the Host interface before the call returns. It performs no I/O, reads no clock and
// starts no goroutine, so that the same code runs on sockets, in simulations and under test harnesses. A Router is
// not safe for concurrent use.
//
// The Router owns the front end's view of the fleet: workers, functions with their replicas, and open requests.
// Decisions and their tuned constants are in the files listed as policy in deploy/balancer.toml; rules.go holds the
// order in which they are applied. docs/design.md describes the mechanisms.
//
// Instants and durations are seconds in float64, as on the wire. Decisions depend on their exact values, so the order
// of floating-point operations is part of the behavior.
package control
