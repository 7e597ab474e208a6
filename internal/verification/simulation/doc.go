// Package simulation runs the program in a simulated world: a virtual clock, a network, disks and processes that fail by
// a script. What runs in it is the program's own code from the bytes of a connection to the bytes of the store: proxy,
// dispatch, control, downstream/cloudevents, upstream/openinference, http1, schedule, storage and the life cycle of the appliance. A script comes
// from a seed, and the same script always gives the same trace, which a digest proves.
//
// Its one job is to play a script and report what broke. A site owns all state of one run: the scheduler with the virtual
// clock, the network, appliances with their disks and front ends, workers, clients, and what the checks know. One
// goroutine runs a site, so none of it has locks; only the disk is also used by goroutines of the storage library.
// Callers are the command that simulates and the package's own tests; Explore is a second, smaller world that tries every
// order of events.
package simulation
