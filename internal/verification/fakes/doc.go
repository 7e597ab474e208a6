// Package fakes provides fakes of the systems around the program: workers that speak the Open Inference Protocol, the
// function store that they share, the endpoint list that names them, and an OCI registry. They listen on loopback, and
// faults can be injected into them. Workers record their traffic for the checker of invariants.
//
// Each Worker owns its replicas, queue and faults under one lock. A Store, a Deduplicator and an EndpointList are shared
// by the workers that are given them. Its callers are the scenarios, the simulation, the command that runs fake workers,
// and tests.
package fakes
