// Package soak runs front ends as real processes on the loopback interface against fake workers, a fake discovery service
// and simulated clients. It injects overlapping faults that are derived from a seed, records the traffic, and checks the
// records against the invariants.
//
// Each call of Run owns its processes, listeners, connections and temporary folder, and releases them before it returns.
// The package shares no code with the program under test. The checker of invariants, which it uses, shares none either. Its
// callers are the soak command and TestSoak.
package soak
