// Package fakes provides fakes of the systems around the program: workers that speak the Open Inference Protocol, the
// function store that they share, the endpoint list in which front ends find them, and an OCI registry. They listen on
// loopback, and faults can be injected into them. Workers record their traffic for the checker of invariants.
//
// Each Worker owns its replicas, queue and faults, which one lock guards. Workers may share a Store, a Deduplicator and an
// EndpointList. The callers of the package are the scenarios, the simulation, the command that runs fake workers, and
// tests.
package fakes
