// Package simulation runs the program in a deterministic simulation: on a virtual clock, with a network, disks and
// processes into which a script injects faults. Everything between the bytes of a connection and the bytes of the store is
// the program's production code: proxy, dispatch, control, downstream/cloudevents, upstream/openinference, http1, schedule,
// registry, storage and the lifecycle of the appliance. A script is generated from a seed. Runs of the same script have
// the same trace, which is verified by comparing digests of the traces.
//
// A site owns all state of one run: the scheduler with the virtual clock, the network, appliances with their disks and
// front ends, workers, clients, and the state of the checks. A site is run by a single goroutine and needs no locks, except
// in the disk, which is also accessed by goroutines of the storage library. Explore is a second, smaller model that
// explores every order of events. The package is used by the simulation command, the mutants package and its own tests.
package simulation
