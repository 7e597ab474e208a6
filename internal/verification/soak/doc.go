// Package soak runs front ends of the platform as real processes on loopback, with fake workers, a fake discovery
// service and clients of its own, injects overlapping faults that are drawn from a seed, and checks the invariants on
// the traffic that it recorded.
//
// One call of Run owns the processes, listeners, connections and the temporary folder of its site, and releases them
// before it returns. The package shares no code with the program under test except the checker of invariants, which
// shares none either. Its callers are the soak command and TestSoak.
package soak
