// Package soak runs a few dozen front ends of the platform as real processes on loopback, beside fake workers, a fake
// discovery service and clients of its own, overlaps troubles that are drawn from a seed, and has the invariants judge
// what passed on the sockets. It shares no code with what it tests but the checker of invariants, which shares none
// either. The soak command and a test of the program's call it.
package soak
