// Package simulation runs the program in a deterministic simulation: on a virtual clock, with a network, disks and
// processes that fail as a script says. The program's own code runs from the bytes of a connection to the bytes of the
// store: proxy, dispatch, control, downstream/cloudevents, upstream/openinference, http1, schedule, registry, storage and
// the lifecycle of the appliance. A script is drawn from a seed. The same script always has the same trace, and a digest of
// the trace proves it.
//
// A site owns all state of one run: the scheduler with the virtual clock, the network, appliances with their disks and
// front ends, workers, clients, and the state of the checks. One goroutine runs a site, so there are no locks, except in
// the disk, which goroutines of the storage library use as well. Explore is a second, smaller model that tries every order
// of events. Its callers are the command that simulates, mutants, and the package's own tests.
package simulation
